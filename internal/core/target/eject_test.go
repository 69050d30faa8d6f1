package target

import (
	"math/rand/v2"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
)

// pairTable has two warm replicas of one shard, both of which have answered.
func pairTable() (table *Table, sound, other ID) {
	table = NewTable(rand.New(rand.NewPCG(1, 1)))
	table.Configure(Options{Host: "host-1"})
	s := simState()
	s.Targets["u"] = &release.Target{Name: "u", Zone: "z", Slots: 1, ColdBudget: 1}
	table.Apply(s)
	table.Tick(at(time.Hour))
	sound, other = table.Lookup("t"), table.Lookup("u")
	for _, id := range []ID{sound, other} {
		table.Observe(id, Sign{Incarnation: 3, Answered: true})
		table.entries[id].Cold = false
		delete(table.cold, id)
	}
	return table, sound, other
}

// answer lets a target answer so often that its latency is judged.
func answer(table *Table, id ID, elapsed time.Duration, group []ID) {
	for range 2 * ejectSamples {
		table.Sent(id)
		table.Done(id, elapsed, true)
		table.Answered(id, time.Hour, group)
	}
}

func TestOutlierIsEjected(t *testing.T) {
	table, slow, other := pairTable()
	group := []ID{slow, other}
	answer(table, other, 5*time.Millisecond, group)
	answer(table, slow, 50*time.Millisecond, group)
	if !table.Entry(slow).Ejected(time.Hour) {
		t.Error("a replica ten times as slow as the other is not ejected")
	}
}

// TestNewStartOfAReplicaEjectsNoOther starts one replica anew, after which nothing is
// known of its latency.
func TestNewStartOfAReplicaEjectsNoOther(t *testing.T) {
	table, sound, other := pairTable()
	group := []ID{sound, other}
	answer(table, other, 7*time.Millisecond, group)
	table.Observe(other, Sign{Incarnation: 4, Answered: true})
	answer(table, sound, 7*time.Millisecond, group)
	if table.Entry(sound).Ejected(time.Hour) {
		t.Error("a sound replica is ejected beside one whose latency is not known")
	}
}

// TestEjectedReplicaServesWhileTheOthersAreCold ejects a replica and makes the other
// cold, which takes nothing from this host out of its turn.
func TestEjectedReplicaServesWhileTheOthersAreCold(t *testing.T) {
	table, slow, other := pairTable()
	group := []ID{slow, other}
	answer(table, other, 5*time.Millisecond, group)
	answer(table, slow, 50*time.Millisecond, group)
	table.chill(other)
	if table.hasRoom(other) {
		t.Fatal("the cold replica has room for this host: the test says nothing")
	}
	if c := table.Choose(time.Hour, group, None, nil); c.ID != slow {
		t.Errorf("choice is %+v, want the ejected replica", c)
	}
}
