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
