package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

// Send asks for one request to one target.
type Send struct {
	Attempt  query.AttemptID
	Target   target.ID
	Spec     *release.Target
	Snapshot *release.Snapshot
	Request  *query.Request
	// Deadline is on the monotonic clock; the target is told what is left of it.
	Deadline time.Duration
	Guard
}

// Guard bounds a request at its target.
type Guard struct {
	// NotAfter is the wall-clock time after which a cold target must refuse the request,
	// 0 for a warm one.
	NotAfter time.Duration
	// Incarnation is the target's incarnation as the host knows it, 0 for unknown.
	Incarnation uint64
	// Check asks to compare it with the health endpoint's before the request goes out on
	// a new connection.
	Check bool
	// Probe asks for a call first that finds out whether the target has ended the
	// connection, so that a loss after it is the loss of a target that runs the request.
	Probe bool
	// Spare is the part of this host's share of the target's connections that requests
	// never use, left for cancellations and health checks.
	Spare int
}

// Cancel asks a target to give up an attempt that has lost.
type Cancel struct {
	Attempt query.AttemptID
	Spec    *release.Target
}

// Answer ends a request towards its caller.
type Answer struct {
	Key      uint64
	Code     result.Code
	Detail   string
	Snapshot release.Key
	Coverage float64
	Shards   int
	Missing  []int32
	Hits     []query.Hit
	Attempts int
	Elapsed  time.Duration
}

// Effects are what a step asks its caller to do. The caller carries them out, then
// calls Reset and hands the same value to the next step, so that a step allocates none.
type Effects struct {
	Sends   []Send
	Cancels []Cancel
	Answers []Answer
	// Facts and Convictions are new first-hand knowledge for the peers.
	Facts       []TargetFact
	Convictions []Conviction
	// WordWanted is the instant of a late wake, after which a word from the platform or
	// a peer is wanted; 0 for none.
	WordWanted time.Duration
	OnceEffects
	CanaryCalls   []CanaryCall
	CanaryReplies []CanaryReply
}

// Reset empties the effects and keeps their memory.
func (fx *Effects) Reset() {
	clear(fx.Sends)
	clear(fx.Cancels)
	clear(fx.Answers)
	clear(fx.Facts)
	clear(fx.Convictions)
	fx.Sends = fx.Sends[:0]
	fx.Cancels = fx.Cancels[:0]
	fx.Answers = fx.Answers[:0]
	fx.Facts = fx.Facts[:0]
	fx.Convictions = fx.Convictions[:0]
	fx.WordWanted = 0
	fx.resetOnce()
	clear(fx.CanaryCalls)
	clear(fx.CanaryReplies)
	fx.CanaryCalls = fx.CanaryCalls[:0]
	fx.CanaryReplies = fx.CanaryReplies[:0]
}
