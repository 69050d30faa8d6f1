package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollentack.example/pollentack/internal/core/clock"
)

var config = Config{MaxEntries: 4, CleanFor: time.Minute, SuspectFor: time.Minute, ConvictFor: time.Hour}

// TestCrashingBodyKillsTwoAtMost checks over any order of questions, reports, lost
// reports and time that a body which kills whatever runs it does so at most twice.
func TestCrashingBodyKillsTwoAtMost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		book := NewBook(config)
		f := Of("portal", []byte("crash"))
		var now clock.Instant
		var held []uint64
		deaths := 0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				if a := book.Ask(now, f, time.Second); a.Verdict == Granted {
					deaths++
					held = append(held, a.Lease)
				}
			case 1:
				if len(held) > 0 {
					book.Report(now, f, held[0], TargetDied, Victim(deaths))
					held = held[1:]
				}
			case 2:
				held = nil
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			}
			if deaths > maxDeaths {
				rt.Fatalf("%d targets died", deaths)
			}
		}
	})
}

// TestCleanRunClears checks that an innocent body is cleared by one clean run, and that
// a conviction and a clean run are both forgotten in time.
func TestCleanRunClears(t *testing.T) {
	book := NewBook(config)
	f := Of("portal", []byte("innocent"))
	var now clock.Instant
	book.Report(now, f, book.Ask(now, f, time.Second).Lease, TargetDied, 1)
	if v := book.Known(now, f); v != Unknown {
		t.Fatalf("after one death: %d", v)
	}
	book.Report(now, f, book.Ask(now, f, time.Second).Lease, RanClean, 0)
	if v := book.Known(now, f); v != Clean {
		t.Fatalf("after a clean run: %d", v)
	}
	book.Convict(now, f, time.Minute)
	if v := book.Known(now, f); v != Convicted {
		t.Fatalf("after a conviction: %d", v)
	}
	if v := book.Known(now.Add(2*time.Minute), f); v != Unknown {
		t.Fatalf("after its expiry: %d", v)
	}
}

// TestDeathCountsAtAnotherHome checks that a home which hears of a death convicts at the
// next, and that the word of its own lease's run counts once.
func TestDeathCountsAtAnotherHome(t *testing.T) {
	f := Of("portal", []byte("crash"))
	var now clock.Instant
	second := NewBook(config)
	second.Suspect(now, f, time.Minute)
	second.Report(now, f, second.Ask(now, f, time.Second).Lease, TargetDied, 1)
	if v := second.Known(now, f); v != Convicted {
		t.Errorf("after a death heard of and one seen: %d", v)
	}
	first := NewBook(config)
	lease := first.Ask(now, f, time.Second).Lease
	first.Suspect(now, f, time.Minute)
	first.Report(now, f, lease, TargetDied, 1)
	if v := first.Known(now, f); v != Unknown {
		t.Errorf("after one death, told twice: %d", v)
	}
}

// TestOneDeathCountsOnce reports the loss of one target by two hosts whose connections to
// it broke, then that of another, and of the first again after it is back.
func TestOneDeathCountsOnce(t *testing.T) {
	first, second := VictimOf("t", 1), VictimOf("u", 1)
	for name, tt := range map[string]struct {
		victim Victim
		after  time.Duration
		want   Verdict
	}{
		"the same death":           {first, 5 * time.Millisecond, Unknown},
		"another target":           {second, 5 * time.Millisecond, Convicted},
		"the same target later":    {first, sameDeath, Convicted},
		"a target that is unnamed": {0, 5 * time.Millisecond, Convicted},
	} {
		book := NewBook(config)
		f := Of("portal", []byte(name))
		var now clock.Instant
		book.Report(now, f, book.Ask(now, f, time.Second).Lease, TargetDied, first)
		now = now.Add(tt.after)
		book.Report(now, f, book.Ask(now, f, time.Second).Lease, TargetDied, tt.victim)
		if got := book.Known(now, f); got != tt.want {
			t.Errorf("%s: verdict %d, want %d", name, got, tt.want)
		}
	}
}

// TestBookIsBounded checks that leases in progress are never evicted.
func TestBookIsBounded(t *testing.T) {
	book := NewBook(config)
	var now clock.Instant
	for i := range byte(10) {
		book.Ask(now, Of("portal", []byte{i}), time.Second)
	}
	if book.Len() != config.MaxEntries {
		t.Fatalf("%d entries", book.Len())
	}
	if a := book.Ask(now, Of("portal", []byte{0}), time.Second); a.Verdict != Busy {
		t.Fatalf("a second lease of a body in progress: %+v", a)
	}
}
