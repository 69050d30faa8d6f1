package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/quarantine"
)

// CanaryCall asks the home of a fingerprint for a lease, or reports the end of a lease.
type CanaryCall struct {
	Host        string
	Fingerprint quarantine.Fingerprint
	// LeaseTime is how long the requested lease must last. It is set only in a request for a
	// lease.
	LeaseTime time.Duration
	// Lease and Outcome are set in a report, and Incarnation if it reports a target's death.
	Lease       uint64
	Outcome     quarantine.RunOutcome
	Incarnation quarantine.IncarnationHash
}

// CanaryCallDone is the result of a CanaryCall.
type CanaryCallDone struct {
	Call CanaryCall
	// Answer is nil if the home did not answer.
	Answer *quarantine.LeaseAnswer
	// NeverSent is set if the home cannot have received the call.
	NeverSent bool
}

// PeerCanaryCall is a call of a peer. It is answered with a CanaryReply with the same key.
type PeerCanaryCall struct {
	Key  uint64
	Call CanaryCall
}

// CanaryReply answers a PeerCanaryCall.
type CanaryReply struct {
	Key    uint64
	Answer quarantine.LeaseAnswer
}

// PeerStateReceived reports that this host has received the state of its peers after its
// start.
type PeerStateReceived struct{}

func (*PeerStateReceived) event() {}
func (*CanaryCallDone) event()    {}
func (*PeerCanaryCall) event()    {}
