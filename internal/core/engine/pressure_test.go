package engine

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

func pressedWorld(budget float64) *world {
	w := newWorld(release.Policy{Deadline: time.Second, MinCoverage: 1, HedgeBudget: budget}, 2)
	w.change(release.Add, snapshot(1, "a", []int{0, 1}, []int{0, 1}, []int{0, 1}, []int{0, 1}))
	return w
}

// TestShedAttemptsWaitWithoutBudget has targets that shed for a while: the query is
// answered whole, without a token, and the targets see few resends.
func TestShedAttemptsWaitWithoutBudget(t *testing.T) {
	w := pressedWorld(0)
	w.submit(1)
	const shedding = 600 * time.Millisecond
	for range shedding / time.Millisecond {
		open := w.open()
		if n := len(open); w.now.Mono > shedding/6 && n > 2 {
			t.Fatalf("%d requests are in progress at two targets that have only refused", n)
		}
		for _, id := range open {
			w.end(w.reply(id, Shed))
		}
		w.advance(time.Millisecond)
	}
	// A hold is 16 ms at most and 8 ms to 24 ms once drawn, so one request in 8 ms.
	const mostPerTarget = int(shedding / (8 * time.Millisecond))
	if n := len(w.order); n > 4+2*mostPerTarget {
		t.Errorf("%d requests went to two targets that shed for %v", n, shedding)
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

// TestUnreachableFleetIsAskedRarely has no target that can be reached.
func TestUnreachableFleetIsAskedRarely(t *testing.T) {
	w := pressedWorld(0.05)
	w.submit(1)
	for range 1100 {
		for _, id := range w.open() {
			w.end(w.reply(id, Unreachable))
		}
		w.advance(time.Millisecond)
	}
	const most = 4 + 2*12
	if n := len(w.order); n > most {
		t.Errorf("%d requests went to two targets that cannot be reached, allowed are %d", n, most)
	}
	if a := w.answers[1]; a.Code != result.Shed {
		t.Errorf("nothing ran, and the answer is %+v", a)
	}
}

func TestSlowTargetIsEjectedButNeverTheLast(t *testing.T) {
	w := pressedWorld(0)
	table := w.engine.targets
	for range 64 {
		for id, elapsed := range []time.Duration{50 * time.Millisecond, 5 * time.Millisecond} {
			table.Sent(target.ID(id))
			table.Done(target.ID(id), elapsed, true)
			table.Answered(target.ID(id), w.now.Mono, []target.ID{0, 1})
		}
	}
	if !w.engine.targets.Entry(0).Ejected(w.now.Mono) {
		t.Fatal("target 0 is ten times slower than its peer and is not ejected")
	}
	const busy = 30
	for range busy {
		table.Sent(1)
	}
	w.submit(1000)
	for _, id := range w.open() {
		if w.sends[id].Target == 0 {
			t.Error("a request went to the ejected target while its peer is well")
		}
		w.end(w.reply(id, Answered))
	}
	w.engine.targets.Entry(1).Leaving = true
	w.submit(1001)
	for _, id := range w.open() {
		w.end(w.reply(id, Answered))
	}
	if a := w.answers[1001]; a.Coverage != 1 {
		t.Errorf("the ejected target is the last replica, and the answer is %+v", a)
	}
}

// TestLyingHealthEndpointsDoNoHarm has every endpoint call its target leaving, cold or
// unreachable, and claim snapshots that it lacks, while the targets answer well.
func TestLyingHealthEndpointsDoNoHarm(t *testing.T) {
	w := pressedWorld(0.05)
	for key := uint64(1); key <= 50; key++ {
		for id := range target.ID(2) {
			w.step(&Health{Target: id, Reachable: key%2 == 0, Leaving: true, Snapshots: []release.Key{{Version: 9, Layout: "z"}}})
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

func TestHedgesNeverGoToATargetUnderPressure(t *testing.T) {
	w := pressedWorld(0.05)
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
			t.Fatalf("hedge %v went to a target that has just shed", id)
		}
	}
}
