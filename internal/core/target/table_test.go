package target

import (
	"math/rand/v2"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
)

// heardTable has one warm target that has answered.
func heardTable() (t *Table, id ID, state func(change func(*release.State))) {
	t = NewTable(rand.New(rand.NewPCG(1, 1)))
	t.Configure(Options{Host: "host-1"})
	state = func(change func(*release.State)) {
		s := simState()
		change(s)
		t.Apply(s)
	}
	state(func(*release.State) {})
	t.Tick(at(time.Hour))
	id = t.Lookup("t")
	t.Observe(id, Sign{Incarnation: 3, Answered: true})
	return t, id, state
}

func TestReturnOfAZoneMakesItsTargetsCold(t *testing.T) {
	table, id, state := heardTable()
	state(func(s *release.State) { s.Zones["z"].Out = true })
	if e := table.Entry(id); e.Usable() || e.Cold {
		t.Errorf("with its zone out the target is usable %v, cold %v", e.Usable(), e.Cold)
	}
	state(func(*release.State) {})
	if e := table.Entry(id); !e.Usable() || !e.Cold {
		t.Errorf("with its zone back the target is usable %v, cold %v", e.Usable(), e.Cold)
	}
}

func TestTargetThatANoteTakesBackIsCold(t *testing.T) {
	table, id, state := heardTable()
	state(func(s *release.State) { s.Targets["t"].Leaving = true })
	if table.Entry(id).Usable() {
		t.Error("a target that the note calls leaving is usable")
	}
	state(func(*release.State) {})
	if e := table.Entry(id); !e.Usable() || !e.Cold {
		t.Errorf("taken back the target is usable %v, cold %v", e.Usable(), e.Cold)
	}
}

func TestTargetOfALaterNoteIsCold(t *testing.T) {
	table, id, state := heardTable()
	state(func(s *release.State) {
		s.Targets["u"] = &release.Target{Name: "u", Zone: "z", Slots: 1, ColdBudget: 1}
	})
	if table.Entry(id).Cold || !table.Entry(table.Lookup("u")).Cold {
		t.Error("want the added target cold, and the other as it was")
	}
}

func TestWordOfAnOldIncarnationThatItLeavesEndsWithIt(t *testing.T) {
	table, id, _ := heardTable()
	table.ObserveLeaving(id)
	if table.Entry(id).Usable() {
		t.Error("a target that says that it leaves is usable")
	}
	table.Observe(id, Sign{Incarnation: 4, Answered: true})
	if !table.Entry(id).Usable() {
		t.Error("the next incarnation is not usable")
	}
}

// TestLyingHealthEndpointChillsOnce lets a health endpoint claim ever new incarnations.
func TestLyingHealthEndpointChillsOnce(t *testing.T) {
	table, id, _ := heardTable()
	chills := 0
	for claim := uint64(10); claim < 20; claim++ {
		table.ObserveHealth(id, claim, true)
		if table.Entry(id).Cold {
			chills++
		}
		table.entries[id].Cold = false
		table.Observe(id, Sign{Incarnation: 3, Answered: true})
	}
	if chills != 1 {
		t.Errorf("made cold %d times, want 1", chills)
	}
	table.ObserveHealth(id, 3, true)
	if table.Entry(id).Cold {
		t.Error("a health endpoint makes the incarnation cold that answers as warm")
	}
}
