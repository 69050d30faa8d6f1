package relay

import (
	"maps"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
)

const (
	// declinedResends is how many targets may decline a shard's request, beyond the
	// attempts that run, before it is given up.
	declinedResends = 3
	// minLate is the least time after which an attempt counts as late: below it the
	// scheduling of the process is all that shows.
	minLate = 5 * time.Millisecond
	// firstLateShare is the share of the objective after which an attempt counts as late
	// while the route's latency is not known.
	firstLateShare = 3
	// hedgeShare and minHedges bound the hedges of one request: where half of the shards
	// are late the cause is this host or its network, and more load would not help.
	hedgeShare = 2
	minHedges  = 2
	// hedgeHeadroom times the late mark of the alternative is the time that a hedge is given
	// before the cutoff.
	hedgeHeadroom = 1.25
	// waitPause is the time between looks at a shard that waits for a target.
	waitPause = 10 * time.Millisecond
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// placing is what came of an attempt to place a shard.
type placing int

const (
	placed placing = iota
	// noRoom tells that a target may take the shard later.
	noRoom
	// noTarget tells that none may.
	noTarget
	// notAllowed tells that the shard has used its attempts or the budget.
	notAllowed
)

// mayPlace reports whether the shard may have another attempt.
func (r *request) mayPlace(sh *shard) bool {
	if sh.ran > 0 && !r.route.Idempotent || sh.sends > 0 && r.direct() {
		return false
	}
	return sh.ran < max(1, r.route.MaxAttempts) && sh.sends < max(1, r.route.MaxAttempts)+declinedResends
}

// place sends the shard to the best target with room.
func (e *Engine) place(now clock.Instant, r *request, i int, hedge bool, fx *Effects) placing {
	sh := &r.shards[i]
	if !r.mayPlace(sh) || now.Mono >= r.deadline || e.leavesToHubs(r) {
		return notAllowed
	}
	t, usable := e.choose(now, sh.service, r, sh)
	if t == nil && !usable {
		return noTarget
	}
	if t == nil || now.Mono < t.heldUntil {
		return noRoom
	}
	extra := sh.arrived > 0
	if (hedge || extra) && !e.helps(now, r, sh, t) {
		return notAllowed
	}
	if extra && !r.direct() && !sh.service.budget.spend() {
		e.counters.BudgetDenied++
		return notAllowed
	}
	e.send(now, r, i, t, extra, hedge, fx)
	return placed
}

// helps reports whether another attempt at t can end in time to be worth its load.
func (e *Engine) helps(now clock.Instant, r *request, sh *shard, t *target) bool {
	if now.Mono < t.heldUntil || len(sh.open) > 0 && t.stalled(now.Mono) {
		return false
	}
	end := now.Mono + e.estimate(now.Mono, sh.service, t)
	if r.gathers() && r.enough() {
		return end < r.cutoff
	}
	return end < r.deadline
}

func (e *Engine) send(now clock.Instant, r *request, i int, t *target, extra, hedge bool, fx *Effects) {
	sh := &r.shards[i]
	e.last++
	a := &attempt{
		id: e.last, request: r, shard: i, target: t, sent: now.Mono,
		lateAfter: e.lateAfter(r, t), extra: extra, hedge: hedge,
	}
	e.attempts[a.id] = a
	t.open = append(t.open, a)
	t.mayBear(now.Mono, sh.service, e.hosts, true)
	sh.open = append(sh.open, a)
	sh.tried = append(sh.tried, t)
	sh.sends++
	sh.ran++
	sh.arrived++
	sh.waiting = false
	r.open++
	e.count(r, sh, a)
	send := Send{Attempt: a.id, Target: t.spec, Request: r.Request, Deadline: r.deadline}
	if p := e.carrier(now, r, t); p != nil {
		a.via = p
		p.carried++
		send.Via = p.Host
		send.Gather = e.carriedGather(now, r, sh, p)
	}
	fx.Sends = append(fx.Sends, send)
	if sh.sends > 1 {
		why := "retry"
		if hedge {
			why = "hedge"
		}
		fx.Records = append(fx.Records, decision.New(why,
			decision.String("request", r.ID), decision.String("route", r.route.Name), decision.Int("shard", i),
			decision.String("target", t.spec.Instance), decision.Uint("entry_revision", t.spec.Revision), decision.String("via", send.Via),
			decision.Millis("age", now.Mono-r.started), decision.Millis("late_after", a.lateAfter),
			decision.Int("attempt", sh.sends), decision.Int("tokens_left", int(sh.service.budget.tokens))))
	}
}

func (e *Engine) count(r *request, sh *shard, a *attempt) {
	switch {
	case !a.extra:
		e.counters.FirstAttempts++
		if !r.direct() {
			sh.service.budget.earn(e.cfg.Retry, r.earnedShare())
		}
	case a.hedge:
		e.counters.Hedges++
		r.hedges++
	default:
		e.counters.Retries++
		r.retries++
	}
}

// lateAfter is the time after which an attempt at t counts as late.
func (e *Engine) lateAfter(r *request, t *target) time.Duration {
	if late, ok := e.routeOf(r.route.Name).spread.Late(); ok {
		return max(late, minLate) + e.zones.extra(t)
	}
	return max(r.route.Objective/firstLateShare, minLate)
}

// hedgeAt is when a late attempt gets a hedge: not before it counts as late, and not
// before a hedge must leave to be back at the cutoff, since an earlier answer is worth no
// more and most late attempts end by themselves.
func (e *Engine) hedgeAt(now clock.Instant, r *request, sh *shard, a *attempt) time.Duration {
	late := a.sent + a.lateAfter
	alternative, _ := e.choose(now, sh.service, r, sh)
	if alternative == nil || late >= r.cutoff {
		return late
	}
	return max(late, r.cutoff-time.Duration(hedgeHeadroom*float64(e.lateAfter(r, alternative))))
}

// look does what is due for a request: shards without an attempt are placed, late ones
// hedged, and an answer leaves if it is time. It arms the next look.
func (e *Engine) look(now clock.Instant, r *request, fx *Effects) {
	next := r.deadline
	if r.gathers() && now.Mono < r.cutoff {
		next = min(next, r.cutoff)
	}
	if r.unoffered() {
		next = min(next, max(r.offerBy, now.Mono))
	}
	hope := false
	for i := range r.shards {
		sh := &r.shards[i]
		if sh.done {
			continue
		}
		due, pending := e.lookAt(now, r, i, fx)
		hope = hope || pending
		if pending {
			next = min(next, due)
		}
	}
	if e.settle(now, r, hope, fx) {
		return
	}
	e.arm(r, max(next, now.Mono+time.Millisecond))
}

func (e *Engine) arm(r *request, due time.Duration) {
	r.wakeAt = due
	e.timers.arm(due, r)
}

// lookAt looks at one shard and returns when to look again; pending tells whether a part
// may still come.
func (e *Engine) lookAt(now clock.Instant, r *request, i int, fx *Effects) (due time.Duration, pending bool) {
	sh := &r.shards[i]
	if sh.group != nil {
		return e.lookAtGroup(now, r, sh.group, fx), true
	}
	if len(sh.open) == 0 {
		return e.lookAtIdle(now, r, i, fx)
	}
	newest := sh.open[len(sh.open)-1]
	if !r.route.Idempotent || r.direct() || !r.mayPlace(sh) || r.hedges >= minHedges+len(r.shards)/hedgeShare {
		return r.deadline, true
	}
	due = e.hedgeAt(now, r, sh, newest)
	if due > now.Mono {
		return due, true
	}
	if e.place(now, r, i, true, fx) == placed {
		newest = sh.open[len(sh.open)-1]
		return newest.sent + newest.lateAfter, true
	}
	return now.Mono + max(waitPause, newest.lateAfter/2), true
}

func (e *Engine) lookAtIdle(now clock.Instant, r *request, i int, fx *Effects) (due time.Duration, pending bool) {
	sh := &r.shards[i]
	switch e.place(now, r, i, false, fx) {
	case placed:
		newest := sh.open[len(sh.open)-1]
		return newest.sent + newest.lateAfter, true
	case noRoom:
		e.wait(r, sh, i)
		return now.Mono + waitPause, true
	case noTarget:
		return r.deadline, false
	default:
		return r.deadline, sh.budgetBound(r)
	}
}

// budgetBound reports whether only the lack of a token keeps the shard from another
// attempt.
func (s *shard) budgetBound(r *request) bool {
	return r.mayPlace(s) && s.arrived > 0 && s.service.budget.tokens < 1
}

// wait queues the shard for the next room at a target of its service.
func (e *Engine) wait(r *request, sh *shard, i int) {
	if sh.waiting {
		return
	}
	sh.waiting = true
	sh.service.waiting = append(sh.service.waiting, waiter{request: r, shard: i})
}

// serveWaiting places the shards that wait at a service, oldest first, until one finds no
// room.
func (e *Engine) serveWaiting(now clock.Instant, s *service, fx *Effects) {
	for len(s.waiting) > 0 {
		w := s.waiting[0]
		sh := &w.request.shards[w.shard]
		if !w.request.ended && sh.waiting && len(sh.open) == 0 {
			if e.place(now, w.request, w.shard, false, fx) == noRoom {
				return
			}
			sh.waiting = false
		}
		s.waiting[0] = waiter{}
		s.waiting = s.waiting[1:]
	}
	s.waiting = nil
}
