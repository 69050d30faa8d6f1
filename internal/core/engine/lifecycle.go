package engine

import (
	"fmt"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
)

// start starts an admitted query on a plan.
func (e *Engine) start(now clock.Instant, w *waiter, svc *release.Service, plan *query.Plan, fx *Effects) {
	q := e.newQuery(w.req, plan)
	q.Policy = svc.Policy
	q.Service = e.service(svc.Name)
	q.Started = w.arrived
	q.Deadline = w.deadline
	q.Attempts, q.Restarts, q.MayHaveRun = 0, 0, false
	e.counters.Queries++
	e.gate.queryStarted(w.req.Key, svc.Name, now.Mono)
	e.activate(now, q, fx)
}

// newQuery takes a query from the pool, or allocates one.
func (e *Engine) newQuery(req *query.Request, plan *query.Plan) *query.Query {
	var q *query.Query
	if n := len(e.pool); n > 0 {
		q = e.pool[n-1]
		e.pool = e.pool[:n-1]
	} else {
		q = &query.Query{}
	}
	e.nextID++
	q.Request = req
	q.Reset(e.nextID, plan)
	return q
}

// activate registers a query as in progress and sends its first attempts.
func (e *Engine) activate(now clock.Instant, q *query.Query, fx *Effects) {
	e.queries[q.ID] = q
	e.byKey[q.Request.Key] = q.ID
	q.Plan.Pinned++
	e.timers.arm(timer{due: q.Deadline, query: q.ID, kind: timerDeadline})
	e.scatter(now, q, fx)
}

// detach removes a query from those in progress and cancels its attempts. It is kept
// until they have ended, so that the requests in flight at targets stay counted.
func (e *Engine) detach(now clock.Instant, q *query.Query, fx *Effects) {
	e.releaseLease(now, q, fx)
	if q.OpenAttempts > 0 {
		for shard := range q.Shards {
			e.cancelAttempts(q, int32(shard), fx)
		}
	}
	delete(e.queries, q.ID)
	delete(e.byKey, q.Request.Key)
	q.Plan.Pinned--
	if q.OpenAttempts > 0 {
		e.detached[q.ID] = q
		return
	}
	e.recycle(q)
}

// recycle returns an unreferenced query to the pool, which holds at most MaxQueries.
func (e *Engine) recycle(q *query.Query) {
	if len(e.pool) >= e.cfg.MaxQueries {
		return
	}
	q.Request, q.Plan, q.Service = nil, nil, nil
	e.pool = append(e.pool, q)
}

// cancelAttempts cancels the open attempts of one shard.
func (e *Engine) cancelAttempts(q *query.Query, shard int32, fx *Effects) {
	attempts := q.Shards[shard].Attempts()
	for i := range attempts {
		a := &attempts[i]
		if !a.Open {
			continue
		}
		fx.Cancels = append(fx.Cancels, Cancel{
			Attempt: query.AttemptID{Query: q.ID, Shard: shard, Try: a.Number()},
			Spec:    e.targets.Entry(a.Target).Spec,
		})
	}
}

// finishIfSettled ends the query if every shard has settled, or if its policy requires
// all shards and one is lost.
func (e *Engine) finishIfSettled(now clock.Instant, q *query.Query, fx *Effects) {
	if q.Settled() || (q.Policy.RequireAllShards && q.Lost > 0) {
		e.finish(now, q, fx)
	}
}

// finish answers the query with the shards gathered so far.
func (e *Engine) finish(now clock.Instant, q *query.Query, fx *Effects) {
	code, detail := finalCode(q)
	answer := Answer{
		Key:      q.Request.Key,
		Code:     code,
		Detail:   detail,
		Snapshot: q.Snapshot().Key(),
		Coverage: q.Coverage(),
		Shards:   len(q.Shards),
		Attempts: q.Attempts,
		Elapsed:  now.Mono - q.Started,
	}
	if !q.Complete() {
		answer.Missing = q.UnansweredShards()
	}
	if code == result.OK {
		answer.Hits = q.Top.Sorted()
	} else {
		e.counters.Refusals++
	}
	e.gate.queryEnded(q.Request.Key, code, now.Mono)
	e.detach(now, q, fx)
	fx.Answers = append(fx.Answers, answer)
}

// finalCode returns the result code and detail of a query. It reports a query as not run
// only if every target that received an attempt reported that it did not run it.
func finalCode(q *query.Query) (result.Code, string) {
	required := q.Policy.MinCoverage
	if q.Policy.RequireAllShards {
		required = 1
	}
	switch {
	case q.Canary.Refused && q.Attempts == 0:
		return result.Quarantined, "the body killed targets that ran it"
	case q.Complete(), q.Answered > 0 && q.Coverage() >= required:
		return result.OK, ""
	case q.MayHaveRun || q.OpenAttempts > 0:
		return retiredCode(q), fmt.Sprintf("coverage %.3f is below %.3f", q.Coverage(), required)
	case q.Attempts > 0:
		return result.Shed, "no target that was asked ran it"
	case q.Lost > 0:
		return result.NoReplica, "a shard has no usable replica"
	}
	return result.DeadlineTooShort, "no target had room before the deadline"
}

// callerGone ends a query whose caller no longer waits. Its answer is not delivered.
func (e *Engine) callerGone(now clock.Instant, key uint64, fx *Effects) {
	id, ok := e.byKey[key]
	if !ok {
		e.removeQueued(key)
		return
	}
	e.finish(now, e.queries[id], fx)
}

// minTimeDivisor is the n in the rule that an attempt is always allowed while more than
// 1/n of the query's time is left. Without this rule, a latency estimate raised by
// stragglers would stop all attempts.
const minTimeDivisor = 8

// enoughTimeLeft reports whether an attempt sent now to a target of this latency may
// still be answered before the deadline.
func enoughTimeLeft(now clock.Instant, q *query.Query, latency time.Duration) bool {
	return q.Deadline-now.Mono > min(latency/2, (q.Deadline-q.Started)/minTimeDivisor)
}
