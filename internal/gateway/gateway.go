// Package gateway assembles a host that serves routed requests: its duties, the rings between
// them and its listeners. The cores make the decisions, and the codecs define the format of the
// messages.
package gateway

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/discovery"
	"pollentack.example/pollentack/internal/core/fleet"
	"pollentack.example/pollentack/internal/core/relay"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/admin"
	"pollentack.example/pollentack/internal/edge/await"
	"pollentack.example/pollentack/internal/edge/httpd"
	"pollentack.example/pollentack/internal/edge/ingress"
	"pollentack.example/pollentack/internal/edge/listen"
	"pollentack.example/pollentack/internal/edge/logs"
	"pollentack.example/pollentack/internal/edge/memory"
	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/edge/trace"
	"pollentack.example/pollentack/internal/edge/upstream"
	"pollentack.example/pollentack/internal/wire"
)

const (
	// maxDuties is the maximum number of duties of a host.
	maxDuties = 12
	// assumedHosts is the number of hosts that are assumed to share the targets until the
	// members of the fleet are known.
	assumedHosts = 12
)

// Codec converts the HTTP messages of callers and targets.
type Codec interface {
	ingress.Codec
	upstream.Codec
}

// Options are the dependencies of a gateway that are not part of its settings.
type Options struct {
	Log zerolog.Logger
	// Tracer creates a span for each hop of a request; nil disables tracing.
	Tracer *trace.Tracer
	Codec  Codec
	Store  Store
	// DecodeItem decodes a stored item that was received from a peer.
	DecodeItem func(key string, value []byte, revision uint64, deleted bool) discovery.Item
	// Dial, if set, replaces the function that dials peers.
	Dial mesh.DialFunc
}

// Gateway is one running host.
type Gateway struct {
	settings  *Settings
	log       zerolog.Logger
	clock     sysclock.Clock
	duties    *duty.Group
	relay     *relayDuty
	upstream  *upstreamDuty
	discovery *discoveryDuty
	fleet     *fleetDuty
	roster    *rosterDuty
	waiters   *await.Waiters[relay.Answer]
	client    *upstream.Client
	// budget bounds the memory of callers' connections and requests and of messages to peers.
	budget *memory.Budget
	// front is the socket of ingress, which may have to wait for its port.
	front    *listen.Listener
	ingress  *ingress.Server
	ready    *httpd.Server
	metrics  *admin.Server
	latency  *latencies
	panics   *logs.Panics
	draining atomic.Bool
	// grace is the current Settings.Grace in nanoseconds.
	grace    atomic.Int64
	stopOnce sync.Once
	failed   chan error
}

// Start starts a gateway, which runs until Stop.
func Start(s *Settings, o Options) (*Gateway, error) {
	g := &Gateway{
		settings: s, log: o.Log, clock: sysclock.New(), latency: newLatencies(), waiters: await.New[relay.Answer](),
		failed: make(chan error, maxDuties), budget: memory.NewBudget(s.requestBytes()),
		panics: logs.NewPanics(o.Log),
	}
	if err := g.start(&o); err != nil {
		return nil, fmt.Errorf("start gateway %q: %w", s.Host, err)
	}
	g.grace.Store(int64(s.Grace))
	g.publishMetrics()
	g.log.Info().Str("event", "gateway_started").Str("front", g.ingress.Address()).
		Str("ready", g.ready.Address()).Str("metrics", g.metrics.Address()).Str("store", s.Store).Send()
	return g, nil
}

func (g *Gateway) start(o *Options) error {
	var err error
	if g.duties, err = duty.NewGroup(maxDuties, g.dutyFailed); err != nil {
		return err
	}
	seed := newSeed(g.settings.Host, g.clock)
	if o.Tracer == nil {
		o.Tracer = trace.NewDisabled()
	}
	g.client = upstream.New(o.Codec, g.clock, o.Tracer, g.replyBytes)
	g.relay = newRelayDuty(relay.Config{
		Host: g.settings.Host, Zone: g.settings.Zone, Region: g.settings.Region, Regions: g.settings.Regions,
		Retry: g.settings.Retry, Cold: g.settings.Cold, MaxRequests: maxRequests, InitialHosts: assumedHosts, Seed: seed,
	}, g.clock)
	if g.upstream, err = newUpstreamDuty(g.client, g.clock, g.relay.put, g.panics.Report); err != nil {
		return err
	}
	g.connectRelay()
	measured := newTransits(g.clock)
	if g.fleet, err = newFleetDuty(g.settings, g.clock, seed, g.log, measured, o.Dial, g.budget, g.panics.Report); err != nil {
		return err
	}
	g.fleet.record = g.logDecision
	g.roster = newRosterDuty(g.applyRoster)
	g.fleet.onRoster = g.roster.put
	// If the ring is full, the measurement is dropped. The next exchange measures again.
	g.fleet.onRoundTrip = func(zone string, took time.Duration) { g.relay.put(&relay.RTTMeasured{Zone: zone, RTT: took}) }
	g.upstream.handoffs = newHandoffs(g.clock, measured, g.fleet.mesh, g.relay, g.waiters, g.budget, g.log, o.Tracer)
	g.relay.withdraw = g.upstream.handoffs.withdraw
	if g.discovery, err = newDiscoveryDuty(g.settings, o.Store, g.clock, seed, g.log, g.panics.Report); err != nil {
		return err
	}
	g.discovery.mesh = g.fleet.mesh
	g.discovery.decode = o.DecodeItem
	g.fleet.mesh.Handle(wire.CallKind_CALL_KIND_CATALOG, g.discovery.catalog.serve)
	g.discovery.onView = g.applyView
	// If the ring is full, the targets' entries are relied on.
	g.discovery.onContact = func(lost bool) { g.relay.put(&relay.StoreContact{Lost: lost}) }
	g.discovery.record = g.logDecision
	if err = g.listen(o); err != nil {
		return err
	}
	duties := slices.Concat([]duty.Duty{g.upstream.duty(), g.relay.duty()}, g.discovery.duties(), []duty.Duty{g.roster.duty()}, g.fleet.duties())
	for _, d := range duties {
		if err = g.duties.Start(d); err != nil {
			return err
		}
	}
	return nil
}

// replyBytes returns the number of bytes that the bodies of all replies in progress may occupy together:
// less while answers that their callers do not take have outgrown the budget.
func (g *Gateway) replyBytes() int {
	most := g.settings.replyBytes()
	return max(most/minReplyDivisor, most-int(g.budget.Overrun()))
}

// connectRelay sets what the relay does with its effects on this host.
func (g *Gateway) connectRelay() {
	g.upstream.observeLatency = g.latency.observeAttempt
	g.relay.dispatch = g.upstream.put
	g.relay.onPanic, g.relay.onFailure = g.panics.Report, func(err error) { g.dutyFailed("relay", err) }
	g.relay.cancelAll = g.client.CancelAll
	g.relay.cancel, g.relay.cancelUnsent = g.client.Cancel, g.client.CancelUnsent
	g.relay.record = g.logDecision
}

// listen starts the servers for callers, the balancer and operators.
func (g *Gateway) listen(o *Options) error {
	var err error
	if g.front, err = listen.TCP(g.settings.Listen.Front, g.log); err != nil {
		return err
	}
	if g.ingress, err = ingress.Start(g.front, o.Codec, g.budget, maxCallerConnections(g.settings.descriptors()), g.waiters, g.relay.submit, g.relay.put, g.logDecision, g.panics.Report, o.Tracer, g.clock); err != nil {
		return err
	}
	g.relay.deliver = g.deliverAnswer
	socket, err := listen.TCP(g.settings.Listen.Ready, g.log)
	if err != nil {
		return err
	}
	if g.ready, err = ingress.StartReady(socket, o.Codec, g.isReady, g.panics.Report); err != nil {
		return err
	}
	if socket, err = listen.TCP(g.settings.Listen.Metrics, g.log); err != nil {
		return err
	}
	options := httpd.OperatorOptions()
	options.OnPanic = g.panics.Report
	if g.metrics, err = admin.Start(socket, options, g.status, func() {}); err != nil {
		return err
	}
	return nil
}

// newSeed returns a seed that differs between hosts and between the starts of a host.
func newSeed(host string, clk sysclock.Clock) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	return h.Sum64() ^ uint64(clk.Now().Wall)
}

// applyView passes a new view to the components that use it.
func (g *Gateway) applyView(v *catalog.View) {
	if v.Config != nil {
		g.ingress.SetLimits(v.Config.Limits)
	}
	g.client.RetainTargets(v)
	if !g.relay.put(&relay.ViewChanged{View: v}) {
		g.log.Error().Str("event", "view_dropped").Uint64("revision", v.Revision).Str("reason", "relay ring is full").Send()
	}
}

func (g *Gateway) deliverAnswer(a relay.Answer) {
	g.latency.observeRequest(a.Elapsed)
	g.budget.Force(memory.Answers, a.BodyBytes())
	if !g.waiters.Offer(a.Key, a) {
		g.budget.Release(memory.Answers, a.BodyBytes())
	}
}

// applyRoster passes the members without failed exchanges, including this host, to the
// discovery and relay duties.
func (g *Gateway) applyRoster(members []fleet.Member) {
	g.discovery.setSources(members, g.settings.Host, g.settings.Zone)
	if !g.relay.put(&relay.MembersChanged{Members: members}) {
		g.log.Error().Str("event", "roster_dropped").Int("hosts", len(members)).Str("reason", "relay ring is full").Send()
	}
}

// isReady reports whether the balancer may send connections to this host: it listens for callers,
// is not draining, and has a configuration and at least one target.
func (g *Gateway) isReady() bool {
	v := g.discovery.view.Load()
	return g.front.Listening() && !g.draining.Load() && v.Config != nil && len(v.Targets) > 0
}

func (g *Gateway) dutyFailed(name string, err error) {
	g.log.Error().Str("event", "duty_panicked").Str("duty", name).Err(err).Send()
	g.failed <- err
}

// Failed returns a channel that receives the error of a duty that panicked. The process must
// then stop.
func (g *Gateway) Failed() <-chan error { return g.failed }

// FrontAddress returns the address for callers.
func (g *Gateway) FrontAddress() string { return g.ingress.Address() }

// ReadyAddress returns the address for the balancer's readiness checks.
func (g *Gateway) ReadyAddress() string { return g.ready.Address() }

// MetricsAddress returns the address for operators.
func (g *Gateway) MetricsAddress() string { return g.metrics.Address() }

// MeshAddress returns the address for other hosts.
func (g *Gateway) MeshAddress() string { return g.fleet.mesh.Address() }

// HostCount returns the number of hosts in the fleet that this host knows, including itself.
func (g *Gateway) HostCount() int { return g.fleet.table.Load().Count() }

// InProgress returns the number of requests that have been read and not answered.
func (g *Gateway) InProgress() int { return g.ingress.InProgress() }

// Reload applies changed settings: seeds, the limit on retries and the grace time. Addresses,
// the host name, its availability zone and its region change only with a restart, so that a
// reload does not interrupt connections.
func (g *Gateway) Reload(s *Settings) {
	g.grace.Store(int64(s.Grace))
	g.budget.SetLimit(s.requestBytes())
	g.fleet.put(&fleet.Seeds{Addresses: s.Seeds})
	if !g.relay.put(&relay.RetryPolicyChanged{Policy: s.Retry}) {
		g.log.Error().Str("event", "reload_dropped").Str("reason", "relay ring is full").Send()
		return
	}
	g.log.Info().Str("event", "settings_in_force").Strs("seeds", s.Seeds).Dur("grace", s.Grace).
		Float64("retry_ratio", s.Retry.Ratio).Float64("retry_slack", s.Retry.Slack).
		Bool("start_needed", g.settings.static() != s.static()).Send()
}

const (
	// DefaultMinDrain is how long a stopping host still accepts requests. The balancer checks
	// readiness every second and removes a host after two failed checks.
	DefaultMinDrain = 2500 * time.Millisecond
	// stopMargin is the part of the grace time that is reserved for closing the listeners and
	// stopping the duties. Before it, answerFlushTime is reserved for sending the last answers.
	stopMargin      = time.Second
	answerFlushTime = 300 * time.Millisecond
	// stopPollInterval is how often Stop checks whether requests are in progress.
	stopPollInterval = 50 * time.Millisecond
)

// Stop shuts the gateway down gracefully. The gateway stops reporting ready, serves the
// requests that still arrive and closes each connection after its next answer. It ends once
// Settings.MinDrain has passed and no request is in progress, or shortly before the grace time
// is over.
func (g *Gateway) Stop() { g.stopOnce.Do(g.stop) }

func (g *Gateway) stop() {
	begin, grace := time.Now(), time.Duration(g.grace.Load())
	g.draining.Store(true)
	g.ingress.Drain()
	g.fleet.put(&fleet.Leave{})
	answerDeadline := g.clock.Now().Mono + grace - stopMargin - answerFlushTime
	if !g.relay.put(&relay.Drain{Until: answerDeadline}) {
		g.log.Error().Str("event", "drain_dropped").Str("reason", "relay ring is full").Send()
	}
	minDrain := g.settings.MinDrain
	if !g.front.Listening() {
		minDrain = 0
	}
	for time.Since(begin) < grace-stopMargin {
		if time.Since(begin) >= minDrain && g.ingress.InProgress() == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	g.log.Info().Str("event", "gateway_stopping").Int("in_progress", g.ingress.InProgress()).
		Dur("drained_for", time.Since(begin)).Send()
	// Requests that arrive until the listener is closed have less time than those before.
	closed := g.clock.Now().Mono + httpd.CloseTimeout - answerFlushTime
	if !g.relay.put(&relay.Drain{Until: min(answerDeadline, closed)}) {
		g.log.Error().Str("event", "drain_dropped").Str("reason", "relay ring is full").Send()
	}
	g.ingress.Close()
	// The mesh stops before the duties, since a duty may be waiting for a peer's answer.
	g.fleet.mesh.Stop()
	g.duties.Stop()
	g.ready.Close()
	g.metrics.Stop()
}
