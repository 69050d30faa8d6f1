package engine

import (
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/target"
)

// purpose is why an attempt is made.
type purpose int

const (
	first purpose = iota + 1
	resend
	retry
	hedge
)

// scatter sends the first attempt of every shard that has a replica with room.
func (e *Engine) scatter(now clock.Instant, q *query.Query, fx *Effects) {
	if e.holdForCanary(now, q, fx) {
		return
	}
	e.scatterFrom(now, q, 0, fx)
}

// scatterFrom sends the first attempts of the shards from a place of the order on.
func (e *Engine) scatterFrom(now clock.Instant, q *query.Query, begin int, fx *Effects) {
	id := q.ID
	for place := begin; place < len(q.Slots); place++ {
		e.place(now, q, shardAt(q, place), fx)
		if q.ID != id || e.queries[id] != q {
			return
		}
	}
	e.armSweep(now, q)
	e.settle(now, q, fx)
}

// place sends an attempt of a shard that has none in progress, or lets the shard wait.
// A shard that no replica can answer is lost.
func (e *Engine) place(now clock.Instant, q *query.Query, shard int32, fx *Effects) {
	why := first
	if q.Slots[shard].Tried() {
		why = resend
	}
	c := e.attempt(now, q, shard, target.None, why, fx)
	switch {
	case c.ID != target.None:
	case !c.Usable:
		e.loseShard(now, q, shard, fx)
	default:
		e.park(now, q, shard, c)
	}
}

// attempt sends one request for the shard if a replica other than avoid has room.
func (e *Engine) attempt(now clock.Instant, q *query.Query, shard int32, avoid target.ID, why purpose, fx *Effects) target.Choice {
	slot := &q.Slots[shard]
	if heldBack(q, shard) {
		return noChoice
	}
	if !slot.CanTry() {
		return target.Choice{ID: target.None}
	}
	if e.pause.waiting {
		return target.Choice{ID: target.None, Usable: true, Retry: now.Mono + wordPause}
	}
	c := e.targets.Choose(now.Mono, q.Plan.Groups[shard].Replicas, avoid, lackingOf(q.Plan, now))
	if c.ID == target.None {
		return c
	}
	entry := e.targets.Entry(c.ID)
	if !timeLeft(now, q, entry.Latency) || (why == hedge && entry.UnderPressure()) {
		c.ID = target.None
		return c
	}
	if !pays(&q.Service.Budget, why) {
		c.ID = target.None
		return c
	}
	e.targets.Sent(c.ID)
	e.count(q, why)
	q.Attempts++
	q.Open++
	slot.Waiting = false
	try := slot.Begin(c.ID, now.Mono)
	send := Send{
		Attempt:  query.AttemptID{Query: q.ID, Shard: shard, Try: try},
		Target:   c.ID,
		Spec:     entry.Spec,
		Snapshot: q.Plan.Snapshot,
		Request:  q.Request,
		Deadline: q.Deadline,
	}
	e.grant(&send)
	send.Probe = q.Canary.Lease != 0
	fx.Sends = append(fx.Sends, send)
	return c
}

// pays takes the token of an attempt that needs one and reports whether it may be made.
func pays(b *query.Budget, why purpose) bool {
	switch why {
	case hedge:
		return b.SpendHedge()
	case retry:
		return b.SpendRetry()
	}
	return true
}

func (e *Engine) count(q *query.Query, why purpose) {
	switch why {
	case first:
		e.counters.FirstAttempts++
		q.Service.Budget.Earn(1)
	case resend:
		e.counters.Resends++
	case retry:
		e.counters.Retries++
	case hedge:
		e.counters.Hedges++
		q.Hedges++
	}
}
