package engine

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

func newTwoTargetWorld(budget float64) *world {
	w := newWorld(release.Policy{Deadline: time.Second, MinCoverage: 1, HedgeBudget: budget}, 2)
	w.change(release.Add, snapshot(1, "a", []int{0, 1}, []int{0, 1}, []int{0, 1}, []int{0, 1}))
	return w
}

// TestShedAttemptsWaitWithoutBudget checks that, while targets shed all requests, a query
// waits without spending tokens and resends rarely, and is then answered completely.
func TestShedAttemptsWaitWithoutBudget(t *testing.T) {
	w := newTwoTargetWorld(0)
	w.submit(1)
	const shedding = 600 * time.Millisecond
	for range shedding / time.Millisecond {
		open := w.open()
		if n := len(open); w.now.Mono > shedding/6 && n > 2 {
			t.Fatalf("%d requests are in progress at two targets that have shed every request, want at most 2", n)
		}
		for _, id := range open {
			w.end(w.reply(id, Shed))
		}
		w.advance(time.Millisecond)
	}
	// The backoff is at most 16 ms, and 8 ms to 24 ms with jitter: one request in 8 ms.
	const mostPerTarget = int(shedding / (8 * time.Millisecond))
	if n := len(w.order); n > 4+2*mostPerTarget {
		t.Errorf("%d requests were sent to two targets that shed everything for %v", n, shedding)
	}
	for range 200 {
		for _, id := range w.open() {
			w.end(w.reply(id, Answered))
		}
		w.advance(time.Millisecond)
	}
	if a := w.answers[1]; a.Code != result.OK || a.Coverage != 1 {
		t.Errorf("the answer is %+v", a)
	}
}

// TestUnreachableTargetsAreRetriedRarely checks the number of attempts if no target can
// be reached.
func TestUnreachableTargetsAreRetriedRarely(t *testing.T) {
	w := newTwoTargetWorld(0.05)
	w.submit(1)
	for range 1100 {
		for _, id := range w.open() {
			w.end(w.reply(id, Unreachable))
		}
		w.advance(time.Millisecond)
	}
	const most = 4 + 2*12
	if n := len(w.order); n > most {
		t.Errorf("%d requests were sent to two unreachable targets, want at most %d", n, most)
	}
	if a := w.answers[1]; a.Code != result.Shed {
		t.Errorf("no attempt ran, but the answer is %+v", a)
	}
}

func TestSlowTargetIsEjectedUnlessLastReplica(t *testing.T) {
	w := newTwoTargetWorld(0)
	table := w.engine.targets
	for range 64 {
		for id, elapsed := range []time.Duration{50 * time.Millisecond, 5 * time.Millisecond} {
			table.Sent(target.ID(id))
			table.Done(target.ID(id), elapsed, true)
			table.Answered(target.ID(id), w.now.Mono, []target.ID{0, 1})
		}
	}
	if !w.engine.targets.Entry(0).Ejected(w.now.Mono) {
		t.Fatal("target 0 is ten times slower than its peer but was not ejected")
	}
	const busy = 30
	for range busy {
		table.Sent(1)
	}
	w.submit(1000)
	for _, id := range w.open() {
		if w.sends[id].Target == 0 {
			t.Error("a request was sent to the ejected target while its peer is healthy")
		}
		w.end(w.reply(id, Answered))
	}
	w.engine.targets.Entry(1).Leaving = true
	w.submit(1001)
	for _, id := range w.open() {
		w.end(w.reply(id, Answered))
	}
	if a := w.answers[1001]; a.Coverage != 1 {
		t.Errorf("the ejected target is the last usable replica, but the answer is %+v", a)
	}
}

// TestFalseHealthReportsDoNotAffectAnswers checks that queries are answered completely
// and without resends if the health endpoints report working targets as leaving or
// unreachable and claim snapshots that these lack.
func TestFalseHealthReportsDoNotAffectAnswers(t *testing.T) {
	w := newTwoTargetWorld(0.05)
	for key := uint64(1); key <= 50; key++ {
		for id := range target.ID(2) {
			w.step(&HealthReport{Target: id, Reachable: key%2 == 0, Leaving: true, Snapshots: []release.SnapshotKey{{Version: 9, Layout: "z"}}})
		}
		w.submit(key)
		for range 20 {
			for _, id := range w.open() {
				w.end(w.reply(id, Answered))
			}
			w.advance(time.Millisecond)
		}
		if a := w.answers[key]; a.Code != result.OK || a.Coverage != 1 || a.Attempts != 4 {
			t.Fatalf("answer %d is %+v", key, a)
		}
	}
}

func TestHedgesAvoidTargetsUnderPressure(t *testing.T) {
	w := newTwoTargetWorld(0.05)
	for key := uint64(1); key <= 100; key++ {
		w.submit(key)
		w.advance(time.Millisecond)
		for _, id := range w.open() {
			w.end(w.reply(id, Answered))
		}
	}
	w.submit(200)
	for _, id := range w.open() {
		if w.sends[id].Target == 1 {
			w.end(w.reply(id, Shed))
		}
	}
	begin := len(w.order)
	w.advance(900 * time.Millisecond)
	for _, id := range w.order[begin:] {
		if w.sends[id].Target == 1 && id.Try > 0 && w.engine.counters.Hedges > 0 {
			t.Fatalf("hedge %v was sent to a target that has just shed a request", id)
		}
	}
}
