package relay

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// TestColdTargetsGetNoRequestOfEveryHostAtOnce guards against targets that crash again as soon as they
// are back: requests wait for them at all hosts, and each host's first token came at the same moment.
func TestColdTargetsGetNoRequestOfEveryHostAtOnce(t *testing.T) {
	const coldFor, between, reportEvery = 12 * time.Second, 20 * time.Millisecond, 60
	policy := ColdPolicy{Factor: 1.5, Slack: 5}
	for _, c := range []struct {
		hosts int
		rate  float64
	}{{9, 1}, {9, 2.6}, {9, 100}, {85, 1}, {85, 53}} {
		list := members(c.hosts - 1)
		arrivals := map[string][]time.Duration{}
		for i := range list {
			cfg := testConfig()
			cfg.Cold = policy
			cfg.Host, cfg.Zone, cfg.Region, cfg.Seed = list[i].Host, list[i].Zone, list[i].Region, uint64(i)
			sim := newSimulationOf(t, cfg, 1)
			sim.step(&MembersChanged{Members: list})
			sim.advance(fleetSettleTime)
			for _, instance := range []string{"one@z0", "one@z1"} {
				sim.behaviors[instance] = func(sim *simulation, s *Send) (*AttemptEnded, time.Duration) {
					arrivals[instance] = append(arrivals[instance], sim.now.Mono)
					return answered(instance), rtt(s) + serviceTime
				}
			}
			v := testView(1)
			v.Config.Services["one"].MaxColdRate = c.rate
			for _, instance := range []string{"one@z0", "one@z1"} {
				v.Targets[instance].ColdRemaining = coldFor
				v.Targets[instance].Revision = 2
			}
			sim.step(&ViewChanged{View: v})
			for n := range int((coldFor - time.Second) / between) {
				if n%reportEvery == reportEvery-1 { // a report of the targets, which are still cold
					v := *v
					v.Targets = maps.Clone(v.Targets)
					for _, instance := range []string{"one@z0", "one@z1"} {
						spec := *v.Targets[instance]
						spec.ColdRemaining, spec.Revision = coldFor-time.Duration(n)*between, uint64(3+n)
						v.Targets[instance] = &spec
					}
					sim.step(&ViewChanged{View: &v})
				}
				sim.submit("/one/x")
				sim.advance(between)
			}
		}
		bound := c.rate*policy.Factor + policy.Slack
		for instance, at := range arrivals {
			slices.Sort(at)
			for i, first := 0, 0; i < len(at); i++ {
				for at[i]-at[first] >= time.Second {
					first++
				}
				if n := i - first + 1; float64(n) > bound {
					t.Errorf("%d hosts, %v a second: %s got %d requests in the second until %v, want at most %.1f", c.hosts, c.rate, instance, n, at[i], bound)
					break
				}
			}
		}
		if least := int(c.rate*coldFor.Seconds()/4) + 1; len(arrivals["one@z0"]) < least {
			t.Errorf("%d hosts, %v a second: a cold target got %d requests, want at least %d", c.hosts, c.rate, len(arrivals["one@z0"]), least)
		}
	}
}

// TestTargetIsTakenForColdOnceItRefused guards against targets that crash again before their new entry
// has reached the hosts: they are back already, and get requests as if they were warm.
func TestTargetIsTakenForColdOnceItRefused(t *testing.T) {
	sim := newSimulation(t, 1)
	v := testView(1)
	v.Config.Services["one"].MaxColdRate = 1
	sim.step(&ViewChanged{View: v})
	sim.warmUp()
	for _, instance := range []string{"one@z0", "one@z1"} {
		sim.behaviors[instance] = func(_ *simulation, s *Send) (*AttemptEnded, time.Duration) {
			return &AttemptEnded{Outcome: Unreachable, Refused: true}, rtt(s)
		}
	}
	for range 20 {
		sim.submit("/one/x")
		sim.advance(100 * time.Millisecond)
	}
	clear(sim.behaviors)
	sim.sends = nil
	for range 50 {
		sim.submit("/one/x")
		sim.advance(20 * time.Millisecond)
	}
	if len(sim.sends) > 2 {
		t.Errorf("%d requests in a second at two targets that are just back, want at most one each", len(sim.sends))
	}
}

// TestRevisionGivenOutAgainMakesTargetCold guards against a cold target that gets its full load: after
// the store came back from an older copy, its new entry may have the revision that its last one had.
func TestRevisionGivenOutAgainMakesTargetCold(t *testing.T) {
	sim := newSimulation(t, 1)
	v := testView(1)
	sim.step(&ViewChanged{View: v})
	again := v.Clone()
	spec := *v.Targets["one@z0"]
	spec.ColdRemaining = 5 * time.Second
	again.Targets["one@z0"] = &spec
	sim.step(&ViewChanged{View: again})
	until := sim.now.Mono + spec.ColdRemaining
	if got := sim.engine.targets["one@z0"].coldUntil; got != until {
		t.Errorf("target counts as cold until %v, want %v", got, until)
	}
	sim.advance(time.Second)
	sim.step(&ViewChanged{View: again.Clone()})
	if got := sim.engine.targets["one@z0"].coldUntil; got != until {
		t.Errorf("a view with the same entry changed the end of the cold phase from %v to %v", until, got)
	}
}
