package engine

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
)

// newRolloverWorld has version 1 on targets 0 and 1 and version 2 on targets 2 and 3.
// Version 2 is published but not loaded by its targets. One query has started on it.
func newRolloverWorld(policy release.Policy) *world {
	w := newWorld(policy, 4)
	w.change(release.Add, snapshot(1, "a", []int{0}, []int{1}))
	w.change(release.Add, snapshot(2, "b", []int{2}, []int{3}, []int{2, 3}))
	w.submit(1)
	return w
}

// endAll ends all open attempts, those for version 2 with one outcome and the others with
// another.
func (w *world) endAll(ofTwo, ofOthers Outcome) {
	for _, id := range w.open() {
		outcome := ofOthers
		if w.sends[id].Snapshot.Version == 2 {
			outcome = ofTwo
		}
		w.end(w.reply(id, outcome))
	}
}

func TestQueryRestartsOnAHeldSnapshot(t *testing.T) {
	w := newRolloverWorld(release.Policy{Deadline: time.Second, MinCoverage: 1})
	w.endAll(SnapshotGone, Answered)
	w.endAll(SnapshotGone, Answered)
	a := w.answers[1]
	if a.Code != result.OK || a.Snapshot.Version != 1 || a.Coverage != 1 {
		t.Fatalf("the answer is %+v", a)
	}
	w.submit(2)
	for _, id := range w.open() {
		if v := w.sends[id].Snapshot.Version; v != 1 {
			t.Fatalf("the next query used version %d, which all its replicas have just denied", v)
		}
	}
	w.endAll(SnapshotGone, Answered)
	w.advance(snapshotDenialTTL)
	w.submit(3)
	w.endAll(Answered, Answered)
	if a := w.answers[3]; a.Snapshot.Version != 2 || a.Coverage != 1 {
		t.Fatalf("version 2 is now loaded, but the answer is %+v", a)
	}
}

func TestQueryWithoutTimeToRestartIsRefusedAsRetired(t *testing.T) {
	w := newRolloverWorld(release.Policy{Deadline: time.Second, MinCoverage: 1})
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

func TestRefusalAfterRestartIsNotReportedAsNotRun(t *testing.T) {
	w := newRolloverWorld(release.Policy{Deadline: time.Second, MinCoverage: 1})
	open := w.open()
	w.end(w.reply(open[0], Answered))
	w.end(w.reply(open[1], SnapshotGone))
	for range 1000 {
		w.endAll(SnapshotGone, Shed)
		w.advance(time.Millisecond)
	}
	if a, ok := w.answers[1]; !ok || a.Code.Kind() != result.RanInPart {
		t.Fatalf("target 2 ran a part of the query, but the answer is %+v", a)
	}
}

func TestPinnedQueriesFinishOnWithdrawnSnapshot(t *testing.T) {
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
