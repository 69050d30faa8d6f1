// Package control is the core of the control plane. It applies release notes to the state
// in force and decides, through package callschedule, when to call the platform. It does no
// input or output.
//
// A Control is used like an Engine of package engine: a single goroutine passes each
// event to Step, calls Advance at NextWake and carries out the effects. The number of the
// note in force never decreases.
package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/callschedule"
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/release"
)

const (
	// maxWaiting is the maximum number of notes that wait for their predecessor.
	maxWaiting = 64
	// maxRejected is the maximum number of rejections kept for status reports.
	maxRejected = 16
	// maxFaults is the maximum number of faults kept for one note.
	maxFaults = 32
)

// Control holds the state in force, the waiting notes and the rejections.
type Control struct {
	state *release.State
	// waiting holds notes by number until their predecessor is in force.
	waiting      map[uint64]*release.Note
	rejected     []Rejection
	leavingHosts map[string]bool
	scheduler    *callschedule.Scheduler
	recentNotes  []*release.Note
}

// New returns a Control with no state in force.
func New(cfg callschedule.Config) *Control {
	return &Control{waiting: map[uint64]*release.Note{}, leavingHosts: map[string]bool{}, scheduler: callschedule.New(cfg)}
}

// Step handles one event.
func (c *Control) Step(now clock.Instant, ev Event, fx *Effects) {
	switch ev := ev.(type) {
	case *NoteRead:
		c.handleNote(ev, fx)
	case *CallResult:
		c.handleCallResult(now, ev, fx)
	case *PeerNoteNumber:
		c.scheduler.PeerNoteActive(now, ev.Number)
	case *CallPlatform:
		c.scheduler.RequestHead()
	}
}

// Advance adds the calls that are due at now to fx.
func (c *Control) Advance(now clock.Instant, fx *Effects) {
	fx.Calls = append(fx.Calls, c.scheduler.Advance(now)...)
}

// NextWake returns the monotonic time at which Advance must next be called.
func (c *Control) NextWake(now clock.Instant) time.Duration { return c.scheduler.NextWake(now) }

// Number returns the number of the note in force, 0 before the first.
func (c *Control) Number() uint64 {
	if c.state == nil {
		return 0
	}
	return c.state.Number
}

// State returns the state in force, or nil before the first baseline.
func (c *Control) State() *release.State { return c.state }

// Rejected returns a copy of the rejections that are kept, sorted by note number.
func (c *Control) Rejected() []Rejection { return slices.Clone(c.rejected) }

// Waiting returns the sorted numbers of the notes that wait for their predecessor.
func (c *Control) Waiting() []uint64 { return slices.Sorted(maps.Keys(c.waiting)) }

func (c *Control) handleCallResult(now clock.Instant, ev *CallResult, fx *Effects) {
	if ev.Note != nil {
		c.handleNote(ev.Note, fx)
	}
	c.scheduler.CallEnded(now, &ev.Result)
	if ev.Result.Failed {
		return
	}
	fx.PlatformReachedAt = ev.Began
	if ev.Result.Call.Kind == callschedule.KindHosts {
		c.reportLeavingHosts(ev.Hosts, fx)
	}
}

// reportLeavingHosts reports each host once, when the platform's list first marks it as
// leaving. The list lags behind the host's own reports and must not override them
// later.
func (c *Control) reportLeavingHosts(hosts []HostEntry, fx *Effects) {
	leaving := make(map[string]bool, len(c.leavingHosts))
	for i := range hosts {
		name := hosts[i].Name
		if !hosts[i].Leaving || leaving[name] {
			continue
		}
		leaving[name] = true
		if !c.leavingHosts[name] {
			fx.LeavingHosts = append(fx.LeavingHosts, name)
		}
	}
	c.leavingHosts = leaving
}

func (c *Control) handleNote(ev *NoteRead, fx *Effects) {
	n := ev.Note
	switch {
	case ev.Number <= c.Number():
	case len(ev.Faults) > 0:
		c.reject(ev.Number, ev.Faults, fx)
	case n.Number != ev.Number:
		reason := fmt.Sprintf("number is %d, but the note is published under %d", n.Number, ev.Number)
		c.reject(ev.Number, []release.Fault{{Item: "note", Key: "number", Reason: reason}}, fx)
	case !n.Baseline && n.Follows > c.Number():
		c.holdNote(n)
	default:
		c.applyNote(n, fx)
		c.applyWaiting(fx)
	}
}

// holdNote keeps a note whose predecessor is not in force yet. If there are too many, it
// drops the highest number: the lowest are applied first, and a dropped note is read
// again.
func (c *Control) holdNote(n *release.Note) {
	c.waiting[n.Number] = n
	if len(c.waiting) > maxWaiting {
		delete(c.waiting, slices.Max(slices.Collect(maps.Keys(c.waiting))))
	}
}

// applyWaiting applies the waiting notes whose predecessor is now in force.
func (c *Control) applyWaiting(fx *Effects) {
	for _, number := range c.Waiting() {
		n := c.waiting[number]
		if n.Follows > c.Number() {
			continue
		}
		delete(c.waiting, number)
		if number > c.Number() {
			c.applyNote(n, fx)
		}
	}
}

// applyNote puts the state that results from n in force, or rejects n.
func (c *Control) applyNote(n *release.Note, fx *Effects) {
	next, faults := release.Apply(c.state, n)
	if len(faults) > 0 {
		c.reject(n.Number, faults, fx)
		return
	}
	c.state = next
	c.keepRecent(n)
	fx.InForce = next
	c.rejected = slices.DeleteFunc(c.rejected, func(r Rejection) bool { return r.Number == n.Number })
	c.scheduler.SetActive(next)
}

// reject records a refused note and reports it, unless the same faults were already
// recorded for it. Beyond maxRejected it drops the lowest number.
func (c *Control) reject(number uint64, faults []release.Fault, fx *Effects) {
	if len(faults) > maxFaults {
		omitted := release.Fault{Reason: fmt.Sprintf("%d more faults", len(faults)-maxFaults)}
		faults = append(slices.Clone(faults[:maxFaults]), omitted)
	}
	r := Rejection{Number: number, Faults: faults}
	index, found := slices.BinarySearchFunc(c.rejected, number, func(r Rejection, n uint64) int {
		switch {
		case r.Number < n:
			return -1
		case r.Number > n:
			return 1
		}
		return 0
	})
	if found {
		if slices.Equal(c.rejected[index].Faults, faults) {
			return
		}
		c.rejected[index] = r
	} else {
		c.rejected = slices.Insert(c.rejected, index, r)
	}
	if len(c.rejected) > maxRejected {
		c.rejected = c.rejected[1:]
	}
	fx.Rejected = append(fx.Rejected, r)
}
