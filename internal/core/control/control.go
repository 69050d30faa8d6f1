// Package control is the control plane's core: it folds release notes into the state
// in force, and decides through package watch when to call the platform.
//
// The contract is that of package engine: one duty owns a Control, steps it with each
// event, advances it when NextWake has come and carries out the effects. What is in
// force never goes back.
package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/watch"
)

const (
	// maxWaiting bounds the notes that wait for their predecessor.
	maxWaiting = 64
	// maxRejected bounds the refused notes that are kept for status reports.
	maxRejected = 16
	// maxFaults bounds the faults that are kept of one note.
	maxFaults = 32
)

// Control is the control plane's core.
type Control struct {
	state *release.State
	// waiting holds notes by number until their predecessor is in force.
	waiting  map[uint64]*release.Note
	rejected []Rejection
	leaving  map[string]bool
	watch    *watch.Watch
	recent   []*release.Note
}

// New returns a Control with nothing in force.
func New(cfg watch.Config) *Control {
	return &Control{waiting: map[uint64]*release.Note{}, leaving: map[string]bool{}, watch: watch.New(cfg)}
}

// Step handles one event.
func (c *Control) Step(now clock.Instant, ev Event, fx *Effects) {
	switch ev := ev.(type) {
	case *NoteRead:
		c.noteRead(ev, fx)
	case *CallEnded:
		c.callEnded(now, ev, fx)
	case *PeerHeard:
		c.watch.PeerHeard(now, ev.Number)
	case *AskPlatform:
		c.watch.Ask()
	}
}

// Advance makes the calls that are due at now.
func (c *Control) Advance(now clock.Instant, fx *Effects) {
	fx.Calls = append(fx.Calls, c.watch.Advance(now)...)
}

// NextWake returns when Advance must next be called.
func (c *Control) NextWake(now clock.Instant) time.Duration { return c.watch.NextWake(now) }

// Number returns the number of the note in force, 0 before the first.
func (c *Control) Number() uint64 {
	if c.state == nil {
		return 0
	}
	return c.state.Number
}

// State returns what is in force, nil before the first baseline.
func (c *Control) State() *release.State { return c.state }

// Rejected returns a copy of the newest refused notes, by number.
func (c *Control) Rejected() []Rejection { return slices.Clone(c.rejected) }

// Waiting returns the numbers of the notes that wait for their predecessor.
func (c *Control) Waiting() []uint64 { return slices.Sorted(maps.Keys(c.waiting)) }

func (c *Control) callEnded(now clock.Instant, ev *CallEnded, fx *Effects) {
	if ev.Note != nil {
		c.noteRead(ev.Note, fx)
	}
	c.watch.Ended(now, &ev.Result)
	if ev.Result.Failed {
		return
	}
	fx.Reached = ev.Began
	if ev.Result.Call.Kind == watch.KindHosts {
		c.hostsRead(ev.Hosts, fx)
	}
}

// hostsRead reports each name once when the list begins to call it leaving: the list
// lags, and must not undo later what the host itself says.
func (c *Control) hostsRead(hosts []HostEntry, fx *Effects) {
	next := make(map[string]bool, len(c.leaving))
	for i := range hosts {
		name := hosts[i].Name
		if !hosts[i].Leaving || next[name] {
			continue
		}
		next[name] = true
		if !c.leaving[name] {
			fx.Leaving = append(fx.Leaving, name)
		}
	}
	c.leaving = next
}

func (c *Control) noteRead(ev *NoteRead, fx *Effects) {
	n := ev.Note
	switch {
	case ev.Number <= c.Number():
	case len(ev.Faults) > 0:
		c.reject(ev.Number, ev.Faults, fx)
	case n.Number != ev.Number:
		reason := fmt.Sprintf("number is %d, but the note is published under %d", n.Number, ev.Number)
		c.reject(ev.Number, []release.Fault{{Item: "note", Key: "number", Reason: reason}}, fx)
	case !n.Baseline && n.Follows > c.Number():
		c.hold(n)
	default:
		c.fold(n, fx)
		c.foldWaiting(fx)
	}
}

// hold keeps a note whose predecessor is not in force yet. The lowest numbers are kept:
// they are the next to be folded, and a note that was dropped is read again.
func (c *Control) hold(n *release.Note) {
	c.waiting[n.Number] = n
	if len(c.waiting) > maxWaiting {
		delete(c.waiting, slices.Max(slices.Collect(maps.Keys(c.waiting))))
	}
}

// foldWaiting folds the notes whose turn has come.
func (c *Control) foldWaiting(fx *Effects) {
	for _, number := range c.Waiting() {
		n := c.waiting[number]
		if n.Follows > c.Number() {
			continue
		}
		delete(c.waiting, number)
		if number > c.Number() {
			c.fold(n, fx)
		}
	}
}

func (c *Control) fold(n *release.Note, fx *Effects) {
	next, faults := release.Fold(c.state, n)
	if len(faults) > 0 {
		c.reject(n.Number, faults, fx)
		return
	}
	c.state = next
	c.remember(n)
	fx.InForce = next
	c.rejected = slices.DeleteFunc(c.rejected, func(r Rejection) bool { return r.Number == n.Number })
	c.watch.InForce(next)
}

// reject keeps the newest refused notes. A note that is read again and refused for the
// same reasons is not told again.
func (c *Control) reject(number uint64, faults []release.Fault, fx *Effects) {
	if len(faults) > maxFaults {
		rest := release.Fault{Reason: fmt.Sprintf("%d more faults", len(faults)-maxFaults)}
		faults = append(slices.Clone(faults[:maxFaults]), rest)
	}
	r := Rejection{Number: number, Faults: faults}
	at, known := slices.BinarySearchFunc(c.rejected, number, func(r Rejection, n uint64) int {
		switch {
		case r.Number < n:
			return -1
		case r.Number > n:
			return 1
		}
		return 0
	})
	if known {
		if slices.Equal(c.rejected[at].Faults, faults) {
			return
		}
		c.rejected[at] = r
	} else {
		c.rejected = slices.Insert(c.rejected, at, r)
	}
	if len(c.rejected) > maxRejected {
		c.rejected = c.rejected[1:]
	}
	fx.Rejected = append(fx.Rejected, r)
}
