package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

// Send is a request to be sent to a target.
type Send struct {
	Attempt  query.AttemptID
	Target   target.ID
	Spec     *release.Target
	Snapshot *release.Snapshot
	Request  *query.Request
	// Deadline is on the monotonic clock; the target receives the remaining time.
	Deadline time.Duration
	Guard
}

// Guard holds the limits and checks that apply to a request to one target.
type Guard struct {
	// NotAfter is the wall-clock time after which a cold target must refuse the request, 0
	// for a warm target.
	NotAfter time.Duration
	// Incarnation is the target's incarnation as known to this host, 0 if unknown.
	Incarnation uint64
	// CheckIncarnation requires that Incarnation matches the one reported by the health
	// endpoint before the request is sent on a new connection.
	CheckIncarnation bool
	// ProbeConnection requires a preceding call that detects a connection already closed by
	// the target. If the connection breaks after that call, the target was running the
	// request.
	ProbeConnection bool
	// ReservedConnections is the number of connections in this host's share at the target
	// that requests never use. They are reserved for cancellations and health checks.
	ReservedConnections int
}

// Cancel tells a target to stop an attempt whose result is no longer needed.
type Cancel struct {
	Attempt query.AttemptID
	Spec    *release.Target
}

// Answer is the final result of a request, for its caller.
type Answer struct {
	Key      uint64
	Code     result.Code
	Detail   string
	Snapshot release.SnapshotKey
	Coverage float64
	Shards   int
	Missing  []int32
	Hits     []query.Hit
	Attempts int
	Elapsed  time.Duration
}

// Effects are the actions that a step requests from the owner of the engine. The owner
// carries them out, calls Reset and passes the same value to the next step, which avoids
// an allocation for each step.
type Effects struct {
	Sends   []Send
	Cancels []Cancel
	Answers []Answer
	// TargetFacts and QuarantineFacts are new first-hand knowledge to be sent to the peers.
	TargetFacts     []TargetFact
	QuarantineFacts []QuarantineFact
	// ContactRequiredSince is the monotonic time at which the process resumed after a pause,
	// 0 for none. It requests a ContactConfirmed event once the platform or a peer has been
	// reached since then.
	ContactRequiredSince time.Duration
	OnceEffects
	CanaryCalls   []CanaryCall
	CanaryReplies []CanaryReply
}

// Reset empties the effects and keeps the allocated memory.
func (fx *Effects) Reset() {
	clear(fx.Sends)
	clear(fx.Cancels)
	clear(fx.Answers)
	clear(fx.TargetFacts)
	clear(fx.QuarantineFacts)
	fx.Sends = fx.Sends[:0]
	fx.Cancels = fx.Cancels[:0]
	fx.Answers = fx.Answers[:0]
	fx.TargetFacts = fx.TargetFacts[:0]
	fx.QuarantineFacts = fx.QuarantineFacts[:0]
	fx.ContactRequiredSince = 0
	fx.resetOnce()
	clear(fx.CanaryCalls)
	clear(fx.CanaryReplies)
	fx.CanaryCalls = fx.CanaryCalls[:0]
	fx.CanaryReplies = fx.CanaryReplies[:0]
}
