// Package control is the control plane's core: it folds release notes into the state
// in force.
//
// The contract is that of package engine: one duty owns a Control, steps it with each
// event and carries out the effects. What is in force never goes back.
package control

import (
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/release"
)

// Event is something that happened outside the core.
type Event interface{ event() }

// NoteRead is a published note as it was read. Faults are those of its encoding; a
// note with any is refused whole.
type NoteRead struct {
	Number uint64
	Note   *release.Note
	Faults []release.Fault
}

func (*NoteRead) event() {}

// Rejection says why a note was refused.
type Rejection struct {
	Number uint64          `json:"number"`
	Faults []release.Fault `json:"faults"`
}

// Effects are what a step asks its caller to do.
type Effects struct {
	// InForce is the new state, nil where the step changed nothing.
	InForce *release.State
	// Rejected lists the notes that this step refused.
	Rejected []Rejection
}

// Reset empties the effects.
func (fx *Effects) Reset() { *fx = Effects{} }

// maxPending bounds the notes that wait for their predecessor.
const maxPending = 64

// Control is the control plane's core.
type Control struct {
	state    *release.State
	pending  map[uint64]*release.Note
	rejected []Rejection
	recent   []*release.Note
}

// New returns a Control with nothing in force.
func New() *Control {
	return &Control{pending: map[uint64]*release.Note{}}
}

// Step handles one event.
func (c *Control) Step(_ clock.Instant, ev Event, fx *Effects) {
	if ev, ok := ev.(*NoteRead); ok {
		c.noteRead(ev, fx)
	}
}

// Number returns the number of the note in force, 0 before the first.
func (c *Control) Number() uint64 {
	if c.state == nil {
		return 0
	}
	return c.state.Number
}

// State returns what is in force, nil before the first baseline.
func (c *Control) State() *release.State { return c.state }

// Rejected returns the notes refused so far.
func (c *Control) Rejected() []Rejection { return c.rejected }

func (c *Control) noteRead(ev *NoteRead, fx *Effects) {
	if ev.Number <= c.Number() {
		return
	}
	if len(ev.Faults) > 0 {
		c.reject(ev.Number, ev.Faults, fx)
		return
	}
	if ev.Note.Number != ev.Number {
		c.reject(ev.Number, []release.Fault{{Item: "note", Reason: "number differs from the one it is published under"}}, fx)
		return
	}
	if !ev.Note.Baseline && ev.Note.Follows != c.Number() {
		c.hold(ev.Note)
		return
	}
	c.fold(ev.Note, fx)
	c.foldPending(fx)
}

// hold keeps a note whose predecessor is not in force yet.
func (c *Control) hold(n *release.Note) {
	if n.Follows > c.Number() && len(c.pending) < maxPending {
		c.pending[n.Follows] = n
	}
}

func (c *Control) foldPending(fx *Effects) {
	for {
		n, ok := c.pending[c.Number()]
		if !ok {
			return
		}
		delete(c.pending, n.Follows)
		if !c.fold(n, fx) {
			return
		}
	}
}

func (c *Control) fold(n *release.Note, fx *Effects) bool {
	next, faults := release.Fold(c.state, n)
	if len(faults) > 0 {
		c.reject(n.Number, faults, fx)
		return false
	}
	c.state = next
	c.remember(n)
	fx.InForce = next
	return true
}

func (c *Control) reject(number uint64, faults []release.Fault, fx *Effects) {
	r := Rejection{Number: number, Faults: faults}
	c.rejected = append(c.rejected, r)
	fx.Rejected = append(fx.Rejected, r)
}
