package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/fleet"
	"pollentack.example/pollentack/internal/core/result"
)

// The published bound on a target that names a limit: limitWindow after it first did, it gets at
// most limitTolerance times what its limit allows in limitSpan, and limitSlack requests.
const (
	limitWindow    = 5 * time.Second
	limitSpan      = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// arrivalLog holds when requests reached a target, from any host.
type arrivalLog struct{ times []time.Duration }

// most returns the largest number of arrivals in a limitSpan that begins after limitWindow.
func (l *arrivalLog) most() int {
	slices.Sort(l.times)
	most := 0
	for i, from := range l.times {
		if from < limitWindow {
			continue
		}
		n, _ := slices.BinarySearch(l.times, from+limitSpan)
		most = max(most, n-i)
	}
	return most
}

func allowedArrivals(limit float64) int {
	return int(limitTolerance*limit*limitSpan.Seconds()) + limitSlack
}

// limited returns the behavior of a target that names a limit in its replies.
func limited(limit float64, log *arrivalLog) behavior {
	return func(sim *simulation, s *Send) (*AttemptEnded, time.Duration) {
		log.times = append(log.times, sim.now.Mono)
		ended := answered(s.Target.Instance)
		ended.Notice = Notice{Limited: true, RateLimit: limit}
		return ended, rtt(s) + serviceTime
	}
}

// fleetOf returns the members of a fleet of n hosts in the home zone.
func fleetOf(n int) []fleet.Member {
	list := make([]fleet.Member, n)
	for i := range list {
		list[i] = fleet.Member{Host: fmt.Sprintf("host%d", i), Zone: homeZone, Region: homeRegion, Capacity: 400}
	}
	return list
}

// runFleet runs each host of a fleet in a simulation of its own for a time, with a number of requests
// a second to each, and returns the answers and the time that each took.
func runFleet(t *testing.T, shards, hosts int, perSecond float64, path string, d time.Duration, prepare func(*simulation)) (answers []Answer, elapsed []time.Duration) {
	for _, m := range fleetOf(hosts) {
		cfg := testConfig()
		cfg.Host = m.Host
		sim := newSimulationOf(t, cfg, shards)
		sim.step(&MembersChanged{Members: fleetOf(hosts)})
		prepare(sim)
		interval := time.Duration(float64(time.Second) / perSecond)
		for sim.now.Mono < d {
			sim.submit(path)
			sim.advance(interval)
		}
		sim.advance(timeout)
		for key, a := range sim.answers {
			answers, elapsed = append(answers, a), append(elapsed, sim.elapsed[key])
		}
	}
	return answers, elapsed
}

// count returns how many answers have the code and a missing number of shards of at most missing.
func count(answers []Answer, code result.Code, missing int) int {
	n := 0
	for i := range answers {
		if answers[i].Code == code && answers[i].Missing <= missing {
			n++
		}
	}
	return n
}

// TestLimitOfTargetIsSharedByHosts has one replica of a shard name a limit below the load: the hosts
// together must keep to it, and the other replica takes the rest.
func TestLimitOfTargetIsSharedByHosts(t *testing.T) {
	const limit = 20.0
	for _, hosts := range []int{1, 4, 9} {
		log := &arrivalLog{}
		answers, _ := runFleet(t, 10, hosts, 100/float64(hosts), "/all/x", 15*time.Second, func(sim *simulation) {
			sim.behaviors["s00@z0"] = limited(limit, log)
		})
		if most := log.most(); most > allowedArrivals(limit) {
			t.Errorf("%d hosts: %d requests in %v, want at most %d", hosts, most, limitSpan, allowedArrivals(limit))
		}
		if n := count(answers, result.OK, 0); n < len(answers)*99/100 {
			t.Errorf("%d hosts: %d of %d queries answered whole", hosts, n, len(answers))
		}
	}
}

// TestLimitOfPlainTargetsIsShared is the same for a service of which each request goes to one target.
// What no target takes must be refused at once, with the time after which to come again.
func TestLimitOfPlainTargetsIsShared(t *testing.T) {
	const limit = 20.0
	for _, hosts := range []int{1, 9} {
		log := &arrivalLog{}
		answers, elapsed := runFleet(t, 1, hosts, 100/float64(hosts), "/one/x", 15*time.Second, func(sim *simulation) {
			sim.behaviors["one@z0"], sim.behaviors["one@z1"] = limited(limit, log), limited(limit, log)
		})
		if most := log.most(); most > 2*allowedArrivals(limit) {
			t.Errorf("%d hosts: %d requests to two targets in %v, want at most %d", hosts, most, limitSpan, 2*allowedArrivals(limit))
		}
		if served := count(answers, result.OK, 0); float64(served) < 0.8*2*limit*15 {
			t.Errorf("%d hosts: %d requests served in 15 s, want 0.8 of what the limits allow", hosts, served)
		}
		for i := range answers {
			if a := &answers[i]; a.Code != result.OK && (a.Code != result.Shed || a.RetryAfter <= 0 || elapsed[i] > objective/dispatchDivisor) {
				t.Fatalf("%d hosts: an answer is %v after %v, retry after %v", hosts, a.Code, elapsed[i], a.RetryAfter)
			}
		}
	}
}

// TestQueriesOverLimitedShardsAreWholeOrRefused has all replicas of half of the shards name limits of
// half of the load. Queries must be answered or refused at once; none may use up what others need
// and then fail.
func TestQueriesOverLimitedShardsAreWholeOrRefused(t *testing.T) {
	const limit, shards, hosts = 20.0, 10, 4
	log := &arrivalLog{}
	answers, elapsed := runFleet(t, shards, hosts, 20, "/all/x", 15*time.Second, func(sim *simulation) {
		for i := range shards / 2 {
			for _, zone := range []string{"z0", "z1"} {
				name := fmt.Sprintf("s%02d@%s", i, zone)
				sim.behaviors[name] = limited(limit, &arrivalLog{})
				if i == 0 {
					sim.behaviors[name] = limited(limit, log)
				}
			}
		}
	})
	if most := log.most(); most > 2*allowedArrivals(limit) {
		t.Errorf("%d requests to both replicas in %v, want at most %d", most, limitSpan, 2*allowedArrivals(limit))
	}
	if served := count(answers, result.OK, shards/4); float64(served) < 0.8*2*limit*15 {
		t.Errorf("%d queries served in 15 s, want 0.8 of what the limits allow", served)
	}
	for i := range answers {
		switch a := &answers[i]; {
		case a.Code == result.OK && elapsed[i] <= objective:
		case a.Code == result.Shed && elapsed[i] == 0 && a.RetryAfter > 0:
		default:
			t.Fatalf("an answer is %v after %v, retry after %v", a.Code, elapsed[i], a.RetryAfter)
		}
	}
}

// TestSmallLimitInLargeFleet has more hosts than the limit allows requests in its span: a share for
// each host would add up to more.
func TestSmallLimitInLargeFleet(t *testing.T) {
	const limit, hosts = 5.0, 60
	log := &arrivalLog{}
	runFleet(t, 1, hosts, 2, "/one/x", 15*time.Second, func(sim *simulation) {
		sim.behaviors["one@z0"] = limited(limit, log)
	})
	if most := log.most(); most > allowedArrivals(limit) {
		t.Errorf("%d requests in %v, want at most %d", most, limitSpan, allowedArrivals(limit))
	}
	if len(log.times) == 0 {
		t.Error("the target gets no requests at all")
	}
}

// TestLiftedLimit has a target name a limit for a while. Once its replies no longer do, it must get
// its part of the load again.
func TestLiftedLimit(t *testing.T) {
	for _, limit := range []float64{2, 0} {
		sim := newSimulation(t, 1)
		sim.step(&MembersChanged{Members: members(0)})
		sim.warmUp()
		sim.behaviors["one@z0"] = limited(limit, &arrivalLog{})
		for range 40 {
			sim.submit("/one/x")
			sim.advance(50 * time.Millisecond)
		}
		delete(sim.behaviors, "one@z0")
		for range 10 {
			sim.submit("/one/x")
			sim.advance(time.Second)
		}
		sim.sends = nil
		for range 20 {
			sim.submit("/one/x")
			sim.advance(50 * time.Millisecond)
		}
		if n := sim.sendsTo("one@z0"); n < 19 {
			t.Errorf("limit %v: %d of 20 requests reach the near target after it was lifted", limit, n)
		}
	}
}
