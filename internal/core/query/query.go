// Package query holds one query's life: the snapshot it is pinned to, the attempts at
// each shard, the replies gathered, and the coverage that the answer truly has.
package query

import (
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/release"
)

// ID numbers the queries of one host incarnation. A query that begins again on another
// snapshot takes a new ID, so that no reply to the old attempts can match it.
type ID uint64

// AttemptID identifies one request to one target.
type AttemptID struct {
	Query ID
	Shard int32
	// Try counts the attempts at the shard from 0, hedges included.
	Try int32
}

// Request is what a caller asks.
type Request struct {
	// Key is the front's handle for the caller that waits.
	Key     uint64
	KeyHash [32]byte
	Service string
	Body    []byte
	// Limit is the number of hits wanted.
	Limit int
	// Timeout is the caller's own bound, 0 for the service's policy.
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
	Slots    []Slot
	// Answered is the number of distinct shards whose whole reply arrived.
	Answered int
	// Lost is the number of shards that can no longer be answered.
	Lost int
	// Weight is the weight of the answered shards.
	Weight float64
	// Top holds the best hits so far.
	Top Top
	// Attempts counts all requests sent, hedges and retries included.
	Attempts int
	// Hedges counts the hedges sent.
	Hedges int
	// Open is the number of attempts in progress.
	Open int
	// Ran is set once an attempt may have run.
	Ran bool
	// Retired is set once a shard was lost because no replica holds the snapshot.
	Retired bool
	// Restarts is how often the query began again on another snapshot.
	Restarts int
	// Canary is the state of a body that was not known to run clean.
	Canary Canary
	// Late lists the shards that a hedge or a retry may still help.
	Late []int32
}

// Reset makes q a query that has not begun on plan, and keeps its memory.
func (q *Query) Reset(id ID, plan *Plan) {
	q.ID = id
	q.Plan = plan
	q.Answered, q.Lost, q.Weight, q.Hedges = 0, 0, 0, 0
	q.Retired = false
	q.Canary = Canary{}
	q.Late = q.Late[:0]
	q.Top.Reset(q.Request.Limit)
	n := len(plan.Groups)
	q.Slots = slices.Grow(q.Slots[:0], n)[:n]
	clear(q.Slots)
}

// Snapshot returns the snapshot that the query is pinned to.
func (q *Query) Snapshot() *release.Snapshot { return q.Plan.Snapshot }

// Complete reports whether every shard has answered.
func (q *Query) Complete() bool { return q.Answered == len(q.Slots) }

// Settled reports whether nothing more is awaited from any shard.
func (q *Query) Settled() bool { return q.Answered+q.Lost == len(q.Slots) }

// Coverage is the weighted share of shards that answered, 0 to 1.
func (q *Query) Coverage() float64 {
	if q.Complete() {
		return 1
	}
	total := q.Snapshot().Weight
	if total == 0 {
		return 0
	}
	return q.Weight / total
}

// Gather merges the whole reply of a shard and reports whether it did: a second reply
// of a shard and a reply of another snapshot are not merged.
func (q *Query) Gather(shard int32, from release.Key, hits []Hit) bool {
	slot := &q.Slots[shard]
	snap := q.Snapshot()
	if slot.Done || from != snap.Key() {
		return false
	}
	if slot.Lost {
		slot.Lost = false
		q.Lost--
	}
	slot.Done = true
	slot.Waiting = false
	q.Answered++
	q.Weight += snap.Shards[shard].Weight
	q.Top.Add(hits)
	return true
}

// Lose records that a shard can no longer be answered.
func (q *Query) Lose(shard int32) {
	slot := &q.Slots[shard]
	if slot.Settled() {
		return
	}
	slot.Lost = true
	slot.Waiting = false
	q.Lost++
}

// Missing lists the shards that have not answered.
func (q *Query) Missing() []int32 {
	var missing []int32
	for i := range q.Slots {
		if !q.Slots[i].Done {
			missing = append(missing, int32(i))
		}
	}
	return missing
}
