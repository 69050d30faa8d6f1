package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/target"
)

// Event is something that happened outside the core.
type Event interface{ event() }

// Submit is a caller's query.
type Submit struct{ Request *query.Request }

// CallerGone tells that the caller of the request with this key no longer waits.
type CallerGone struct{ Key uint64 }

// Release puts a new state in force.
type Release struct{ State *release.State }

// Drain begins the graceful shutdown: no new work from now on.
type Drain struct{}

// Outcome is how one attempt ended.
type Outcome int

// Outcomes. Only Answered carries a whole reply. Shed, Unreachable, SnapshotGone and
// ColdRefused are known not to have run; Lost and Cancelled may have.
const (
	Answered Outcome = iota + 1
	Shed
	Unreachable
	SnapshotGone
	ColdRefused
	Lost
	Cancelled
)

// NotRun reports whether the target is known not to have run the attempt.
func (o Outcome) NotRun() bool {
	return o == Shed || o == Unreachable || o == SnapshotGone || o == ColdRefused
}

// Reply is the end of one attempt, as the target client saw it.
type Reply struct {
	Attempt query.AttemptID
	Target  target.ID
	Outcome Outcome
	// Snapshot is what the target says that it answered from.
	Snapshot release.Key
	// Incarnation, Cold and Leaving are the target's own word; zero where it gave none.
	Incarnation uint64
	Cold        bool
	Leaving     bool
	Hits        []query.Hit
	Elapsed     time.Duration
}

// Health is what a target's health endpoint says; it lags and may mislead.
type Health struct {
	Target      target.ID
	Reachable   bool
	Incarnation uint64
	Cold        bool
	Leaving     bool
	Snapshots   []release.Key
}

func (*Submit) event()     {}
func (*CallerGone) event() {}
func (*Release) event()    {}
func (*Drain) event()      {}
func (*Reply) event()      {}
func (*Health) event()     {}
