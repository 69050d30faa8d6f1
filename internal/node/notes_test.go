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

// localPeer is a peerCaller that calls a noteServer in the same process.
type localPeer struct {
	server     *noteServer
	calls      int
	beforeCall func(call int)
}

func (s *localPeer) Call(_ string, _ wire.CallKind, payload []byte, _ time.Duration) ([]byte, error) {
	s.calls++
	if s.beforeCall != nil {
		s.beforeCall(s.calls)
	}
	return s.server.serve("peer", payload), nil
}

// largeState returns a state whose baseline is larger than note.MaxBytes.
func largeState(t *testing.T, number uint64) *release.State {
	t.Helper()
	n := &release.Note{Number: number, Baseline: true, Items: []release.Item{
		{Op: release.Add, Zone: &release.Zone{Name: "z", Region: "r"}},
		{Op: release.Add, Service: &release.Service{Name: "archive", Policy: release.Policy{Deadline: time.Second}}},
	}}
	for i := range 12_000 {
		n.Items = append(n.Items, release.Item{Op: release.Add, Target: &release.Target{
			Name: fmt.Sprintf("target-%05d", i), Address: "127.0.0.1:7001", Zone: "z", Service: "archive", Slots: 4, MaxConnections: 90, MaxColdRequests: 1,
		}})
	}
	state, faults := release.Apply(nil, n)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return state
}

// TestLargeBaselineIsFetchedInParts checks that a peer receives the complete state if its
// baseline exceeds the size of one note, and that a baseline that changes during the fetch
// is not emitted.
func TestLargeBaselineIsFetchedInParts(t *testing.T) {
	server := &noteServer{}
	state := largeState(t, 7)
	server.snapshot.Store(&control.PeerSnapshot{State: state})
	if size := len(note.Format(control.BaselineOf(state))); size <= note.MaxBytes {
		t.Fatalf("the baseline has %d bytes, which fit into one note", size)
	}
	core := control.Control{}
	var got *control.NoteRead
	emit := func(ev control.Event) bool { got = ev.(*control.NoteRead); return true }
	number, err := fetchNotes(&localPeer{server: server}, &membership.FetchNotes{Peer: "p", After: 1}, emit)
	if err != nil || number != 7 || got == nil {
		t.Fatalf("fetched note %d, %v", number, err)
	}
	applied, faults := release.Apply(core.State(), got.Note)
	if len(faults) > 0 || len(applied.Targets) != len(state.Targets) {
		t.Fatalf("%v; %d targets, want %d", faults, len(applied.Targets), len(state.Targets))
	}
	got = nil
	changing := &localPeer{server: server, beforeCall: func(call int) {
		if call == 2 {
			server.snapshot.Store(&control.PeerSnapshot{State: largeState(t, 8)})
		}
	}}
	_, err = fetchNotes(changing, &membership.FetchNotes{Peer: "p", After: 1}, emit)
	if err == nil || !strings.Contains(err.Error(), "changed") || got != nil {
		t.Errorf("a baseline that changed during the fetch: %v, %v", err, got)
	}
}

// TestPeerFetchesMissingNotesOnly checks that a peer that lacks a few notes fetches only
// those, and that the fetch fails if the peer lacks none.
func TestPeerFetchesMissingNotesOnly(t *testing.T) {
	server := &noteServer{}
	recent := make([]*release.Note, 0, 3)
	for number := uint64(5); number < 8; number++ {
		recent = append(recent, &release.Note{Number: number, Follows: number - 1, Items: []release.Item{
			{Op: release.Change, Zone: &release.Zone{Name: "z", Region: "r", OutOfService: true}},
		}})
	}
	server.snapshot.Store(&control.PeerSnapshot{State: &release.State{Number: 7}, Recent: recent})
	var numbers []uint64
	emit := func(ev control.Event) bool { numbers = append(numbers, ev.(*control.NoteRead).Number); return true }
	number, err := fetchNotes(&localPeer{server: server}, &membership.FetchNotes{Peer: "p", After: 5}, emit)
	if err != nil || number != 7 || len(numbers) != 2 || numbers[0] != 6 {
		t.Errorf("fetched %v up to %d, %v", numbers, number, err)
	}
	if _, err := fetchNotes(&localPeer{server: server}, &membership.FetchNotes{Peer: "p", After: 7}, emit); err == nil {
		t.Error("no error from a peer without newer notes")
	}
}
