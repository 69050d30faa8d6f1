package relay

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/result"
)

func TestRefusals(t *testing.T) {
	w := &world{t: t, e: New(testConfig()), answers: map[uint64]Answer{}, at0: map[uint64]time.Duration{}, took: map[uint64]time.Duration{}}
	key := w.submit("/one/x")
	w.wantCode(key, result.NotReady)
	if w.answer(key).RetryAfter <= 0 {
		t.Error("a host without a configuration does not say when to come back")
	}
	w = newWorld(t, 2)
	w.wantCode(w.submit("/nowhere/x"), result.ServiceUnknown)
	for range w.e.cfg.MaxRequests {
		w.submit("/one/x")
	}
	w.wantCode(w.submit("/one/x"), result.QueueFull)
}

func TestNearTargetIsPreferred(t *testing.T) {
	w := newWorld(t, 2)
	w.warmUp()
	for range 10 {
		w.submit("/one/x")
		w.pass(20 * time.Millisecond)
	}
	for _, s := range w.sends {
		if s.Target.Zone != homeZone {
			t.Errorf("sent to %s", s.Target.Instance)
		}
	}
}

// TestIdempotentRequestIsRetried ends the first attempt in each way that may have run.
func TestIdempotentRequestIsRetried(t *testing.T) {
	for _, o := range []Outcome{Declined, Misdirected, Unreachable, Lost, Malformed} {
		t.Run(o.String(), func(t *testing.T) {
			w := newWorld(t, 1)
			w.warmUp()
			w.at["one@z0"] = ends(o)
			key := w.submit("/one/x")
			w.pass(timeout)
			w.wantCode(key, result.OK)
			if n := len(w.sends); n != 2 {
				t.Errorf("%d attempts, want 2", n)
			}
		})
	}
}

// TestOnceRequestRunsAtMostOnce sends again only what is known not to have run, and tells
// "not run" only then.
func TestOnceRequestRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		near, far Outcome
		attempts  int
		code      result.Code
	}{
		{Declined, Answered, 2, result.OK},
		{Unreachable, Answered, 2, result.OK},
		{Misdirected, Answered, 2, result.OK},
		{Lost, Answered, 1, result.OutcomeUnknown},
		{Malformed, Answered, 1, result.OutcomeUnknown},
		{Declined, Lost, 2, result.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.near, " ", tt.far), func(t *testing.T) {
			w := newWorld(t, 1)
			w.warmUp()
			w.at["one@z0"] = ends(tt.near)
			if tt.far != Answered {
				w.at["one@z1"] = ends(tt.far)
			}
			key := w.submit("/once/x")
			w.pass(timeout)
			w.wantCode(key, tt.code)
			if len(w.sends) != tt.attempts {
				t.Errorf("%d attempts, want %d", len(w.sends), tt.attempts)
			}
		})
	}
}

func TestOnceRequestIsNeverHedged(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	w.at["one@z0"] = silent
	key := w.submit("/once/x")
	w.pass(2 * timeout)
	if len(w.sends) != 1 {
		t.Errorf("%d attempts, want 1", len(w.sends))
	}
	if kind := w.answer(key).Code.Kind(); kind == result.NotRun {
		t.Errorf("a request that may have run is called not run: %v", w.answer(key).Code)
	}
	if took := w.took[key]; took > timeout {
		t.Errorf("the answer took %v, more than the route's timeout", took)
	}
}

// TestTargetsOwnFailureIsHandedOn checks that the answer is the target's, unchanged.
func TestTargetsOwnFailureIsHandedOn(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	w.at["one@z0"], w.at["one@z1"] = status(500), status(500)
	key := w.submit("/one/x")
	w.pass(timeout)
	if a := w.answer(key); a.Response == nil || a.Response.Status != 500 || a.Response.Proof != "p" {
		t.Errorf("answer is %+v", a)
	}
}

// TestPausedTargetIsHedgedInTime pauses one shard's near target: the answer is whole and
// within the objective.
func TestPausedTargetIsHedgedInTime(t *testing.T) {
	w := newWorld(t, 10)
	w.warmUp()
	w.at["s03@z0"] = func(_ *world, _ *Send) (*Reply, time.Duration) { return answered("s03@z0"), 200 * time.Millisecond }
	key := w.submit("/all/x")
	w.pass(timeout)
	a := w.answer(key)
	if a.Missing != 0 || w.took[key] > objective {
		t.Errorf("%d shards missing after %v", a.Missing, w.took[key])
	}
	if hedges := w.e.Counters().Hedges; hedges != 1 {
		t.Errorf("%d hedges, want 1", hedges)
	}
}

// TestStalledTargetIsAvoided sends no further first attempts to a target that is silent,
// and returns to it with its first reply.
func TestStalledTargetIsAvoided(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	resume := w.now.Mono + 200*time.Millisecond
	w.at["s00@z0"] = func(w *world, _ *Send) (*Reply, time.Duration) {
		return answered("s00@z0"), max(workTime, resume+workTime-w.now.Mono)
	}
	w.submit("/all/x")
	w.pass(100 * time.Millisecond)
	w.sends = nil
	w.submit("/all/x")
	if got := w.sends[0].Target.Instance; got != "s00@z1" {
		t.Errorf("sent to %s while the near target is silent", got)
	}
	w.pass(300 * time.Millisecond)
	w.sends = nil
	w.submit("/all/x")
	if got := w.sends[0].Target.Instance; got != "s00@z0" {
		t.Errorf("sent to %s after the near target has replied", got)
	}
}

// TestPartialAnswerLeavesInTime takes all targets of a shard away: what is in leaves at
// the cutoff if it is enough, and the answer tells truly what is missing.
func TestPartialAnswerLeavesInTime(t *testing.T) {
	w := newWorld(t, 10)
	w.warmUp()
	w.at["s03@z0"], w.at["s03@z1"] = silent, silent
	key := w.submit("/all/x")
	w.pass(timeout)
	a := w.answer(key)
	if a.Code != result.OK || a.Missing != 1 || len(a.Parts) != 9 {
		t.Errorf("answer has code %v, %d parts, %d missing", a.Code, len(a.Parts), a.Missing)
	}
	if took := w.took[key]; took > objective {
		t.Errorf("the partial answer took %v", took)
	}
}

func TestTooFewShardsAreNoAnswer(t *testing.T) {
	w := newWorld(t, 10)
	w.warmUp()
	for i := range 3 {
		w.at[fmt.Sprintf("s%02d@z0", i)], w.at[fmt.Sprintf("s%02d@z1", i)] = status(500), status(500)
	}
	key := w.submit("/all/x")
	w.pass(2 * timeout)
	if a := w.answer(key); a.Code != result.CoverageTooLow || len(a.Parts) != 0 {
		t.Errorf("answer is %v with %d parts", a.Code, len(a.Parts))
	}
}

// TestRequestThatNoTargetHasRoomForIsRefusedEarly holds all targets: the refusal comes
// within a quarter of the objective, is true and says when to come back.
func TestRequestThatNoTargetHasRoomForIsRefusedEarly(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	w.at["one@z0"], w.at["one@z1"] = ends(Unreachable), ends(Unreachable)
	for range 8 {
		w.submit("/one/x")
		w.pass(100 * time.Millisecond)
	}
	w.sends = nil
	key := w.submit("/one/x")
	w.pass(timeout)
	a := w.answer(key)
	if a.Code.Kind() != result.NotRun || a.RetryAfter <= 0 {
		t.Errorf("answer is %+v", a)
	}
	if took, bound := w.took[key], objective/4+5*time.Millisecond; took > bound {
		t.Errorf("the refusal took %v, want at most %v", took, bound)
	}
}

// TestCallerGoneCancelsAttempts gives up all that is in progress, and nothing more is sent.
func TestCallerGoneCancelsAttempts(t *testing.T) {
	w := newWorld(t, 4)
	w.warmUp()
	for i := range 4 {
		w.at[fmt.Sprintf("s%02d@z0", i)] = silent
	}
	key := w.submit("/all/x")
	w.step(&CallerGone{Key: key})
	if len(w.cancels) != 4 {
		t.Errorf("%d attempts cancelled, want 4", len(w.cancels))
	}
	sent := len(w.sends)
	w.pass(2 * timeout)
	if len(w.sends) != sent {
		t.Errorf("%d attempts after the caller had gone", len(w.sends)-sent)
	}
	if _, ok := w.answers[key]; ok {
		t.Error("a caller that has gone is answered")
	}
	if n := w.e.InProgress(); n != 0 {
		t.Errorf("%d requests in progress", n)
	}
}

// TestDrainingAndEvacuatedTargetsGetNothingNew puts views in force that take targets out.
func TestDrainingAndEvacuatedTargetsGetNothingNew(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	drained := testView(1)
	drained.Targets["one@z0"].Draining = true
	evacuated := testView(1)
	evacuated.ZonesOut["z0"] = true
	for _, v := range []*catalog.View{drained, evacuated} {
		w.step(&InForce{View: v})
		w.sends = nil
		w.submit("/one/x")
		w.pass(timeout)
		for _, s := range w.sends {
			if s.Target.Instance == "one@z0" {
				t.Error("sent to a target that was taken out")
			}
		}
	}
}

func TestRegionsOfARouteBind(t *testing.T) {
	w := newWorld(t, 1)
	v := testView(1)
	v.Config.Routes[1].Regions = []string{"r1"}
	w.step(&InForce{View: v})
	w.at["one@z1"] = ends(Lost)
	w.submit("/one/x")
	w.pass(timeout)
	for _, s := range w.sends {
		if s.Target.Zone != "z1" {
			t.Errorf("sent to %s", s.Target.Instance)
		}
	}
}

// TestBornAgainTargetIsUnknown starts a target again under its instance: nothing that was
// learned of the one before counts.
func TestBornAgainTargetIsUnknown(t *testing.T) {
	w := newWorld(t, 1)
	w.at["one@z0"] = ends(Unreachable)
	w.submit("/one/x")
	w.pass(10 * time.Millisecond)
	if w.e.targets["one@z0"].failures == 0 {
		t.Fatal("the failure is not known")
	}
	v := testView(1)
	v.Targets["one@z0"].Born = time.Second
	w.step(&InForce{View: v})
	if got := w.e.targets["one@z0"].failures; got != 0 {
		t.Errorf("%d failures of an earlier start count", got)
	}
}

// TestRetryBudgetHolds bounds the extra attempts at one service in any window, whatever
// its targets do: the ratio of the first ones and this host's part of the slack.
func TestRetryBudgetHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, 1)
		w.e.cfg.Seed = rapid.Uint64().Draw(rt, "seed")
		outcomes := []Outcome{Answered, Declined, Lost, TimedOut, Malformed}
		var first, extra int
		tried := map[AttemptID]bool{}
		b := func(_ *world, s *Send) (*Reply, time.Duration) {
			o := rapid.SampledFrom(outcomes).Draw(rt, "outcome")
			if o == Answered {
				return answered(s.Target.Instance), way(s) + workTime
			}
			return &Reply{Outcome: o}, way(s) + workTime
		}
		w.at["one@z0"], w.at["one@z1"] = b, b
		n := rapid.IntRange(1, 60).Draw(rt, "requests")
		for range n {
			w.submit("/one/x")
			w.pass(time.Duration(rapid.IntRange(0, 30).Draw(rt, "gap")) * time.Millisecond)
		}
		w.pass(2 * timeout)
		seen := map[string]bool{}
		for _, s := range w.sends {
			if tried[s.Attempt] {
				rt.Fatalf("attempt %d sent twice", s.Attempt)
			}
			tried[s.Attempt] = true
			if seen[s.Request.ID] {
				extra++
			} else {
				first++
			}
			seen[s.Request.ID] = true
		}
		retry := w.e.cfg.Retry
		if bound := retry.Ratio*float64(first) + retry.Slack/float64(w.e.cfg.Hosts); float64(extra) > bound {
			rt.Fatalf("%d extra attempts for %d requests, bound %.1f", extra, first, bound)
		}
	})
}

// TestRetryChangeBindsAtOnce takes the retry budget away from a host that had spent none.
func TestRetryChangeBindsAtOnce(t *testing.T) {
	w := newWorld(t, 0)
	w.at["one@z0"] = status(500)
	w.warmUp()
	w.step(&RetryChanged{Policy: RetryPolicy{}})
	for range 20 {
		w.submit("/one/x")
		w.pass(50 * time.Millisecond)
	}
	if len(w.sends) != 20 {
		t.Errorf("%d sends for 20 requests without a retry budget", len(w.sends))
	}
}

// TestSplitGivesEachPartItsShare counts over many requests.
func TestSplitGivesEachPartItsShare(t *testing.T) {
	s := &routeState{}
	parts := []catalog.Share{{Service: "a", Weight: 7}, {Service: "b", Weight: 2}, {Service: "c", Weight: 1}}
	count := map[string]int{}
	for range 1000 {
		count[s.pickSplit(parts)]++
	}
	if count["a"] != 700 || count["b"] != 200 || count["c"] != 100 {
		t.Errorf("shares are %v", count)
	}
}

// TestMergeTop compares with a merge by hand: equal records all count and a rest that is
// shorter than a record is none.
func TestMergeTop(t *testing.T) {
	rec := func(b byte) []byte { return bytes.Repeat([]byte{b}, recordBytes) }
	parts := [][]byte{append(append(rec(1), rec(9)...), 'x'), append(rec(9), rec(5)...), nil}
	want := append(append(rec(9), rec(9)...), rec(5)...)
	if got := mergeTop(parts, 3); !bytes.Equal(got, want) {
		t.Errorf("%v", got)
	}
	if got := mergeTop(parts, 100); len(got) != 4*recordBytes {
		t.Errorf("%d bytes", len(got))
	}
}

// TestLateRepliesAreIgnored ends an attempt after its request and twice.
func TestLateRepliesAreIgnored(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	key := w.submit("/one/x")
	w.pass(timeout)
	before := w.answer(key)
	for _, s := range w.sends {
		late := answered("wrong")
		late.Attempt = s.Attempt
		w.step(late)
	}
	if got := w.answers[key]; got.Response != before.Response {
		t.Error("a late reply changed the answer")
	}
}

// TestColdTargetGetsItsRateOnly bounds what a cold target gets of this host.
func TestColdTargetGetsItsRateOnly(t *testing.T) {
	w := newWorld(t, 1)
	v := testView(1)
	const rate = 18.0
	v.Config.Services["one"].ColdPerSecond = rate
	for _, name := range []string{"one@z0", "one@z1"} {
		v.Targets[name].ColdFor = time.Minute
		v.Targets[name].Revision = 2
	}
	w.step(&InForce{View: v})
	for range 100 {
		w.submit("/one/x")
		w.pass(10 * time.Millisecond)
	}
	got := map[string]int{}
	for _, s := range w.sends {
		got[s.Target.Instance]++
	}
	share := rate / float64(w.e.cfg.Hosts)
	for name, n := range got {
		if bound := share + max(1, share); float64(n) > bound {
			t.Errorf("%s got %d requests in a second, want at most %.1f", name, n, bound)
		}
	}
}

// TestDrainAnswersAllInTime begins a shutdown with requests in progress whose targets are
// silent, and takes more: each has an answer by the bound.
func TestDrainAnswersAllInTime(t *testing.T) {
	w := newWorld(t, 4)
	w.warmUp()
	for name := range w.e.targets {
		w.at[name] = silent
	}
	keys := make([]uint64, 0, 5)
	keys = append(keys, w.submit("/all/x"), w.submit("/one/x"), w.submit("/once/x"))
	w.pass(20 * time.Millisecond)
	until := w.now.Mono + 300*time.Millisecond
	w.step(&Drain{Until: until})
	w.pass(100 * time.Millisecond)
	keys = append(keys, w.submit("/all/x"), w.submit("/once/x"))
	w.pass(until - w.now.Mono)
	for _, key := range keys {
		w.answer(key)
	}
	if n := w.e.InProgress(); n != 0 {
		t.Errorf("%d requests in progress", n)
	}
}
