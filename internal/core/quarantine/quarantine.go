// Package quarantine decides whether a request may run that may crash targets, by its fingerprint.
//
// A Registry serves front ends that try each body before it runs everywhere. A body that has not
// recently run without a crash needs a lease, and a body that crashed targets is blocked
// for a time.
//
// Each fingerprint has one home host, whose Registry grants at most one lease at a time.
// A lease that ends with the death of a target counts against the fingerprint, and so
// does a lease that expires without a report. The second death convicts the fingerprint,
// so it kills at most deathsToConvict targets for each home that is asked.
//
// A Suspects serves front ends that let each request run at once, and hold back those under which
// targets crashed.
//
// A Registry is owned by one goroutine and has no lock.
package quarantine

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollentack.example/pollentack/internal/core/clock"
)

// Fingerprint identifies a body within its service.
type Fingerprint uint64

// String returns the fingerprint as it appears in logs.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// FingerprintOf returns the fingerprint of a body.
func FingerprintOf(service string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Verdict is the state of a fingerprint in a Registry.
type Verdict int

// Verdicts. Granted comes with a lease. Busy means that the lease should be requested again
// later.
const (
	Unknown Verdict = iota
	Granted
	Busy
	Clean
	Convicted
)

// RunOutcome is the outcome of the run under a lease.
type RunOutcome int

// Run outcomes. NotRun and Unclear release the lease without counting for or against the body.
const (
	RanClean RunOutcome = iota + 1
	TargetDied
	NotRun
	Unclear
)

const (
	// deathsToConvict is the number of deaths after which a fingerprint is convicted.
	deathsToConvict = 2
	// sameDeathWindow is the time after the death of a target in which another loss of the
	// same incarnation counts as the same death: the connections of several hosts to the
	// target break at once. A target takes longer than this to restart.
	sameDeathWindow = 100 * time.Millisecond
)

// IncarnationHash is a hash of a target's name and incarnation, 0 for an unknown target.
type IncarnationHash uint64

// IncarnationHashOf returns the hash for a target's name and the incarnation last known to
// the host that lost the target.
func IncarnationHashOf(target string, incarnation uint64) IncarnationHash {
	return IncarnationHash(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(target), incarnation)))
}

// Config bounds a Registry.
type Config struct {
	MaxEntries int
	// CleanFor is how long a body counts as clean after a clean run.
	CleanFor time.Duration
	// SuspectFor is how long a death counts against a body.
	SuspectFor time.Duration
	// ConvictFor is how long a convicted body is blocked.
	ConvictFor time.Duration
}

// LeaseAnswer is the result of a lease request.
type LeaseAnswer struct {
	Verdict Verdict
	// Lease is set if Verdict is Granted.
	Lease uint64
	// Until is the wall-clock time at which the conviction ends, set if Verdict is Convicted.
	Until time.Duration
}

// entry is the state of one fingerprint. Times are on the monotonic clock unless stated.
type entry struct {
	cleanUntil time.Duration
	deaths     int
	// lastIncarnation identifies the target that died last, at lastDeath.
	lastIncarnation IncarnationHash
	lastDeath       time.Duration
	lease           uint64
	leaseExpires    time.Duration
	// convictedUntil is on the wall clock because it is shared with other hosts.
	convictedUntil time.Duration
	// suspectUntil is on the wall clock because it is shared with other hosts: until then
	// an earlier death, which another home may have recorded, counts.
	suspectUntil time.Duration
	// expires is when the entry's deaths and clean run are forgotten.
	expires time.Duration
}

// Registry holds the fingerprints known to one host, up to Config.MaxEntries.
type Registry struct {
	cfg            Config
	entries        map[Fingerprint]*entry
	insertionOrder []Fingerprint
	lastLease      uint64
}

// NewRegistry returns an empty Registry.
func NewRegistry(cfg Config) *Registry {
	return &Registry{cfg: cfg, entries: map[Fingerprint]*entry{}}
}

// Len returns the number of entries.
func (r *Registry) Len() int { return len(r.entries) }

// Verdict returns Clean, Convicted or Unknown, and grants no lease.
func (r *Registry) Verdict(now clock.Instant, f Fingerprint) Verdict {
	e := r.lookup(now, f)
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

// lookup returns the entry of f after applying expiries, or nil if there is none. An
// expired lease counts as a death.
func (r *Registry) lookup(now clock.Instant, f Fingerprint) *entry {
	e, ok := r.entries[f]
	if !ok {
		return nil
	}
	if e.lease != 0 && e.leaseExpires <= now.Mono {
		e.lease = 0
		r.recordDeath(now, e, 0)
	}
	if e.lease == 0 && e.expires <= now.Mono && max(e.convictedUntil, e.suspectUntil) <= now.Wall {
		e.deaths, e.cleanUntil, e.convictedUntil, e.suspectUntil = 0, 0, 0, 0
	}
	return e
}

// recordDeath counts the death of an incarnation and convicts at deathsToConvict. While
// suspectUntil lies ahead, a first death here counts as the second.
func (r *Registry) recordDeath(now clock.Instant, e *entry, incarnation IncarnationHash) {
	if incarnation != 0 && incarnation == e.lastIncarnation && now.Mono-e.lastDeath < sameDeathWindow {
		return
	}
	e.lastIncarnation, e.lastDeath = incarnation, now.Mono
	e.cleanUntil = 0
	e.deaths++
	if e.suspectUntil > now.Wall && e.deaths == 1 {
		e.deaths++
	}
	e.suspectUntil = now.Wall + r.cfg.SuspectFor
	e.expires = now.Mono + r.cfg.SuspectFor
	if e.deaths >= deathsToConvict {
		e.convictedUntil = now.Wall + r.cfg.ConvictFor
		e.deaths = 0
	}
}

// RequestLease requests the single lease of f for a run that takes at most within. It
// grants none if f is known to be clean or convicted, and returns Busy if another run holds
// the lease or the Registry is full of active leases.
func (r *Registry) RequestLease(now clock.Instant, f Fingerprint, within time.Duration) LeaseAnswer {
	switch v := r.Verdict(now, f); v {
	case Clean:
		return LeaseAnswer{Verdict: v}
	case Convicted:
		return LeaseAnswer{Verdict: v, Until: r.entries[f].convictedUntil}
	}
	e := r.lookupOrCreate(now, f)
	if e == nil || e.lease != 0 {
		return LeaseAnswer{Verdict: Busy}
	}
	r.lastLease++
	e.lease = r.lastLease
	e.leaseExpires = now.Mono + within
	e.expires = max(e.expires, e.leaseExpires)
	return LeaseAnswer{Verdict: Granted, Lease: e.lease}
}

// Expiries holds the wall-clock times until which a fingerprint is convicted and
// suspect, 0 if it is not.
type Expiries struct {
	ConvictedUntil time.Duration
	SuspectUntil   time.Duration
}

// EndLease ends a lease and returns what counts against the fingerprint afterwards.
// incarnation is that of the target that died, if any. A lease that is no longer held is
// ignored.
func (r *Registry) EndLease(now clock.Instant, f Fingerprint, lease uint64, outcome RunOutcome, incarnation IncarnationHash) Expiries {
	e := r.lookup(now, f)
	if e == nil || lease == 0 || e.lease != lease {
		return Expiries{}
	}
	e.lease = 0
	switch outcome {
	case RanClean:
		r.recordCleanRun(now, e)
	case TargetDied:
		r.recordDeath(now, e, incarnation)
	}
	return Expiries{ConvictedUntil: e.convictedUntil, SuspectUntil: e.suspectUntil}
}

func (r *Registry) recordCleanRun(now clock.Instant, e *entry) {
	e.deaths = 0
	e.suspectUntil = 0
	e.cleanUntil = now.Mono + r.cfg.CleanFor
	e.expires = e.cleanUntil
}

// SuspicionExpiry returns the wall-clock time until which a death observed now counts.
func (r *Registry) SuspicionExpiry(now clock.Instant) time.Duration {
	return now.Wall + r.cfg.SuspectFor
}

// MarkSuspect records the death of one target that a peer reported, or that this host
// observed under a lease of another home; the latest expiry wins. While a lease of this
// Registry is held, the death belongs to that lease's run and is ignored here, because
// EndLease counts it.
func (r *Registry) MarkSuspect(now clock.Instant, f Fingerprint, until time.Duration) {
	until = min(until, now.Wall+r.cfg.SuspectFor)
	if until <= now.Wall {
		return
	}
	if e := r.lookupOrCreate(now, f); e != nil && e.lease == 0 {
		e.suspectUntil = max(e.suspectUntil, until)
		e.cleanUntil = 0
	}
}

// MarkClean records a clean run that the fingerprint's home reported, or that this host
// observed. It has no effect while a lease of this Registry is held.
func (r *Registry) MarkClean(now clock.Instant, f Fingerprint) {
	e := r.lookupOrCreate(now, f)
	if e == nil || e.lease != 0 {
		return
	}
	r.recordCleanRun(now, e)
}

// MarkConvicted records a conviction by another host; the latest expiry wins.
func (r *Registry) MarkConvicted(now clock.Instant, f Fingerprint, until time.Duration) {
	until = min(until, now.Wall+r.cfg.ConvictFor)
	if until <= now.Wall {
		return
	}
	if e := r.lookupOrCreate(now, f); e != nil {
		e.convictedUntil = max(e.convictedUntil, until)
	}
}

// lookupOrCreate returns the entry of f, creating it if needed. A full Registry evicts the
// oldest entry without an active lease; if there is none, lookupOrCreate returns nil.
func (r *Registry) lookupOrCreate(now clock.Instant, f Fingerprint) *entry {
	if e := r.lookup(now, f); e != nil {
		return e
	}
	if len(r.entries) >= r.cfg.MaxEntries && !r.evict(now) {
		return nil
	}
	e := &entry{}
	r.entries[f] = e
	r.insertionOrder = append(r.insertionOrder, f)
	return e
}

// evict removes the oldest entry without an active lease and reports whether it found one.
func (r *Registry) evict(now clock.Instant) bool {
	for i, f := range r.insertionOrder {
		e := r.entries[f]
		if e.lease != 0 && e.leaseExpires > now.Mono {
			continue
		}
		delete(r.entries, f)
		r.insertionOrder = append(r.insertionOrder[:i], r.insertionOrder[i+1:]...)
		return true
	}
	return false
}
