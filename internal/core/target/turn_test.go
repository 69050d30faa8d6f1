package target

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollentack.example/pollentack/internal/core/clock"
)

func hostsNamed(n int) []string {
	hosts := make([]string, n)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("host-%d", i+1)
	}
	return hosts
}

func TestTurnHasGuardAtBothEnds(t *testing.T) {
	start := 7 * TurnLength
	for _, c := range []struct {
		at   time.Duration
		open bool
	}{
		{start, false},
		{start + MaxClockSkew - 1, false},
		{start + MaxClockSkew, true},
		{start + TurnLength - MaxClockSkew - 1, true},
		{start + TurnLength - MaxClockSkew, false},
	} {
		turn := TurnAt(c.at)
		if turn.Number != 7 || turn.Open(c.at) != c.open {
			t.Errorf("at %s: turn %d open %v, want 7 %v", c.at-start, turn.Number, turn.Open(c.at), c.open)
		}
	}
}

func TestEveryHostHoldsOneTurnPerRound(t *testing.T) {
	hosts := hostsNamed(9)
	for _, target := range []string{"licences-1", "licences-2", "archive-7"} {
		seen := map[string]bool{}
		for number := range int64(9) {
			seen[Holder(target, 1000+number, hosts)] = true
		}
		if len(seen) != len(hosts) {
			t.Errorf("%s: %d of %d hosts hold a turn", target, len(seen), len(hosts))
		}
	}
	if Holder("licences-1", 1, nil) != "" {
		t.Error("a turn has a holder although there are no hosts")
	}
}

// TestRosterNeverGivesOneTurnToTwoHosts checks that at most one host holds a turn while
// hosts may use either the old or the new host list.
func TestRosterNeverGivesOneTurnToTwoHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		before := hostsNamed(rapid.IntRange(1, 9).Draw(rt, "before"))
		after := hostsNamed(rapid.IntRange(1, 9).Draw(rt, "after"))
		changed := clock.Instant{Mono: time.Hour, Wall: time.Hour}
		at := changed.Add(time.Duration(rapid.Int64Range(0, int64(maxHostListLag)-1).Draw(rt, "since")))
		number := TurnAt(at.Wall).Number
		holders := map[string]bool{}
		for _, name := range hostsNamed(9) {
			stale := roster{self: name}
			stale.update(clock.Instant{}, before)
			fresh := stale
			fresh.lists = append([]hostList(nil), stale.lists...)
			fresh.update(changed, after)
			if stale.holdsTurn(at, "licences-1", number) || fresh.holdsTurn(at, "licences-1", number) {
				holders[name] = true
			}
		}
		if len(holders) > 1 {
			rt.Fatalf("turn %d is held by several hosts: %v", number, holders)
		}
	})
}
