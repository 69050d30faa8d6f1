package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/target"
)

// waitPause is the time between looks at a group that waits for no reply.
const waitPause = 5 * time.Millisecond

// park lets a shard wait in its group. A reply of a replica wakes it; where none is in
// progress, or a replica is held after a refusal, a timer does.
func (e *Engine) park(now clock.Instant, q *query.Query, shard int32, c target.Choice) {
	q.Slots[shard].Waiting = true
	g := &q.Plan.Groups[shard]
	g.Push(query.Waiter{Query: q.ID, Shard: shard})
	e.waiting++
	e.armWake(now, g, c)
}

func (e *Engine) armWake(now clock.Instant, g *query.Group, c target.Choice) {
	due := now.Mono + waitPause
	switch {
	case c.Retry > now.Mono:
		due = c.Retry
	case e.targets.InFlight(g.Replicas) > 0:
		return
	}
	if g.Wake != 0 && g.Wake <= due {
		return
	}
	g.Wake = due
	e.timers.arm(timer{due: due, group: g, kind: timerWake})
}

// wake looks at a group whose timer is due.
func (e *Engine) wake(now clock.Instant, t timer, fx *Effects) {
	if t.group.Wake != t.due {
		return
	}
	t.group.Wake = 0
	e.resumeGroup(now, t.group, fx)
}

// resume sends what waits for a target that has just ended a request.
func (e *Engine) resume(now clock.Instant, id target.ID, fx *Effects) {
	if e.waiting == 0 || int(id) >= len(e.groupsOf) {
		return
	}
	groups := e.groupsOf[id]
	if len(groups) == 0 {
		return
	}
	// Targets that hold many shards serve their groups in turn.
	e.turn++
	start := e.turn % len(groups)
	for i := range groups {
		e.resumeGroup(now, groups[(start+i)%len(groups)], fx)
	}
}

// resumeGroup sends the group's waiters, oldest first, while a replica has room.
func (e *Engine) resumeGroup(now clock.Instant, g *query.Group, fx *Effects) {
	for n := g.Waiting(); n > 0 && g.Waiting() > 0; n-- {
		w := g.Head()
		q, ok := e.queries[w.Query]
		if !ok || !q.Slots[w.Shard].Waiting {
			e.leaveQueue(g)
			continue
		}
		why := first
		if q.Slots[w.Shard].Tried() {
			why = resend
		}
		c := e.attempt(now, q, w.Shard, target.None, why, fx)
		switch {
		case c.ID != target.None:
			e.leaveQueue(g)
		case !c.Usable:
			e.leaveQueue(g)
			e.loseShard(now, q, w.Shard, fx)
			if e.queries[w.Query] == q {
				e.settle(now, q, fx)
			}
		case !timeLeft(now, q, e.fastest(g)):
			// Too late for any replica: the slot is left to its deadline.
			e.leaveQueue(g)
		default:
			e.armWake(now, g, c)
			return
		}
	}
}

func (e *Engine) leaveQueue(g *query.Group) {
	g.Pop()
	e.waiting--
}

// fastest returns the least latency among the group's replicas.
func (e *Engine) fastest(g *query.Group) time.Duration {
	least := time.Duration(-1)
	for _, id := range g.Replicas {
		if l := e.targets.Entry(id).Latency; least < 0 || l < least {
			least = l
		}
	}
	return max(0, least)
}
