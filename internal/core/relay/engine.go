// Package relay is the core that carries routed requests to targets: it picks a service
// and a target, hedges and retries within a budget, gathers the parts of a query over
// many shards and decides when an answer leaves.
//
// The contract: one duty owns an Engine, calls Step for each event and Advance when
// NextWake has come, and carries the effects out. The engine reads no clock and draws
// random numbers only from its seed. A request is pinned to the configuration that was in
// force when it came, so that all parts of an answer are of one version.
package relay

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/fleet"
)

// Config is what a host's settings say to its engine.
type Config struct {
	Host   string
	Zone   string
	Region string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	Retry   RetryPolicy
	// MaxRequests bounds the requests in progress.
	MaxRequests int
	// Hosts is the number of hosts that share the targets until Peers tells it.
	Hosts int
	// Seed makes the engine's choices repeatable.
	Seed uint64
}

// Counters are totals since the start, for metrics.
type Counters struct {
	Requests      uint64 `json:"requests"`
	Refused       uint64 `json:"refused"`
	Partial       uint64 `json:"partial"`
	Failed        uint64 `json:"failed"`
	CallersGone   uint64 `json:"callers_gone"`
	FirstAttempts uint64 `json:"first_attempts"`
	Hedges        uint64 `json:"hedges"`
	Retries       uint64 `json:"retries"`
	// BudgetDenied counts the hedges and retries for which the budget had no token.
	BudgetDenied uint64 `json:"budget_denied"`
	// Handoffs counts the parts of queries that were handed to peers.
	Handoffs uint64 `json:"handoffs"`
	// Outcomes counts the ends of attempts by name.
	Outcomes map[string]uint64 `json:"outcomes"`
}

// Engine is the core.
type Engine struct {
	cfg  Config
	rng  *rand.Rand
	view *catalog.View
	// hosts is the number of members, or what is assumed while there are none; hubs are
	// those that gather, gathered the services that they gather from.
	hosts    int
	members  []fleet.Member
	hubs     map[string]bool
	gathered map[string]bool
	// carriers are the hubs of other regions.
	carriers   map[string][]*peer
	peerStates map[string]*peer
	// groups are the handoffs in progress.
	groups      map[HandoffID]*group
	lastHandoff HandoffID
	zones       zoneDelays
	// drainUntil is when the last answer must have left, 0 for no shutdown.
	drainUntil time.Duration
	targets    map[string]*target
	services   map[string]*service
	routes     map[string]*routeState
	requests   map[uint64]*request
	attempts   map[AttemptID]*attempt
	timers     timerHeap
	last       AttemptID
	counters   Counters
}

// New returns an engine that refuses everything until a view is in force.
func New(cfg Config) *Engine {
	return &Engine{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 2)),
		view:     catalog.NewView(),
		hosts:    max(1, cfg.Hosts),
		targets:  map[string]*target{},
		services: map[string]*service{},
		routes:   map[string]*routeState{},
		requests: map[uint64]*request{},
		attempts: map[AttemptID]*attempt{},
		groups:   map[HandoffID]*group{},
		zones:    zoneDelays{own: cfg.Zone, floors: map[string]time.Duration{}, ways: map[string]time.Duration{}},
		counters: Counters{Outcomes: map[string]uint64{}},
	}
}

// Step handles one event.
func (e *Engine) Step(now clock.Instant, ev Event, fx *Effects) {
	switch ev := ev.(type) {
	case *Submit:
		e.submit(now, ev.Request, fx)
	case *Reply:
		e.reply(now, ev, fx)
	case *CallerGone:
		e.callerGone(now, ev.Key, fx)
	case *InForce:
		e.inForce(now, ev.View)
	case *Peers:
		e.setPeers(ev.Members, fx)
	case *Drain:
		e.drain(now, ev.Until)
	case *Way:
		e.zones.heardFrom(ev.Zone, ev.Took)
	case *RetryChanged:
		e.cfg.Retry = ev.Policy
		e.share()
	case *HandoffEnded:
		e.handoffEnded(now, ev, fx)
	}
}

// Advance does what is due at now.
func (e *Engine) Advance(now clock.Instant, fx *Effects) {
	for {
		r, ok := e.timers.popDue(now.Mono)
		if !ok {
			return
		}
		if r.ended || r.wakeAt > now.Mono {
			continue
		}
		e.look(now, r, fx)
	}
}

// NextWake returns when Advance must next be called, and false for never.
func (e *Engine) NextWake() (time.Duration, bool) {
	if len(e.timers) == 0 {
		return 0, false
	}
	return e.timers[0].due, true
}

// InProgress returns the number of requests in progress.
func (e *Engine) InProgress() int { return len(e.requests) }

// Counters returns the totals since the start.
func (e *Engine) Counters() Counters {
	c := e.counters
	c.Outcomes = make(map[string]uint64, len(e.counters.Outcomes))
	for name, n := range e.counters.Outcomes {
		c.Outcomes[name] = n
	}
	return c
}

// drain bounds the deadline of each request in progress, and of those to come.
func (e *Engine) drain(now clock.Instant, until time.Duration) {
	e.drainUntil = until
	for _, key := range slices.Sorted(maps.Keys(e.requests)) {
		r := e.requests[key]
		if r.deadline > until {
			r.deadline = until
			e.arm(r, max(until, now.Mono))
		}
	}
}

// inForce brings targets and services in line with the view. What is known of a target
// stays while its instance stays.
func (e *Engine) inForce(now clock.Instant, v *catalog.View) {
	e.view = v
	for name, t := range e.targets {
		if spec := v.Targets[name]; spec == nil || !sameStart(spec, t.spec) {
			t.gone = true
			delete(e.targets, name)
		}
	}
	for name, spec := range v.Targets {
		e.applyTarget(now, name, spec)
	}
	if v.Config != nil {
		e.dropRoutes(v.Config)
	}
	e.regroup()
	e.share()
}

// sameStart reports whether two descriptions are of one start of a target.
func sameStart(a, b *catalog.Target) bool {
	return a.Born == b.Born && a.Address == b.Address && a.Zone == b.Zone && a.Service == b.Service
}

func (e *Engine) applyTarget(now clock.Instant, name string, spec *catalog.Target) {
	t := e.targets[name]
	if t == nil {
		region := e.cfg.Regions[spec.Zone]
		t = &target{spec: &catalog.Target{}, region: region, distance: e.distanceTo(spec.Zone, region)}
		e.targets[name] = t
	}
	if spec.Revision != t.spec.Revision && spec.ColdFor > 0 {
		t.coldUntil = now.Mono + spec.ColdFor
		t.coldAt = now.Mono
	}
	t.spec = spec
}

func (e *Engine) distanceTo(zone, region string) distance {
	switch {
	case zone == e.cfg.Zone:
		return sameZone
	case region == e.cfg.Region:
		return sameRegion
	}
	return otherRegion
}

// dropRoutes forgets what was learned of routes that are no longer published.
func (e *Engine) dropRoutes(c *catalog.Config) {
	published := make(map[string]bool, len(c.Routes))
	for _, r := range c.Routes {
		published[r.Name] = true
	}
	for name := range e.routes {
		if !published[name] {
			delete(e.routes, name)
		}
	}
}

// regroup lists the targets by service, in the order of their names.
func (e *Engine) regroup() {
	for _, s := range e.services {
		s.targets = s.targets[:0]
		s.spec = nil
	}
	for _, name := range sortedKeys(e.targets) {
		t := e.targets[name]
		s := e.serviceOf(t.spec.Service)
		s.targets = append(s.targets, t)
	}
	if e.view.Config == nil {
		return
	}
	for name, spec := range e.view.Config.Services {
		e.serviceOf(name).spec = spec
	}
	for name, s := range e.services {
		if s.spec == nil && len(s.targets) == 0 && len(s.waiting) == 0 {
			delete(e.services, name)
		}
	}
}

func (e *Engine) serviceOf(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{name: name}
		s.budget.configure(e.retrySlack(name))
		e.services[name] = s
	}
	return s
}

func (e *Engine) routeOf(name string) *routeState {
	s := e.routes[name]
	if s == nil {
		s = &routeState{}
		e.routes[name] = s
	}
	return s
}

// share gives each target and service this host's part of what all hosts share.
func (e *Engine) share() {
	e.assignHubs()
	for name, s := range e.services {
		s.budget.configure(e.retrySlack(name))
		limit := 0
		if s.spec != nil {
			limit = s.spec.MaxConnections
		}
		for _, t := range s.targets {
			t.quota = connectionQuota(limit, e.sharers(name, t.region))
		}
	}
}

// unlimitedQuota is this host's part of a target without a published limit.
const unlimitedQuota = 256

func connectionQuota(limit, hosts int) int {
	if limit <= 0 {
		return unlimitedQuota
	}
	return max(1, int(quotaShare*float64(limit))/max(1, hosts))
}
