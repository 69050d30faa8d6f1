package engine

import (
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/target"
)

// attemptKind is the reason for an attempt.
type attemptKind int

const (
	firstAttempt attemptKind = iota + 1
	resendAttempt
	retryAttempt
	hedgeAttempt
)

// scatter sends the first attempt of every shard that has a replica with capacity, unless
// the query must wait for its canary stage.
func (e *Engine) scatter(now clock.Instant, q *query.Query, fx *Effects) {
	if e.holdForCanary(now, q, fx) {
		return
	}
	e.scatterFrom(now, q, 0, fx)
}

// scatterFrom sends the first attempts of the shards at position start and after it in
// the query's order.
func (e *Engine) scatterFrom(now clock.Instant, q *query.Query, start int, fx *Effects) {
	id := q.ID
	for position := start; position < len(q.Shards); position++ {
		e.sendOrPark(now, q, shardAt(q, position), fx)
		if q.ID != id || e.queries[id] != q {
			return
		}
	}
	e.armLateCheck(now, q)
	e.finishIfSettled(now, q, fx)
}

// sendOrPark sends an attempt for a shard that has none in progress, or parks the shard.
// A shard that no replica can answer is lost.
func (e *Engine) sendOrPark(now clock.Instant, q *query.Query, shard int32, fx *Effects) {
	kind := firstAttempt
	if q.Shards[shard].Attempted() {
		kind = resendAttempt
	}
	c := e.trySend(now, q, shard, target.None, kind, fx)
	switch {
	case c.ID != target.None:
	case !c.Usable:
		e.loseShard(now, q, shard, fx)
	default:
		e.park(now, q, shard, c)
	}
}

// trySend sends one attempt for the shard if a replica other than avoid has capacity. If
// it sends none, the ID of the returned choice is target.None.
func (e *Engine) trySend(now clock.Instant, q *query.Query, shard int32, avoid target.ID, kind attemptKind, fx *Effects) target.Choice {
	shardState := &q.Shards[shard]
	if heldByCanary(q, shard) {
		return heldChoice
	}
	if !shardState.CanAttempt() {
		return target.Choice{ID: target.None}
	}
	if e.pause.awaitingContact {
		return target.Choice{ID: target.None, Usable: true, RetryAt: now.Mono + contactCheckInterval}
	}
	c := e.targets.Choose(now.Mono, q.Plan.Groups[shard].Replicas, avoid, missingFilter(q.Plan, now))
	if c.ID == target.None {
		return c
	}
	entry := e.targets.Entry(c.ID)
	if !enoughTimeLeft(now, q, entry.Latency) || (kind == hedgeAttempt && entry.Refusing()) {
		c.ID = target.None
		return c
	}
	if !spendToken(&q.Service.Budget, kind) {
		c.ID = target.None
		return c
	}
	e.targets.Sent(c.ID)
	e.countAttempt(q, kind)
	q.Attempts++
	q.OpenAttempts++
	shardState.Waiting = false
	try := shardState.Begin(c.ID, now.Mono)
	send := Send{
		Attempt:  query.AttemptID{Query: q.ID, Shard: shard, Try: try},
		Target:   c.ID,
		Spec:     entry.Spec,
		Snapshot: q.Plan.Snapshot,
		Request:  q.Request,
		Deadline: q.Deadline,
	}
	e.setGuard(&send)
	send.ProbeConnection = q.Canary.Lease != 0
	fx.Sends = append(fx.Sends, send)
	return c
}

// spendToken takes the token that hedges and retries need, and reports whether the
// attempt is within the budget.
func spendToken(b *query.Budget, kind attemptKind) bool {
	switch kind {
	case hedgeAttempt:
		return b.SpendHedge()
	case retryAttempt:
		return b.SpendRetry()
	}
	return true
}

func (e *Engine) countAttempt(q *query.Query, kind attemptKind) {
	switch kind {
	case firstAttempt:
		e.counters.FirstAttempts++
		q.Service.Budget.Credit(1)
	case resendAttempt:
		e.counters.Resends++
	case retryAttempt:
		e.counters.Retries++
	case hedgeAttempt:
		e.counters.Hedges++
		q.Hedges++
	}
}
