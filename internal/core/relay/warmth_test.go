package relay

import (
	"testing"
	"time"
)

// TestTargetsAreAskedWhileStoreIsLost guards against targets that become cold while the store cannot say so, and
// go on getting their share. The first of the hosts that ask hears it within an interval and tells all peers,
// and a host that is told takes the target for cold.
func TestTargetsAreAskedWhileStoreIsLost(t *testing.T) {
	const hosts, cold = 4, 3 * time.Second
	view := testView(1)
	for _, s := range view.Config.Services {
		s.HealthPath, s.MaxColdRate = "/health", 10
	}
	sim := newSimulation(t, 1)
	sim.step(&ViewChanged{View: view})
	sim.step(&MembersChanged{Members: members(hosts)})
	asked := func() []Check {
		checks := sim.checks
		sim.checks = nil
		return checks
	}
	sim.advance(time.Second)
	if got := asked(); len(got) > 0 {
		t.Errorf("%d targets are asked while the store answers", len(got))
	}
	sim.step(&StoreContact{Lost: true})
	sim.advance(warmthDelay + warmthInterval)
	own := sim.engine.warmth.targets
	if len(own) == 0 || len(own) == len(view.Targets) {
		t.Fatalf("this host asks %d of %d targets, want a part", len(own), len(view.Targets))
	}
	if got := asked(); len(got) < len(own) || got[0].HealthPath != "/health" {
		t.Fatalf("%d health checks in an interval, want %d", len(got), len(own))
	}
	name := own[0].spec.Instance
	sim.coldFor = map[string]time.Duration{name: cold}
	sim.advance(warmthInterval + 2*time.Millisecond)
	target := sim.engine.targets[name]
	if target.coldUntil < sim.now.Mono+cold-warmthInterval || !sim.engine.services[target.spec.Service].limitsCold(sim.now.Mono, target) {
		t.Errorf("the target is cold until %v at %v, want %v more", target.coldUntil, sim.now.Mono, cold)
	}
	if len(sim.coldNews) != hosts || sim.coldNews[0].Targets[0].Instance != name {
		t.Errorf("%d peers were told, want %d: %+v", len(sim.coldNews), hosts, sim.coldNews)
	}

	other := newSimulation(t, 1)
	other.step(&ViewChanged{View: view})
	other.step(&ColdTold{Targets: sim.coldNews[0].Targets})
	if target := other.engine.targets[name]; target.coldUntil == 0 {
		t.Error("a host that was told does not take the target for cold")
	}
	sim.step(&StoreContact{})
	asked()
	sim.advance(time.Second)
	if got := asked(); len(got) > 0 {
		t.Errorf("%d targets are asked after the store is back", len(got))
	}
}
