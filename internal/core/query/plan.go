package query

import (
	"time"

	"pollentack.example/pollentack/internal/core/quantile"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/target"
)

// Service is what the queries of one service share on a host.
type Service struct {
	Budget Budget
	// Latency stands in for a group that has too few samples of its own.
	Latency quantile.Estimator
}

// Waiter is one shard of one query that waits for a replica.
type Waiter struct {
	Query ID
	Shard int32
}

// Group is the replicas of one shard of a snapshot.
type Group struct {
	// Serial orders groups, so that equal runs treat them in equal order.
	Serial   uint64
	Replicas []target.ID
	Latency  quantile.Estimator
	// Wake is when the group's waiters are next looked at without a reply, 0 for never.
	Wake time.Duration

	waiters []Waiter
	head    int
}

// Waiting returns the number of waiters.
func (g *Group) Waiting() int { return len(g.waiters) - g.head }

// Push appends a waiter.
func (g *Group) Push(w Waiter) {
	if g.head > 0 && len(g.waiters) == cap(g.waiters) {
		n := copy(g.waiters, g.waiters[g.head:])
		g.waiters = g.waiters[:n]
		g.head = 0
	}
	g.waiters = append(g.waiters, w)
}

// Head returns the oldest waiter; Waiting must not be 0.
func (g *Group) Head() Waiter { return g.waiters[g.head] }

// Pop removes the oldest waiter.
func (g *Group) Pop() {
	g.head++
	if g.head == len(g.waiters) {
		g.waiters = g.waiters[:0]
		g.head = 0
	}
}

// Plan is a snapshot with the replicas of its shards by target ID.
type Plan struct {
	Snapshot *release.Snapshot
	Groups   []Group
	// Pinned is the number of queries in progress on the snapshot.
	Pinned int
	// lacks says until when a target counts as not holding the snapshot.
	lacks map[target.ID]time.Duration
}

// NewPlan returns a plan whose groups have no replicas yet.
func NewPlan(snap *release.Snapshot) *Plan {
	return &Plan{Snapshot: snap, Groups: make([]Group, len(snap.Shards)), lacks: map[target.ID]time.Duration{}}
}

// SetLacking records that a target does not hold the snapshot, until a later instant.
func (p *Plan) SetLacking(id target.ID, until time.Duration) { p.lacks[id] = until }

// ClearLacking records that a target may hold the snapshot.
func (p *Plan) ClearLacking(id target.ID) {
	if len(p.lacks) > 0 {
		delete(p.lacks, id)
	}
}

// Lacks reports whether the target counts as not holding the snapshot.
func (p *Plan) Lacks(id target.ID, now time.Duration) bool {
	return len(p.lacks) > 0 && now < p.lacks[id]
}

// LacksAny reports whether any target may count as not holding the snapshot.
func (p *Plan) LacksAny() bool { return len(p.lacks) > 0 }
