package engine

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
)

// rolledWorld has version 1 on targets 0 to 1 and version 2, published but held by none
// of its targets 2 to 3, and one query that began on version 2.
func rolledWorld(policy release.Policy) *world {
	w := newWorld(policy, 4)
	w.change(release.Add, snapshot(1, "a", []int{0}, []int{1}))
	w.change(release.Add, snapshot(2, "b", []int{2}, []int{3}, []int{2, 3}))
	w.submit(1)
	return w
}

// endAll ends all open attempts, those of version 2 and others each with an outcome.
func (w *world) endAll(ofTwo, ofOthers Outcome) {
	for _, id := range w.open() {
		outcome := ofOthers
		if w.sends[id].Snapshot.Version == 2 {
			outcome = ofTwo
		}
		w.end(w.reply(id, outcome))
	}
}

func TestQueryBeginsAgainOnASnapshotThatIsHeld(t *testing.T) {
	w := rolledWorld(release.Policy{Deadline: time.Second, MinCoverage: 1})
	w.endAll(SnapshotGone, Answered)
	w.endAll(SnapshotGone, Answered)
	a := w.answers[1]
	if a.Code != result.OK || a.Snapshot.Version != 1 || a.Coverage != 1 {
		t.Fatalf("the answer is %+v", a)
	}
	w.submit(2)
	for _, id := range w.open() {
		if v := w.sends[id].Snapshot.Version; v != 1 {
			t.Fatalf("the next query asks for version %d, which all replicas just denied", v)
		}
	}
	w.endAll(SnapshotGone, Answered)
	w.advance(lackingFor)
	w.submit(3)
	w.endAll(Answered, Answered)
	if a := w.answers[3]; a.Snapshot.Version != 2 || a.Coverage != 1 {
		t.Fatalf("version 2 is held by now, and the answer is %+v", a)
	}
}

func TestQueryWithNoTimeLeftIsRefusedAsRetired(t *testing.T) {
	w := rolledWorld(release.Policy{Deadline: time.Second, MinCoverage: 1})
	for range 100 {
		w.engine.service(worldService).Latency.Add(300 * time.Millisecond)
	}
	w.advance(600 * time.Millisecond)
	open := w.open()
	w.end(w.reply(open[0], Answered))
	w.end(w.reply(open[1], SnapshotGone))
	w.end(w.reply(open[2], Answered))
	w.advance(time.Second)
	if a := w.answers[1]; a.Code != result.SnapshotRetired {
		t.Fatalf("the answer is %+v", a)
	}
}

func TestRefusalAfterARestartIsNotCalledNotRun(t *testing.T) {
	w := rolledWorld(release.Policy{Deadline: time.Second, MinCoverage: 1})
	open := w.open()
	w.end(w.reply(open[0], Answered))
	w.end(w.reply(open[1], SnapshotGone))
	for range 1000 {
		w.endAll(SnapshotGone, Shed)
		w.advance(time.Millisecond)
	}
	if a, ok := w.answers[1]; !ok || a.Code.Kind() != result.RanInPart {
		t.Fatalf("target 2 ran a part of it, and the answer is %+v", a)
	}
}

func TestWithdrawnSnapshotIsServedToItsQueries(t *testing.T) {
	w := newWorld(release.Policy{Deadline: time.Second, MinCoverage: 1}, 2)
	old := snapshot(1, "a", []int{0}, []int{1})
	w.change(release.Add, old)
	w.submit(1)
	w.change(release.Add, snapshot(2, "a", []int{1}, []int{0}, []int{1}))
	w.change(release.Withdraw, old)
	w.endAll(Answered, Answered)
	if a := w.answers[1]; a.Code != result.OK || a.Snapshot.Version != 1 || a.Coverage != 1 {
		t.Fatalf("the answer is %+v", a)
	}
}
