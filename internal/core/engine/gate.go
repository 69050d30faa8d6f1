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
	// queueCheckInterval is the time between two checks for queued requests that can no
	// longer be answered before their deadline.
	queueCheckInterval = 10 * time.Millisecond
	// capacityMaxAge is how long the computed capacity of a service is reused.
	capacityMaxAge = 20 * time.Millisecond
	// capacityFactor is the ratio of the queries allowed in progress to the queries that
	// fit under the targets' limits at once. It exceeds 1 because the shards of a query
	// end at different times.
	capacityFactor = 1.5
	// deviationFactor is the number of mean deviations added to the mean duration to
	// estimate the required time of a query.
	deviationFactor = 4
	// averagingWindow is the window n of the moving averages: a new sample weighs 1/n.
	averagingWindow = 16
)

// criticalityShare is the share of MaxQueries that queries of each criticality may use.
var criticalityShare = [...]float64{release.Sheddable: 0.7, release.Standard: 0.85, release.Critical: 1}

// AdmissionCounters are totals of admission control, exported as metrics. No request that
// they count as refused was sent to a target.
type AdmissionCounters struct {
	Queued           uint64 `json:"queued"`
	Waiting          int    `json:"waiting"`
	RateLimited      uint64 `json:"rate_limited"`
	QueueFull        uint64 `json:"queue_full"`
	DeadlineTooShort uint64 `json:"doomed"`
}

// waiter is an admitted request with its deadline, which counts from its arrival.
type waiter struct {
	req      *query.Request
	arrived  time.Duration
	deadline time.Duration
}

// gate is the admission control: it queues requests and limits the queries in progress.
type gate struct {
	maxQueued  int
	size       int
	checkArmed bool
	hosts      int
	services   map[string]*serviceGate
	// order lists the services by decreasing criticality.
	order   []*serviceGate
	buckets map[string]*admission.Bucket
	// running holds the queries in progress by the key of their request.
	running  map[uint64]runningQuery
	counters AdmissionCounters
}

// runningQuery is the admission record of a query in progress.
type runningQuery struct {
	service *serviceGate
	started time.Duration
}

// serviceGate is the admission state of one service.
type serviceGate struct {
	name        string
	criticality release.Criticality
	queue       *admission.Queue[*waiter]
	running     int
	// meanDuration is the moving average of the time from start to answer, meanDeviation
	// that of the absolute deviation from it.
	meanDuration  time.Duration
	meanDeviation time.Duration
	capacity      int
	capacityAt    time.Duration
}

func newGate(maxQueued int) gate {
	return gate{
		maxQueued: maxQueued,
		services:  map[string]*serviceGate{},
		buckets:   map[string]*admission.Bucket{},
		running:   map[uint64]runningQuery{},
	}
}

// applyState updates the gate to the configuration in force. A withdrawn service with
// queued requests is kept until they have been refused.
func (g *gate) applyState(s *release.State, hosts int) {
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

func (g *gate) queryStarted(key uint64, service string, now time.Duration) {
	sg := g.service(service)
	sg.running++
	g.running[key] = runningQuery{service: sg, started: now}
}

// queryEnded records the end of a query. Only successful queries are samples of the
// duration.
func (g *gate) queryEnded(key uint64, code result.Code, now time.Duration) {
	r, ok := g.running[key]
	if !ok {
		return
	}
	delete(g.running, key)
	r.service.running--
	if code == result.OK {
		r.service.recordDuration(now - r.started)
	}
}

// recordDuration adds the time from start to answer of one query to the averages.
func (sg *serviceGate) recordDuration(elapsed time.Duration) {
	distance := elapsed - sg.meanDuration
	sg.meanDuration += distance / averagingWindow
	sg.meanDeviation += (max(distance, -distance) - sg.meanDeviation) / averagingWindow
}

// requiredTime estimates an upper bound of the time that a query of the service takes
// from its start.
func (sg *serviceGate) requiredTime() time.Duration {
	return sg.meanDuration + deviationFactor*sg.meanDeviation
}

// takeToken takes one token from the caller's rate limit. Each host grants an equal share
// of the published rate.
func (e *Engine) takeToken(now clock.Instant, caller *release.Caller) *result.Error {
	b, ok := e.gate.buckets[caller.Name]
	if !ok {
		b = &admission.Bucket{}
		e.gate.buckets[caller.Name] = b
	}
	if b.Take(e.pause.activeTime(now), admission.PerHostRate(caller.Rate, e.gate.hosts)) {
		return nil
	}
	e.gate.counters.RateLimited++
	return &result.Error{Code: result.RateLimited, Detail: "the caller is above its rate"}
}

// canStart reports whether the limits allow one more query of the service.
func (e *Engine) canStart(now clock.Instant, svc *release.Service, plan *query.Plan) bool {
	if e.gate.maxQueued == 0 {
		return len(e.queries) < e.cfg.MaxQueries
	}
	allowed := float64(e.cfg.MaxQueries) * criticalityShare[svc.Policy.Criticality]
	if float64(len(e.queries)) >= allowed {
		return false
	}
	sg := e.gate.service(svc.Name)
	if sg.capacity == 0 || now.Mono-sg.capacityAt >= capacityMaxAge {
		sg.capacity = int(math.Ceil(capacityFactor * float64(e.capacity(plan))))
		sg.capacityAt = now.Mono
	}
	return sg.running < sg.capacity
}

// capacity returns how many queries, at least 1, can have all their shards in progress
// under the limits of the targets. Shards without a warm replica do not count, because
// waiting does not help them.
func (e *Engine) capacity(p *query.Plan) int {
	smallest := 0
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
		if shard > 0 && (smallest == 0 || shard < smallest) {
			smallest = shard
		}
	}
	return max(1, min(smallest, total/max(1, len(p.Groups))))
}

// enqueue adds an admitted request to the queue of its service. If the queues are full,
// requests that can no longer meet their deadline are refused first, and then the newest
// request of the caller with the longest queue in the least critical service.
func (e *Engine) enqueue(now clock.Instant, caller *release.Caller, svc *release.Service, plan *query.Plan, w *waiter, fx *Effects) {
	sg := e.gate.service(svc.Name)
	if e.gate.maxQueued == 0 {
		e.refuseFull(w, fx)
		return
	}
	latestStart := w.deadline - min(sg.requiredTime(), (w.deadline-w.arrived)/2)
	sg.queue.Push(admission.Waiter[*waiter]{Caller: caller.Name, Cost: len(plan.Groups), LatestStart: latestStart, Value: w})
	e.gate.size++
	e.gate.counters.Queued++
	if e.gate.size > e.gate.maxQueued {
		e.expireQueued(now, fx)
	}
	if e.gate.size > e.gate.maxQueued {
		e.evict(fx)
	}
	e.armQueueCheck(now)
}

func (e *Engine) armQueueCheck(now clock.Instant) {
	if e.gate.checkArmed || e.gate.size == 0 {
		return
	}
	e.gate.checkArmed = true
	e.timers.arm(timer{due: now.Mono + queueCheckInterval, kind: timerQueue})
}

// evict refuses one queued request of the least critical service that has any.
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

// expireQueued refuses the queued requests that can no longer be answered in time.
func (e *Engine) expireQueued(now clock.Instant, fx *Effects) {
	for _, sg := range e.gate.order {
		late := sg.queue.Remove(func(w *admission.Waiter[*waiter]) bool { return w.LatestStart <= now.Mono })
		e.gate.size -= len(late)
		for i := range late {
			e.refuseDeadlineTooShort(late[i].Value, fx)
		}
	}
}

func (e *Engine) refuseDeadlineTooShort(w *waiter, fx *Effects) {
	e.gate.counters.DeadlineTooShort++
	e.refuse(w.req.Key, result.DeadlineTooShort, "no answer would come before the deadline", fx)
}

// removeQueued removes a request whose caller no longer waits.
func (e *Engine) removeQueued(key uint64) {
	for _, sg := range e.gate.order {
		gone := sg.queue.Remove(func(w *admission.Waiter[*waiter]) bool { return w.Value.req.Key == key })
		e.gate.size -= len(gone)
	}
}

// startQueued starts queued requests while there is capacity, in order of decreasing
// criticality of their service.
func (e *Engine) startQueued(now clock.Instant, fx *Effects) {
	if e.gate.size == 0 {
		return
	}
	for _, sg := range e.gate.order {
		e.startQueuedOf(now, sg, fx)
	}
}

func (e *Engine) startQueuedOf(now clock.Instant, sg *serviceGate, fx *Effects) {
	for sg.queue.Len() > 0 {
		svc, ok := e.state.Services[sg.name]
		if !ok {
			e.refuseAllQueued(sg, result.ServiceUnknown, "the service has been withdrawn", fx)
			return
		}
		plan := e.chooseSnapshot(now, svc, nil)
		if plan == nil {
			e.refuseAllQueued(sg, result.NoReplica, "the service has no servable snapshot", fx)
			return
		}
		if !e.canStart(now, svc, plan) {
			return
		}
		w, _ := sg.queue.Pop()
		e.gate.size--
		if w.LatestStart <= now.Mono {
			e.refuseDeadlineTooShort(w.Value, fx)
			continue
		}
		e.start(now, w.Value, svc, plan, fx)
	}
}

func (e *Engine) refuseAllQueued(sg *serviceGate, code result.Code, detail string, fx *Effects) {
	all := sg.queue.Remove(func(*admission.Waiter[*waiter]) bool { return true })
	e.gate.size -= len(all)
	for i := range all {
		e.refuse(all[i].Value.req.Key, code, detail, fx)
	}
}

// Admission returns the totals of admission control.
func (e *Engine) Admission() AdmissionCounters {
	c := e.gate.counters
	c.Waiting = e.gate.size
	return c
}
