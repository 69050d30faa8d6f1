// Package relay decides how routed requests are sent to targets: it selects a service and a
// target, hedges and retries within a budget, gathers the parts of a query over many shards
// and decides when to answer the caller.
//
// An Engine is owned by one thread, which calls Step for each event and Advance at the time
// returned by NextWake, and carries out the effects. The engine reads no clock, and its
// random numbers depend only on the seed. A request keeps the configuration that was in
// force when it arrived, so that all parts of an answer belong to one version.
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

// Config holds the settings of an engine.
type Config struct {
	Host   string
	Zone   string
	Region string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	Retry   RetryPolicy
	// Cold bounds the requests to cold targets.
	Cold ColdPolicy
	// MaxRequests is the maximum number of requests in progress.
	MaxRequests int
	// InitialHosts is the assumed number of hosts that share the targets until the first
	// MembersChanged event.
	InitialHosts int
	// Seed initializes the random number generator, so that runs can be repeated.
	Seed uint64
	// FirstID is below the IDs of all attempts, handoffs and checks, so that they differ from those of
	// an engine that this one replaces.
	FirstID uint64
}

// Counters holds totals since the start of the process, for metrics.
type Counters struct {
	Requests      uint64 `json:"requests"`
	Refused       uint64 `json:"refused"`
	Partial       uint64 `json:"partial"`
	Failed        uint64 `json:"failed"`
	CallersGone   uint64 `json:"callers_gone"`
	FirstAttempts uint64 `json:"first_attempts"`
	Hedges        uint64 `json:"hedges"`
	Retries       uint64 `json:"retries"`
	// BudgetDenied counts the hedges and retries that were not sent because the retry budget
	// was exhausted.
	BudgetDenied uint64 `json:"budget_denied"`
	// Crashes counts the targets that crashed under a request that none had answered.
	Crashes uint64 `json:"crashes"`
	// OverLimit counts the requests that were refused because the limits of targets left no
	// room.
	OverLimit uint64 `json:"over_limit"`
	// CutOffs counts how often this host was cut off from all targets.
	CutOffs uint64 `json:"cut_offs"`
	// Handoffs counts the handoffs to peers.
	Handoffs uint64 `json:"handoffs"`
	// Outcomes counts the ended attempts by the name of their outcome.
	Outcomes map[string]uint64 `json:"outcomes"`
}

// Engine is the state machine that relays requests.
type Engine struct {
	cfg  Config
	rng  *rand.Rand
	view *catalog.View
	// hosts is the number of members, or Config.InitialHosts until they are known. hubs are the
	// members that gather, gatheredServices the services that they gather from.
	hosts   int
	members []fleet.Member
	// mostHosts is the largest number of members so far.
	mostHosts int
	hubs      map[string]bool
	// slackFrom is when this host begins to use its share of the retry slack, 0 before the first
	// view.
	slackFrom time.Duration
	// hubsKnown states that the hubs are those of the members, for the connection limit hubLimit.
	hubsKnown bool
	hubLimit  int
	// hubsInRegion counts the hubs of each region.
	hubsInRegion     map[string]int
	gatheredServices map[string]bool
	partitions       map[partitionKey]*partition
	// divided holds the services of the routes that are divided among the hubs of a region.
	divided map[partitionKey][]string
	// linksWanted are the peers to which links should be made.
	linksWanted []string
	// owned holds the services of divided queries; the value states whether this host gathers
	// them for its region.
	owned map[string]bool
	// remoteHubs lists the hubs of each other region.
	remoteHubs map[string][]*peer
	peers      map[string]*peer
	// handoffs are the handoffs in progress.
	handoffs      map[HandoffID]*handoff
	lastHandoffID HandoffID
	zones         zoneLatency
	probes        map[string]*zoneProbes
	lag           hostLag
	// drainUntil is the deadline of a graceful shutdown, 0 if none is in progress.
	drainUntil    time.Duration
	targets       map[string]*target
	services      map[string]*service
	routes        map[string]*routeState
	requests      map[uint64]*request
	attempts      map[AttemptID]*attempt
	timers        timerHeap
	lastAttemptID AttemptID
	crash         crashWatch
	warmth        warmthWatch
	reach         reach
	// restricted holds the targets that name a limit, want a pause or are cold. limitTurn numbers
	// the turn of the hosts that share small limits.
	restricted map[*target]bool
	limitTurn  int64
	counters   Counters
}

// New returns an engine that refuses all requests until it receives a configuration.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 2)),
		view:     catalog.NewView(),
		hosts:    max(1, cfg.InitialHosts),
		targets:  map[string]*target{},
		warmth:   warmthWatch{checks: map[CheckID]*target{}},
		services: map[string]*service{},
		routes:   map[string]*routeState{},
		requests: map[uint64]*request{},
		attempts: map[AttemptID]*attempt{},
		handoffs: map[HandoffID]*handoff{}, partitions: map[partitionKey]*partition{},
		probes:     map[string]*zoneProbes{},
		crash:      newCrashWatch(),
		reach:      newReach(cfg.Seed),
		restricted: map[*target]bool{},
		zones:      zoneLatency{own: cfg.Zone, minLatency: map[string]time.Duration{}, minRTT: map[string]time.Duration{}},
		counters:   Counters{Outcomes: map[string]uint64{}},
	}
	e.lastAttemptID, e.lastHandoffID, e.crash.lastCheckID = AttemptID(cfg.FirstID), HandoffID(cfg.FirstID), CheckID(cfg.FirstID)
	return e
}

// Step handles one event.
func (e *Engine) Step(now clock.Instant, ev Event, fx *Effects) {
	switch ev := ev.(type) {
	case *Submit:
		e.submit(now, ev.Request, fx)
	case *AttemptEnded:
		e.attemptEnded(now, ev, fx)
	case *CallerGone:
		e.callerGone(now, ev.Key, fx)
	case *ViewChanged:
		e.applyView(now, ev.View)
	case *MembersChanged:
		e.setPeers(now, ev.Members, fx)
	case *Drain:
		e.drain(now, ev.Until)
	case *AnswerWritten:
		e.lag.observeWrite(ev.Lag)
	case *RTTMeasured:
		e.zones.observeRTT(ev.Zone, ev.RTT)
	case *RetryPolicyChanged:
		e.cfg.Retry = ev.Policy
		e.updateShares(now)
	case *HandoffEnded:
		e.handoffEnded(now, ev, fx)
	case *TargetChecked:
		e.targetChecked(now, ev, fx)
	case *FactsReceived:
		e.factsReceived(now, ev, fx)
	case *StoreContact:
		e.storeContact(now, ev, fx)
	case *ColdTold:
		e.coldTold(now, ev)
	}
	fx.Links = append(fx.Links, e.linksWanted...)
	e.linksWanted = e.linksWanted[:0]
}

// Advance polls the requests whose timers are due, and tells peers what they should know.
func (e *Engine) Advance(now clock.Instant, fx *Effects) {
	e.tellPeers(now, fx)
	e.probeReach(now, fx)
	e.askWarmth(now, fx)
	for {
		r, ok := e.timers.popDue(now.Mono)
		if !ok {
			return
		}
		if r.ended || r.wakeAt > now.Mono {
			continue
		}
		e.lag.observeTimer(now.Mono - r.wakeAt)
		e.poll(now, r, fx)
	}
}

// NextWake returns the monotonic time at which Advance must next be called, and false if no
// timer is set.
func (e *Engine) NextWake() (time.Duration, bool) {
	due, ok := e.tellWake()
	// Requests in progress are polled, which begins the checks too.
	if probe, probes := e.probeDue(); probes && (e.reach.cutOff || len(e.requests) == 0) && (!ok || probe < due) {
		due, ok = probe, true
	}
	if ask, asks := e.warmthWake(); asks && (!ok || ask < due) {
		due, ok = ask, true
	}
	if len(e.timers) > 0 && (!ok || e.timers[0].due < due) {
		return e.timers[0].due, true
	}
	return due, ok
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

// drain limits the deadlines of all current and future requests to until.
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

// applyView updates targets and services to the view. The state of a target is kept as long
// as its incarnation is the same.
func (e *Engine) applyView(now clock.Instant, v *catalog.View) {
	e.view = v
	for name, t := range e.targets {
		if spec := v.Targets[name]; spec == nil || !sameIncarnation(spec, t.spec) {
			t.removed = true
			delete(e.targets, name)
		}
	}
	for name, spec := range v.Targets {
		e.applyTarget(now, name, spec)
	}
	if v.Config != nil {
		e.dropUnpublishedRoutes(v.Config)
	}
	e.groupTargets()
	if e.slackFrom == 0 {
		e.slackFrom = now.Mono + fleetSettleTime
	}
	e.updateShares(now)
}

// sameIncarnation reports whether two descriptions refer to the same start of a target.
func sameIncarnation(a, b *catalog.Target) bool {
	return a.StartTime == b.StartTime && a.Address == b.Address && a.Zone == b.Zone && a.Service == b.Service
}

func (e *Engine) applyTarget(now clock.Instant, name string, spec *catalog.Target) {
	t := e.targets[name]
	if t == nil {
		region := e.cfg.Regions[spec.Zone]
		t = &target{spec: &catalog.Target{}, region: region, distance: e.distanceTo(spec.Zone, region)}
		e.targets[name] = t
	}
	if spec != t.spec && spec.ColdRemaining > 0 {
		t.extendCold(now.Mono, spec.ColdRemaining)
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

// dropUnpublishedRoutes deletes the state of routes that are no longer in the configuration.
func (e *Engine) dropUnpublishedRoutes(c *catalog.Config) {
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

// groupTargets groups the targets by service, sorted by name, and deletes unused services.
func (e *Engine) groupTargets() {
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

// updateShares recalculates the hubs and this host's shares of the retry budget of each
// service and of the connections of each target.
func (e *Engine) updateShares(now clock.Instant) {
	e.assignHubs()
	e.assignOwners()
	for name, s := range e.services {
		s.budget.configure(now.Mono, e.retrySlack(name), e.cfg.Retry.Window, e.slackFrom)
		limit := 0
		if s.spec != nil {
			limit = s.spec.MaxConnections
		}
		for _, t := range s.targets {
			t.quota = connectionQuota(limit, e.connectingHosts(name, t.region))
			if s.limitsCold(now.Mono, t) {
				e.restricted[t] = true
			}
		}
	}
	e.updateLimitShares(now)
	e.assignWarmth(now)
}

// defaultConnectionQuota is the quota for a target of a service without a connection limit.
const defaultConnectionQuota = 256

// connectionQuota returns the number of connections that each of the hosts may have to a
// target with the given limit.
func connectionQuota(limit, hosts int) int {
	if limit <= 0 {
		return defaultConnectionQuota
	}
	return max(1, int(quotaShare*float64(limit))/max(1, hosts))
}
