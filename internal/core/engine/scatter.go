package engine

import (
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/target"
)

// hedgeLatencyFactor is how many times the slowest tried target's usual latency a
// query waits before it hedges.
const hedgeLatencyFactor = 3

// scatter sends the first attempt of every shard.
func (e *Engine) scatter(now clock.Instant, q *query.Query, fx *Effects) {
	for shard := range q.Slots {
		if !e.attempt(now, q, int32(shard), target.None, fx) {
			e.wait(q, int32(shard))
			continue
		}
		e.counters.FirstAttempts++
	}
	e.armHedge(now, q)
}

// attempt sends one request for the shard if a replica other than avoid has room.
func (e *Engine) attempt(now clock.Instant, q *query.Query, shard int32, avoid target.ID, fx *Effects) bool {
	slot := &q.Slots[shard]
	if !slot.CanTry() {
		return false
	}
	id, _ := e.targets.Pick(q.Replicas[shard], avoid)
	if id == target.None {
		return false
	}
	e.targets.Sent(id)
	q.Attempts++
	try := slot.Begin(id, now.Mono)
	send := Send{
		Attempt:  query.AttemptID{Query: q.ID, Shard: shard, Try: try},
		Target:   id,
		Spec:     e.targets.Entry(id).Spec,
		Snapshot: q.Snapshot,
		Request:  q.Request,
		Deadline: q.Deadline,
	}
	e.grant(&send)
	fx.Sends = append(fx.Sends, send)
	return true
}

// wait queues a shard until a replica of its service has room.
func (e *Engine) wait(q *query.Query, shard int32) {
	name := q.Request.Service
	e.waiting[name] = append(e.waiting[name], query.AttemptID{Query: q.ID, Shard: shard})
}

// resume sends what waits for the service, oldest first, while there is room.
func (e *Engine) resume(now clock.Instant, service string, fx *Effects) {
	queue := e.waiting[service]
	kept := queue[:0]
	for _, id := range queue {
		q, ok := e.queries[id.Query]
		if !ok || q.Slots[id.Shard].Done {
			continue
		}
		if !e.attempt(now, q, id.Shard, target.None, fx) {
			kept = append(kept, id)
			continue
		}
		e.counters.FirstAttempts++
	}
	e.waiting[service] = kept
}

func (e *Engine) armHedge(now clock.Instant, q *query.Query) {
	if !e.cfg.Hedge || q.Policy.HedgeBudget <= 0 {
		return
	}
	due := now.Mono
	for i := range q.Slots {
		slot := &q.Slots[i]
		if slot.Tries == 0 {
			continue
		}
		usual := e.targets.Entry(slot.Tried[0].Target).Latency
		due = max(due, now.Mono+hedgeLatencyFactor*usual)
	}
	if due > now.Mono && due < q.Deadline {
		e.timers.arm(timer{due: due, query: q.ID, kind: timerHedge})
	}
}

// hedge sends a second attempt for each late shard, within the budget.
func (e *Engine) hedge(now clock.Instant, q *query.Query, fx *Effects) {
	for i := range q.Slots {
		slot := &q.Slots[i]
		if slot.Done || slot.Open() != 1 || !e.budgetAllows(q) {
			continue
		}
		if e.attempt(now, q, int32(i), slot.Tried[slot.Tries-1].Target, fx) {
			e.counters.Hedges++
		}
	}
}

// budgetAllows reports whether one more hedge or retry keeps within the budget.
func (e *Engine) budgetAllows(q *query.Query) bool {
	extra := float64(e.counters.Hedges + e.counters.Retries + 1)
	return extra <= q.Policy.HedgeBudget*float64(e.counters.FirstAttempts)
}
