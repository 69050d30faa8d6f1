package target

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
)

func instantAt(d time.Duration) clock.Instant { return clock.Instant{Mono: d, Wall: d} }

func TestEachSignOfColdnessMakesTargetCold(t *testing.T) {
	warm := Observation{Incarnation: 1, Answered: true}
	for name, observations := range map[string][]Observation{
		"new incarnation":     {{Incarnation: 2, Answered: true}},
		"target reports cold": {{Incarnation: 1, Answered: true, Cold: true}},
		"connection broke":    {{Disconnected: true}},
		"reply after silence": {{}, warm},
	} {
		w := &WarmUp{}
		w.Observe(instantAt(0), warm)
		if w.Cold {
			t.Fatalf("%s: target is cold before any sign", name)
		}
		now := instantAt(time.Second)
		for _, s := range observations {
			w.Observe(now, s)
			now = now.Add(maxSilence + 1)
		}
		if !w.Cold {
			t.Errorf("%s: target is still warm", name)
		}
	}
}

func TestOtherSignsLeaveTargetWarm(t *testing.T) {
	warm := Observation{Incarnation: 2, Answered: true}
	for name, s := range map[string]Observation{
		"reply":                     warm,
		"shed":                      {Incarnation: 2, Shed: true},
		"short silence":             {},
		"reply of old incarnation":  {Incarnation: 1, Answered: true, Cold: true},
		"request that was not sent": {Local: true},
	} {
		w := &WarmUp{}
		w.Observe(instantAt(0), warm)
		w.Observe(instantAt(time.Second), s)
		w.Observe(instantAt(2*time.Second), warm)
		if w.Cold {
			t.Errorf("%s: target is cold", name)
		}
	}
}

func TestBudgetDoublesWithEachCleanWindow(t *testing.T) {
	w := &WarmUp{}
	w.MarkCold()
	now := instantAt(TurnLength * 10)
	turn := TurnAt(now.Wall)
	w.RecordSend(now, turn)
	for _, want := range []int{1, 2, 4} {
		if got := w.Budget(1, 16); got != want {
			t.Fatalf("budget %d, want %d", got, want)
		}
		w.Observe(now, Observation{Incarnation: 1, Answered: true})
		now = now.Add(windowLength)
		w.RecordSend(now, turn)
	}
	w.Observe(now, Observation{Incarnation: 1, Shed: true, Cold: true})
	if w.Budget(1, 16) != 1 || !w.Stopped(turn) {
		t.Errorf("after a shed: budget %d, stopped %v", w.Budget(1, 16), w.Stopped(turn))
	}
}

func TestBudgetStaysWhileTargetReportsCold(t *testing.T) {
	w := &WarmUp{}
	w.MarkCold()
	now := instantAt(TurnLength * 10)
	turn := TurnAt(now.Wall)
	for range 10 {
		w.RecordSend(now, turn)
		w.Observe(now, Observation{Incarnation: 1, Answered: true, Cold: true})
		now = now.Add(windowLength)
	}
	if w.Budget(1, 16) != 1 || w.EndRampIfWarm(1, 16, TurnAt(now.Wall+TurnLength)) {
		t.Errorf("budget %d, cold %v", w.Budget(1, 16), w.Cold)
	}
}

func TestPeerReportMakesTargetColdButNotWarm(t *testing.T) {
	warm := Observation{Incarnation: 1, Answered: true}
	known := func() *WarmUp {
		w := &WarmUp{}
		w.Observe(instantAt(0), warm)
		return w
	}
	w := known()
	if w.MergePeer(2, 0, true); !w.Cold {
		t.Error("target stays warm after a peer reported a newer incarnation")
	}
	if w.MergePeer(2, 1, false); w.EndRampIfWarm(1, 4, TurnAt(0)) {
		t.Error("target is warm after a peer reported one clean window")
	}
	if w.MergePeer(2, 2, false); !w.EndRampIfWarm(1, 4, TurnAt(0)) {
		t.Error("target is cold after a peer reported the complete ramp")
	}
	w = known()
	if w.MergePeer(0, 9<<stepBits, true); w.Cold {
		t.Error("target is cold after a peer reported an older incarnation")
	}
}
