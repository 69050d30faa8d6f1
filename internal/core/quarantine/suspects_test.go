package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var suspectsConfig = SuspectsConfig{MaxEntries: 8, SuspectFor: time.Minute, ConvictFor: 10 * time.Minute, CleanFor: 5 * time.Minute, MaxClean: 4}

func TestCrashesAloneConvict(t *testing.T) {
	s := NewSuspects(suspectsConfig)
	for id := range CrashID(10) {
		s.RecordCrash(0, 7, id, false)
	}
	s.RecordCrash(0, 7, 98, true)
	if _, convicted := s.Convicted(0, 7); convicted {
		t.Error("convicted after one crash of a request that ran alone")
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
	peer.RecordCrash(2*time.Second, 7, 3, false)
	if peer.Crashes(2*time.Second, 7) != 1 {
		t.Error("a crash after the answer does not count")
	}
}

// TestAnsweredRequestIsTolerated has targets crash under a request that this host saw answered shortly
// before, as a popular one does that runs beside others. It must not become suspect here for a few
// crashes, and the next answer must refute them.
func TestAnsweredRequestIsTolerated(t *testing.T) {
	s := NewSuspects(suspectsConfig)
	s.RecordAnswer(0, 7)
	s.RecordCrash(0, 7, 1, true)
	s.Merge(0, &CrashFact{Fingerprint: 7, Crashes: []CrashID{1, 2}, Alone: []CrashID{2}})
	if _, convicted := s.Convicted(0, 7); convicted || s.Crashes(0, 7) != 0 {
		t.Errorf("convicted: %v, %d crashes count", convicted, s.Crashes(0, 7))
	}
	if fact, _ := s.Fact(0, 7); !s.RecordAnswer(time.Second, 7) || len(fact.Crashes) != 2 {
		t.Error("an answer does not refute what others said")
	}
	s.RecordCrash(2*time.Second, 7, 10, true)
	if s.Crashes(2*time.Second, 7) != 0 {
		t.Error("a single crash counts after an answer")
	}
}

// TestCrashesElsewhereGoBeforeOwnMemory has a request that this host saw answered lately crash targets at
// other hosts, as after a release. It must count here what they say: otherwise each host has to see the
// crashes for itself.
func TestCrashesElsewhereGoBeforeOwnMemory(t *testing.T) {
	s, peer := NewSuspects(suspectsConfig), NewSuspects(suspectsConfig)
	s.RecordAnswer(0, 7)
	peer.RecordAnswer(0, 7)
	for id := CrashID(1); id <= cleanTolerance; id++ {
		if !peer.RecordCrash(time.Second, 7, id, id > CrashesToSuspect) {
			t.Errorf("crash %d is not told", id)
		}
	}
	fact, _ := peer.Fact(time.Second, 7)
	if !s.Merge(time.Second, &fact) || s.Crashes(time.Second, 7) != cleanTolerance {
		t.Errorf("%d crashes of others count, want %d", s.Crashes(time.Second, 7), cleanTolerance)
	}
	if _, convicted := s.Convicted(time.Second, 7); !convicted {
		t.Error("a conviction elsewhere does not hold here")
	}
	if !s.RecordAnswer(2*time.Second, 7) || s.Crashes(2*time.Second, 7) != 0 {
		t.Error("an answer does not clear the request")
	}
}

// TestAnswersAreForgotten bounds how many answered requests are remembered, and for how long.
func TestAnswersAreForgotten(t *testing.T) {
	s := NewSuspects(suspectsConfig)
	s.RecordAnswer(0, 7)
	for f := Fingerprint(100); f < 100+2*Fingerprint(suspectsConfig.MaxClean); f++ {
		s.RecordAnswer(time.Second, f)
	}
	if s.isClean(time.Second, 7) || len(s.clean)+len(s.previous) > 2*suspectsConfig.MaxClean {
		t.Errorf("%d answered requests are remembered", len(s.clean)+len(s.previous))
	}
	s.RecordAnswer(time.Second, 8)
	if !s.isClean(suspectsConfig.CleanFor, 8) || s.isClean(3*suspectsConfig.CleanFor, 8) && s.isClean(5*suspectsConfig.CleanFor, 8) {
		t.Error("an answer is forgotten too early or too late")
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
// and repeatedly. In the end both must know the same.
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
		known := func(host int) string {
			fact, _ := hosts[host].Fact(now, 7)
			slices.Sort(fact.Crashes)
			slices.Sort(fact.Alone)
			slices.Sort(fact.Refuted)
			return fmt.Sprint(fact.Crashes, fact.Alone, fact.Refuted)
		}
		if known(0) != known(1) {
			t.Fatalf("hosts know %s and %s", known(0), known(1))
		}
		if facts := hosts[0].Newest(now, 1); hosts[0].Len() > 0 && !slices.Equal(facts, []Fingerprint{7}) {
			t.Fatalf("newest are %v", facts)
		}
	})
}
