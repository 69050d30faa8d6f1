package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/target"
)

// Event is an input of the engine.
type Event interface{ event() }

// Submit is a query of a caller.
type Submit struct{ Request *query.Request }

// CallerGone reports that the caller of the request with this key no longer waits.
type CallerGone struct{ Key uint64 }

// Release puts a configuration in force.
type Release struct{ State *release.State }

// Drain starts the graceful shutdown; new requests are refused from then on.
type Drain struct{}

// TargetFact is first-hand knowledge of one host about a target. Merging is monotonic:
// the higher incarnation wins, and within one incarnation Leaving wins, and so does the
// higher warm-up level.
type TargetFact struct {
	Target      string
	Incarnation uint64
	Cold        bool
	// WarmUpLevel is the number of warm-up windows that ended without failures.
	WarmUpLevel int32
	Leaving     bool
}

// QuarantineFact is the evidence against a request fingerprint. Each part is valid until a
// wall-clock time; on merging, the later expiry of each part wins.
type QuarantineFact struct {
	Fingerprint uint64
	// QuarantinedUntil is when the quarantine of the fingerprint ends, 0 if it is not
	// quarantined.
	QuarantinedUntil time.Duration
	// SuspectedUntil is when the death of one target stops counting against the
	// fingerprint, also at a home other than the one that recorded it.
	SuspectedUntil time.Duration
}

// Expired reports whether both parts have expired.
func (c *QuarantineFact) Expired(wall time.Duration) bool {
	return max(c.QuarantinedUntil, c.SuspectedUntil) <= wall
}

// PeerFacts is the knowledge of other hosts; first-hand outcomes take precedence.
type PeerFacts struct {
	TargetFacts     []TargetFact
	QuarantineFacts []QuarantineFact
}

// Isolation reports whether this host can reach neither the platform nor any peer.
type Isolation struct{ Isolated bool }

// Outcome is the result of one attempt.
type Outcome int

// Outcomes of an attempt. Only Answered carries a complete reply. Attempts that ended in
// Shed, Unreachable, SnapshotGone, ColdRefused or Unsent are known not to have run; the
// others may have run.
const (
	Answered Outcome = iota + 1
	Shed
	Unreachable
	SnapshotGone
	ColdRefused
	Lost
	Cancelled
	// Unsent is an attempt that never left this host, for lack of a connection or of time.
	Unsent
	// Truncated is a reply with missing hits, Crossed a reply to another attempt.
	Truncated
	Crossed
)

var outcomeNames = [...]string{"", "answered", "shed", "unreachable", "snapshot_gone", "cold_refused", "lost", "cancelled", "unsent", "truncated", "crossed"}

// String returns the name of the outcome in logs and traces.
func (o Outcome) String() string { return outcomeNames[o] }

// NotRun reports whether the target is known not to have run the attempt.
func (o Outcome) NotRun() bool {
	return o == Shed || o == Unreachable || o == SnapshotGone || o == ColdRefused || o == Unsent
}

// AttemptResult is the result of one attempt as the target client observed it.
type AttemptResult struct {
	Attempt query.AttemptID
	Target  target.ID
	Outcome Outcome
	// Snapshot is the snapshot from which the target claims to have answered.
	Snapshot release.SnapshotKey
	// Incarnation, Cold and Leaving are reported by the target itself, zero if it reported
	// none.
	Incarnation uint64
	Cold        bool
	Leaving     bool
	Hits        []query.Hit
	Elapsed     time.Duration
	// Disconnected is set if a connection to the target was refused or broke.
	Disconnected bool
	// ClaimedIncarnation is set if the health endpoint reported, over a new connection,
	// another incarnation than the one in the send; the request was then not sent.
	ClaimedIncarnation uint64
}

// HealthReport is a report of a target's health endpoint; it may be out of date or wrong.
type HealthReport struct {
	Target target.ID
	// Name identifies the target instead of Target if the sender has no target IDs.
	Name        string
	Reachable   bool
	Incarnation uint64
	Cold        bool
	Leaving     bool
	Snapshots   []release.SnapshotKey
}

func (*Submit) event()        {}
func (*CallerGone) event()    {}
func (*Release) event()       {}
func (*Drain) event()         {}
func (*AttemptResult) event() {}
func (*HealthReport) event()  {}
func (*PeerFacts) event()     {}
func (*Isolation) event()     {}
