package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/target"
)

const (
	// minLateCheckInterval is the minimum time between two checks of a query for late
	// shards.
	minLateCheckInterval = time.Millisecond
	// lateChecksPerDelay is the number of checks for a late shard within one hedge delay.
	lateChecksPerDelay = 4
	// shardsPerHedge and baseHedges limit the hedges of one query to baseHedges plus one
	// for each shardsPerHedge shards. If more shards are late, the cause is not a single
	// straggler and more load would not help.
	shardsPerHedge = 8
	baseHedges     = 2
)

// hedgeDelay returns how long to wait for an attempt at the group before hedging it, and
// false if no latency is known yet. The delay of the first attempt grows from the group's
// P95 to twice the P95 as the budget is used up: attempts that are only slow then end by
// themselves, and the remaining tokens are left for stragglers. After a hedge the delay is
// the P95.
func (e *Engine) hedgeDelay(q *query.Query, g *query.ReplicaGroup, attempts int) (time.Duration, bool) {
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
	return p95 + time.Duration(float64(p95)*(1-q.Service.Budget.FillRatio())), true
}

// armLateCheck arms the first late check of the query for the end of the shortest hedge
// delay of its groups.
func (e *Engine) armLateCheck(now clock.Instant, q *query.Query) {
	if !e.cfg.Hedge || !q.Service.Budget.Enabled() {
		return
	}
	minDelay := q.Deadline
	for i := range q.Plan.Groups {
		if delay, ok := e.hedgeDelay(q, &q.Plan.Groups[i], 1); ok {
			minDelay = min(minDelay, delay)
		}
	}
	e.armLateCheckAt(now.Mono+max(minDelay, minLateCheckInterval), q)
}

func (e *Engine) armLateCheckAt(due time.Duration, q *query.Query) {
	if due < q.Deadline {
		e.timers.arm(timer{due: due, query: q.ID, kind: timerLateCheck})
	}
}

// checkLateShards hedges late shards and retries lost attempts, within the budget, and
// arms the next check for the time at which the next shard becomes late. Lateness depends
// on when the shard's newest attempt was sent and on the latency of its group.
func (e *Engine) checkLateShards(now clock.Instant, q *query.Query, fx *Effects) {
	if len(q.Unsettled) == 0 {
		for i := range q.Shards {
			q.Unsettled = append(q.Unsettled, int32(i))
		}
	}
	kept := q.Unsettled[:0]
	next := q.Deadline
	for _, shard := range q.Unsettled {
		shardState := &q.Shards[shard]
		if shardState.Settled() {
			continue
		}
		kept = append(kept, shard)
		if shardState.Waiting || !shardState.CanAttempt() {
			continue
		}
		due, ok := e.lateAt(q, shard)
		if ok && due <= now.Mono {
			due = e.hedgeOrRetry(now, q, shard, fx)
		}
		if ok {
			next = min(next, due)
		}
	}
	q.Unsettled = kept
	if len(kept) > 0 {
		e.armLateCheckAt(max(next, now.Mono+minLateCheckInterval), q)
	}
}

// lateAt returns when the newest attempt of the shard becomes late, and false if that is
// not known. A shard with no open attempt is late at once.
func (e *Engine) lateAt(q *query.Query, shard int32) (time.Duration, bool) {
	shardState := &q.Shards[shard]
	if shardState.OpenAttempts() == 0 {
		return 0, true
	}
	if !e.cfg.Hedge {
		return 0, false
	}
	attempts := shardState.Attempts()
	delay, ok := e.hedgeDelay(q, &q.Plan.Groups[shard], len(attempts))
	return attempts[len(attempts)-1].Sent + delay, ok
}

// hedgeOrRetry sends one more attempt for a late shard if the limits allow it, and
// returns when to check the shard again.
func (e *Engine) hedgeOrRetry(now clock.Instant, q *query.Query, shard int32, fx *Effects) time.Duration {
	shardState := &q.Shards[shard]
	delay, _ := e.hedgeDelay(q, &q.Plan.Groups[shard], len(shardState.Attempts())+1)
	kind := hedgeAttempt
	if shardState.OpenAttempts() == 0 {
		kind = retryAttempt
	}
	if kind == hedgeAttempt && q.Hedges >= baseHedges+len(q.Shards)/shardsPerHedge {
		return q.Deadline
	}
	if e.trySend(now, q, shard, shardState.LastTarget(), kind, fx).ID == target.None {
		return now.Mono + max(groupRetryInterval, delay/lateChecksPerDelay)
	}
	return now.Mono + delay
}
