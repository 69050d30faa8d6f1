package relay

import (
	"slices"
	"testing"
	"time"
)

// TestColdTargetsGetNoRequestOfEveryHostAtOnce guards against targets that crash again as soon as they
// are back: requests wait for them at all hosts, and each host's first token came at the same moment.
func TestColdTargetsGetNoRequestOfEveryHostAtOnce(t *testing.T) {
	const coldFor, between = 12 * time.Second, 20 * time.Millisecond
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
			for range int((coldFor - time.Second) / between) {
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
		if len(arrivals) == 0 {
			t.Errorf("%d hosts, %v a second: no cold target got a request", c.hosts, c.rate)
		}
	}
}
