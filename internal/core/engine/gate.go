package engine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/admission"
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

const (
	// queueSweep is the time between two looks for doomed waiters: those that cannot end before their deadline.
	queueSweep = 10 * time.Millisecond
	// capacityAge is how long a service's capacity is used before it is worked out again.
	capacityAge = 20 * time.Millisecond
	// capacityFactor is how many queries may be in progress for each that the targets'
	// limits allow at once: shards of a query end at different times.
	capacityFactor = 1.5
	// spreadFactor is how many times the usual spread a late query may take longer.
	spreadFactor = 4
	// usualWeight is the share of a new sample in a service's usual duration, as 1/n.
	usualWeight = 16
)

// criticalityShare is the part of MaxQueries that each criticality may fill.
var criticalityShare = [...]float64{release.Sheddable: 0.7, release.Standard: 0.85, release.Critical: 1}

// AdmissionCounters are totals of the gate, for metrics. Every refusal that they count
// was sent to no target.
type AdmissionCounters struct {
	Queued      uint64 `json:"queued"`
	Waiting     int    `json:"waiting"`
	RateLimited uint64 `json:"rate_limited"`
	QueueFull   uint64 `json:"queue_full"`
	Doomed      uint64 `json:"doomed"`
}

// waiter is one admitted request and its deadline, which counts from its arrival.
type waiter struct {
	req      *query.Request
	arrived  time.Duration
	deadline time.Duration
}

// gate holds the requests that wait in front of the queries in progress.
type gate struct {
	bound    int
	size     int
	sweeping bool
	hosts    int
	services map[string]*serviceGate
	// order lists the services, the most critical first.
	order   []*serviceGate
	buckets map[string]*admission.Bucket
	// running holds the queries in progress by their request's key.
	running  map[uint64]run
	counters AdmissionCounters
}

// run is one query in progress, as the gate sees it.
type run struct {
	service *serviceGate
	begin   time.Duration
}

// serviceGate is the gate's part for one service.
type serviceGate struct {
	name        string
	criticality release.Criticality
	queue       *admission.Queue[*waiter]
	running     int
	// usual is the moving average of the time from start to answer, and spread that of
	// the distance from it.
	usual      time.Duration
	spread     time.Duration
	capacity   int
	capacityAt time.Duration
}

func newGate(bound int) gate {
	return gate{
		bound:    bound,
		services: map[string]*serviceGate{},
		buckets:  map[string]*admission.Bucket{},
		running:  map[uint64]run{},
	}
}

// release brings the gate in line with the state. A withdrawn service that still has
// waiters stays until they are refused.
func (g *gate) release(s *release.State, hosts int) {
	g.hosts = hosts
	for name, sg := range g.services {
		if _, ok := s.Services[name]; !ok && sg.queue.Len() == 0 {
			delete(g.services, name)
		}
	}
	for name, svc := range s.Services {
		sg := g.service(name)
		sg.criticality = svc.Policy.Criticality
		sg.capacity = 0
	}
	callers := make(map[string]bool, len(s.Callers))
	for name := range s.Callers {
		callers[name] = true
	}
	maps.DeleteFunc(g.buckets, func(name string, _ *admission.Bucket) bool { return !callers[name] })
	g.order = slices.SortedFunc(maps.Values(g.services), moreCriticalFirst)
}

func moreCriticalFirst(a, b *serviceGate) int {
	if a.criticality != b.criticality {
		return cmp.Compare(b.criticality, a.criticality)
	}
	return cmp.Compare(a.name, b.name)
}

func (g *gate) service(name string) *serviceGate {
	sg, ok := g.services[name]
	if !ok {
		sg = &serviceGate{name: name, queue: admission.NewQueue[*waiter]()}
		g.services[name] = sg
	}
	return sg
}

func (g *gate) waitingFor(service string) int { return g.service(service).queue.Len() }

func (g *gate) started(key uint64, service string, now time.Duration) {
	sg := g.service(service)
	sg.running++
	g.running[key] = run{service: sg, begin: now}
}

// ended takes the end of a query; only whole answers tell how long one takes.
func (g *gate) ended(key uint64, code result.Code, now time.Duration) {
	r, ok := g.running[key]
	if !ok {
		return
	}
	delete(g.running, key)
	r.service.running--
	if code == result.OK {
		r.service.observe(now - r.begin)
	}
}

// observe takes the time from start to answer of one query.
func (sg *serviceGate) observe(elapsed time.Duration) {
	distance := elapsed - sg.usual
	sg.usual += distance / usualWeight
	sg.spread += (max(distance, -distance) - sg.spread) / usualWeight
}

// needed is the time that nearly every query of the service takes from its start.
func (sg *serviceGate) needed() time.Duration { return sg.usual + spreadFactor*sg.spread }

// takeToken charges the caller's share of its published rate.
func (e *Engine) takeToken(now clock.Instant, caller *release.Caller) *result.Error {
	b, ok := e.gate.buckets[caller.Name]
	if !ok {
		b = &admission.Bucket{}
		e.gate.buckets[caller.Name] = b
	}
	if b.Take(e.pause.credited(now), admission.Share(caller.Rate, e.gate.hosts)) {
		return nil
	}
	e.gate.counters.RateLimited++
	return &result.Error{Code: result.RateLimited, Detail: "the caller is above its rate"}
}

// mayStart reports whether one more query of the service may be in progress.
func (e *Engine) mayStart(now clock.Instant, svc *release.Service, plan *query.Plan) bool {
	if e.gate.bound == 0 {
		return len(e.queries) < e.cfg.MaxQueries
	}
	allowed := float64(e.cfg.MaxQueries) * criticalityShare[svc.Policy.Criticality]
	if float64(len(e.queries)) >= allowed {
		return false
	}
	sg := e.gate.service(svc.Name)
	if sg.capacity == 0 || now.Mono-sg.capacityAt >= capacityAge {
		sg.capacity = int(math.Ceil(capacityFactor * float64(e.capacity(plan))))
		sg.capacityAt = now.Mono
	}
	return sg.running < sg.capacity
}

// capacity is the number of queries whose every shard fits under the targets' limits at
// once, at least 1. Shards with no warm replica do not count: waiting does not help them.
func (e *Engine) capacity(p *query.Plan) int {
	least := 0
	total := 0
	seen := map[target.ID]bool{}
	for i := range p.Groups {
		shard := 0
		for _, id := range p.Groups[i].Replicas {
			limit := e.targets.WarmLimit(id)
			shard += limit
			if !seen[id] {
				seen[id] = true
				total += limit
			}
		}
		if shard > 0 && (least == 0 || shard < least) {
			least = shard
		}
	}
	return max(1, min(least, total/max(1, len(p.Groups))))
}

// enqueue lets an admitted request wait. With the queue full, what is doomed goes
// first, then the newest of the least critical service's longest caller.
func (e *Engine) enqueue(now clock.Instant, caller *release.Caller, svc *release.Service, plan *query.Plan, w *waiter, fx *Effects) {
	sg := e.gate.service(svc.Name)
	if e.gate.bound == 0 {
		e.refuseFull(w, fx)
		return
	}
	hopeless := w.deadline - min(sg.needed(), (w.deadline-w.arrived)/2)
	sg.queue.Push(admission.Waiter[*waiter]{Caller: caller.Name, Cost: len(plan.Groups), Hopeless: hopeless, Value: w})
	e.gate.size++
	e.gate.counters.Queued++
	if e.gate.size > e.gate.bound {
		e.expireQueued(now, fx)
	}
	if e.gate.size > e.gate.bound {
		e.evict(fx)
	}
	e.armQueueSweep(now)
}

func (e *Engine) armQueueSweep(now clock.Instant) {
	if e.gate.sweeping || e.gate.size == 0 {
		return
	}
	e.gate.sweeping = true
	e.timers.arm(timer{due: now.Mono + queueSweep, kind: timerQueue})
}

// evict refuses one waiter of the least critical service that has any.
func (e *Engine) evict(fx *Effects) {
	for _, sg := range slices.Backward(e.gate.order) {
		if w, ok := sg.queue.Evict(); ok {
			e.gate.size--
			e.refuseFull(w.Value, fx)
			return
		}
	}
}

func (e *Engine) refuseFull(w *waiter, fx *Effects) {
	e.gate.counters.QueueFull++
	e.refuse(w.req.Key, result.QueueFull, "the admission queue is full", fx)
}

// expireQueued refuses the waiters that cannot be answered in time any more.
func (e *Engine) expireQueued(now clock.Instant, fx *Effects) {
	for _, sg := range e.gate.order {
		late := sg.queue.Remove(func(w *admission.Waiter[*waiter]) bool { return w.Hopeless <= now.Mono })
		e.gate.size -= len(late)
		for i := range late {
			e.refuseDoomed(late[i].Value, fx)
		}
	}
}

func (e *Engine) refuseDoomed(w *waiter, fx *Effects) {
	e.gate.counters.Doomed++
	e.refuse(w.req.Key, result.DeadlineTooShort, "no answer would come before the deadline", fx)
}

// dropQueued forgets a waiter whose caller no longer waits.
func (e *Engine) dropQueued(key uint64) {
	for _, sg := range e.gate.order {
		gone := sg.queue.Remove(func(w *admission.Waiter[*waiter]) bool { return w.Value.req.Key == key })
		e.gate.size -= len(gone)
	}
}

// drainGate starts waiters while there is capacity, the most critical service first.
func (e *Engine) drainGate(now clock.Instant, fx *Effects) {
	if e.gate.size == 0 {
		return
	}
	for _, sg := range e.gate.order {
		e.drainService(now, sg, fx)
	}
}

func (e *Engine) drainService(now clock.Instant, sg *serviceGate, fx *Effects) {
	for sg.queue.Len() > 0 {
		svc, ok := e.state.Services[sg.name]
		if !ok {
			e.refuseWaiters(sg, result.ServiceUnknown, "the service has been withdrawn", fx)
			return
		}
		plan := e.chooseSnapshot(now, svc, nil)
		if plan == nil {
			e.refuseWaiters(sg, result.NoReplica, "the service has no servable snapshot", fx)
			return
		}
		if !e.mayStart(now, svc, plan) {
			return
		}
		w, _ := sg.queue.Pop()
		e.gate.size--
		if w.Hopeless <= now.Mono {
			e.refuseDoomed(w.Value, fx)
			continue
		}
		e.start(now, w.Value, svc, plan, fx)
	}
}

func (e *Engine) refuseWaiters(sg *serviceGate, code result.Code, detail string, fx *Effects) {
	all := sg.queue.Remove(func(*admission.Waiter[*waiter]) bool { return true })
	e.gate.size -= len(all)
	for i := range all {
		e.refuse(all[i].Value.req.Key, code, detail, fx)
	}
}

// Admission returns the totals of the gate.
func (e *Engine) Admission() AdmissionCounters {
	c := e.gate.counters
	c.Waiting = e.gate.size
	return c
}
