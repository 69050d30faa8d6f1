package relay

import (
	"maps"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
)

const (
	// maxDeclinedResends is the number of sends of a shard allowed in addition to the
	// maximum number of attempts, to replace attempts that did not run.
	maxDeclinedResends = 3
	// minLateAfter is the minimum time after which an attempt counts as late. Shorter delays
	// are dominated by the scheduling of the process.
	minLateAfter = 5 * time.Millisecond
	// An attempt counts as late after objective/initialLateDivisor until the route's latency
	// is known.
	initialLateDivisor = 3
	// A request has at most minHedges + shards/hedgeDivisor hedges. If more than half of the
	// shards are late, the cause is this host or its network, and more load would not help.
	hedgeDivisor = 2
	minHedges    = 2
	// A hedge is sent no earlier than hedgeHeadroom times the late threshold of the
	// alternative target before the cutoff.
	hedgeHeadroom = 1.25
	// waitPollInterval is the interval between polls of a shard that waits for a target.
	waitPollInterval = 10 * time.Millisecond
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// dispatchResult is the result of dispatching a shard.
type dispatchResult int

const (
	dispatched dispatchResult = iota
	// noCapacity means that all eligible targets are at their connection quota, at their cold
	// rate limit or in backoff.
	noCapacity
	// noTarget means that the shard has no eligible target.
	noTarget
	// notAllowed means that the attempts, the time or the retry budget are used up, or that
	// only a hub may send the request.
	notAllowed
)

// mayDispatch reports whether the attempt limits allow another attempt at the shard.
func (r *request) mayDispatch(sh *shard) bool {
	if sh.ran > 0 && !r.route.Idempotent || sh.sends > 0 && r.isDirect() {
		return false
	}
	return sh.ran < max(1, r.route.MaxAttempts) && sh.sends < max(1, r.route.MaxAttempts)+maxDeclinedResends
}

// dispatch sends the shard to the best target with capacity, if another attempt is allowed
// and worthwhile.
func (e *Engine) dispatch(now clock.Instant, r *request, i int, hedge bool, fx *Effects) dispatchResult {
	sh := &r.shards[i]
	if !r.mayDispatch(sh) || now.Mono >= r.deadline || e.mustDelegate(r) {
		return notAllowed
	}
	t, eligible := e.chooseTarget(now, sh.service, r, sh)
	if t == nil && !eligible {
		return noTarget
	}
	if t == nil || e.backsOff(now, t) {
		return noCapacity
	}
	extra := sh.delivered > 0
	if (hedge || extra) && !e.canFinishInTime(now, r, sh, t) {
		return notAllowed
	}
	if extra && !r.isDirect() && !sh.service.budget.tryWithdraw(now.Mono) {
		e.counters.BudgetDenied++
		return notAllowed
	}
	e.send(now, r, i, t, extra, hedge, fx)
	return dispatched
}

// canFinishInTime reports whether another attempt at t is expected to end in time to be
// useful: by the cutoff if the coverage suffices, otherwise by the deadline. It is false for
// a target in backoff, and for a hedge to a stalled target.
func (e *Engine) canFinishInTime(now clock.Instant, r *request, sh *shard, t *target) bool {
	if e.backsOff(now, t) || len(sh.open) > 0 && !e.reach.cutOff && t.stalled(now.Mono) {
		return false
	}
	end := now.Mono + e.expectedLatency(now.Mono, sh.service, t)
	if r.isGather() && r.hasMinCoverage() {
		return end < r.cutoff
	}
	return end < r.deadline
}

// send starts an attempt at t for shard i.
func (e *Engine) send(now clock.Instant, r *request, i int, t *target, extra, hedge bool, fx *Effects) {
	sh := &r.shards[i]
	e.lastAttemptID++
	a := &attempt{
		id: e.lastAttemptID, request: r, shard: i, target: t, sent: now.Mono,
		lateAfter: e.lateAfter(r, t), extra: extra, hedge: hedge,
		probe: t.consecutiveFailures > 0, alone: r.runsAlone(),
	}
	if a.probe {
		e.probesOf(t.spec.Zone).open++
	}
	e.attempts[a.id] = a
	t.open = append(t.open, a)
	t.allowCold(now.Mono, sh.service, true)
	sh.open = append(sh.open, a)
	sh.tried = append(sh.tried, t)
	sh.sends++
	sh.ran++
	sh.delivered++
	sh.waiting = false
	r.open++
	e.countAttempt(r, sh, a)
	send := Send{Attempt: a.id, Target: t.spec, Request: r.Request, Deadline: r.deadline}
	if p := e.forwarder(now, r, t); p != nil {
		a.via = p
		p.forwarded++
		send.Via = p.Host
		send.Gather = e.forwardedGather(now, r, sh, p)
	} else {
		t.limit.take(now.Mono)
	}
	fx.Sends = append(fx.Sends, send)
	if sh.sends > 1 {
		event := "retry"
		if hedge {
			event = "hedge"
		}
		fx.Records = append(fx.Records, decision.New(event,
			decision.String("request", r.ID), decision.String("route", r.route.Name), decision.Int("shard", i),
			decision.String("target", t.spec.Instance), decision.Uint("entry_revision", t.spec.Revision), decision.String("via", send.Via),
			decision.Millis("age", now.Mono-r.started), decision.Millis("late_after", a.lateAfter),
			decision.Int("attempt", sh.sends), decision.Int("tokens_left", int(sh.service.budget.tokens))))
	}
}

// countAttempt updates the counters and makes the retry budget deposit of a first attempt.
func (e *Engine) countAttempt(r *request, sh *shard, a *attempt) {
	switch {
	case !a.extra:
		e.counters.FirstAttempts++
		if !r.isDirect() {
			sh.service.budget.deposit(e.cfg.Retry, r.depositShare())
		}
	case a.hedge:
		e.counters.Hedges++
		r.hedges++
	default:
		e.counters.Retries++
		r.retries++
	}
}

// lateAfter returns the time after which an attempt at t counts as late.
func (e *Engine) lateAfter(r *request, t *target) time.Duration {
	if late, ok := e.routeOf(r.route.Name).latency.LateThreshold(); ok {
		return max(late, minLateAfter) + e.zones.delayTo(t)
	}
	return max(r.route.LatencyObjective/initialLateDivisor, minLateAfter)
}

// hedgeAt returns the time to hedge an attempt: when it counts as late, but no earlier than
// a hedge must be sent to return by the cutoff. An earlier answer has no benefit, and most
// late attempts finish without a hedge.
func (e *Engine) hedgeAt(now clock.Instant, r *request, sh *shard, a *attempt) time.Duration {
	late := a.sent + a.lateAfter
	alternative, _ := e.chooseTarget(now, sh.service, r, sh)
	if alternative == nil || late >= r.cutoff {
		return late
	}
	return max(late, r.cutoff-time.Duration(hedgeHeadroom*float64(e.lateAfter(r, alternative))))
}

// poll processes a request: it dispatches shards without an attempt, hedges late attempts
// and completes the request if possible. Otherwise it sets the timer for the next poll.
func (e *Engine) poll(now clock.Instant, r *request, fx *Effects) {
	next := r.deadline
	if r.isGather() && now.Mono < r.cutoff {
		next = min(next, r.cutoff)
	}
	if r.neverRan() {
		next = min(next, max(r.dispatchBy, now.Mono))
	}
	viable, possible := false, r.done
	for i := range r.shards {
		sh := &r.shards[i]
		if sh.done {
			continue
		}
		due, pending := e.pollShard(now, r, i, fx)
		viable = viable || pending
		if pending {
			next = min(next, due)
			possible++
		}
	}
	// A query that can no longer reach its coverage fails at once, so that its caller may still
	// try again.
	viable = viable && !(r.isGather() && float64(possible) < r.route.MinCoverage*float64(len(r.shards)))
	if e.tryComplete(now, r, viable, fx) {
		return
	}
	e.arm(r, max(next, now.Mono+time.Millisecond))
}

func (e *Engine) arm(r *request, due time.Duration) {
	r.wakeAt = due
	e.timers.arm(due, r)
}

// pollShard processes one shard and returns when to poll it again. pending reports whether
// a part may still arrive.
func (e *Engine) pollShard(now clock.Instant, r *request, i int, fx *Effects) (due time.Duration, pending bool) {
	sh := &r.shards[i]
	if sh.handoff != nil {
		return e.pollHandoff(now, r, sh.handoff, fx), true
	}
	switch e.holdOf(now, r, i) {
	case heldForGood:
		return r.deadline, len(sh.open) > 0
	case heldForNow:
		return e.heldUntil(now, r), true
	}
	if len(sh.open) == 0 {
		return e.pollIdleShard(now, r, i, fx)
	}
	return e.pollOpenShard(now, r, i, fx)
}

// pollOpenShard is pollShard for a shard with an attempt in progress.
func (e *Engine) pollOpenShard(now clock.Instant, r *request, i int, fx *Effects) (due time.Duration, pending bool) {
	sh := &r.shards[i]
	newest := sh.open[len(sh.open)-1]
	if now.Mono >= newest.sent+newest.lateAfter {
		e.observeSilence(newest)
	}
	if !r.route.Idempotent || r.isDirect() || r.runsAlone() || !r.mayDispatch(sh) || r.hedges >= minHedges+len(r.shards)/hedgeDivisor {
		if r.isGather() {
			return r.deadline, true
		}
		return min(r.deadline, max(now.Mono, newest.sent+newest.lateAfter)+minSilence), true
	}
	due = e.hedgeAt(now, r, sh, newest)
	if e.reach.cutOff && newest.via == nil {
		due = now.Mono
	}
	if due > now.Mono {
		return due, true
	}
	if e.dispatch(now, r, i, true, fx) == dispatched {
		newest = sh.open[len(sh.open)-1]
		return newest.sent + newest.lateAfter, true
	}
	return now.Mono + max(waitPollInterval, newest.lateAfter/2), true
}

// pollIdleShard is pollShard for a shard without an attempt or handoff in progress.
func (e *Engine) pollIdleShard(now clock.Instant, r *request, i int, fx *Effects) (due time.Duration, pending bool) {
	sh := &r.shards[i]
	switch e.dispatch(now, r, i, false, fx) {
	case dispatched:
		newest := sh.open[len(sh.open)-1]
		return newest.sent + newest.lateAfter, true
	case noCapacity:
		if e.isStuck(now, r) {
			return r.deadline, false
		}
		if !sh.waiting && e.limitWait(now, r, sh) > e.limitPatience(now, r, sh) {
			return r.deadline, false
		}
		e.enqueueShard(r, sh, i)
		return now.Mono + waitPollInterval, true
	case noTarget:
		return r.deadline, false
	default:
		return r.deadline, sh.blockedByBudget(now, r)
	}
}

// blockedByBudget reports whether the attempt limits allow another attempt at the shard, and
// the retry budget has no token for it yet but may have one in time.
func (s *shard) blockedByBudget(now clock.Instant, r *request) bool {
	budget := &s.service.budget
	return r.mayDispatch(s) && s.delivered > 0 && !budget.available(now.Mono) && now.Mono+budget.untilAvailable() < r.deadline
}

// enqueueShard queues the shard until a target of its service has capacity.
func (e *Engine) enqueueShard(r *request, sh *shard, i int) {
	if sh.waiting {
		return
	}
	sh.waiting = true
	sh.service.waiting = append(sh.service.waiting, waiter{request: r, shard: i})
}

// dispatchWaiting dispatches the waiting shards of a service, oldest first, until no target
// has capacity.
func (e *Engine) dispatchWaiting(now clock.Instant, s *service, fx *Effects) {
	for len(s.waiting) > 0 {
		w := s.waiting[0]
		sh := &w.request.shards[w.shard]
		if !w.request.ended && sh.waiting && len(sh.open) == 0 {
			if e.dispatch(now, w.request, w.shard, false, fx) == noCapacity {
				return
			}
			sh.waiting = false
		}
		s.waiting[0] = waiter{}
		s.waiting = s.waiting[1:]
	}
	s.waiting = nil
}
