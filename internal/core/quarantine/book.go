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

// maxDeaths convicts.
const maxDeaths = 2

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
	lease      uint64
	leaseEnds  time.Duration
	// convictedUntil is on the wall clock, for it is shared with other hosts.
	convictedUntil time.Duration
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
		b.died(now, e)
	}
	if e.lease == 0 && e.ends <= now.Mono && e.convictedUntil <= now.Wall {
		e.deaths, e.cleanUntil, e.convictedUntil = 0, 0, 0
	}
	return e
}

func (b *Book) died(now clock.Instant, e *entry) {
	e.cleanUntil = 0
	e.deaths++
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

// Report ends a lease. It returns the expiry of the conviction if this end convicts.
func (b *Book) Report(now clock.Instant, f Fingerprint, lease uint64, end End) (until time.Duration, convicted bool) {
	e := b.current(now, f)
	if e == nil || lease == 0 || e.lease != lease {
		return 0, false
	}
	e.lease = 0
	switch end {
	case RanClean:
		e.deaths = 0
		e.cleanUntil = now.Mono + b.cfg.CleanFor
		e.ends = e.cleanUntil
	case TargetDied:
		b.died(now, e)
	}
	return e.convictedUntil, e.convictedUntil > now.Wall
}

// MarkClean takes the home's word that the body ran clean.
func (b *Book) MarkClean(now clock.Instant, f Fingerprint) {
	e := b.open(now, f)
	if e == nil || e.lease != 0 {
		return
	}
	e.deaths = 0
	e.cleanUntil = now.Mono + b.cfg.CleanFor
	e.ends = e.cleanUntil
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
