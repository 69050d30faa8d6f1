// Package query holds one query's life: the snapshot it is pinned to, the attempt at
// each shard, the replies gathered, and the coverage that the answer truly has.
package query

import (
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/target"
)

// ID numbers the queries of one host incarnation.
type ID uint64

// AttemptID identifies one request to one target.
type AttemptID struct {
	Query ID
	Shard int32
	// Try counts the attempts at the shard from 0, hedges included.
	Try int32
}

// Hit is one document found.
type Hit struct {
	Doc   string  `json:"doc"`
	Score float64 `json:"score"`
	Title string  `json:"title,omitempty"`
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

// Attempt is one request to one target that is in progress.
type Attempt struct {
	Target target.ID
	Sent   time.Duration
	Open   bool
}

// maxTries bounds the attempts at one shard: the first, its hedge and one retry.
const maxTries = 3

// Slot is the state of one shard of the query.
type Slot struct {
	Done  bool
	Tries int32
	Tried [maxTries]Attempt
}

// Open returns the number of attempts in progress.
func (s *Slot) Open() int {
	n := 0
	for i := range s.Tries {
		if s.Tried[i].Open {
			n++
		}
	}
	return n
}

// CanTry reports whether another attempt is allowed.
func (s *Slot) CanTry() bool { return !s.Done && s.Tries < maxTries }

// Begin records a new attempt and returns its number.
func (s *Slot) Begin(t target.ID, now time.Duration) int32 {
	try := s.Tries
	s.Tried[try] = Attempt{Target: t, Sent: now, Open: true}
	s.Tries++
	return try
}

// Query is one query in progress.
type Query struct {
	ID       ID
	Request  *Request
	Policy   release.Policy
	Snapshot *release.Snapshot
	// Replicas lists the targets of each shard of the snapshot.
	Replicas [][]target.ID
	Started  time.Duration
	Deadline time.Duration
	Slots    []Slot
	// Answered is the number of distinct shards whose whole reply arrived.
	Answered int
	// Weight is the weight of those shards.
	Weight float64
	Hits   []Hit
	// Attempts counts all requests sent, hedges and retries included.
	Attempts int
}

// Complete reports whether every shard has answered.
func (q *Query) Complete() bool { return q.Answered == len(q.Slots) }

// Coverage is the weighted share of shards that answered, 0 to 1.
func (q *Query) Coverage() float64 {
	if q.Complete() {
		return 1
	}
	if q.Snapshot.Weight == 0 {
		return 0
	}
	return q.Weight / q.Snapshot.Weight
}

// Gather counts the whole reply of a shard; a second reply of a shard counts nothing.
func (q *Query) Gather(shard int32, hits []Hit) bool {
	slot := &q.Slots[shard]
	if slot.Done {
		return false
	}
	slot.Done = true
	q.Answered++
	q.Weight += q.Snapshot.Shards[shard].Weight
	q.Hits = append(q.Hits, hits...)
	return true
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

// Merge returns the best hits, by score and then by document, so that equal replies
// give equal answers in whatever order they came.
func (q *Query) Merge() []Hit {
	slices.SortFunc(q.Hits, betterFirst)
	if len(q.Hits) > q.Request.Limit {
		q.Hits = q.Hits[:q.Request.Limit]
	}
	return q.Hits
}

func betterFirst(a, b Hit) int {
	switch {
	case a.Score > b.Score:
		return -1
	case a.Score < b.Score:
		return 1
	case a.Doc < b.Doc:
		return -1
	case a.Doc > b.Doc:
		return 1
	}
	return 0
}
