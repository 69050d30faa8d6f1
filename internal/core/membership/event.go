// Package membership is the core of the mesh between hosts. It selects the peers to which
// a host keeps persistent links, exchanges facts with them in heartbeats, fetches missing
// release notes from them, and detects that this host is isolated. It does no input or
// output.
package membership

import (
	"cmp"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
)

// Incarnation identifies one run of a host's process. An incarnation that started later is
// higher.
type Incarnation struct {
	// Started is the wall-clock start of the process in nanoseconds.
	Started uint64
	// Nonce is random and distinguishes two starts at the same time.
	Nonce uint64
}

// Compare orders incarnations by start time, then by nonce.
func (i Incarnation) Compare(o Incarnation) int {
	if c := cmp.Compare(i.Started, o.Started); c != 0 {
		return c
	}
	return cmp.Compare(i.Nonce, o.Nonce)
}

// Heartbeat carries a digest of the sender's facts and the facts that the receiver lacks.
type Heartbeat struct {
	Sequence uint64
	// EchoedSequence is the highest sequence number that the sender received from the
	// receiver.
	EchoedSequence uint64
	// NoteNumber is the number of the release note in force at the sender.
	NoteNumber uint64
	// Hash is a hash of all facts of the sender.
	Hash uint64
	// From and UpTo delimit the part of the sender's log that this heartbeat carries. A
	// receiver that has merged the log up to From has merged it up to UpTo afterwards.
	From uint64
	UpTo uint64
	// MergedUpTo is the position in the receiver's log that the sender has merged.
	MergedUpTo      uint64
	TargetFacts     []engine.TargetFact
	QuarantineFacts []engine.QuarantineFact
	// Leaving reports that the sender is shutting down.
	Leaving bool
	// RequestReply requests an immediate reply.
	RequestReply bool
}

// Event is an input to the core.
type Event interface{ event() }

// StateInForce reports that a new state is in force on this host.
type StateInForce struct{ State *release.State }

// LinkUp reports a new link to a peer.
type LinkUp struct {
	Peer        string
	Incarnation Incarnation
}

// LinkDown reports that a link to a peer has closed.
type LinkDown struct {
	Peer        string
	Incarnation Incarnation
}

// HeartbeatReceived reports a heartbeat from a peer.
type HeartbeatReceived struct {
	Peer        string
	Incarnation Incarnation
	Heartbeat   *Heartbeat
}

// PlatformReached reports that a call to the platform that began at Began succeeded.
type PlatformReached struct{ Began time.Duration }

// LocalFacts holds facts that this host observed itself.
type LocalFacts struct {
	TargetFacts     []engine.TargetFact
	QuarantineFacts []engine.QuarantineFact
}

// ConfirmContact requests confirmed contact with the platform or a peer at or after Since.
type ConfirmContact struct{ Since time.Duration }

// FetchEnded reports the end of a fetch of notes from a peer. HighestNumber is the highest
// number of a fetched note, 0 if there was none.
type FetchEnded struct {
	Peer          string
	HighestNumber uint64
}

// Drain reports that this host is shutting down.
type Drain struct{}

func (*StateInForce) event()      {}
func (*LinkUp) event()            {}
func (*LinkDown) event()          {}
func (*HeartbeatReceived) event() {}
func (*PlatformReached) event()   {}
func (*LocalFacts) event()        {}
func (*ConfirmContact) event()    {}
func (*FetchEnded) event()        {}
func (*Drain) event()             {}
