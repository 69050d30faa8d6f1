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
	sim := &simulation{t: t, engine: New(testConfig()), answers: map[uint64]Answer{}, submittedAt: map[uint64]time.Duration{}, elapsed: map[uint64]time.Duration{}}
	key := sim.submit("/one/x")
	sim.wantCode(key, result.NotReady)
	if sim.answer(key).RetryAfter <= 0 {
		t.Error("refusal without a configuration has no RetryAfter")
	}
	sim = newSimulation(t, 2)
	sim.wantCode(sim.submit("/nowhere/x"), result.ServiceUnknown)
	for range sim.engine.cfg.MaxRequests {
		sim.submit("/one/x")
	}
	sim.wantCode(sim.submit("/one/x"), result.QueueFull)
}

func TestLocalTargetIsPreferred(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.warmUp()
	for range 10 {
		sim.submit("/one/x")
		sim.advance(20 * time.Millisecond)
	}
	for _, s := range sim.sends {
		if s.Target.Zone != homeZone {
			t.Errorf("sent to %s", s.Target.Instance)
		}
	}
}

// TestIdempotentRequestIsRetried ends the first attempt with each failure outcome that
// allows a retry.
func TestIdempotentRequestIsRetried(t *testing.T) {
	for _, o := range []Outcome{Declined, Misdirected, Unreachable, Lost, Malformed} {
		t.Run(o.String(), func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.warmUp()
			sim.behaviors["one@z0"] = endWith(o)
			key := sim.submit("/one/x")
			sim.advance(timeout)
			sim.wantCode(key, result.OK)
			if n := len(sim.sends); n != 2 {
				t.Errorf("%d attempts, want 2", n)
			}
		})
	}
}

// TestNonIdempotentRequestRunsAtMostOnce checks that a non-idempotent request is sent again
// only if the previous attempt did not run, and otherwise ends with an unknown outcome.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		local, remote Outcome
		attempts      int
		code          result.Code
	}{
		{Declined, Answered, 2, result.OK},
		{Unreachable, Answered, 2, result.OK},
		{Misdirected, Answered, 2, result.OK},
		{Lost, Answered, 1, result.OutcomeUnknown},
		{Malformed, Answered, 1, result.OutcomeUnknown},
		{Declined, Lost, 2, result.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.local, " ", tt.remote), func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.warmUp()
			sim.behaviors["one@z0"] = endWith(tt.local)
			if tt.remote != Answered {
				sim.behaviors["one@z1"] = endWith(tt.remote)
			}
			key := sim.submit("/once/x")
			sim.advance(timeout)
			sim.wantCode(key, tt.code)
			if len(sim.sends) != tt.attempts {
				t.Errorf("%d attempts, want %d", len(sim.sends), tt.attempts)
			}
		})
	}
}

func TestNonIdempotentRequestIsNeverHedged(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	sim.behaviors["one@z0"] = neverRespond
	key := sim.submit("/once/x")
	sim.advance(2 * timeout)
	if len(sim.sends) != 1 {
		t.Errorf("%d attempts, want 1", len(sim.sends))
	}
	if kind := sim.answer(key).Code.Kind(); kind == result.NotRun {
		t.Errorf("a request that may have run is reported as not run: %v", sim.answer(key).Code)
	}
	if took := sim.elapsed[key]; took > timeout {
		t.Errorf("the answer took %v, more than the route's timeout", took)
	}
}

// TestTargetErrorResponseIsForwarded checks that an error response that all targets give is
// passed on unchanged.
func TestTargetErrorResponseIsForwarded(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	sim.behaviors["one@z0"], sim.behaviors["one@z1"] = respondStatus(500), respondStatus(500)
	key := sim.submit("/one/x")
	sim.advance(timeout)
	if a := sim.answer(key); a.Response == nil || a.Response.Status != 500 || a.Response.Proof != "p" {
		t.Errorf("answer is %+v", a)
	}
}

// TestPausedTargetIsHedgedWithinObjective pauses the local target of one shard. The answer
// must be complete and within the objective.
func TestPausedTargetIsHedgedWithinObjective(t *testing.T) {
	sim := newSimulation(t, 10)
	sim.warmUp()
	sim.behaviors["s03@z0"] = func(_ *simulation, _ *Send) (*AttemptEnded, time.Duration) {
		return answered("s03@z0"), 200 * time.Millisecond
	}
	key := sim.submit("/all/x")
	sim.advance(timeout)
	a := sim.answer(key)
	if a.Missing != 0 || sim.elapsed[key] > objective {
		t.Errorf("%d shards missing after %v", a.Missing, sim.elapsed[key])
	}
	if hedges := sim.engine.Counters().Hedges; hedges != 1 {
		t.Errorf("%d hedges, want 1", hedges)
	}
}

// TestStalledTargetIsAvoided checks that first attempts avoid a target that does not respond,
// and use it again after its first reply.
func TestStalledTargetIsAvoided(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	resume := sim.now.Mono + 200*time.Millisecond
	sim.behaviors["s00@z0"] = func(sim *simulation, _ *Send) (*AttemptEnded, time.Duration) {
		return answered("s00@z0"), max(serviceTime, resume+serviceTime-sim.now.Mono)
	}
	sim.submit("/all/x")
	sim.advance(100 * time.Millisecond)
	sim.sends = nil
	sim.submit("/all/x")
	if got := sim.sends[0].Target.Instance; got != "s00@z1" {
		t.Errorf("sent to %s while the local target does not respond", got)
	}
	sim.advance(300 * time.Millisecond)
	sim.sends = nil
	sim.submit("/all/x")
	if got := sim.sends[0].Target.Instance; got != "s00@z0" {
		t.Errorf("sent to %s after the local target has replied", got)
	}
}

// TestPartialAnswerMeetsObjective stops all targets of one shard. A partial answer with
// sufficient coverage must be sent at the cutoff and report the missing shard.
func TestPartialAnswerMeetsObjective(t *testing.T) {
	sim := newSimulation(t, 10)
	sim.warmUp()
	sim.behaviors["s03@z0"], sim.behaviors["s03@z1"] = neverRespond, neverRespond
	key := sim.submit("/all/x")
	sim.advance(timeout)
	a := sim.answer(key)
	if a.Code != result.OK || a.Missing != 1 || len(a.Parts) != 9 {
		t.Errorf("answer has code %v, %d parts, %d missing", a.Code, len(a.Parts), a.Missing)
	}
	if took := sim.elapsed[key]; took > objective {
		t.Errorf("the partial answer took %v", took)
	}
}

func TestCoverageBelowMinimumFails(t *testing.T) {
	sim := newSimulation(t, 10)
	sim.warmUp()
	for i := range 3 {
		sim.behaviors[fmt.Sprintf("s%02d@z0", i)], sim.behaviors[fmt.Sprintf("s%02d@z1", i)] = respondStatus(500), respondStatus(500)
	}
	key := sim.submit("/all/x")
	sim.advance(2 * timeout)
	if a := sim.answer(key); a.Code != result.CoverageTooLow || len(a.Parts) != 0 {
		t.Errorf("answer is %v with %d parts", a.Code, len(a.Parts))
	}
}

// TestRequestWithoutTargetCapacityIsRefusedEarly puts all targets into backoff. The request
// must be refused as not run within a quarter of the objective, with a RetryAfter.
func TestRequestWithoutTargetCapacityIsRefusedEarly(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	sim.behaviors["one@z0"], sim.behaviors["one@z1"] = endWith(Unreachable), endWith(Unreachable)
	for range 8 {
		sim.submit("/one/x")
		sim.advance(100 * time.Millisecond)
	}
	sim.sends = nil
	key := sim.submit("/one/x")
	sim.advance(timeout)
	a := sim.answer(key)
	if a.Code.Kind() != result.NotRun || a.RetryAfter <= 0 {
		t.Errorf("answer is %+v", a)
	}
	if took, bound := sim.elapsed[key], objective/4+5*time.Millisecond; took > bound {
		t.Errorf("the refusal took %v, want at most %v", took, bound)
	}
}

// TestAnswerWithdrawsUnsentAttempts guards against attempts that wait for a connection to a host or a target
// without power and are sent once it is back, although the request was answered by a hedge.
func TestAnswerWithdrawsUnsentAttempts(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.warmUp()
	sim.behaviors["s00@z0"] = neverRespond
	key := sim.submit("/all/x")
	sim.advance(objective)
	if a := sim.answer(key); a.Code != result.OK || a.Missing != 0 {
		t.Fatalf("answer is %+v", a)
	}
	if len(sim.cancels) != 1 || !sim.cancels[0].Unsent {
		t.Errorf("cancels are %+v, want one of an attempt that has not been sent", sim.cancels)
	}
}

// TestCallerGoneCancelsAttempts checks that all attempts in progress are cancelled and no
// further ones are sent after the caller has gone.
func TestCallerGoneCancelsAttempts(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.warmUp()
	for i := range 4 {
		sim.behaviors[fmt.Sprintf("s%02d@z0", i)] = neverRespond
	}
	key := sim.submit("/all/x")
	sim.step(&CallerGone{Key: key})
	if len(sim.cancels) != 4 {
		t.Errorf("%d attempts cancelled, want 4", len(sim.cancels))
	}
	sent := len(sim.sends)
	sim.advance(2 * timeout)
	if len(sim.sends) != sent {
		t.Errorf("%d attempts sent after the caller had gone", len(sim.sends)-sent)
	}
	if _, ok := sim.answers[key]; ok {
		t.Error("a caller that had gone was answered")
	}
	if n := sim.engine.InProgress(); n != 0 {
		t.Errorf("%d requests in progress", n)
	}
}

// TestDrainingAndEvacuatedTargetsGetNoNewRequests applies views in which a target is draining
// or its zone is evacuated.
func TestDrainingAndEvacuatedTargetsGetNoNewRequests(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	drained := testView(1)
	drained.Targets["one@z0"].Draining = true
	evacuated := testView(1)
	evacuated.EvacuatedZones["z0"] = true
	for _, v := range []*catalog.View{drained, evacuated} {
		sim.step(&ViewChanged{View: v})
		sim.sends = nil
		sim.submit("/one/x")
		sim.advance(timeout)
		for _, s := range sim.sends {
			if s.Target.Instance == "one@z0" {
				t.Error("sent to a target that is draining or in an evacuated zone")
			}
		}
	}
}

func TestRouteRegionsAreEnforced(t *testing.T) {
	sim := newSimulation(t, 1)
	v := testView(1)
	v.Config.Routes[1].Regions = []string{"r1"}
	sim.step(&ViewChanged{View: v})
	sim.behaviors["one@z1"] = endWith(Lost)
	sim.submit("/one/x")
	sim.advance(timeout)
	for _, s := range sim.sends {
		if s.Target.Zone != "z1" {
			t.Errorf("sent to %s", s.Target.Instance)
		}
	}
}

// TestRestartedTargetHasNoHistory restarts a target with the same instance name. The state of
// the previous incarnation must be discarded.
func TestRestartedTargetHasNoHistory(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.behaviors["one@z0"] = endWith(Unreachable)
	sim.submit("/one/x")
	sim.advance(10 * time.Millisecond)
	if sim.engine.targets["one@z0"].consecutiveFailures == 0 {
		t.Fatal("the failure was not recorded")
	}
	v := testView(1)
	v.Targets["one@z0"].StartTime = time.Second
	sim.step(&ViewChanged{View: v})
	if got := sim.engine.targets["one@z0"].consecutiveFailures; got != 0 {
		t.Errorf("%d failures kept from the previous incarnation", got)
	}
}

// TestRetryBudgetBoundsExtraAttempts checks that the extra attempts at one service never
// exceed the ratio of the first attempts plus this host's share of the slack, regardless of
// the outcomes.
func TestRetryBudgetBoundsExtraAttempts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(t, 1)
		sim.engine.cfg.Seed = rapid.Uint64().Draw(rt, "seed")
		outcomes := []Outcome{Answered, Declined, Lost, TimedOut, Malformed}
		var first, extra int
		tried := map[AttemptID]bool{}
		b := func(_ *simulation, s *Send) (*AttemptEnded, time.Duration) {
			o := rapid.SampledFrom(outcomes).Draw(rt, "outcome")
			if o == Answered {
				return answered(s.Target.Instance), rtt(s) + serviceTime
			}
			return &AttemptEnded{Outcome: o}, rtt(s) + serviceTime
		}
		sim.behaviors["one@z0"], sim.behaviors["one@z1"] = b, b
		n := rapid.IntRange(1, 60).Draw(rt, "requests")
		for range n {
			sim.submit("/one/x")
			sim.advance(time.Duration(rapid.IntRange(0, 30).Draw(rt, "gap")) * time.Millisecond)
		}
		sim.advance(2 * timeout)
		seen := map[string]bool{}
		for _, s := range sim.sends {
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
		retry := sim.engine.cfg.Retry
		if bound := retry.Ratio*float64(first) + retry.Slack/float64(sim.engine.cfg.InitialHosts); float64(extra) > bound {
			rt.Fatalf("%d extra attempts for %d requests, bound %.1f", extra, first, bound)
		}
	})
}

// TestRetryPolicyChangeTakesEffectImmediately sets an empty retry policy on a host whose
// retry budget is not used up.
func TestRetryPolicyChangeTakesEffectImmediately(t *testing.T) {
	sim := newSimulation(t, 0)
	sim.behaviors["one@z0"] = respondStatus(500)
	sim.warmUp()
	sim.step(&RetryPolicyChanged{Policy: RetryPolicy{}})
	for range 20 {
		sim.submit("/one/x")
		sim.advance(50 * time.Millisecond)
	}
	if len(sim.sends) != 20 {
		t.Errorf("%d attempts for 20 requests without a retry budget", len(sim.sends))
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	s := &routeState{}
	parts := []catalog.WeightedService{{Service: "a", Weight: 7}, {Service: "b", Weight: 2}, {Service: "c", Weight: 1}}
	count := map[string]int{}
	for range 1000 {
		count[s.pickSplit(parts)]++
	}
	if count["a"] != 700 || count["b"] != 200 || count["c"] != 100 {
		t.Errorf("requests by service are %v", count)
	}
}

// TestMergeTop checks that duplicate records are kept and that a remainder shorter than a
// record is ignored.
func TestMergeTop(t *testing.T) {
	rec := func(b byte) []byte { return bytes.Repeat([]byte{b}, recordBytes) }
	parts := [][]byte{append(append(rec(1), rec(9)...), 'x'), append(rec(9), rec(5)...), nil}
	want := append(append(rec(9), rec(9)...), rec(5)...)
	if got := mergeTop(parts, 3); !bytes.Equal(got, want) {
		t.Errorf("merged records are %v, want %v", got, want)
	}
	if got := mergeTop(parts, 100); len(got) != 4*recordBytes {
		t.Errorf("merge has %d bytes, want %d", len(got), 4*recordBytes)
	}
}

// TestLateRepliesAreIgnored delivers a second reply to each attempt after the request has
// ended.
func TestLateRepliesAreIgnored(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	key := sim.submit("/one/x")
	sim.advance(timeout)
	before := sim.answer(key)
	for _, s := range sim.sends {
		late := answered("wrong")
		late.Attempt = s.Attempt
		sim.step(late)
	}
	if got := sim.answers[key]; got.Response != before.Response {
		t.Error("a late reply changed the answer")
	}
}

// TestColdTargetRateLimit checks that requests to a cold target stay within this host's share
// of its rate limit.
func TestColdTargetRateLimit(t *testing.T) {
	sim := newSimulation(t, 1)
	v := testView(1)
	const rate = 18.0
	v.Config.Services["one"].MaxColdRate = rate
	for _, name := range []string{"one@z0", "one@z1"} {
		v.Targets[name].ColdRemaining = time.Minute
		v.Targets[name].Revision = 2
	}
	sim.step(&ViewChanged{View: v})
	for range 100 {
		sim.submit("/one/x")
		sim.advance(10 * time.Millisecond)
	}
	got := map[string]int{}
	for _, s := range sim.sends {
		got[s.Target.Instance]++
	}
	share := rate / float64(sim.engine.cfg.InitialHosts)
	for name, n := range got {
		if bound := share + max(1, share); float64(n) > bound {
			t.Errorf("%s got %d requests in a second, want at most %.1f", name, n, bound)
		}
	}
}

// TestDrainAnswersAllRequestsByDeadline drains the engine while targets do not respond.
// Requests in progress and later ones must be answered by the drain deadline.
func TestDrainAnswersAllRequestsByDeadline(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.warmUp()
	for name := range sim.engine.targets {
		sim.behaviors[name] = neverRespond
	}
	keys := make([]uint64, 0, 5)
	keys = append(keys, sim.submit("/all/x"), sim.submit("/one/x"), sim.submit("/once/x"))
	sim.advance(20 * time.Millisecond)
	until := sim.now.Mono + 300*time.Millisecond
	sim.step(&Drain{Until: until})
	sim.advance(100 * time.Millisecond)
	keys = append(keys, sim.submit("/all/x"), sim.submit("/once/x"))
	sim.advance(until - sim.now.Mono)
	for _, key := range keys {
		sim.answer(key)
	}
	if n := sim.engine.InProgress(); n != 0 {
		t.Errorf("%d requests in progress", n)
	}
}
