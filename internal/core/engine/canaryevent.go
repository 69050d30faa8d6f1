package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/quarantine"
)

// CanaryCall asks the home of a fingerprint for a lease, or reports the end of one.
type CanaryCall struct {
	Host        string
	Fingerprint quarantine.Fingerprint
	// Within is set in a question: how long the lease must last.
	Within time.Duration
	// Lease and End are set in a report, Victim in one of a death.
	Lease  uint64
	End    quarantine.End
	Victim quarantine.Victim
}

// CanaryAnswered is the end of a CanaryCall.
type CanaryAnswered struct {
	Call CanaryCall
	// Answer is nil where the home gave none.
	Answer *quarantine.Answer
	// NeverSent tells that the home cannot have got the call.
	NeverSent bool
}

// CanaryServe is a peer's call; it is answered with a CanaryReply of the same key.
type CanaryServe struct {
	Key  uint64
	Call CanaryCall
}

// CanaryReply answers a CanaryServe.
type CanaryReply struct {
	Key    uint64
	Answer quarantine.Answer
}

// Settled tells that a host that has started has heard what its peers know.
type Settled struct{}

func (*Settled) event()        {}
func (*CanaryAnswered) event() {}
func (*CanaryServe) event()    {}
