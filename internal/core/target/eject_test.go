package target

import (
	"math/rand/v2"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
)

// tableWithTwoReplicas returns a table with two warm replicas of one shard, both of which
// have replied.
func tableWithTwoReplicas() (table *Table, healthy, other ID) {
	table = NewTable(rand.New(rand.NewPCG(1, 1)))
	table.Configure(Options{Host: "host-1"})
	s := simState()
	s.Targets["u"] = &release.Target{Name: "u", Zone: "z", Slots: 1, MaxColdRequests: 1}
	table.Apply(s)
	table.SetNow(instantAt(time.Hour))
	healthy, other = table.Lookup("t"), table.Lookup("u")
	for _, id := range []ID{healthy, other} {
		table.Observe(id, Observation{Incarnation: 3, Answered: true})
		table.entries[id].Cold = false
		delete(table.cold, id)
	}
	return table, healthy, other
}

// serveReplies records enough replies of a target to evaluate its latency.
func serveReplies(table *Table, id ID, elapsed time.Duration, group []ID) {
	for range 2 * repliesPerEvaluation {
		table.Sent(id)
		table.Done(id, elapsed, true)
		table.Answered(id, time.Hour, group)
	}
}

func TestOutlierIsEjected(t *testing.T) {
	table, slow, other := tableWithTwoReplicas()
	group := []ID{slow, other}
	serveReplies(table, other, 5*time.Millisecond, group)
	serveReplies(table, slow, 50*time.Millisecond, group)
	if !table.Entry(slow).Ejected(time.Hour) {
		t.Error("a replica with ten times the latency of the other one is not ejected")
	}
}

// TestReplicaRestartDoesNotEjectPeer checks that a replica whose latency is unknown since
// its restart does not make its peer an outlier.
func TestReplicaRestartDoesNotEjectPeer(t *testing.T) {
	table, healthy, other := tableWithTwoReplicas()
	group := []ID{healthy, other}
	serveReplies(table, other, 7*time.Millisecond, group)
	table.Observe(other, Observation{Incarnation: 4, Answered: true})
	serveReplies(table, healthy, 7*time.Millisecond, group)
	if table.Entry(healthy).Ejected(time.Hour) {
		t.Error("a replica was ejected although the latency of its only peer is unknown")
	}
}

// TestEjectedReplicaIsChosenWhenOthersAreCold checks that an ejected replica still serves
// while the only other one is cold and this host does not hold its turn.
func TestEjectedReplicaIsChosenWhenOthersAreCold(t *testing.T) {
	table, slow, other := tableWithTwoReplicas()
	group := []ID{slow, other}
	serveReplies(table, other, 5*time.Millisecond, group)
	serveReplies(table, slow, 50*time.Millisecond, group)
	table.markCold(other)
	if table.hasRoom(other) {
		t.Fatal("the cold replica has room for this host, so the test would be void")
	}
	if c := table.Choose(time.Hour, group, None, nil); c.ID != slow {
		t.Errorf("Choose returned %+v, want the ejected replica", c)
	}
}
