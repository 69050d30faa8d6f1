package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/target"
)

// groupRetryInterval is the time between two retries of a group that awaits no reply.
const groupRetryInterval = 5 * time.Millisecond

// park adds a shard to the waiters of its group. The next reply of a replica resumes it.
// A timer does if no request to a replica is in progress, or while a replica is backed
// off.
func (e *Engine) park(now clock.Instant, q *query.Query, shard int32, c target.Choice) {
	q.Shards[shard].Waiting = true
	g := &q.Plan.Groups[shard]
	g.Push(query.Waiter{Query: q.ID, Shard: shard})
	e.parkedCount++
	e.armGroupRetry(now, g, c)
}

func (e *Engine) armGroupRetry(now clock.Instant, g *query.ReplicaGroup, c target.Choice) {
	due := now.Mono + groupRetryInterval
	switch {
	case c.RetryAt > now.Mono:
		due = c.RetryAt
	case e.targets.InFlight(g.Replicas) > 0:
		return
	}
	if g.RetryAt != 0 && g.RetryAt <= due {
		return
	}
	g.RetryAt = due
	e.timers.arm(timer{due: due, group: g, kind: timerGroupRetry})
}

// retryGroup resumes a group whose retry timer is due.
func (e *Engine) retryGroup(now clock.Instant, t timer, fx *Effects) {
	if t.group.RetryAt != t.due {
		return
	}
	t.group.RetryAt = 0
	e.resumeGroup(now, t.group, fx)
}

// resumeTarget sends the shards that wait for a target which has just ended a request.
func (e *Engine) resumeTarget(now clock.Instant, id target.ID, fx *Effects) {
	if e.parkedCount == 0 || int(id) >= len(e.groupsOf) {
		return
	}
	groups := e.groupsOf[id]
	if len(groups) == 0 {
		return
	}
	// Rotates the order, so that a target with many shards serves all groups fairly.
	e.resumeOffset++
	start := e.resumeOffset % len(groups)
	for i := range groups {
		e.resumeGroup(now, groups[(start+i)%len(groups)], fx)
	}
}

// resumeGroup sends the waiters of the group, oldest first, while a replica has capacity.
func (e *Engine) resumeGroup(now clock.Instant, g *query.ReplicaGroup, fx *Effects) {
	for n := g.Waiting(); n > 0 && g.Waiting() > 0; n-- {
		w := g.Head()
		q, ok := e.queries[w.Query]
		if !ok || !q.Shards[w.Shard].Waiting {
			e.popParked(g)
			continue
		}
		kind := firstAttempt
		if q.Shards[w.Shard].Attempted() {
			kind = resendAttempt
		}
		c := e.trySend(now, q, w.Shard, target.None, kind, fx)
		switch {
		case c.ID != target.None:
			e.popParked(g)
		case !c.Usable:
			e.popParked(g)
			e.loseShard(now, q, w.Shard, fx)
			if e.queries[w.Query] == q {
				e.finishIfSettled(now, q, fx)
			}
		case !enoughTimeLeft(now, q, e.minLatency(g)):
			// Too late for any replica: the shard stays open until the deadline.
			e.popParked(g)
		default:
			e.armGroupRetry(now, g, c)
			return
		}
	}
}

func (e *Engine) popParked(g *query.ReplicaGroup) {
	g.Pop()
	e.parkedCount--
}

// minLatency returns the lowest latency of the replicas of the group.
func (e *Engine) minLatency(g *query.ReplicaGroup) time.Duration {
	lowest := time.Duration(-1)
	for _, id := range g.Replicas {
		if l := e.targets.Entry(id).Latency; lowest < 0 || l < lowest {
			lowest = l
		}
	}
	return max(0, lowest)
}
