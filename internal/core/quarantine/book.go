// Package quarantine decides whether a request body may run: one not lately seen to
// run clean needs a lease, and one whose runs killed targets is barred for a time.
//
// Each fingerprint has one home among the hosts, whose Book gives at most one lease at
// a time. A lease that ends with the death of a target counts against the fingerprint,
// as does one whose holder is not heard of again; the second death convicts. So a
// fingerprint kills at most maxDeaths targets for each home that is asked. A Book is
// owned by one duty and has no lock.
package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollentack.example/pollentack/internal/core/clock"
)

// Fingerprint identifies a body within its service.
type Fingerprint uint64

// Of returns the fingerprint of a body.
func Of(service string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Verdict is what a Book says of a fingerprint.
type Verdict int

// Verdicts. Granted comes with a lease; Busy asks to come again.
const (
	Unknown Verdict = iota
	Granted
	Busy
	Clean
	Convicted
)

// End is how the run under a lease ended.
type End int

// Ends. NotRun and Unclear give the lease back without judging the body.
const (
	RanClean End = iota + 1
	TargetDied
	NotRun
	Unclear
)

const (
	// maxDeaths convicts.
	maxDeaths = 2
	// sameDeath is how long after the death of a target another loss of the same
	// incarnation is taken for the same death, as another host's connection to it broke too.
	// No target is back sooner.
	sameDeath = 100 * time.Millisecond
)

// Victim is a hash of a target and its incarnation, 0 for one that is not known.
type Victim uint64

// VictimOf returns the victim of a target's name and its incarnation as the host that
// lost it knew it.
func VictimOf(target string, incarnation uint64) Victim {
	return Victim(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(target), incarnation)))
}

// Config bounds a Book.
type Config struct {
	MaxEntries int
	// CleanFor is how long a clean run counts, SuspectFor how long a death does and
	// ConvictFor how long a convicted body is barred.
	CleanFor   time.Duration
	SuspectFor time.Duration
	ConvictFor time.Duration
}

// Answer is a Book's word on one question.
type Answer struct {
	Verdict Verdict
	Lease   uint64
	// Until is on the wall clock and belongs to Convicted.
	Until time.Duration
}

type entry struct {
	cleanUntil time.Duration
	deaths     int
	// victim is the target that died last, diedAt when.
	victim    Victim
	diedAt    time.Duration
	lease     uint64
	leaseEnds time.Duration
	// convictedUntil is on the wall clock, for it is shared with other hosts.
	convictedUntil time.Duration
	// suspectUntil is on the wall clock: until then the death of one target counts that
	// another home may have seen.
	suspectUntil time.Duration
	// ends is on the monotonic clock; nothing is known after it.
	ends time.Duration
}

// Book is what one host knows of fingerprints.
type Book struct {
	cfg     Config
	entries map[Fingerprint]*entry
	order   []Fingerprint
	leases  uint64
}

// NewBook returns an empty book.
func NewBook(cfg Config) *Book {
	return &Book{cfg: cfg, entries: map[Fingerprint]*entry{}}
}

// Len returns the number of entries.
func (b *Book) Len() int { return len(b.entries) }

// Known returns Clean, Convicted or Unknown, without a lease.
func (b *Book) Known(now clock.Instant, f Fingerprint) Verdict {
	e := b.current(now, f)
	switch {
	case e == nil:
		return Unknown
	case e.convictedUntil > now.Wall:
		return Convicted
	case e.deaths == 0 && e.cleanUntil > now.Mono:
		return Clean
	}
	return Unknown
}

// current returns the entry of f, or nil; a lease that lapsed counts as a death.
func (b *Book) current(now clock.Instant, f Fingerprint) *entry {
	e, ok := b.entries[f]
	if !ok {
		return nil
	}
	if e.lease != 0 && e.leaseEnds <= now.Mono {
		e.lease = 0
		b.died(now, e, 0)
	}
	if e.lease == 0 && e.ends <= now.Mono && max(e.convictedUntil, e.suspectUntil) <= now.Wall {
		e.deaths, e.cleanUntil, e.convictedUntil, e.suspectUntil = 0, 0, 0, 0
	}
	return e
}

func (b *Book) died(now clock.Instant, e *entry, victim Victim) {
	if victim != 0 && victim == e.victim && now.Mono-e.diedAt < sameDeath {
		return
	}
	e.victim, e.diedAt = victim, now.Mono
	e.cleanUntil = 0
	e.deaths++
	if e.suspectUntil > now.Wall && e.deaths == 1 {
		e.deaths++
	}
	e.suspectUntil = now.Wall + b.cfg.SuspectFor
	e.ends = now.Mono + b.cfg.SuspectFor
	if e.deaths >= maxDeaths {
		e.convictedUntil = now.Wall + b.cfg.ConvictFor
		e.deaths = 0
	}
}

// Ask gives the one lease of a fingerprint for a run that ends within time, unless the
// verdict is already known.
func (b *Book) Ask(now clock.Instant, f Fingerprint, within time.Duration) Answer {
	switch v := b.Known(now, f); v {
	case Clean:
		return Answer{Verdict: v}
	case Convicted:
		return Answer{Verdict: v, Until: b.entries[f].convictedUntil}
	}
	e := b.open(now, f)
	if e == nil || e.lease != 0 {
		return Answer{Verdict: Busy}
	}
	b.leases++
	e.lease = b.leases
	e.leaseEnds = now.Mono + within
	e.ends = max(e.ends, e.leaseEnds)
	return Answer{Verdict: Granted, Lease: e.lease}
}

// Sentence is what counts against a fingerprint, each part until a wall-clock time, 0
// for not at all.
type Sentence struct {
	Convicted time.Duration
	Suspect   time.Duration
}

// Report ends a lease and returns what counts against the fingerprint after it. victim is
// the target that died, if any.
func (b *Book) Report(now clock.Instant, f Fingerprint, lease uint64, end End, victim Victim) Sentence {
	e := b.current(now, f)
	if e == nil || lease == 0 || e.lease != lease {
		return Sentence{}
	}
	e.lease = 0
	switch end {
	case RanClean:
		b.clear(now, e)
	case TargetDied:
		b.died(now, e, victim)
	}
	return Sentence{Convicted: e.convictedUntil, Suspect: e.suspectUntil}
}

func (b *Book) clear(now clock.Instant, e *entry) {
	e.deaths = 0
	e.suspectUntil = 0
	e.cleanUntil = now.Mono + b.cfg.CleanFor
	e.ends = e.cleanUntil
}

// Suspicion returns until when a death seen now counts.
func (b *Book) Suspicion(now clock.Instant) time.Duration { return now.Wall + b.cfg.SuspectFor }

// Suspect takes word of the death of one target, which another host saw. Under a lease
// of this book the word is of that lease's run, whose end is counted by its report.
func (b *Book) Suspect(now clock.Instant, f Fingerprint, until time.Duration) {
	until = min(until, now.Wall+b.cfg.SuspectFor)
	if until <= now.Wall {
		return
	}
	if e := b.open(now, f); e != nil && e.lease == 0 {
		e.suspectUntil = max(e.suspectUntil, until)
		e.cleanUntil = 0
	}
}

// MarkClean takes the home's word that the body ran clean.
func (b *Book) MarkClean(now clock.Instant, f Fingerprint) {
	e := b.open(now, f)
	if e == nil || e.lease != 0 {
		return
	}
	b.clear(now, e)
}

// Convict takes a conviction of another host; the latest expiry wins.
func (b *Book) Convict(now clock.Instant, f Fingerprint, until time.Duration) {
	until = min(until, now.Wall+b.cfg.ConvictFor)
	if until <= now.Wall {
		return
	}
	if e := b.open(now, f); e != nil {
		e.convictedUntil = max(e.convictedUntil, until)
	}
}

// open returns the entry of f, and a new one where there is room: the oldest entry
// without a lease makes room. It returns nil where every entry has a lease.
func (b *Book) open(now clock.Instant, f Fingerprint) *entry {
	if e := b.current(now, f); e != nil {
		return e
	}
	if len(b.entries) >= b.cfg.MaxEntries && !b.evict(now) {
		return nil
	}
	e := &entry{}
	b.entries[f] = e
	b.order = append(b.order, f)
	return e
}

func (b *Book) evict(now clock.Instant) bool {
	for i, f := range b.order {
		e := b.entries[f]
		if e.lease != 0 && e.leaseEnds > now.Mono {
			continue
		}
		delete(b.entries, f)
		b.order = append(b.order[:i], b.order[i+1:]...)
		return true
	}
	return false
}
