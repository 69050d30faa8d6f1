package control

import (
	"time"

	"pollentack.example/pollentack/internal/core/callschedule"
	"pollentack.example/pollentack/internal/core/release"
)

// Event is an input to the core.
type Event interface{ event() }

// NoteRead reports a published note that was read from the platform or a peer, or a
// peer's whole state as a baseline note. Faults are the faults in its encoding; a note
// that has any is refused as a whole.
type NoteRead struct {
	// Number is the number under which the note was published.
	Number uint64
	Note   *release.Note
	Faults []release.Fault
}

// HostEntry is one entry of the platform's list of live and leaving hosts.
type HostEntry struct {
	Name    string
	Leaving bool
}

// CallResult reports the result of a call to the platform.
type CallResult struct {
	Result callschedule.Result
	// Began is the time at which the call was made, on the monotonic clock.
	Began time.Duration
	// Note is the note that the call read, nil if no note was read.
	Note *NoteRead
	// Hosts is the list that a call of kind callschedule.KindHosts read.
	Hosts []HostEntry
}

// PeerNoteNumber reports that a peer has note Number in force.
type PeerNoteNumber struct{ Number uint64 }

// CallPlatform requests an immediate call to the platform.
type CallPlatform struct{}

func (*NoteRead) event()       {}
func (*CallResult) event()     {}
func (*PeerNoteNumber) event() {}
func (*CallPlatform) event()   {}

// Rejection is a refused note with the faults for which it was refused.
type Rejection struct {
	Number uint64          `json:"number"`
	Faults []release.Fault `json:"faults"`
}

// Effects are the actions that the caller of a step must carry out.
type Effects struct {
	// InForce is the new state in force, nil if the step did not change it.
	InForce *release.State
	// Rejected lists the notes that this step refused for faults not reported before.
	Rejected []Rejection
	// Calls are the calls to make to the platform. Each is answered with a CallResult.
	Calls []callschedule.Call
	// LeavingHosts names the hosts that the platform's list newly marks as leaving.
	LeavingHosts []string
	// PlatformReachedAt is the time at which a successful call was made, 0 if there was none.
	PlatformReachedAt time.Duration
}

// Reset clears the effects.
func (fx *Effects) Reset() { *fx = Effects{} }
