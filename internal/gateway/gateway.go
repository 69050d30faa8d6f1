// Package gateway wires one host that serves routed requests: its duties, the rings
// between them and its listeners. Decisions are in the cores; what messages look like is
// the codecs' business.
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
	"pollentack.example/pollentack/internal/edge/entry"
	"pollentack.example/pollentack/internal/edge/httpd"
	"pollentack.example/pollentack/internal/edge/trace"
	"pollentack.example/pollentack/internal/edge/upstream"
	"pollentack.example/pollentack/internal/edge/wallclock"
	"pollentack.example/pollentack/internal/wire"
)

const (
	// maxDuties bounds the threads of a host.
	maxDuties = 12
	// assumedHosts is the number of hosts that share the targets while it is not known.
	assumedHosts = 12
)

// Codec translates the messages of callers and targets.
type Codec interface {
	entry.Codec
	upstream.Codec
}

// Options are what the process gives its gateway beside the settings.
type Options struct {
	Log zerolog.Logger
	// Tracer makes a span for each hop; nil makes none.
	Tracer *trace.Tracer
	Codec  Codec
	Store  Store
	// DecodeItem turns a stored item, as a peer hands it on, into the core's form.
	DecodeItem func(key string, value []byte, revision uint64, deleted bool) discovery.Item
}

// Gateway is one running host.
type Gateway struct {
	settings *Settings
	log      zerolog.Logger
	clock    wallclock.Clock
	duties   *duty.Group
	relaying *relaying
	exchange *exchanging
	follow   *following
	fleet    *fleeting
	waiters  *await.Waiters[relay.Answer]
	client   *upstream.Client
	entry    *entry.Entry
	ready    *httpd.Server
	metrics  *admin.Admin
	latency  *latencies
	draining atomic.Bool
	// grace is Settings.Grace as it is in force.
	grace    atomic.Int64
	stopOnce sync.Once
	failed   chan error
}

// Start runs a gateway until Stop. The listener for callers opens last.
func Start(s *Settings, o Options) (*Gateway, error) {
	g := &Gateway{
		settings: s, log: o.Log, clock: wallclock.New(), latency: newLatencies(), waiters: await.New[relay.Answer](),
		failed: make(chan error, maxDuties),
	}
	if err := g.start(&o); err != nil {
		return nil, fmt.Errorf("start gateway %q: %w", s.Host, err)
	}
	g.grace.Store(int64(s.Grace))
	g.publishMetrics()
	g.log.Info().Str("event", "gateway_started").Str("front", g.entry.Address()).
		Str("ready", g.ready.Address()).Str("metrics", g.metrics.Address()).Str("store", s.Store).Send()
	return g, nil
}

func (g *Gateway) start(o *Options) error {
	var err error
	if g.duties, err = duty.NewGroup(maxDuties, g.dutyFailed); err != nil {
		return err
	}
	seed := seedOf(g.settings.Host, g.clock)
	if o.Tracer == nil {
		o.Tracer = trace.Off()
	}
	g.client = upstream.New(o.Codec, g.clock, o.Tracer)
	g.relaying = newRelaying(relay.Config{
		Host: g.settings.Host, Zone: g.settings.Zone, Region: g.settings.Region, Regions: g.settings.Regions,
		Retry: g.settings.Retry, MaxRequests: maxRequests, Hosts: assumedHosts, Seed: seed,
	}, g.clock)
	if g.exchange, err = newExchanging(g.client, g.clock, g.relaying.put); err != nil {
		return err
	}
	g.exchange.observe = g.latency.attempt
	g.relaying.sends = g.exchange.put
	g.relaying.cancel = g.client.Cancel
	g.relaying.record = g.write
	if g.fleet, err = newFleeting(g.settings, g.clock, seed, g.log); err != nil {
		return err
	}
	g.fleet.record = g.write
	g.fleet.onRoster = g.onRoster
	// One that finds the ring full is measured again with the next exchange.
	g.fleet.onWay = func(zone string, took time.Duration) { g.relaying.put(&relay.Way{Zone: zone, Took: took}) }
	g.exchange.handing = newHanding(g.clock, g.fleet.mesh, g.relaying, g.waiters, g.log, o.Tracer)
	g.follow = newFollowing(g.settings, o.Store, g.clock, seed, g.log)
	g.follow.mesh = g.fleet.mesh
	g.follow.decode = o.DecodeItem
	g.fleet.mesh.Handle(wire.CallKind_CALL_KIND_CATALOG, g.follow.catalogue.serve)
	g.follow.inForce = g.inForce
	g.follow.record = g.write
	if g.entry, err = entry.Start(g.settings.Listen.Front, o.Codec, g.waiters, g.relaying.submit, g.relaying.put, g.write, o.Tracer); err != nil {
		return err
	}
	g.relaying.deliver = g.deliver
	if g.ready, err = entry.StartReady(g.settings.Listen.Ready, o.Codec, g.isReady); err != nil {
		return err
	}
	if g.metrics, err = admin.Start(g.settings.Listen.Metrics, httpd.Limits{}, g.status, func() {}); err != nil {
		return err
	}
	duties := slices.Concat([]duty.Duty{g.exchange.duty(), g.relaying.duty()}, g.follow.duties(), g.fleet.duties())
	for _, d := range duties {
		if err = g.duties.Start(d); err != nil {
			return err
		}
	}
	return nil
}

// seedOf differs between hosts and between the starts of one.
func seedOf(host string, clk wallclock.Clock) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	return h.Sum64() ^ uint64(clk.Now().Wall)
}

// inForce hands a view to the duties that use it.
func (g *Gateway) inForce(v *catalog.View) {
	if v.Config != nil {
		g.entry.SetLimits(v.Config.Limits)
	}
	g.client.Keep(v)
	if !g.relaying.put(&relay.InForce{View: v}) {
		g.log.Error().Str("event", "view_dropped").Uint64("revision", v.Revision).Str("reason", "the relay's ring is full").Send()
	}
}

func (g *Gateway) deliver(a relay.Answer) {
	g.latency.request(a.Elapsed)
	g.waiters.Deliver(a.Key, a)
}

// onRoster hands the members that answer to the duties that use them.
func (g *Gateway) onRoster(members []fleet.Member) {
	g.follow.follow(members, g.settings.Host, g.settings.Zone)
	if !g.relaying.put(&relay.Peers{Members: members}) {
		g.log.Error().Str("event", "roster_dropped").Int("hosts", len(members)).Str("reason", "the relay's ring is full").Send()
	}
}

// isReady reports whether the balancer may send connections here.
func (g *Gateway) isReady() bool {
	v := g.follow.view.Load()
	return !g.draining.Load() && v.Config != nil && len(v.Targets) > 0
}

func (g *Gateway) dutyFailed(name string, err error) {
	g.log.Error().Str("event", "duty_panicked").Str("duty", name).Err(err).Send()
	g.failed <- err
}

// Failed yields the error of a duty that panicked; the process must then stop.
func (g *Gateway) Failed() <-chan error { return g.failed }

// FrontAddress returns where callers reach the host, ReadyAddress where the balancer does
// and MetricsAddress where operators do.
func (g *Gateway) FrontAddress() string { return g.entry.Address() }

// ReadyAddress returns where the balancer asks.
func (g *Gateway) ReadyAddress() string { return g.ready.Address() }

// MetricsAddress returns where operators reach the host.
func (g *Gateway) MetricsAddress() string { return g.metrics.Address() }

// MeshAddress returns where other hosts reach the host.
func (g *Gateway) MeshAddress() string { return g.fleet.mesh.Address() }

// Hosts returns the number of hosts that the host knows, itself included.
func (g *Gateway) Hosts() int { return g.fleet.table.Load().Count() }

// InProgress returns the number of requests that have been read and not answered.
func (g *Gateway) InProgress() int { return g.entry.InProgress() }

// Reload puts changed settings in force: seeds, the bound on retries and the grace time.
// Addresses and the host's place stay until the next start, so that a reload never
// disturbs a connection.
func (g *Gateway) Reload(s *Settings) {
	g.grace.Store(int64(s.Grace))
	g.fleet.put(&fleet.Seeds{Addresses: s.Seeds})
	if !g.relaying.put(&relay.RetryChanged{Policy: s.Retry}) {
		g.log.Error().Str("event", "reload_dropped").Str("reason", "the relay's ring is full").Send()
		return
	}
	g.log.Info().Str("event", "settings_in_force").Strs("seeds", s.Seeds).Dur("grace", s.Grace).
		Float64("retry_ratio", s.Retry.Ratio).Float64("retry_slack", s.Retry.Slack).
		Bool("start_needed", g.settings.fixed() != s.fixed()).Send()
}

const (
	// DefaultLeave is how long a stopping host still takes what comes: the balancer asks each
	// second and takes it out after two refusals.
	DefaultLeave = 2500 * time.Millisecond
	// stopMargin is kept from the grace time for the end of listeners and duties, and
	// answerTime before that for the last answers to leave.
	stopMargin = time.Second
	answerTime = 300 * time.Millisecond
	// stopPoll is the time between looks at whether requests are in progress.
	stopPoll = 50 * time.Millisecond
)

// Stop ends the gateway gracefully: it is not ready from now on, serves what still comes,
// closes each connection with its next answer and ends once nothing is in progress, or
// with the grace time.
func (g *Gateway) Stop() { g.stopOnce.Do(g.stop) }

func (g *Gateway) stop() {
	begin, grace := time.Now(), time.Duration(g.grace.Load())
	g.draining.Store(true)
	g.entry.Drain()
	g.fleet.put(&fleet.Leave{})
	until := g.clock.Now().Mono + grace - stopMargin - answerTime
	if !g.relaying.put(&relay.Drain{Until: until}) {
		g.log.Error().Str("event", "drain_dropped").Str("reason", "the relay's ring is full").Send()
	}
	for time.Since(begin) < grace-stopMargin {
		if time.Since(begin) >= g.settings.Leave && g.entry.InProgress() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	g.log.Info().Str("event", "gateway_stopping").Int("in_progress", g.entry.InProgress()).
		Dur("drained_for", time.Since(begin)).Send()
	g.entry.Close()
	// The mesh ends first: a duty may wait for a peer's answer.
	g.fleet.mesh.Stop()
	g.duties.Stop()
	g.ready.Close()
	g.metrics.Stop()
}
