package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/target"
)

// attemptEnded handles the end of an attempt. A reply is merged only if it is complete,
// comes from the pinned snapshot, answers an open attempt and was sent by the target of
// that attempt, but not by an older incarnation of it than is known. All other replies are
// only counted.
func (e *Engine) attemptEnded(now clock.Instant, r *AttemptResult, fx *Effects) {
	switch r.Outcome {
	case Truncated:
		e.counters.TruncatedReplies++
	case Crossed:
		e.counters.CrossedReplies++
	}
	q, inProgress := e.queries[r.Attempt.Query]
	if !inProgress {
		q = e.detached[r.Attempt.Query]
	}
	a := openAttempt(q, r)
	if a == nil {
		e.counters.UnknownReplies++
		return
	}
	stale := r.Incarnation != 0 && r.Incarnation < e.targets.Entry(r.Target).Incarnation
	e.recordOutcome(now, q, r, a.Sent)
	shardState := &q.Shards[r.Attempt.Shard]
	shardState.End(a, r.Outcome.NotRun())
	q.OpenAttempts--
	q.MayHaveRun = q.MayHaveRun || !r.Outcome.NotRun()
	switch {
	case !inProgress:
		e.lateCanaryReply(now, q, r, fx)
		e.lateReply(q, r)
	case shardState.Answered:
		e.counters.LateReplies++
	case e.endFailedCanary(now, q, r, fx):
	default:
		e.applyOutcome(now, q, r, stale, fx)
		e.advanceCanary(now, q, fx)
	}
	e.resumeTarget(now, r.Target, fx)
}

// openAttempt returns the open attempt to which the reply belongs, or nil.
func openAttempt(q *query.Query, r *AttemptResult) *query.Attempt {
	if q == nil || r.Attempt.Shard < 0 || int(r.Attempt.Shard) >= len(q.Shards) {
		return nil
	}
	a := q.Shards[r.Attempt.Shard].Find(r.Attempt.Try)
	if a == nil || a.Target != r.Target {
		return nil
	}
	return a
}

// lateReply handles the end of an attempt whose query has already ended.
func (e *Engine) lateReply(q *query.Query, r *AttemptResult) {
	e.counters.LateReplies++
	if r.Outcome == SnapshotGone {
		e.counters.SnapshotsDenied++
	}
	if q.OpenAttempts == 0 {
		delete(e.detached, q.ID)
		e.recycle(q)
	}
}

// applyOutcome applies the end of an attempt to its query, which is in progress.
func (e *Engine) applyOutcome(now clock.Instant, q *query.Query, r *AttemptResult, stale bool, fx *Effects) {
	shard := r.Attempt.Shard
	shardState := &q.Shards[shard]
	switch {
	case r.Outcome == Answered && stale:
		e.counters.StaleIncarnations++
		e.retryShard(now, q, shard, r.Target, fx)
	case r.Outcome == Answered && r.Snapshot != q.Snapshot().Key():
		e.counters.WrongSnapshots++
		e.snapshotDenied(now, q.Plan, r.Target)
		e.retryShard(now, q, shard, r.Target, fx)
	case r.Outcome == Answered:
		q.Plan.ClearMissing(r.Target)
		q.MergeReply(shard, r.Snapshot, r.Hits)
		if shardState.OpenAttempts() > 0 {
			e.cancelAttempts(q, shard, fx)
		}
	case e.cfg.NoRetry:
		e.loseShard(now, q, shard, fx)
	case r.Outcome == SnapshotGone:
		e.snapshotDenied(now, q.Plan, r.Target)
		e.resendIfIdle(now, q, shard, fx)
	case r.Outcome == Unsent:
		e.parkIfIdle(now, q, shard)
	case r.Outcome.NotRun():
		e.resendIfIdle(now, q, shard, fx)
	default:
		e.retryShard(now, q, shard, r.Target, fx)
	}
	if e.queries[q.ID] == q {
		e.finishIfSettled(now, q, fx)
	}
}

// resendIfIdle resends a shard whose attempt did not run. This spends no budget: the
// target is backed off after its refusal, so the shard goes to another replica or waits.
func (e *Engine) resendIfIdle(now clock.Instant, q *query.Query, shard int32, fx *Effects) {
	if shardState := &q.Shards[shard]; shardState.OpenAttempts() > 0 || shardState.Waiting {
		return
	}
	e.sendOrPark(now, q, shard, fx)
}

// parkIfIdle parks a shard that this host could not send. An immediate resend would fail
// for the same reason.
func (e *Engine) parkIfIdle(now clock.Instant, q *query.Query, shard int32) {
	if shardState := &q.Shards[shard]; shardState.OpenAttempts() > 0 || shardState.Waiting {
		return
	}
	e.park(now, q, shard, target.Choice{ID: target.None, Usable: true, RetryAt: now.Mono + groupRetryInterval})
}

// retryShard retries a shard whose attempt may have run, within the retry budget. Without
// a token the next late check tries again. A shard with no attempts left is lost.
func (e *Engine) retryShard(now clock.Instant, q *query.Query, shard int32, failed target.ID, fx *Effects) {
	shardState := &q.Shards[shard]
	if shardState.OpenAttempts() > 0 {
		return
	}
	if !shardState.CanAttempt() || !q.Service.Budget.Enabled() {
		e.loseShard(now, q, shard, fx)
		return
	}
	c := e.trySend(now, q, shard, failed, retryAttempt, fx)
	if c.ID == target.None && !c.Usable {
		c = e.trySend(now, q, shard, target.None, retryAttempt, fx)
	}
	switch {
	case c.ID != target.None:
	case !c.Usable:
		e.loseShard(now, q, shard, fx)
	default:
		e.armLateCheckAt(now.Mono+groupRetryInterval, q)
	}
}

// recordOutcome updates the statistics of the target, the group and the service from the
// end of an attempt.
func (e *Engine) recordOutcome(now clock.Instant, q *query.Query, r *AttemptResult, sent time.Duration) {
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
		g.Latency.AddCensored(elapsed)
		q.Service.Latency.AddCensored(elapsed)
	}
}
