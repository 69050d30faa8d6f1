package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// CrashesToSuspect is the number of targets that must have crashed under requests with one
	// fingerprint, none of which was answered, for the next one to run alone.
	CrashesToSuspect = 1
	// CrashesToHold is the number of such crashes after which a request is not repeated.
	CrashesToHold = 2
	// CrashesToConvict is the number of crashes that convict a fingerprint, if at least
	// crashesAloneToConvict of them happened under requests that ran alone. One may be a
	// coincidence: targets also crash for other reasons, and others may crash them. All of them
	// can come of CrashesToConvict requests, so that hosts which all start again at once find out
	// with no more than these.
	CrashesToConvict      = 3
	crashesAloneToConvict = CrashesToConvict - CrashesToSuspect
	// cleanTolerance is the number of crashes since the last answer, as all hosts saw them, from
	// which on a fingerprint that this host saw answered lately is suspect again.
	cleanTolerance = 3
	// maxCrashes bounds the crashes that are kept of a fingerprint, and those that do not count.
	maxCrashes = 16
)

// CrashID identifies one crash of a target, whichever hosts see it.
type CrashID uint64

// CrashFact is what hosts tell each other about a fingerprint. Facts only grow, so that they can be
// merged in any order, repeatedly.
type CrashFact struct {
	Fingerprint Fingerprint
	// Crashes are the crashes of targets while they ran a request with the fingerprint, Alone
	// those of them under requests that ran alone. Refuted are those that do not count, because
	// a target has answered such a request since.
	Crashes []CrashID
	Alone   []CrashID
	Refuted []CrashID
	// Age is the time since a host last saw something new.
	Age time.Duration
}

// SuspectsConfig bounds a Suspects.
type SuspectsConfig struct {
	MaxEntries int
	// SuspectFor is how long crashes count, ConvictFor how long a conviction lasts, each since
	// the last crash.
	SuspectFor time.Duration
	ConvictFor time.Duration
	// CleanFor is how long an answered fingerprint is remembered at least, unless more than
	// MaxClean others were answered since.
	CleanFor time.Duration
	MaxClean int
}

// Suspects holds the fingerprints under which targets crashed, as this host and others saw it.
// Unlike a Registry it asks no home for permission: any host may send a suspect request, to one
// target at first, and tells the others what comes of it.
//
// It is owned by one thread and has no lock.
type Suspects struct {
	cfg     SuspectsConfig
	entries map[Fingerprint]*suspect
	// clean holds the fingerprints that were answered lately. Those in previous are older than those
	// in clean, and are forgotten at the next rotation.
	clean, previous map[Fingerprint]bool
	rotatedAt       time.Duration
}

type suspect struct {
	crashes   []CrashID
	alone     []CrashID
	refuted   []CrashID
	changedAt time.Duration
}

// NewSuspects returns an empty Suspects.
func NewSuspects(cfg SuspectsConfig) *Suspects {
	return &Suspects{cfg: cfg, entries: map[Fingerprint]*suspect{}, clean: map[Fingerprint]bool{}, previous: map[Fingerprint]bool{}}
}

// Len returns the number of fingerprints.
func (s *Suspects) Len() int { return len(s.entries) }

// convicted reports whether requests with the fingerprint must not run.
func (e *suspect) convicted() bool {
	return len(e.alone) >= crashesAloneToConvict && len(e.crashes) >= CrashesToConvict
}

// Crashes returns the number of crashes that count against the fingerprint: none if there are few and
// this host saw it answered lately.
func (s *Suspects) Crashes(now time.Duration, f Fingerprint) int {
	e := s.lookup(now, f)
	if e == nil || len(e.crashes) < cleanTolerance && s.isClean(now, f) {
		return 0
	}
	return len(e.crashes)
}

// Convicted reports whether requests with the fingerprint must not run, and for how much longer.
func (s *Suspects) Convicted(now time.Duration, f Fingerprint) (remaining time.Duration, convicted bool) {
	e := s.lookup(now, f)
	if e == nil || !e.convicted() {
		return 0, false
	}
	return s.expiry(e) - now, true
}

// isClean reports whether this host saw the fingerprint answered lately.
func (s *Suspects) isClean(now time.Duration, f Fingerprint) bool {
	s.rotateClean(now)
	return s.clean[f] || s.previous[f]
}

// rotateClean forgets the older of the fingerprints that were answered, if it is time.
func (s *Suspects) rotateClean(now time.Duration) {
	if len(s.clean) < s.cfg.MaxClean && now-s.rotatedAt < s.cfg.CleanFor {
		return
	}
	s.clean, s.previous = map[Fingerprint]bool{}, s.clean
	s.rotatedAt = now
}

// RecordCrash records that a target crashed while it ran a request with the fingerprint. alone
// states that the request was suspect and ran nowhere else. It reports whether this is news.
func (s *Suspects) RecordCrash(now time.Duration, f Fingerprint, crash CrashID, alone bool) bool {
	e := s.lookupOrCreate(now, f)
	news := addCrash(&e.crashes, crash)
	if alone {
		news = addCrash(&e.alone, crash) || news
	}
	if news {
		e.changedAt = now
	}
	return news
}

// RecordAnswer records that a target answered a request with the fingerprint: the crashes so far
// have another cause. It reports whether this is news to other hosts.
func (s *Suspects) RecordAnswer(now time.Duration, f Fingerprint) bool {
	s.rotateClean(now)
	s.clean[f] = true
	e := s.lookup(now, f)
	if e == nil || len(e.crashes) == 0 {
		return false
	}
	for _, c := range e.crashes {
		addCrash(&e.refuted, c)
	}
	e.crashes, e.alone = nil, nil
	e.changedAt = now
	return true
}

// Merge adds what another host knows. It reports whether this is news.
func (s *Suspects) Merge(now time.Duration, fact *CrashFact) bool {
	told := suspect{crashes: fact.Crashes, alone: fact.Alone, changedAt: now - fact.Age}
	if fact.Age < 0 || now >= s.expiry(&told) {
		return false
	}
	e := s.lookupOrCreate(now, fact.Fingerprint)
	news := false
	for _, c := range fact.Refuted {
		news = addCrash(&e.refuted, c) || news
	}
	isRefuted := func(c CrashID) bool { return slices.Contains(e.refuted, c) }
	e.crashes = slices.DeleteFunc(e.crashes, isRefuted)
	e.alone = slices.DeleteFunc(e.alone, isRefuted)
	for _, c := range fact.Crashes {
		news = !isRefuted(c) && addCrash(&e.crashes, c) || news
	}
	for _, c := range fact.Alone {
		news = !isRefuted(c) && addCrash(&e.alone, c) || news
	}
	if news {
		e.changedAt = max(e.changedAt, now-fact.Age)
	}
	return news
}

// Fact returns what this host knows about a fingerprint, and false if that is nothing.
func (s *Suspects) Fact(now time.Duration, f Fingerprint) (CrashFact, bool) {
	e := s.lookup(now, f)
	if e == nil {
		return CrashFact{}, false
	}
	return CrashFact{
		Fingerprint: f, Crashes: slices.Clone(e.crashes), Alone: slices.Clone(e.alone), Refuted: slices.Clone(e.refuted),
		Age: now - e.changedAt,
	}, true
}

// Newest returns up to limit fingerprints, those that changed last first.
func (s *Suspects) Newest(now time.Duration, limit int) []Fingerprint {
	s.removeExpired(now)
	list := slices.Sorted(maps.Keys(s.entries))
	slices.SortStableFunc(list, func(a, b Fingerprint) int { return cmp.Compare(s.entries[b].changedAt, s.entries[a].changedAt) })
	return list[:min(len(list), limit)]
}

// Strongest returns up to limit fingerprints, those with the most evidence first: by the crashes alone,
// all crashes and the time of the last change.
func (s *Suspects) Strongest(now time.Duration, limit int) []Fingerprint {
	list := s.Newest(now, len(s.entries))
	slices.SortStableFunc(list, func(a, b Fingerprint) int {
		ea, eb := s.entries[a], s.entries[b]
		return cmp.Or(cmp.Compare(len(eb.alone), len(ea.alone)), cmp.Compare(len(eb.crashes), len(ea.crashes)))
	})
	return list[:min(len(list), limit)]
}

func (s *Suspects) expiry(e *suspect) time.Duration {
	if e.convicted() {
		return e.changedAt + s.cfg.ConvictFor
	}
	return e.changedAt + s.cfg.SuspectFor
}

func (s *Suspects) lookup(now time.Duration, f Fingerprint) *suspect {
	e := s.entries[f]
	if e != nil && now >= s.expiry(e) {
		delete(s.entries, f)
		return nil
	}
	return e
}

// lookupOrCreate returns the entry of f. A full Suspects first forgets the entry that changed
// longest ago, one without a conviction if there is any.
func (s *Suspects) lookupOrCreate(now time.Duration, f Fingerprint) *suspect {
	if e := s.lookup(now, f); e != nil {
		return e
	}
	if len(s.entries) >= s.cfg.MaxEntries {
		s.removeExpired(now)
	}
	if len(s.entries) >= s.cfg.MaxEntries {
		s.evict()
	}
	e := &suspect{changedAt: now}
	s.entries[f] = e
	return e
}

func (s *Suspects) removeExpired(now time.Duration) {
	maps.DeleteFunc(s.entries, func(_ Fingerprint, e *suspect) bool { return now >= s.expiry(e) })
}

func (s *Suspects) evict() {
	var victim Fingerprint
	var oldest *suspect
	for f, e := range s.entries {
		older := oldest == nil || !e.convicted() && oldest.convicted() ||
			e.convicted() == oldest.convicted() && (e.changedAt < oldest.changedAt || e.changedAt == oldest.changedAt && f < victim)
		if older {
			victim, oldest = f, e
		}
	}
	delete(s.entries, victim)
}

// addCrash adds a crash to a list of at most maxCrashes and reports whether it did.
func addCrash(list *[]CrashID, id CrashID) bool {
	if len(*list) >= maxCrashes || slices.Contains(*list, id) {
		return false
	}
	*list = append(*list, id)
	return true
}
