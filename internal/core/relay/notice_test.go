package relay

import (
	"strings"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/result"
)

// noticing returns the behavior of a target that answers and says something of itself.
func noticing(n Notice) behavior {
	return func(_ *simulation, s *Send) (*AttemptEnded, time.Duration) {
		ended := answered(s.Target.Instance)
		ended.Notice = n
		return ended, rtt(s) + serviceTime
	}
}

// sendsTo counts the attempts at targets whose instance begins with prefix.
func (sim *simulation) sendsTo(prefix string) int {
	n := 0
	for i := range sim.sends {
		if strings.HasPrefix(sim.sends[i].Target.Instance, prefix) {
			n++
		}
	}
	return n
}

// TestTargetThatLeavesGetsNoRequests has the near replica of a service and of a shard say in one
// reply that it leaves. Neither may get another request, until the target starts again.
func TestTargetThatLeavesGetsNoRequests(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.warmUp()
	for _, instance := range []string{"one@z0", "s00@z0"} {
		sim.behaviors[instance] = noticing(Notice{Leaving: true})
	}
	sim.wantCodeOf("/one/x", result.OK)
	sim.wantCodeOf("/all/x", result.OK)
	clear(sim.behaviors)
	sim.sends = nil
	for range 20 {
		sim.wantCodeOf("/one/x", result.OK)
		sim.wantCodeOf("/all/x", result.OK)
	}
	if n := sim.sendsTo("one@z0") + sim.sendsTo("s00@z0"); n > 0 {
		t.Errorf("targets that leave got %d requests", n)
	}
	v := testView(4)
	v.Targets["one@z0"] = &catalog.Target{Instance: "one@z0", Service: "one", Address: "one@z0", Zone: "z0", Slots: 4, Revision: 2, StartTime: time.Second}
	sim.step(&ViewChanged{View: v})
	for range 20 {
		sim.wantCodeOf("/one/x", result.OK)
	}
	if n := sim.sendsTo("one@z0"); n == 0 {
		t.Error("a target that started again gets no requests")
	}
}

// TestAllTargetsLeave checks that requests for a service whose targets all leave are refused at once.
func TestAllTargetsLeave(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	sim.behaviors["one@z0"], sim.behaviors["one@z1"] = noticing(Notice{Leaving: true}), noticing(Notice{Leaving: true})
	sim.wantCodeOf("/one/x", result.OK)
	sim.wantCodeOf("/one/x", result.OK)
	key := sim.submit("/one/x")
	if a := sim.answer(key); a.Code.Kind() != result.NotRun {
		t.Errorf("the request ended with %v, want a refusal", a.Code)
	}
}

// pausing returns the behavior of a target that turns requests away and wants none for a time.
func pausing(retryAfter time.Duration) behavior {
	return func(_ *simulation, s *Send) (*AttemptEnded, time.Duration) {
		return &AttemptEnded{Outcome: Declined, Notice: Notice{RetryAfter: retryAfter}}, rtt(s) + time.Millisecond
	}
}

// TestPauseOfTargetIsKept has the near replica of a service and of a shard ask for a pause. The other
// replicas serve meanwhile; the near ones get requests again afterwards.
func TestPauseOfTargetIsKept(t *testing.T) {
	const pause = 3 * time.Second
	sim := newSimulation(t, 4)
	sim.warmUp()
	sim.behaviors["one@z0"], sim.behaviors["s00@z0"] = pausing(pause), pausing(pause)
	sim.wantCodeOf("/one/x", result.OK)
	sim.wantCodeOf("/all/x", result.OK)
	clear(sim.behaviors)
	sim.sends = nil
	for range 10 {
		sim.submit("/one/x")
		key := sim.submit("/all/x")
		sim.advance(pause / 30)
		if a := sim.answer(key); a.Code != result.OK || a.Missing > 0 {
			t.Errorf("a query during the pause ended with %v, %d shards missing", a.Code, a.Missing)
		}
	}
	if n := sim.sendsTo("one@z0") + sim.sendsTo("s00@z0"); n > 0 {
		t.Errorf("targets that want a pause got %d requests", n)
	}
	sim.advance(pause)
	for range 10 {
		sim.wantCodeOf("/one/x", result.OK)
	}
	if n := sim.sendsTo("one@z0"); n == 0 {
		t.Error("a target gets no requests after its pause")
	}
}

// TestAllTargetsPause checks that requests for a service whose targets all want a pause are refused at
// once, with the time after which to come again.
func TestAllTargetsPause(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	sim.behaviors["one@z0"], sim.behaviors["one@z1"] = pausing(800*time.Millisecond), pausing(time.Minute)
	sim.submit("/one/x")
	sim.advance(100 * time.Millisecond)
	sim.sends = nil
	key := sim.submit("/one/x")
	sim.wantCode(key, result.Shed)
	if a := sim.answer(key); sim.elapsed[key] != 0 || a.RetryAfter < 500*time.Millisecond || a.RetryAfter > 1500*time.Millisecond || len(sim.sends) > 0 {
		t.Errorf("refused after %v with %d attempts, retry after %v", sim.elapsed[key], len(sim.sends), a.RetryAfter)
	}
}
