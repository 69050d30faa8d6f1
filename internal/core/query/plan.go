package query

import (
	"time"

	"pollentack.example/pollentack/internal/core/quantile"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/target"
)

// Service is the state that the queries of one service share on a host.
type Service struct {
	Budget Budget
	// Latency is the estimate for groups that have too few samples of their own.
	Latency quantile.Estimator
}

// Waiter is one shard of one query that waits for a replica.
type Waiter struct {
	Query ID
	Shard int32
}

// ReplicaGroup holds the replicas of one shard of a snapshot, and the queries that wait for
// one of them.
type ReplicaGroup struct {
	// Order is the position of the group in a fixed order of all groups, so that runs with
	// the same input are identical.
	Order    uint64
	Replicas []target.ID
	Latency  quantile.Estimator
	// RetryAt is the time of the timer that retries the group's waiters if no reply does so
	// earlier, 0 if no timer is set.
	RetryAt time.Duration

	waiters []Waiter
	head    int
}

// Waiting returns the number of waiters.
func (g *ReplicaGroup) Waiting() int { return len(g.waiters) - g.head }

// Push appends a waiter.
func (g *ReplicaGroup) Push(w Waiter) {
	if g.head > 0 && len(g.waiters) == cap(g.waiters) {
		n := copy(g.waiters, g.waiters[g.head:])
		g.waiters = g.waiters[:n]
		g.head = 0
	}
	g.waiters = append(g.waiters, w)
}

// Head returns the oldest waiter; Waiting must not be 0.
func (g *ReplicaGroup) Head() Waiter { return g.waiters[g.head] }

// Pop removes the oldest waiter.
func (g *ReplicaGroup) Pop() {
	g.head++
	if g.head == len(g.waiters) {
		g.waiters = g.waiters[:0]
		g.head = 0
	}
}

// Plan is a snapshot with the replicas of each shard as target IDs.
type Plan struct {
	Snapshot *release.Snapshot
	Groups   []ReplicaGroup
	// Pinned is the number of queries in progress on the snapshot.
	Pinned int
	// missingUntil holds the time until which a target counts as not holding the snapshot.
	missingUntil map[target.ID]time.Duration
}

// NewPlan returns a Plan whose groups have no replicas yet.
func NewPlan(snap *release.Snapshot) *Plan {
	return &Plan{Snapshot: snap, Groups: make([]ReplicaGroup, len(snap.Shards)), missingUntil: map[target.ID]time.Duration{}}
}

// MarkMissing records that a target counts as not holding the snapshot until the given
// monotonic time.
func (p *Plan) MarkMissing(id target.ID, until time.Duration) { p.missingUntil[id] = until }

// ClearMissing records that a target may hold the snapshot.
func (p *Plan) ClearMissing(id target.ID) {
	if len(p.missingUntil) > 0 {
		delete(p.missingUntil, id)
	}
}

// IsMissing reports whether the target counts as not holding the snapshot.
func (p *Plan) IsMissing(id target.ID, now time.Duration) bool {
	return len(p.missingUntil) > 0 && now < p.missingUntil[id]
}

// HasMissing reports whether any target is recorded as not holding the snapshot, including
// records whose time is over.
func (p *Plan) HasMissing() bool { return len(p.missingUntil) > 0 }
