package quarantine

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var suspectsConfig = SuspectsConfig{MaxEntries: 8, SuspectFor: time.Minute, ConvictFor: 10 * time.Minute}

func TestCrashAloneConvicts(t *testing.T) {
	s := NewSuspects(suspectsConfig)
	for id := range CrashID(CrashesToConvict - 1) {
		s.RecordCrash(0, 7, id, false)
	}
	if _, convicted := s.Convicted(0, 7); convicted {
		t.Error("convicted before a request ran alone")
	}
	s.RecordCrash(time.Second, 7, 99, true)
	if remaining, convicted := s.Convicted(2*time.Second, 7); !convicted || remaining != suspectsConfig.ConvictFor-time.Second {
		t.Errorf("convicted: %v, for %v more", convicted, remaining)
	}
	if _, convicted := s.Convicted(time.Second+suspectsConfig.ConvictFor, 7); convicted || s.Len() != 0 {
		t.Error("the conviction does not expire")
	}
}

// TestAnswerClearsCrashes checks that crashes that an answer refuted do not count again when a peer
// repeats them, and that later ones do.
func TestAnswerClearsCrashes(t *testing.T) {
	s, peer := NewSuspects(suspectsConfig), NewSuspects(suspectsConfig)
	s.RecordCrash(0, 7, 1, false)
	s.RecordCrash(0, 7, 2, false)
	before, _ := s.Fact(0, 7)
	peer.Merge(0, &before)
	if !s.RecordAnswer(time.Second, 7) || s.Crashes(time.Second, 7) != 0 {
		t.Errorf("%d crashes count after an answer", s.Crashes(time.Second, 7))
	}
	if s.Merge(time.Second, &before) || s.Crashes(time.Second, 7) != 0 {
		t.Error("a peer's old fact counts again")
	}
	after, _ := s.Fact(time.Second, 7)
	if !peer.Merge(time.Second, &after) || peer.Crashes(time.Second, 7) != 0 {
		t.Error("the peer does not learn of the answer")
	}
	s.RecordCrash(2*time.Second, 7, 3, false)
	if s.Crashes(2*time.Second, 7) != 1 {
		t.Error("a crash after the answer does not count")
	}
}

// TestFullSuspectsKeepConvictions adds more fingerprints than there is room for.
func TestFullSuspectsKeepConvictions(t *testing.T) {
	s := NewSuspects(suspectsConfig)
	for id := range CrashID(CrashesToConvict) {
		s.RecordCrash(0, 1, id, true)
	}
	for f := Fingerprint(2); f < 50; f++ {
		s.RecordCrash(time.Duration(f), f, 1, false)
	}
	if _, convicted := s.Convicted(time.Second, 1); !convicted || s.Len() != suspectsConfig.MaxEntries {
		t.Errorf("convicted: %v, %d entries, want %d", convicted, s.Len(), suspectsConfig.MaxEntries)
	}
}

// TestHostsAgreeOnCrashes has two hosts record crashes and answers and tell each other, in any order
// and repeatedly. In the end both must count the same.
func TestHostsAgreeOnCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*Suspects{NewSuspects(suspectsConfig), NewSuspects(suspectsConfig)}
		now, lastCrash := time.Duration(0), CrashID(0)
		tell := func(from, to int) {
			if fact, ok := hosts[from].Fact(now, 7); ok {
				hosts[to].Merge(now, &fact)
			}
		}
		for range rapid.IntRange(0, maxCrashes-2).Draw(t, "steps") {
			now += time.Millisecond
			host := rapid.IntRange(0, 1).Draw(t, "host")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				lastCrash++
				hosts[host].RecordCrash(now, 7, lastCrash, rapid.Bool().Draw(t, "alone"))
			case 1:
				hosts[host].RecordAnswer(now, 7)
			default:
				tell(host, 1-host)
			}
		}
		for range 2 {
			tell(0, 1)
			tell(1, 0)
		}
		a, b := hosts[0].Crashes(now, 7), hosts[1].Crashes(now, 7)
		_, convictedA := hosts[0].Convicted(now, 7)
		_, convictedB := hosts[1].Convicted(now, 7)
		if a != b || convictedA != convictedB {
			t.Fatalf("hosts count %d and %d crashes, convicted %v and %v", a, b, convictedA, convictedB)
		}
		if facts := hosts[0].Newest(now, 1); hosts[0].Len() > 0 && !slices.Equal(facts, []Fingerprint{7}) {
			t.Fatalf("newest are %v", facts)
		}
	})
}
