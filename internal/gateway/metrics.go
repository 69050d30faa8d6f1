package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/relay"
	"pollentack.example/pollentack/internal/edge/httpd"
	"pollentack.example/pollentack/internal/edge/memory"
	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/ring"
)

const (
	// Latencies are recorded in microseconds, from 1 µs to one minute, with two significant
	// digits.
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 2
)

// latencies holds the latency histograms of a gateway.
type latencies struct {
	mu       sync.Mutex
	requests *hdrhistogram.Histogram
	attempts *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{
		requests: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		attempts: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
	}
}

func (l *latencies) observeAttempt(d time.Duration) { l.observe(l.attempts, d) }

func (l *latencies) observeRequest(d time.Duration) { l.observe(l.requests, d) }

func (l *latencies) observe(h *hdrhistogram.Histogram, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Values outside the range are recorded as its minimum or maximum.
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatencyMicros))
}

// LatencySummary is the summary of a latency histogram in the status, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func (l *latencies) summary(h *hdrhistogram.Histogram) LatencySummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return LatencySummary{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / 1000}
}

// ReplyMemory is what the bodies of targets' replies in progress may occupy and do, in bytes.
type ReplyMemory struct {
	Limit int `json:"limit"`
	Used  int `json:"used"`
}

// Status is the state of a gateway that operators can read.
type Status struct {
	Host           string         `json:"host"`
	Ready          bool           `json:"ready"`
	Draining       bool           `json:"draining"`
	StoreEra       uint64         `json:"store_era"`
	Revision       uint64         `json:"revision"`
	ConfigVersion  uint64         `json:"config_version"`
	Targets        int            `json:"targets"`
	InProgress     int            `json:"in_progress"`
	Relay          relay.Counters `json:"relay"`
	RequestLatency LatencySummary `json:"request_latency"`
	AttemptLatency LatencySummary `json:"attempt_latency"`
	Connections    uint64         `json:"connections_made"`
	Memory         memory.Usage   `json:"memory"`
	Callers        httpd.Stats    `json:"callers"`
	Balancer       httpd.Stats    `json:"balancer"`
	ReplyMemory    ReplyMemory    `json:"reply_memory"`
	StoreCalls     uint64         `json:"store_calls"`
	StoreFailures  uint64         `json:"store_failures"`
	StoreItems     StoreItems     `json:"store_items"`
	Mesh           mesh.Stats     `json:"mesh"`
	HostsIgnored   uint64         `json:"hosts_ignored"`
	GossipDropped  uint64         `json:"gossip_dropped"`
	// Panics is the number of panics that ended only the work for one request or message.
	Panics uint64 `json:"panics"`
	// RelayRestarts is the number of panics after which the relay began anew.
	RelayRestarts uint64       `json:"relay_restarts"`
	Rings         []ring.Stats `json:"rings"`
}

func (g *Gateway) status() any {
	v := g.discovery.view.Load()
	s := Status{
		Host: g.settings.Host, Ready: g.isReady(), Draining: g.draining.Load(),
		StoreEra: v.Era, Revision: v.Revision, Targets: len(v.Targets), InProgress: g.ingress.InProgress(),
		Relay:          *g.relay.counters.Load(),
		RequestLatency: g.latency.summary(g.latency.requests),
		AttemptLatency: g.latency.summary(g.latency.attempts),
		Connections:    g.client.Dials(),
		Memory:         g.budget.Usage(),
		Callers:        g.ingress.Stats(),
		Balancer:       g.ready.Stats(),
		ReplyMemory:    ReplyMemory{Limit: g.replyBytes(), Used: g.client.ReplyBytes()},
		StoreCalls:     g.discovery.store.Calls(), StoreFailures: g.discovery.store.FailedCalls(),
		StoreItems: g.discovery.catalog.usage(),
		Mesh:       g.fleet.mesh.Stats(), HostsIgnored: g.fleet.ignored.Load(), GossipDropped: g.fleet.dropped.Load(),
		Panics: g.panics.Count(), RelayRestarts: g.relay.restarts.count.Load(),
		Rings: []ring.Stats{g.relay.inbox.Stats(), g.upstream.inbox.Stats(), g.discovery.inbox.Stats()},
	}
	if v.Config != nil {
		s.ConfigVersion = v.Config.Version
	}
	return s
}

// gatewayVars holds the status of each gateway in the process by host. Tests start several.
var gatewayVars = expvar.NewMap("gateways")

func (g *Gateway) publishMetrics() {
	gatewayVars.Set(g.settings.Host, expvar.Func(g.status))
}

// logDecision writes a decision of a core to the log.
func (g *Gateway) logDecision(r *decision.Record) {
	level := zerolog.InfoLevel
	switch r.Level {
	case decision.Warn:
		level = zerolog.WarnLevel
	case decision.Error:
		level = zerolog.ErrorLevel
	}
	line := g.log.WithLevel(level).Str("event", r.Event)
	for _, a := range r.Attrs {
		switch v := a.Value.(type) {
		case string:
			line.Str(a.Key, v)
		case uint64:
			line.Uint64(a.Key, v)
		case int:
			line.Int(a.Key, v)
		case float64:
			line.Float64(a.Key, v)
		default:
			line.Interface(a.Key, v)
		}
	}
	line.Send()
}
