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

// TargetFact is what one host knows first hand of a target. Facts only grow: of two,
// the higher incarnation wins, and within one incarnation leaving and the higher warmth
// level win.
type TargetFact struct {
	Target      string
	Incarnation uint64
	Cold        bool
	// Level is the number of clean warm-up windows so far.
	Level   int32
	Leaving bool
}

// Conviction is what counts against a request fingerprint, each part until a wall-clock
// time; the latest expiry of each wins.
type Conviction struct {
	Fingerprint uint64
	// Until is how long the fingerprint is barred, 0 for one that is not.
	Until time.Duration
	// Suspect is how long the death of one target counts, also at another home than the
	// one that saw it.
	Suspect time.Duration
}

// Expired reports whether neither part counts any more.
func (c *Conviction) Expired(wall time.Duration) bool { return max(c.Until, c.Suspect) <= wall }

// PeerFacts is what peers know; first-hand outcomes outrank it.
type PeerFacts struct {
	Targets     []TargetFact
	Convictions []Conviction
}

// Isolation tells whether this host reaches neither the platform nor a peer.
type Isolation struct{ Isolated bool }

// Outcome is how one attempt ended.
type Outcome int

// Outcomes. Only Answered carries a whole reply. Shed, Unreachable, SnapshotGone,
// ColdRefused and Unsent are known not to have run; the others may have.
const (
	Answered Outcome = iota + 1
	Shed
	Unreachable
	SnapshotGone
	ColdRefused
	Lost
	Cancelled
	// Unsent never left this host, which had no connection or time for it.
	Unsent
	// Truncated is a reply that lacks hits, Crossed one to another attempt.
	Truncated
	Crossed
)

var outcomeNames = [...]string{"", "answered", "shed", "unreachable", "snapshot_gone", "cold_refused", "lost", "cancelled", "unsent", "truncated", "crossed"}

// String returns the outcome's name in logs and traces.
func (o Outcome) String() string { return outcomeNames[o] }

// NotRun reports whether the target is known not to have run the attempt.
func (o Outcome) NotRun() bool {
	return o == Shed || o == Unreachable || o == SnapshotGone || o == ColdRefused || o == Unsent
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
	// Disconnected tells that a connection to the target was refused or broke.
	Disconnected bool
	// ClaimedIncarnation is what the health endpoint said over a new connection, where it
	// was another than the send's and the request was held back.
	ClaimedIncarnation uint64
}

// Health is what a target's health endpoint says; it lags and may mislead.
type Health struct {
	Target target.ID
	// Name is set in place of Target by a sender that knows no IDs.
	Name        string
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
func (*PeerFacts) event()  {}
func (*Isolation) event()  {}
