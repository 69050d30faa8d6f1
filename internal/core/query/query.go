// Package query holds the state of a query in progress: the snapshot that it is pinned to,
// the attempts at each shard, the merged replies, and the coverage of the answer.
package query

import (
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/release"
)

// ID identifies a query within one host incarnation. A query that restarts on another
// snapshot gets a new ID, so that replies to its earlier attempts do not match.
type ID uint64

// AttemptID identifies one request to one target.
type AttemptID struct {
	Query ID
	Shard int32
	// Try is the number of the attempt at the shard, from 0, including hedges and retries.
	Try int32
}

// Request is a caller's query.
type Request struct {
	// Key identifies the waiting caller to the front end.
	Key     uint64
	KeyHash [32]byte
	Service string
	Body    []byte
	// Limit is the number of hits wanted.
	Limit int
	// Timeout is set by the caller; 0 selects the timeout of the service's policy.
	Timeout time.Duration
	// TraceParent is the W3C trace context of the caller's span.
	TraceParent string
}

// Query is one query in progress.
type Query struct {
	ID       ID
	Request  *Request
	Policy   release.Policy
	Service  *Service
	Plan     *Plan
	Started  time.Duration
	Deadline time.Duration
	Shards   []ShardState
	// Answered is the number of distinct shards whose complete reply arrived.
	Answered int
	// Lost is the number of shards that can no longer be answered.
	Lost int
	// AnsweredWeight is the total weight of the answered shards.
	AnsweredWeight float64
	// Top holds the best hits so far.
	Top Top
	// Attempts counts all requests sent, hedges and retries included.
	Attempts int
	// Hedges counts the hedges sent.
	Hedges int
	// OpenAttempts is the number of attempts in progress.
	OpenAttempts int
	// MayHaveRun is set once a target may have executed an attempt.
	MayHaveRun bool
	// SnapshotRetired is set once a shard was lost because no usable replica holds the
	// snapshot.
	SnapshotRetired bool
	// Restarts counts how often the query restarted on another snapshot.
	Restarts int
	// Canary is set for a body that is not known to run without a crash.
	Canary Canary
	// Unsettled lists the unsettled shards, which a hedge or a retry may still complete. It
	// is empty until the first check for late shards.
	Unsettled []int32
}

// Reset prepares q to start on plan under a new ID, reusing its memory. The request,
// policy, times and the counts of attempts and restarts stay.
func (q *Query) Reset(id ID, plan *Plan) {
	q.ID = id
	q.Plan = plan
	q.Answered, q.Lost, q.AnsweredWeight, q.Hedges = 0, 0, 0, 0
	q.SnapshotRetired = false
	q.Canary = Canary{}
	q.Unsettled = q.Unsettled[:0]
	q.Top.Reset(q.Request.Limit)
	n := len(plan.Groups)
	q.Shards = slices.Grow(q.Shards[:0], n)[:n]
	clear(q.Shards)
}

// Snapshot returns the snapshot that the query is pinned to.
func (q *Query) Snapshot() *release.Snapshot { return q.Plan.Snapshot }

// Complete reports whether every shard has answered.
func (q *Query) Complete() bool { return q.Answered == len(q.Shards) }

// Settled reports whether every shard has answered or is lost.
func (q *Query) Settled() bool { return q.Answered+q.Lost == len(q.Shards) }

// Coverage returns the weighted share of the shards that answered, 0 to 1.
func (q *Query) Coverage() float64 {
	if q.Complete() {
		return 1
	}
	total := q.Snapshot().Weight
	if total == 0 {
		return 0
	}
	return q.AnsweredWeight / total
}

// MergeReply merges the complete reply of a shard and reports whether it did so. It ignores
// a second reply of a shard and a reply from another snapshot.
func (q *Query) MergeReply(shard int32, from release.SnapshotKey, hits []Hit) bool {
	state := &q.Shards[shard]
	snap := q.Snapshot()
	if state.Answered || from != snap.Key() {
		return false
	}
	if state.Lost {
		state.Lost = false
		q.Lost--
	}
	state.Answered = true
	state.Waiting = false
	q.Answered++
	q.AnsweredWeight += snap.Shards[shard].Weight
	q.Top.Add(hits)
	return true
}

// MarkLost records that a shard can no longer be answered, unless it has been answered.
func (q *Query) MarkLost(shard int32) {
	state := &q.Shards[shard]
	if state.Settled() {
		return
	}
	state.Lost = true
	state.Waiting = false
	q.Lost++
}

// UnansweredShards returns the shards that have not answered, in ascending order.
func (q *Query) UnansweredShards() []int32 {
	var missing []int32
	for i := range q.Shards {
		if !q.Shards[i].Answered {
			missing = append(missing, int32(i))
		}
	}
	return missing
}
