package control

import (
	"reflect"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
)

func baselineNote() *release.Note {
	snap := &release.Snapshot{Service: "board", Version: 2, Layout: "a", Weight: 1, Shards: []release.Shard{{Weight: 1, Replicas: []string{"t-1"}}}}
	older := &release.Snapshot{Service: "board", Version: 1, Layout: "a", Weight: 1, Shards: []release.Shard{{Weight: 1, Replicas: []string{"t-1"}}}}
	return &release.Note{Number: 1, Baseline: true, Items: []release.Item{
		{Op: release.Add, Zone: &release.Zone{Name: "z", Region: "r"}},
		{Op: release.Add, Host: &release.Host{Name: "host-1", Zone: "z", Mesh: "127.0.0.1:7000"}},
		{Op: release.Add, Service: &release.Service{Name: "board", Policy: release.Policy{Deadline: time.Second}}},
		{Op: release.Add, Target: &release.Target{Name: "t-1", Address: "127.0.0.1:7001", Zone: "z", Service: "board", Slots: 1, Connections: 25, ColdBudget: 1}},
		{Op: release.Add, Snapshot: older},
		{Op: release.Add, Snapshot: snap},
		{Op: release.Add, Caller: &release.Caller{Name: "c", Services: map[string]bool{"board": true}, Rate: 1}},
	}}
}

func zoneNote(number uint64, out bool) *release.Note {
	return &release.Note{Number: number, Follows: number - 1, Items: []release.Item{
		{Op: release.Change, Zone: &release.Zone{Name: "z", Region: "r", Out: out}},
	}}
}

// TestBaselineFoldsIntoTheSameState checks that the fold that peers fetch is the state.
func TestBaselineFoldsIntoTheSameState(t *testing.T) {
	state, faults := release.Fold(nil, baselineNote())
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if state, faults = release.Fold(state, zoneNote(2, true)); len(faults) > 0 {
		t.Fatal(faults)
	}
	again, faults := release.Fold(nil, Baseline(state))
	if len(faults) > 0 || !reflect.DeepEqual(state, again) {
		t.Errorf("%v\n%+v\n%+v", faults, state, again)
	}
}

// TestSinceGivesAnUnbrokenChain checks that the notes for a peer follow its number one
// by one, that older ones are not kept without bound, and that what was handed out stays.
func TestSinceGivesAnUnbrokenChain(t *testing.T) {
	c := &Control{}
	c.remember(&release.Note{Number: 1, Baseline: true})
	var early Shared
	for number := uint64(2); number < 2*maxRecent; number++ {
		c.remember(zoneNote(number, number%2 == 0))
		if number == 10 {
			early = Shared{Recent: c.recent}
		}
	}
	if len(early.Recent) != 9 || early.Recent[8].Number != 10 {
		t.Errorf("what was handed out changed: %d notes", len(early.Recent))
	}
	s := &Shared{Recent: c.recent}
	if _, ok := s.Since(5); ok || len(c.recent) != maxRecent {
		t.Errorf("%d notes are kept, the bound is %d", len(c.recent), maxRecent)
	}
	notes, ok := s.Since(300)
	if !ok {
		t.Fatal("note 301 is not kept")
	}
	for i, n := range notes {
		if n.Follows != 300+uint64(i) || n.Number != n.Follows+1 {
			t.Fatalf("note %d follows %d at place %d", n.Number, n.Follows, i)
		}
	}
}
