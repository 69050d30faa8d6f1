package relay

import (
	"testing"
	"time"
)

// TestStartsDoNotRefillRetryBudget guards against repeats beyond what all hosts may send together,
// after a host was killed several times within the window of the slack: each start was given a part
// of the slack again, that of a host alone until it had found the others.
func TestStartsDoNotRefillRetryBudget(t *testing.T) {
	const (
		hosts, starts, requests = 9, 8, 40
		between                 = 25 * time.Millisecond
		findsPeersAfter         = 500 * time.Millisecond
	)
	cfg := testConfig()
	cfg.Retry.Window = retryWindow
	first, extra := 0, 0
	for range starts {
		sim := newSimulationOf(t, cfg, 1)
		sim.step(&MembersChanged{Members: members(0)})
		for _, instance := range []string{"one@z0", "one@z1"} {
			sim.behaviors[instance] = endWith(Declined)
		}
		for i := range requests {
			if i == int(findsPeersAfter/between) {
				sim.step(&MembersChanged{Members: members(hosts - 1)})
			}
			sim.submit("/one/x")
			sim.advance(between)
		}
		seen := map[string]bool{}
		for _, s := range sim.sends {
			if seen[s.Request.ID] {
				extra++
			} else {
				first++
			}
			seen[s.Request.ID] = true
		}
	}
	if bound := cfg.Retry.Ratio*float64(first) + cfg.Retry.Slack/hosts; first == 0 || float64(extra) > bound {
		t.Errorf("%d extra attempts for %d requests over %d starts, want at most %.1f", extra, first, starts, bound)
	}
}

// TestHostsThatKnowNoOthersShareRetrySlack guards against hosts whose seeds are down, or that are cut off
// from all others, and that each take the whole retry slack: together they exceed it.
func TestHostsThatKnowNoOthersShareRetrySlack(t *testing.T) {
	const hosts, service = 6, "one"
	list := members(hosts - 1)
	for _, known := range []bool{false, true} {
		sum := 0.0
		for i := range list {
			cfg := testConfig()
			cfg.Host, cfg.Zone, cfg.Region, cfg.Retry.Window = list[i].Host, list[i].Zone, list[i].Region, 10*time.Second
			sim := newSimulationOf(t, cfg, 1)
			if known {
				sim.step(&MembersChanged{Members: list})
			}
			sim.step(&MembersChanged{Members: list[i : i+1]})
			sum += sim.engine.retrySlack(service)
		}
		if slack := testConfig().Retry.Slack; sum > slack {
			t.Errorf("hosts that knew others before %v: shares add up to %v of %v", known, sum, slack)
		}
	}
}
