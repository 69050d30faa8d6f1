package engine

import (
	"fmt"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
)

// start begins an admitted query on a plan.
func (e *Engine) start(now clock.Instant, w *waiter, svc *release.Service, plan *query.Plan, fx *Effects) {
	q := e.newQuery(w.req, plan)
	q.Policy = svc.Policy
	q.Service = e.service(svc.Name)
	q.Started = w.arrived
	q.Deadline = w.deadline
	q.Attempts, q.Restarts, q.Ran = 0, 0, false
	e.counters.Queries++
	e.gate.started(w.req.Key, svc.Name, now.Mono)
	e.enter(now, q, fx)
}

// newQuery takes a query from the pool of ended ones, or makes one.
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

// enter puts a query in progress and sends its first attempts.
func (e *Engine) enter(now clock.Instant, q *query.Query, fx *Effects) {
	e.queries[q.ID] = q
	e.byKey[q.Request.Key] = q.ID
	q.Plan.Pinned++
	e.timers.arm(timer{due: q.Deadline, query: q.ID, kind: timerDeadline})
	e.scatter(now, q, fx)
}

// detach takes a query out of progress and cancels its attempts. It is kept until each
// of them has ended, so that what is in progress at targets stays counted.
func (e *Engine) detach(now clock.Instant, q *query.Query, fx *Effects) {
	e.leaveCanary(now, q, fx)
	if q.Open > 0 {
		for shard := range q.Slots {
			e.cancelAttempts(q, int32(shard), fx)
		}
	}
	delete(e.queries, q.ID)
	delete(e.byKey, q.Request.Key)
	q.Plan.Pinned--
	if q.Open > 0 {
		e.ended[q.ID] = q
		return
	}
	e.recycle(q)
}

// recycle makes a query that nothing refers to available for the next.
func (e *Engine) recycle(q *query.Query) {
	if len(e.pool) >= e.cfg.MaxQueries {
		return
	}
	q.Request, q.Plan, q.Service = nil, nil, nil
	e.pool = append(e.pool, q)
}

// cancelAttempts cancels what is in progress at one shard.
func (e *Engine) cancelAttempts(q *query.Query, shard int32, fx *Effects) {
	attempts := q.Slots[shard].Attempts()
	for i := range attempts {
		a := &attempts[i]
		if !a.Open {
			continue
		}
		fx.Cancels = append(fx.Cancels, Cancel{
			Attempt: query.AttemptID{Query: q.ID, Shard: shard, Try: a.Try()},
			Spec:    e.targets.Entry(a.Target).Spec,
		})
	}
}

// settle ends the query when nothing more is awaited, or when a service that answers
// whole or not at all has lost a shard.
func (e *Engine) settle(now clock.Instant, q *query.Query, fx *Effects) {
	if q.Settled() || (q.Policy.Whole && q.Lost > 0) {
		e.finish(now, q, fx)
	}
}

// finish answers the query with what it has.
func (e *Engine) finish(now clock.Instant, q *query.Query, fx *Effects) {
	code, detail := verdict(q)
	answer := Answer{
		Key:      q.Request.Key,
		Code:     code,
		Detail:   detail,
		Snapshot: q.Snapshot().Key(),
		Coverage: q.Coverage(),
		Shards:   len(q.Slots),
		Attempts: q.Attempts,
		Elapsed:  now.Mono - q.Started,
	}
	if !q.Complete() {
		answer.Missing = q.Missing()
	}
	if code == result.OK {
		answer.Hits = q.Top.Sorted()
	} else {
		e.counters.Refusals++
	}
	e.gate.ended(q.Request.Key, code, now.Mono)
	e.detach(now, q, fx)
	fx.Answers = append(fx.Answers, answer)
}

// verdict decides the code. "Not run" is said only where every target that saw an
// attempt said so itself.
func verdict(q *query.Query) (result.Code, string) {
	least := q.Policy.MinCoverage
	if q.Policy.Whole {
		least = 1
	}
	switch {
	case q.Canary.Barred && q.Attempts == 0:
		return result.Quarantined, "the body killed targets that ran it"
	case q.Complete(), q.Answered > 0 && q.Coverage() >= least:
		return result.OK, ""
	case q.Ran || q.Open > 0:
		return retiredCode(q), fmt.Sprintf("coverage %.3f is below %.3f", q.Coverage(), least)
	case q.Attempts > 0:
		return result.Shed, "no target that was asked ran it"
	case q.Lost > 0:
		return result.NoReplica, "a shard has no usable replica"
	}
	return result.DeadlineTooShort, "no target had room before the deadline"
}

// callerGone ends a query whose caller no longer waits; nobody takes its answer.
func (e *Engine) callerGone(now clock.Instant, key uint64, fx *Effects) {
	id, ok := e.byKey[key]
	if !ok {
		e.dropQueued(key)
		return
	}
	e.finish(now, e.queries[id], fx)
}

// minShareLeft is the share of a query's time, as 1/n, that always suffices for one
// more attempt: a latency that was learnt from stragglers must not end all attempts.
const minShareLeft = 8

// timeLeft reports whether an attempt sent now to a target of this latency could still
// be of use.
func timeLeft(now clock.Instant, q *query.Query, latency time.Duration) bool {
	return q.Deadline-now.Mono > min(latency/2, (q.Deadline-q.Started)/minShareLeft)
}
