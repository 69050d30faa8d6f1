package target

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
)

func at(d time.Duration) clock.Instant { return clock.Instant{Mono: d, Wall: d} }

func TestFirstSignMakesATargetCold(t *testing.T) {
	warm := Sign{Incarnation: 1, Answered: true}
	for name, signs := range map[string][]Sign{
		"new incarnation":       {{Incarnation: 2, Answered: true}},
		"target's own word":     {{Incarnation: 1, Answered: true, Cold: true}},
		"connection broke":      {{Disconnected: true}},
		"silence, then a reply": {{}, warm},
	} {
		w := &Warmth{}
		w.Observe(at(0), warm)
		if w.Cold {
			t.Fatalf("%s: cold before any sign", name)
		}
		now := at(time.Second)
		for _, s := range signs {
			w.Observe(now, s)
			now = now.Add(silenceLimit + 1)
		}
		if !w.Cold {
			t.Errorf("%s: still warm", name)
		}
	}
}

func TestNoSignLeavesATargetWarm(t *testing.T) {
	warm := Sign{Incarnation: 2, Answered: true}
	for name, s := range map[string]Sign{
		"reply":                      warm,
		"shed":                       {Incarnation: 2, Overload: true},
		"short silence":              {},
		"reply of an old run":        {Incarnation: 1, Answered: true, Cold: true},
		"request that never left us": {Local: true},
	} {
		w := &Warmth{}
		w.Observe(at(0), warm)
		w.Observe(at(time.Second), s)
		w.Observe(at(2*time.Second), warm)
		if w.Cold {
			t.Errorf("%s: cold", name)
		}
	}
}

func TestBudgetDoublesWithEachCleanWindow(t *testing.T) {
	w := &Warmth{}
	w.Chill()
	now := at(TurnLength * 10)
	turn := TurnAt(now.Wall)
	w.Hold(now, turn)
	for _, want := range []int{1, 2, 4} {
		if got := w.Budget(1, 16); got != want {
			t.Fatalf("budget %d, want %d", got, want)
		}
		w.Observe(now, Sign{Incarnation: 1, Answered: true})
		now = now.Add(cleanWindow)
		w.Hold(now, turn)
	}
	w.Observe(now, Sign{Incarnation: 1, Overload: true, Cold: true})
	if w.Budget(1, 16) != 1 || !w.Stopped(turn) {
		t.Errorf("after a shed: budget %d, stopped %v", w.Budget(1, 16), w.Stopped(turn))
	}
}

func TestBudgetStaysWhileTheTargetSaysThatItIsCold(t *testing.T) {
	w := &Warmth{}
	w.Chill()
	now := at(TurnLength * 10)
	turn := TurnAt(now.Wall)
	for range 10 {
		w.Hold(now, turn)
		w.Observe(now, Sign{Incarnation: 1, Answered: true, Cold: true})
		now = now.Add(cleanWindow)
	}
	if w.Budget(1, 16) != 1 || w.Settle(1, 16, TurnAt(now.Wall+TurnLength)) {
		t.Errorf("budget %d, cold %v", w.Budget(1, 16), w.Cold)
	}
}

func TestPeersWordMakesColdButNotWarm(t *testing.T) {
	warm := Sign{Incarnation: 1, Answered: true}
	known := func() *Warmth {
		w := &Warmth{}
		w.Observe(at(0), warm)
		return w
	}
	w := known()
	if w.Hear(2, 0, true); !w.Cold {
		t.Error("a newer incarnation leaves the target warm")
	}
	if w.Hear(2, 1, false); w.Settle(1, 4, TurnAt(0)) {
		t.Error("a peer's first clean window makes the target warm")
	}
	if w.Hear(2, 2, false); !w.Settle(1, 4, TurnAt(0)) {
		t.Error("a peer's whole ramp leaves the target cold")
	}
	w = known()
	if w.Hear(0, 9<<stepBits, true); w.Cold {
		t.Error("an older incarnation makes the target cold")
	}
}
