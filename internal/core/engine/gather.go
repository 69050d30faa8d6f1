package engine

import (
	"fmt"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/result"
)

// reply takes the end of an attempt. A reply whose query has ended, whose attempt is
// not open or whose snapshot is another is counted and never merged.
func (e *Engine) reply(now clock.Instant, r *Reply, fx *Effects) {
	e.observe(r)
	q, ok := e.queries[r.Attempt.Query]
	if !ok {
		e.counters.LateReplies++
		e.resume(now, e.serviceOf(r), fx)
		return
	}
	slot := &q.Slots[r.Attempt.Shard]
	slot.Tried[r.Attempt.Try].Open = false
	switch {
	case slot.Done:
		e.counters.LateReplies++
	case r.Outcome == Answered && r.Snapshot != q.Snapshot.Key():
		e.counters.WrongSnapshots++
	case r.Outcome == Answered:
		q.Gather(r.Attempt.Shard, r.Hits)
		e.cancelLosers(q, r.Attempt.Shard, fx)
	default:
		e.retry(now, q, r, fx)
	}
	if q.Complete() {
		e.finish(now, q, fx)
	}
	e.resume(now, e.serviceOf(r), fx)
}

func (e *Engine) serviceOf(r *Reply) string { return e.targets.Entry(r.Target).Spec.Service }

// retry sends the shard to another replica within the budget.
func (e *Engine) retry(now clock.Instant, q *query.Query, r *Reply, fx *Effects) {
	if q.Slots[r.Attempt.Shard].Open() > 0 || !e.budgetAllows(q) {
		return
	}
	if e.attempt(now, q, r.Attempt.Shard, r.Target, fx) {
		e.counters.Retries++
	}
}

func (e *Engine) cancelLosers(q *query.Query, shard int32, fx *Effects) {
	slot := &q.Slots[shard]
	for try := range slot.Tries {
		if !slot.Tried[try].Open {
			continue
		}
		fx.Cancels = append(fx.Cancels, Cancel{
			Attempt: query.AttemptID{Query: q.ID, Shard: shard, Try: try},
			Spec:    e.targets.Entry(slot.Tried[try].Target).Spec,
		})
	}
}

// finish answers the query with what it has and cancels what is still in progress.
func (e *Engine) finish(now clock.Instant, q *query.Query, fx *Effects) {
	for shard := range q.Slots {
		e.cancelLosers(q, int32(shard), fx)
	}
	delete(e.queries, q.ID)
	delete(e.byKey, q.Request.Key)
	code, detail := verdict(q)
	e.gate.ended(q.ID, code, now.Mono)
	answer := Answer{
		Key:      q.Request.Key,
		Code:     code,
		Detail:   detail,
		Snapshot: q.Snapshot.Key(),
		Coverage: q.Coverage(),
		Shards:   len(q.Slots),
		Attempts: q.Attempts,
		Elapsed:  now.Mono - q.Started,
	}
	if !q.Complete() {
		answer.Missing = q.Missing()
	}
	if code == result.OK {
		answer.Hits = q.Merge()
	} else {
		e.counters.Refusals++
	}
	fx.Answers = append(fx.Answers, answer)
}

func verdict(q *query.Query) (result.Code, string) {
	least := q.Policy.MinCoverage
	if q.Policy.Whole {
		least = 1
	}
	if q.Complete() || (q.Answered > 0 && q.Coverage() >= least) {
		return result.OK, ""
	}
	if q.Attempts == 0 {
		return result.DeadlineTooShort, "no target had room before the deadline"
	}
	return result.CoverageTooLow, fmt.Sprintf("coverage %.3f is below %.3f", q.Coverage(), least)
}

// callerGone ends a query whose caller no longer waits, without an answer.
func (e *Engine) callerGone(now clock.Instant, key uint64, fx *Effects) {
	id, ok := e.byKey[key]
	if !ok {
		e.dropQueued(key)
		return
	}
	e.finish(now, e.queries[id], fx)
}
