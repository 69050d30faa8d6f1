package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/membership"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/note"
	"pollentack.example/pollentack/internal/wire"
)

// served is a caller whose peer is a note server in the same process.
type served struct {
	server *noteServer
	calls  int
	before func(call int)
}

func (s *served) Call(_ string, _ wire.CallKind, payload []byte, _ time.Duration) ([]byte, error) {
	s.calls++
	if s.before != nil {
		s.before(s.calls)
	}
	return s.server.serve("peer", payload), nil
}

// largeState is a state whose fold is over the parser's bound.
func largeState(t *testing.T, number uint64) *release.State {
	t.Helper()
	n := &release.Note{Number: number, Baseline: true, Items: []release.Item{
		{Op: release.Add, Zone: &release.Zone{Name: "z", Region: "r"}},
		{Op: release.Add, Service: &release.Service{Name: "archive", Policy: release.Policy{Deadline: time.Second}}},
	}}
	for i := range 12_000 {
		n.Items = append(n.Items, release.Item{Op: release.Add, Target: &release.Target{
			Name: fmt.Sprintf("target-%05d", i), Address: "127.0.0.1:7001", Zone: "z", Service: "archive", Slots: 4, Connections: 90, ColdBudget: 1,
		}})
	}
	state, faults := release.Fold(nil, n)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return state
}

// TestFoldOverTheNoteBoundIsFetchedInParts checks that a state larger than one note
// reaches a peer whole, and that one that changes on the way brings nothing.
func TestFoldOverTheNoteBoundIsFetchedInParts(t *testing.T) {
	server := &noteServer{}
	state := largeState(t, 7)
	server.shared.Store(&control.Shared{State: state})
	if size := len(note.Format(control.Baseline(state))); size <= note.MaxBytes {
		t.Fatalf("the fold has %d bytes, which fit into one note", size)
	}
	core := control.Control{}
	var got *control.NoteRead
	emit := func(ev control.Event) bool { got = ev.(*control.NoteRead); return true }
	number, err := fetchNotes(&served{server: server}, &membership.Fetch{Peer: "p", After: 1}, emit)
	if err != nil || number != 7 || got == nil {
		t.Fatalf("fetched note %d, %v", number, err)
	}
	folded, faults := release.Fold(core.State(), got.Note)
	if len(faults) > 0 || len(folded.Targets) != len(state.Targets) {
		t.Fatalf("%v; %d targets, want %d", faults, len(folded.Targets), len(state.Targets))
	}
	got = nil
	changing := &served{server: server, before: func(call int) {
		if call == 2 {
			server.shared.Store(&control.Shared{State: largeState(t, 8)})
		}
	}}
	_, err = fetchNotes(changing, &membership.Fetch{Peer: "p", After: 1}, emit)
	if err == nil || !strings.Contains(err.Error(), "changed") || got != nil {
		t.Errorf("a fold that changed on the way: %v, %v", err, got)
	}
}

// TestPeerGetsTheNotesItLacks checks that a peer that lacks a few notes is sent just
// those, and that a peer with all of them is sent nothing.
func TestPeerGetsTheNotesItLacks(t *testing.T) {
	server := &noteServer{}
	recent := make([]*release.Note, 0, 3)
	for number := uint64(5); number < 8; number++ {
		recent = append(recent, &release.Note{Number: number, Follows: number - 1, Items: []release.Item{
			{Op: release.Change, Zone: &release.Zone{Name: "z", Region: "r", Out: true}},
		}})
	}
	server.shared.Store(&control.Shared{State: &release.State{Number: 7}, Recent: recent})
	var numbers []uint64
	emit := func(ev control.Event) bool { numbers = append(numbers, ev.(*control.NoteRead).Number); return true }
	number, err := fetchNotes(&served{server: server}, &membership.Fetch{Peer: "p", After: 5}, emit)
	if err != nil || number != 7 || len(numbers) != 2 || numbers[0] != 6 {
		t.Errorf("fetched %v up to %d, %v", numbers, number, err)
	}
	if _, err := fetchNotes(&served{server: server}, &membership.Fetch{Peer: "p", After: 7}, emit); err == nil {
		t.Error("a peer with nothing newer was taken for one")
	}
}
