package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/target"
)

const (
	// minSweepPause is the least time between two looks at a query's late shards.
	minSweepPause = time.Millisecond
	// sweepsPerDelay is how often a late query is looked at in the time of one delay.
	sweepsPerDelay = 4
	// hedgeShare and minHedges bound the hedges of one query: where more shards are
	// late, the cause is no straggler and more load would not help.
	hedgeShare = 8
	minHedges  = 2
)

// hedgeDelay is how long an attempt at the group is awaited before a hedge. The first
// is awaited for the group's P95, and up to twice that as the budget runs out: those
// that are merely slow end by themselves, and the tokens left go to stragglers. Where a
// hedge is late too, the next comes after the P95. It returns false where nothing is
// known yet.
func (e *Engine) hedgeDelay(q *query.Query, g *query.Group, attempts int) (time.Duration, bool) {
	p95, ok := g.Latency.Value()
	if !ok {
		p95, ok = q.Service.Latency.Value()
	}
	if !ok {
		return 0, false
	}
	if attempts > 1 {
		return p95, true
	}
	return p95 + time.Duration(float64(p95)*(1-q.Service.Budget.Fill())), true
}

// armSweep arms the first look at the query's late shards, for when the first shard of
// the group with the least delay may be late.
func (e *Engine) armSweep(now clock.Instant, q *query.Query) {
	if !e.cfg.Hedge || !q.Service.Budget.Enabled() {
		return
	}
	least := q.Deadline
	for i := range q.Plan.Groups {
		if delay, ok := e.hedgeDelay(q, &q.Plan.Groups[i], 1); ok {
			least = min(least, delay)
		}
	}
	e.armSweepAt(now.Mono+max(least, minSweepPause), q)
}

func (e *Engine) armSweepAt(due time.Duration, q *query.Query) {
	if due < q.Deadline {
		e.timers.arm(timer{due: due, query: q.ID, kind: timerSweep})
	}
}

// sweep gives late shards a hedge and lost attempts a retry, within the budget, and
// arms the next look for when the next shard is late. Each shard is late in its own
// time: what it is measured by is its attempt and its group.
func (e *Engine) sweep(now clock.Instant, q *query.Query, fx *Effects) {
	if len(q.Late) == 0 {
		for i := range q.Slots {
			q.Late = append(q.Late, int32(i))
		}
	}
	kept := q.Late[:0]
	next := q.Deadline
	for _, shard := range q.Late {
		slot := &q.Slots[shard]
		if slot.Settled() {
			continue
		}
		kept = append(kept, shard)
		if slot.Waiting || !slot.CanTry() {
			continue
		}
		due, ok := e.lateAt(q, shard)
		if ok && due <= now.Mono {
			due = e.help(now, q, shard, fx)
		}
		if ok {
			next = min(next, due)
		}
	}
	q.Late = kept
	if len(kept) > 0 {
		e.armSweepAt(max(next, now.Mono+minSweepPause), q)
	}
}

// lateAt returns when the shard's newest attempt counts as late: one that was lost does
// at once.
func (e *Engine) lateAt(q *query.Query, shard int32) (time.Duration, bool) {
	slot := &q.Slots[shard]
	if slot.Open() == 0 {
		return 0, true
	}
	if !e.cfg.Hedge {
		return 0, false
	}
	attempts := slot.Attempts()
	delay, ok := e.hedgeDelay(q, &q.Plan.Groups[shard], len(attempts))
	return attempts[len(attempts)-1].Sent + delay, ok
}

// help sends one more attempt for a late shard if that is allowed, and returns when to
// look at the shard again.
func (e *Engine) help(now clock.Instant, q *query.Query, shard int32, fx *Effects) time.Duration {
	slot := &q.Slots[shard]
	delay, _ := e.hedgeDelay(q, &q.Plan.Groups[shard], len(slot.Attempts())+1)
	why := hedge
	if slot.Open() == 0 {
		why = retry
	}
	if why == hedge && q.Hedges >= minHedges+len(q.Slots)/hedgeShare {
		return q.Deadline
	}
	if e.attempt(now, q, shard, slot.Last(), why, fx).ID == target.None {
		return now.Mono + max(waitPause, delay/sweepsPerDelay)
	}
	return now.Mono + delay
}
