package control

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"pollentack.example/pollentack/internal/core/callschedule"
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/release"
)

func add(items ...release.Item) []release.Item {
	for i := range items {
		items[i].Op = release.Add
	}
	return items
}

func baselineNote(number uint64) *release.Note {
	return &release.Note{Number: number, Baseline: true, Items: add(
		release.Item{Zone: &release.Zone{Name: "dakar-a", Region: "dakar"}},
		release.Item{Service: &release.Service{Name: "licences"}},
		release.Item{Target: &release.Target{Name: "t0", Service: "licences", Zone: "dakar-a"}},
	)}
}

// addTargetNote returns a note that adds a target. If bad, the target's service does not
// exist.
func addTargetNote(number, follows uint64, bad bool) *release.Note {
	service := "licences"
	if bad {
		service = "gone"
	}
	target := &release.Target{Name: fmt.Sprintf("t%d", number), Service: service, Zone: "dakar-a"}
	return &release.Note{Number: number, Follows: follows, Items: add(release.Item{Target: target})}
}

// publishedNotes is a sequence of notes, some of them invalid, with the state that results
// from each valid one.
type publishedNotes struct {
	notes  []*release.Note
	states map[uint64]*release.State
	last   uint64
}

func drawPublishedNotes(t *rapid.T) *publishedNotes {
	p := &publishedNotes{states: map[uint64]*release.State{}}
	var state *release.State
	for number := uint64(1); number <= 12; number++ {
		n := baselineNote(number)
		bad := false
		if number > 1 && rapid.IntRange(0, 5).Draw(t, "baseline") > 0 {
			bad = rapid.IntRange(0, 3).Draw(t, "bad") == 0
			n = addTargetNote(number, state.Number, bad)
		}
		p.notes = append(p.notes, n)
		if bad {
			continue
		}
		next, faults := release.Apply(state, n)
		if len(faults) > 0 {
			t.Fatalf("note %d is refused: %v", number, faults)
		}
		state = next
		p.states[number] = state
		p.last = number
	}
	return p
}

// drawNoteRead draws a published note that is intact, damaged or read under a wrong number.
func drawNoteRead(t *rapid.T, p *publishedNotes) *NoteRead {
	n := rapid.SampledFrom(p.notes).Draw(t, "note")
	ev := &NoteRead{Number: n.Number, Note: n}
	switch rapid.IntRange(0, 5).Draw(t, "damage") {
	case 0:
		ev.Note = &release.Note{Number: n.Number}
		ev.Faults = []release.Fault{{Line: 3, Reason: "section [end] is missing: the note is truncated"}}
	case 1:
		ev.Number += uint64(rapid.IntRange(1, 20).Draw(t, "forged"))
	}
	return ev
}

// TestDeliveryOrderDoesNotChangeState delivers the published notes to several hosts in any
// order, with some lost, duplicated, damaged or under wrong numbers. The number in force
// must never decrease, and all hosts must have the same state for the same number. Once
// each host has read every note intact, the last valid one must be in force.
func TestDeliveryOrderDoesNotChangeState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPublishedNotes(t)
		hosts := []*Control{New(callschedule.Config{}), New(callschedule.Config{}), New(callschedule.Config{})}
		deliver := func(c *Control, ev *NoteRead) {
			var fx Effects
			before := c.Number()
			c.Step(clock.Instant{}, ev, &fx)
			if c.Number() < before {
				t.Fatalf("number decreased from %d to %d", before, c.Number())
			}
			if c.Number() > before != (fx.InForce != nil) {
				t.Fatalf("number changed from %d to %d, but Effects.InForce is %v", before, c.Number(), fx.InForce)
			}
			if c.Number() > 0 && !reflect.DeepEqual(c.State(), p.states[c.Number()]) {
				t.Fatalf("state of note %d differs from the state that results from the notes", c.Number())
			}
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			deliver(rapid.SampledFrom(hosts).Draw(t, "host"), drawNoteRead(t, p))
		}
		for _, c := range hosts {
			for _, n := range p.notes {
				deliver(c, &NoteRead{Number: n.Number, Note: n})
			}
			if c.Number() != p.last {
				t.Fatalf("note %d is in force, want %d; refused %v, waiting %v", c.Number(), p.last, c.Rejected(), c.Waiting())
			}
		}
	})
}

func stepAll(c *Control, events ...Event) Effects {
	var total Effects
	for _, ev := range events {
		var fx Effects
		c.Step(clock.Instant{}, ev, &fx)
		total.Rejected = append(total.Rejected, fx.Rejected...)
		total.LeavingHosts = append(total.LeavingHosts, fx.LeavingHosts...)
	}
	return total
}

func newNoteRead(n *release.Note) *NoteRead { return &NoteRead{Number: n.Number, Note: n} }

func TestRejectionIsReportedOnceAndClearedByValidNote(t *testing.T) {
	c := New(callschedule.Config{})
	damaged := &NoteRead{Number: 2, Note: &release.Note{}, Faults: []release.Fault{{Line: 9, Reason: "truncated"}}}
	fx := stepAll(c, newNoteRead(baselineNote(1)), damaged, damaged)
	if len(fx.Rejected) != 1 || len(c.Rejected()) != 1 || c.Number() != 1 {
		t.Fatalf("reported %v, kept %v, note %d in force", fx.Rejected, c.Rejected(), c.Number())
	}
	stepAll(c, newNoteRead(addTargetNote(2, 1, false)))
	if c.Number() != 2 || len(c.Rejected()) != 0 {
		t.Fatalf("note %d in force, still refused: %v", c.Number(), c.Rejected())
	}
}

// TestSecondNoteWithSamePredecessorIsRefused checks that of two notes with the same
// predecessor only the first is applied.
func TestSecondNoteWithSamePredecessorIsRefused(t *testing.T) {
	c := New(callschedule.Config{})
	stepAll(c, newNoteRead(baselineNote(1)), newNoteRead(addTargetNote(2, 1, false)), newNoteRead(addTargetNote(3, 1, false)))
	rejected := c.Rejected()
	if c.Number() != 2 || len(rejected) != 1 || rejected[0].Number != 3 || rejected[0].Faults[0].Key != "follows" {
		t.Fatalf("note %d in force, refused %v", c.Number(), rejected)
	}
}

// TestWaitingNotesAreBounded delivers more than maxWaiting notes that lack their
// predecessor, and checks that the lowest numbers are kept.
func TestWaitingNotesAreBounded(t *testing.T) {
	c := New(callschedule.Config{})
	stepAll(c, newNoteRead(baselineNote(1)))
	for number := uint64(1000); number > 2; number-- {
		stepAll(c, newNoteRead(addTargetNote(number, number-1, false)))
	}
	if len(c.Waiting()) != maxWaiting {
		t.Fatalf("%d notes wait, want %d", len(c.Waiting()), maxWaiting)
	}
	stepAll(c, newNoteRead(addTargetNote(2, 1, false)))
	if want := uint64(2 + maxWaiting); c.Number() != want {
		t.Fatalf("note %d in force, want %d", c.Number(), want)
	}
}

func TestLeavingHostIsReportedOnce(t *testing.T) {
	c := New(callschedule.Config{})
	list := func(hosts ...HostEntry) *CallResult {
		return &CallResult{Result: callschedule.Result{Call: callschedule.Call{Kind: callschedule.KindHosts}}, Hosts: hosts}
	}
	leaving, live := HostEntry{Name: "a", Leaving: true}, HostEntry{Name: "a"}
	for i, step := range []struct {
		ev   *CallResult
		want int
	}{{list(live), 0}, {list(leaving, leaving), 1}, {list(leaving), 0}, {list(), 0}, {list(leaving), 1}} {
		if fx := stepAll(c, step.ev); len(fx.LeavingHosts) != step.want {
			t.Errorf("step %d reports %v, want %d names", i, fx.LeavingHosts, step.want)
		}
	}
}
