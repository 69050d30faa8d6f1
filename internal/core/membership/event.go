// Package membership is the core of the mesh: which peers a host keeps links to, what it
// tells them and what it learns from them.
package membership

import (
	"cmp"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
)

// Incarnation tells the runs of one host apart; the later start is the higher.
type Incarnation struct {
	// Started is the wall-clock start of the process in nanoseconds.
	Started uint64
	// Nonce is random, for two starts in one instant.
	Nonce uint64
}

// Compare orders incarnations.
func (i Incarnation) Compare(o Incarnation) int {
	if c := cmp.Compare(i.Started, o.Started); c != 0 {
		return c
	}
	return cmp.Compare(i.Nonce, o.Nonce)
}

// Heartbeat carries a digest of what the sender knows and what the receiver lacks.
type Heartbeat struct {
	Sequence uint64
	// Echo is the highest sequence that the sender heard from the receiver.
	Echo uint64
	// Note is the number in force at the sender.
	Note uint64
	// Hash covers all facts and convictions of the sender.
	Hash uint64
	// From and UpTo are the positions in the sender's log between which this heartbeat
	// tells; whoever has merged up to From has then merged up to UpTo.
	From uint64
	UpTo uint64
	// Merged is the position in the receiver's log that the sender has merged.
	Merged      uint64
	Facts       []engine.TargetFact
	Convictions []engine.Conviction
	// Leaving tells that the sender is shutting down.
	Leaving bool
	// Ask asks for an answer at once.
	Ask bool
}

// Event is something that happened outside the core.
type Event interface{ event() }

// InForce tells that a new state is in force on this host.
type InForce struct{ State *release.State }

// LinkUp tells of a new link to a peer.
type LinkUp struct {
	Peer        string
	Incarnation Incarnation
}

// LinkDown tells that a link has ended.
type LinkDown struct {
	Peer        string
	Incarnation Incarnation
}

// Heard is a heartbeat from a peer.
type Heard struct {
	Peer        string
	Incarnation Incarnation
	Heartbeat   *Heartbeat
}

// PlatformWord tells that a call to the platform, begun at Began, succeeded.
type PlatformWord struct{ Began time.Duration }

// LocalFacts is first-hand knowledge of this host.
type LocalFacts struct {
	Facts       []engine.TargetFact
	Convictions []engine.Conviction
}

// WordWanted asks for a word from the platform or a peer that is not older than Since.
type WordWanted struct{ Since time.Duration }

// FetchEnded tells that a fetch of notes from a peer is over. Number is the highest
// that it brought, 0 for none.
type FetchEnded struct {
	Peer   string
	Number uint64
}

// Drain tells that this host is shutting down.
type Drain struct{}

func (*InForce) event()      {}
func (*LinkUp) event()       {}
func (*LinkDown) event()     {}
func (*Heard) event()        {}
func (*PlatformWord) event() {}
func (*LocalFacts) event()   {}
func (*WordWanted) event()   {}
func (*FetchEnded) event()   {}
func (*Drain) event()        {}
