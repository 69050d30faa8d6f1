package control

import (
	"reflect"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
)

func fullBaseline() *release.Note {
	snap := &release.Snapshot{Service: "board", Version: 2, Layout: "a", Weight: 1, Shards: []release.Shard{{Weight: 1, Replicas: []string{"t-1"}}}}
	older := &release.Snapshot{Service: "board", Version: 1, Layout: "a", Weight: 1, Shards: []release.Shard{{Weight: 1, Replicas: []string{"t-1"}}}}
	return &release.Note{Number: 1, Baseline: true, Items: []release.Item{
		{Op: release.Add, Zone: &release.Zone{Name: "z", Region: "r"}},
		{Op: release.Add, Host: &release.Host{Name: "host-1", Zone: "z", MeshAddress: "127.0.0.1:7000"}},
		{Op: release.Add, Service: &release.Service{Name: "board", Policy: release.Policy{Deadline: time.Second}}},
		{Op: release.Add, Target: &release.Target{Name: "t-1", Address: "127.0.0.1:7001", Zone: "z", Service: "board", Slots: 1, MaxConnections: 25, MaxColdRequests: 1}},
		{Op: release.Add, Snapshot: older},
		{Op: release.Add, Snapshot: snap},
		{Op: release.Add, Caller: &release.Caller{Name: "c", Services: map[string]bool{"board": true}, Rate: 1}},
	}}
}

func zoneNote(number uint64, out bool) *release.Note {
	return &release.Note{Number: number, Follows: number - 1, Items: []release.Item{
		{Op: release.Change, Zone: &release.Zone{Name: "z", Region: "r", OutOfService: out}},
	}}
}

// TestBaselineRestoresState checks that applying the baseline note that peers fetch
// results in the same state.
func TestBaselineRestoresState(t *testing.T) {
	state, faults := release.Apply(nil, fullBaseline())
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if state, faults = release.Apply(state, zoneNote(2, true)); len(faults) > 0 {
		t.Fatal(faults)
	}
	again, faults := release.Apply(nil, BaselineOf(state))
	if len(faults) > 0 || !reflect.DeepEqual(state, again) {
		t.Errorf("%v\n%+v\n%+v", faults, state, again)
	}
}

// TestSinceReturnsContiguousNotes checks that the returned notes follow the peer's number
// without gaps, that at most maxRecentNotes are kept, and that slices returned before do
// not change.
func TestSinceReturnsContiguousNotes(t *testing.T) {
	c := &Control{}
	c.keepRecent(&release.Note{Number: 1, Baseline: true})
	var earlier PeerSnapshot
	for number := uint64(2); number < 2*maxRecentNotes; number++ {
		c.keepRecent(zoneNote(number, number%2 == 0))
		if number == 10 {
			earlier = PeerSnapshot{Recent: c.recentNotes}
		}
	}
	if len(earlier.Recent) != 9 || earlier.Recent[8].Number != 10 {
		t.Errorf("a slice returned earlier changed: %d notes", len(earlier.Recent))
	}
	s := &PeerSnapshot{Recent: c.recentNotes}
	if _, ok := s.Since(5); ok || len(c.recentNotes) != maxRecentNotes {
		t.Errorf("%d notes are kept, want %d; notes since 5 found: %t", len(c.recentNotes), maxRecentNotes, ok)
	}
	notes, ok := s.Since(300)
	if !ok {
		t.Fatal("note 301 is not kept")
	}
	for i, n := range notes {
		if n.Follows != 300+uint64(i) || n.Number != n.Follows+1 {
			t.Fatalf("note %d follows %d at index %d", n.Number, n.Follows, i)
		}
	}
}
