package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollentack.example/pollentack/internal/core/clock"
)

var testConfig = Config{MaxEntries: 4, CleanFor: time.Minute, SuspectFor: time.Minute, ConvictFor: time.Hour}

// TestCrashingBodyKillsAtMostTwoTargets checks that a body which crashes every target that
// runs it does so at most twice, in any order of lease requests, reports, lost reports and
// advances of the clock.
func TestCrashingBodyKillsAtMostTwoTargets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		registry := NewRegistry(testConfig)
		f := FingerprintOf("portal", []byte("crash"))
		var now clock.Instant
		var held []uint64
		deaths := 0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				if a := registry.RequestLease(now, f, time.Second); a.Verdict == Granted {
					deaths++
					held = append(held, a.Lease)
				}
			case 1:
				if len(held) > 0 {
					registry.EndLease(now, f, held[0], TargetDied, IncarnationHash(deaths))
					held = held[1:]
				}
			case 2:
				held = nil
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			}
			if deaths > deathsToConvict {
				rt.Fatalf("%d targets died", deaths)
			}
		}
	})
}

// TestCleanRunClearsBody checks that one clean run clears a body after one death, and that
// clean runs and convictions both expire.
func TestCleanRunClearsBody(t *testing.T) {
	registry := NewRegistry(testConfig)
	f := FingerprintOf("portal", []byte("innocent"))
	var now clock.Instant
	registry.EndLease(now, f, registry.RequestLease(now, f, time.Second).Lease, TargetDied, 1)
	if v := registry.Verdict(now, f); v != Unknown {
		t.Fatalf("verdict after one death is %d, want Unknown", v)
	}
	registry.EndLease(now, f, registry.RequestLease(now, f, time.Second).Lease, RanClean, 0)
	if v := registry.Verdict(now, f); v != Clean {
		t.Fatalf("verdict after a clean run is %d, want Clean", v)
	}
	registry.MarkConvicted(now, f, time.Minute)
	if v := registry.Verdict(now, f); v != Convicted {
		t.Fatalf("verdict after a conviction is %d, want Convicted", v)
	}
	if v := registry.Verdict(now.Add(2*time.Minute), f); v != Unknown {
		t.Fatalf("verdict after the conviction expired is %d, want Unknown", v)
	}
}

// TestDeathReportedByPeerCountsAtNextHome checks that a home to which a peer reported a
// death convicts at the next one, and that a death under the home's own lease counts once
// if a peer reports it too.
func TestDeathReportedByPeerCountsAtNextHome(t *testing.T) {
	f := FingerprintOf("portal", []byte("crash"))
	var now clock.Instant
	second := NewRegistry(testConfig)
	second.MarkSuspect(now, f, time.Minute)
	second.EndLease(now, f, second.RequestLease(now, f, time.Second).Lease, TargetDied, 1)
	if v := second.Verdict(now, f); v != Convicted {
		t.Errorf("verdict after a death reported by a peer and one under a lease is %d, want Convicted", v)
	}
	first := NewRegistry(testConfig)
	lease := first.RequestLease(now, f, time.Second).Lease
	first.MarkSuspect(now, f, time.Minute)
	first.EndLease(now, f, lease, TargetDied, 1)
	if v := first.Verdict(now, f); v != Unknown {
		t.Errorf("verdict after one death, reported twice, is %d, want Unknown", v)
	}
}

// TestDeathReportedByTwoHostsCountsOnce checks that a body is not convicted when two hosts
// report the death of the same target because the connections of both broke. The death of
// another target, of an unknown one, or of the same one after sameDeathWindow convicts it.
func TestDeathReportedByTwoHostsCountsOnce(t *testing.T) {
	first, second := IncarnationHashOf("t", 1), IncarnationHashOf("u", 1)
	for name, tt := range map[string]struct {
		incarnation IncarnationHash
		after       time.Duration
		want        Verdict
	}{
		"the same death":        {first, 5 * time.Millisecond, Unknown},
		"another target":        {second, 5 * time.Millisecond, Convicted},
		"the same target later": {first, sameDeathWindow, Convicted},
		"an unknown target":     {0, 5 * time.Millisecond, Convicted},
	} {
		registry := NewRegistry(testConfig)
		f := FingerprintOf("portal", []byte(name))
		var now clock.Instant
		registry.EndLease(now, f, registry.RequestLease(now, f, time.Second).Lease, TargetDied, first)
		now = now.Add(tt.after)
		registry.EndLease(now, f, registry.RequestLease(now, f, time.Second).Lease, TargetDied, tt.incarnation)
		if got := registry.Verdict(now, f); got != tt.want {
			t.Errorf("%s: verdict %d, want %d", name, got, tt.want)
		}
	}
}

// TestRegistryIsBoundedAndKeepsActiveLeases checks that a Registry holds at most MaxEntries
// entries and never evicts an active lease.
func TestRegistryIsBoundedAndKeepsActiveLeases(t *testing.T) {
	registry := NewRegistry(testConfig)
	var now clock.Instant
	for i := range byte(10) {
		registry.RequestLease(now, FingerprintOf("portal", []byte{i}), time.Second)
	}
	if registry.Len() != testConfig.MaxEntries {
		t.Fatalf("%d entries, want MaxEntries", registry.Len())
	}
	if a := registry.RequestLease(now, FingerprintOf("portal", []byte{0}), time.Second); a.Verdict != Busy {
		t.Fatalf("second lease request for a running body returned %+v, want Busy", a)
	}
}
