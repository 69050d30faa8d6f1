package relay

import (
	"testing"
	"time"
)

// TestHugeLimitIsShared guards against targets that most hosts, or all of them, send nothing: a figure
// too large for a whole number of hosts was taken for one that is too small to share.
func TestHugeLimitIsShared(t *testing.T) {
	const huge = 1e20
	for _, m := range members(3) {
		cfg := testConfig()
		cfg.Host, cfg.Zone, cfg.Region, cfg.Cold = m.Host, m.Zone, m.Region, ColdPolicy{Factor: 1, Slack: huge}
		sim := newSimulationOf(t, cfg, 1)
		sim.step(&MembersChanged{Members: members(3)})
		sim.advance(fleetSettleTime)
		v := testView(1)
		v.Config.Services["one"].MaxColdRate = 5
		target := *v.Targets["one@z0"]
		target.ColdRemaining, target.Revision = time.Minute, 2
		v.Targets["one@z0"] = &target
		sim.step(&ViewChanged{View: v})
		cold := sim.engine.targets["one@z0"]
		if cold.cold.rate == 0 {
			t.Errorf("host %s has no share of a cold target's requests", m.Host)
		}
		cold.limit = &rateLimit{perSecond: huge}
		sim.engine.shareLimit(sim.now, cold)
		if cold.limit.rate == 0 {
			t.Errorf("host %s has no share of a target's limit", m.Host)
		}
	}
}
