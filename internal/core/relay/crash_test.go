package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/quarantine"
	"pollentack.example/pollentack/internal/core/result"
)

// crashOn makes every target crash under requests whose path contains marker. While it is down, for
// downtime, it refuses connections.
func (sim *simulation) crashOn(marker string, downtime time.Duration) {
	for instance := range sim.engine.targets {
		sim.behaviors[instance] = func(sim *simulation, s *Send) (*AttemptEnded, time.Duration) {
			if sim.refusing[instance] {
				return &AttemptEnded{Outcome: Unreachable}, rtt(s) + time.Millisecond
			}
			if !strings.Contains(s.Request.Path, marker) {
				return answered(instance), rtt(s) + serviceTime
			}
			sim.refusing[instance] = true
			sim.crashed++
			sim.after(downtime, &TargetChecked{}) // has the simulation wake up then
			sim.restarts[instance] = sim.now.Mono + downtime
			return &AttemptEnded{Outcome: Lost}, rtt(s) + time.Millisecond
		}
	}
}

// TestCrashingQueryIsHeldBack sends a query that crashes each target that runs it: the lost shards
// must not be repeated at the other replicas, the next two copies run at one target each, and those
// after them not at all. A query with another path is answered.
func TestCrashingQueryIsHeldBack(t *testing.T) {
	const shards = 10
	sim := newSimulation(t, shards)
	sim.warmUp()
	sim.crashOn("/bad", 300*time.Millisecond)
	sim.submit("/all/bad")
	sim.advance(timeout)
	if sim.crashed > shards {
		t.Errorf("the first copy crashed %d targets, want at most one for each of %d shards", sim.crashed, shards)
	}
	for range 2 {
		sim.crashed = 0
		sim.submit("/all/bad")
		sim.advance(timeout)
		if sim.crashed != 1 {
			t.Errorf("a copy of a suspect query crashed %d targets, want 1", sim.crashed)
		}
	}
	sim.sends = nil
	key := sim.submit("/all/bad")
	sim.wantCode(key, result.Quarantined)
	if len(sim.sends) > 0 || sim.answer(key).RetryAfter < time.Minute {
		t.Errorf("a convicted query was sent %d times, retry after %v", len(sim.sends), sim.answer(key).RetryAfter)
	}
	sim.wantCodeOf("/all/x", result.OK)
}

// TestCrashingRequestToOneServiceIsHeldBack is the same for a request to a single service.
func TestCrashingRequestToOneServiceIsHeldBack(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	sim.crashOn("/bad", 300*time.Millisecond)
	for range 6 {
		sim.submit("/one/bad")
		sim.advance(timeout)
	}
	const held, alone = quarantine.CrashesToHold, 2
	if sim.crashed != held+alone {
		t.Errorf("%d targets crashed, want %d until it is not repeated and %d alone", sim.crashed, held, alone)
	}
	sim.wantCodeOf("/one/bad", result.Quarantined)
	sim.wantCodeOf("/one/x", result.OK)
}

// TestQueryBesideCrashingOneIsCleared has a query in progress at the targets that another query
// crashes. Its next copy must be answered whole.
func TestQueryBesideCrashingOneIsCleared(t *testing.T) {
	const shards = 10
	sim := newSimulation(t, shards)
	sim.warmUp()
	beside := &Request{Key: 1 << 20, ID: "beside", Host: "h", Path: "/all/beside", Target: "/all/beside"}
	for instance := range sim.engine.targets {
		sim.behaviors[instance] = func(*simulation, *Send) (*AttemptEnded, time.Duration) {
			return &AttemptEnded{Outcome: Lost}, time.Millisecond
		}
		sim.refusing[instance] = true
	}
	sim.step(&Submit{Request: beside})
	sim.advance(timeout)
	if n := sim.engine.crash.suspects.Crashes(sim.now.Mono, fingerprintOf(beside)); n < quarantine.CrashesToHold {
		t.Fatalf("%d crashes count against the query, want at least %d", n, quarantine.CrashesToHold)
	}
	clear(sim.behaviors)
	clear(sim.refusing)
	sim.advance(2 * maxBackoff)
	for copies := range 2 {
		sim.sends = nil
		again := *beside
		again.Key += uint64(copies) + 1
		sim.submittedAt[again.Key] = sim.now.Mono
		sim.step(&Submit{Request: &again})
		if n, want := len(sim.sends), []int{1, shards}[copies]; n != want {
			t.Errorf("copy %d has %d attempts at first, want %d", copies, n, want)
		}
		sim.advance(timeout)
		if a := sim.answer(again.Key); a.Code != result.OK || a.Missing > 0 {
			t.Errorf("copy %d ended with %v, %d shards missing", copies, a.Code, a.Missing)
		}
	}
}

// TestResetsAreRepeated has targets reset connections and still listen: requests are repeated as
// before, and none becomes suspect.
func TestResetsAreRepeated(t *testing.T) {
	const shards = 4
	sim := newSimulation(t, shards)
	sim.warmUp()
	for i := range shards {
		sim.behaviors[fmt.Sprintf("s%02d@z0", i)] = endWith(Lost)
	}
	sim.wantCodeOf("/all/x", result.OK)
	if n := sim.engine.crash.suspects.Len(); n != 0 {
		t.Errorf("%d requests are suspect after resets", n)
	}
}

// TestCrashesAreToldToPeers passes what one host tells to another, which must refuse the request.
func TestCrashesAreToldToPeers(t *testing.T) {
	sim, other := newSimulation(t, 1), newSimulation(t, 1)
	sim.step(&MembersChanged{Members: members(9)})
	sim.warmUp()
	other.warmUp()
	sim.crashOn("/bad", 300*time.Millisecond)
	for range 4 {
		sim.submit("/one/bad")
		sim.advance(timeout)
	}
	direct := map[string]bool{}
	for _, tell := range sim.tells {
		direct[tell.Peer] = true
		other.step(&FactsReceived{Facts: tell.Facts})
	}
	if len(direct) != 9 {
		t.Errorf("%d peers were told, want 9", len(direct))
	}
	other.wantCodeOf("/one/bad", result.Quarantined)
	other.wantCodeOf("/one/x", result.OK)
}

// TestMissedCrashesAreToldAgain checks that a peer that missed the first message is told within a
// few syncIntervals.
func TestMissedCrashesAreToldAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.step(&MembersChanged{Members: members(2)})
	sim.warmUp()
	sim.crashOn("/bad", 300*time.Millisecond)
	sim.submit("/one/bad")
	sim.advance(timeout)
	sim.tells = nil
	sim.advance(10 * syncInterval)
	told := map[string]bool{}
	for _, tell := range sim.tells {
		told[tell.Peer] = len(tell.Facts) == 1
	}
	if len(told) != 2 || len(sim.tells) > 11 {
		t.Errorf("%d messages to %v in 10 intervals, want at most 11, to both peers", len(sim.tells), told)
	}
}

// TestStartedHostAsksPeers checks that a host asks peers that it finds after its start, few of them, and
// that a peer tells it what it knows.
func TestStartedHostAsksPeers(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.step(&MembersChanged{Members: members(9)})
	asked := 0
	for _, tell := range sim.tells {
		if tell.Ask && len(tell.Facts) == 0 {
			asked++
		}
	}
	if asked != peersToAsk {
		t.Errorf("%d peers were asked, want %d", asked, peersToAsk)
	}
	sim.warmUp()
	sim.crashOn("/bad", 300*time.Millisecond)
	sim.submit("/one/bad")
	sim.advance(timeout)
	sim.tells = nil
	sim.step(&FactsReceived{From: "p4", Ask: true})
	if len(sim.tells) != 1 || sim.tells[0].Peer != "p4" || len(sim.tells[0].Facts) != 1 {
		t.Errorf("a peer that asked was told %+v", sim.tells)
	}
}

// TestConvictionIsToldAmongManyCrashes guards against a conviction that is forgotten when the hosts
// that know it are restarted one after the other: the crashes of another service leave more newer
// fingerprints than a message holds.
func TestConvictionIsToldAmongManyCrashes(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.step(&MembersChanged{Members: members(2)})
	sim.warmUp()
	sim.crashOn("/bad", 300*time.Millisecond)
	for range 4 {
		sim.submit("/one/bad")
		sim.advance(timeout)
	}
	convicted := fingerprintOf(&Request{Host: "h", Path: "/one/bad", Target: "/one/bad"})
	if _, ok := sim.engine.crash.suspects.Convicted(sim.now.Mono, convicted); !ok {
		t.Fatal("the request is not convicted")
	}
	for i := range quarantine.Fingerprint(3 * maxFactsPerMessage) {
		sim.engine.crash.suspects.RecordCrash(sim.now.Mono, i+1, quarantine.CrashID(i+1), false)
	}
	told := func() bool {
		for _, tell := range sim.tells {
			for i := range tell.Facts {
				if tell.Facts[i].Fingerprint == convicted {
					return true
				}
			}
		}
		return false
	}
	sim.tells = nil
	sim.advance(syncInterval + time.Millisecond)
	if !told() {
		t.Error("the message that repeats what is known lacks the conviction")
	}
	sim.tells = nil
	sim.step(&FactsReceived{From: "p1", Ask: true})
	if !told() {
		t.Error("the answer to a host that has started lacks the conviction")
	}
	for _, tell := range sim.tells {
		if len(tell.Facts) > maxFactsPerMessage {
			t.Errorf("a message has %d facts, want at most %d", len(tell.Facts), maxFactsPerMessage)
		}
	}
}

// TestRestartedHostConvictsWithThreeRequests guards against a request that reaches more targets than
// allowed after all hosts were killed at once: nobody is left who knows it, and three requests that
// may run once each must be enough to find out again.
func TestRestartedHostConvictsWithThreeRequests(t *testing.T) {
	const requests = 3
	sim := newSimulation(t, 1)
	sim.warmUp()
	sim.crashOn("/bad", 300*time.Millisecond)
	for range requests {
		sim.submit("/once/bad")
		sim.advance(timeout)
	}
	if sim.crashed != requests {
		t.Errorf("%d targets crashed under %d requests", sim.crashed, requests)
	}
	sim.wantCodeOf("/once/bad", result.Quarantined)
	sim.wantCodeOf("/once/x", result.OK)
}
