package control

import (
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/watch"
)

// Event is something that happened outside the core.
type Event interface{ event() }

// NoteRead is a published note as it was read from the platform, or a peer's fold as a
// baseline note. Faults are those of its encoding; a note with any is refused whole.
type NoteRead struct {
	// Number is the one under which the note was published.
	Number uint64
	Note   *release.Note
	Faults []release.Fault
}

// HostEntry is one row of the platform's list of live and leaving hosts.
type HostEntry struct {
	Name    string
	Leaving bool
}

// CallEnded tells how a call to the platform ended.
type CallEnded struct {
	Result watch.Result
	// Began is when the call was made, on the monotonic clock.
	Began time.Duration
	// Note is what a call for a note read, nil where there is none of that number.
	Note *NoteRead
	// Hosts is what a call for the list of hosts read.
	Hosts []HostEntry
}

// PeerHeard tells that a peer has note Number in force.
type PeerHeard struct{ Number uint64 }

// AskPlatform asks for one call to the platform at once.
type AskPlatform struct{}

func (*NoteRead) event()    {}
func (*CallEnded) event()   {}
func (*PeerHeard) event()   {}
func (*AskPlatform) event() {}

// Rejection says why a note was refused.
type Rejection struct {
	Number uint64          `json:"number"`
	Faults []release.Fault `json:"faults"`
}

// Effects are what a step asks its caller to do.
type Effects struct {
	// InForce is the new state, nil where the step changed nothing.
	InForce *release.State
	// Rejected lists the notes that this step refused for a reason not told before.
	Rejected []Rejection
	// Calls are to be made to the platform, and answered by a CallEnded each.
	Calls []watch.Call
	// Leaving names what the platform's list says to be leaving since this step.
	Leaving []string
	// Reached is when a call that succeeded was made, 0 for none.
	Reached time.Duration
}

// Reset empties the effects.
func (fx *Effects) Reset() { *fx = Effects{} }
