package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/target"
)

// reply takes the end of an attempt. Only a whole reply of the pinned snapshot to an
// attempt that is open, from the target that it was sent to and not from an older
// incarnation of it, is merged; all others are counted.
func (e *Engine) reply(now clock.Instant, r *Reply, fx *Effects) {
	switch r.Outcome {
	case Truncated:
		e.counters.TruncatedReplies++
	case Crossed:
		e.counters.CrossedReplies++
	}
	q, live := e.queries[r.Attempt.Query]
	if !live {
		q = e.ended[r.Attempt.Query]
	}
	a := openAttempt(q, r)
	if a == nil {
		e.counters.UnknownReplies++
		return
	}
	stale := r.Incarnation != 0 && r.Incarnation < e.targets.Entry(r.Target).Incarnation
	e.observe(now, q, r, a.Sent)
	slot := &q.Slots[r.Attempt.Shard]
	slot.End(a, r.Outcome.NotRun())
	q.Open--
	q.Ran = q.Ran || !r.Outcome.NotRun()
	switch {
	case !live:
		e.lateCanary(now, q, r, fx)
		e.late(q, r)
	case slot.Done:
		e.counters.LateReplies++
	case e.canaryFailed(now, q, r, fx):
	default:
		e.take(now, q, r, stale, fx)
		e.advanceCanary(now, q, fx)
	}
	e.resume(now, r.Target, fx)
}

// openAttempt returns the open attempt that the reply is for, or nil.
func openAttempt(q *query.Query, r *Reply) *query.Attempt {
	if q == nil || r.Attempt.Shard < 0 || int(r.Attempt.Shard) >= len(q.Slots) {
		return nil
	}
	a := q.Slots[r.Attempt.Shard].Find(r.Attempt.Try)
	if a == nil || a.Target != r.Target {
		return nil
	}
	return a
}

// late takes the end of an attempt whose query has ended.
func (e *Engine) late(q *query.Query, r *Reply) {
	e.counters.LateReplies++
	if r.Outcome == SnapshotGone {
		e.counters.SnapshotsDenied++
	}
	if q.Open == 0 {
		delete(e.ended, q.ID)
		e.recycle(q)
	}
}

// take decides what the end of an attempt means for its query, which is in progress.
func (e *Engine) take(now clock.Instant, q *query.Query, r *Reply, stale bool, fx *Effects) {
	shard := r.Attempt.Shard
	slot := &q.Slots[shard]
	switch {
	case r.Outcome == Answered && stale:
		e.counters.StaleIncarnations++
		e.again(now, q, shard, r.Target, fx)
	case r.Outcome == Answered && r.Snapshot != q.Snapshot().Key():
		e.counters.WrongSnapshots++
		e.denied(now, q.Plan, r.Target)
		e.again(now, q, shard, r.Target, fx)
	case r.Outcome == Answered:
		q.Plan.ClearLacking(r.Target)
		q.Gather(shard, r.Snapshot, r.Hits)
		if slot.Open() > 0 {
			e.cancelAttempts(q, shard, fx)
		}
	case e.cfg.NoRetry:
		e.loseShard(now, q, shard, fx)
	case r.Outcome == SnapshotGone:
		e.denied(now, q.Plan, r.Target)
		e.placeUnlessOpen(now, q, shard, fx)
	case r.Outcome == Unsent:
		e.parkUnlessOpen(now, q, shard)
	case r.Outcome.NotRun():
		e.placeUnlessOpen(now, q, shard, fx)
	default:
		e.again(now, q, shard, r.Target, fx)
	}
	if e.queries[q.ID] == q {
		e.settle(now, q, fx)
	}
}

// placeUnlessOpen sends a shard again whose attempt did not run. It costs no budget:
// the refusal holds the target, so the shard goes to another replica or waits.
func (e *Engine) placeUnlessOpen(now clock.Instant, q *query.Query, shard int32, fx *Effects) {
	if slot := &q.Slots[shard]; slot.Open() > 0 || slot.Waiting {
		return
	}
	e.place(now, q, shard, fx)
}

// parkUnlessOpen lets a shard wait that this host itself could not send: to send it
// again at once would find the same lack.
func (e *Engine) parkUnlessOpen(now clock.Instant, q *query.Query, shard int32) {
	if slot := &q.Slots[shard]; slot.Open() > 0 || slot.Waiting {
		return
	}
	e.park(now, q, shard, target.Choice{ID: target.None, Usable: true, Retry: now.Mono + waitPause})
}

// again retries a shard whose attempt may have run, within the budget. Without a token
// the next sweep tries again; with no attempt left the shard is lost.
func (e *Engine) again(now clock.Instant, q *query.Query, shard int32, failed target.ID, fx *Effects) {
	slot := &q.Slots[shard]
	if slot.Open() > 0 {
		return
	}
	if !slot.CanTry() || !q.Service.Budget.Enabled() {
		e.loseShard(now, q, shard, fx)
		return
	}
	c := e.attempt(now, q, shard, failed, retry, fx)
	if c.ID == target.None && !c.Usable {
		c = e.attempt(now, q, shard, target.None, retry, fx)
	}
	switch {
	case c.ID != target.None:
	case !c.Usable:
		e.loseShard(now, q, shard, fx)
	default:
		e.armSweepAt(now.Mono+waitPause, q)
	}
}

// observe takes first-hand knowledge of the target from the end of an attempt.
func (e *Engine) observe(now clock.Instant, q *query.Query, r *Reply, sent time.Duration) {
	elapsed := now.Mono - sent
	e.observeTarget(r)
	g := &q.Plan.Groups[r.Attempt.Shard]
	switch r.Outcome {
	case Answered:
		g.Latency.Add(elapsed)
		q.Service.Latency.Add(elapsed)
		e.targets.Answered(r.Target, now.Mono, g.Replicas)
	case Shed, ColdRefused:
		e.targets.Refused(r.Target, now.Mono, false)
	case Unreachable:
		e.targets.Refused(r.Target, now.Mono, true)
	case Lost, Truncated, Crossed:
		e.targets.Lost(r.Target, now.Mono)
	case Cancelled:
		g.Latency.AddAtLeast(elapsed)
		q.Service.Latency.AddAtLeast(elapsed)
	}
}
