// Package callschedule decides when a host calls the platform.
//
// The platform publishes numbered notes, which package release describes; the head is the
// number of the newest. In each availability zone two hosts at a time, in rotation, keep a
// watch (long poll) open; a waiting watch counts as one call. The other hosts receive notes
// from peers. They also read the head at an interval that gives each host a static share of
// the platform's call rate, because a note from a peer does not show whether that peer can
// still reach the platform. At most one watch and one other call are in progress. Failed
// calls are retried with exponential backoff and jitter.
package callschedule

import (
	"math"
	"math/rand/v2"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/release"
)

// Kind is the kind of a call.
type Kind int

// The kinds of calls: read the head, watch the head, read a note, read the list of hosts.
// Only KindWatch waits at the platform; the others return at once.
const (
	KindHead Kind = iota + 1
	KindWatch
	KindNote
	KindHosts
)

// Call is a call to the platform.
type Call struct {
	Kind Kind
	// After and Wait apply to KindWatch: the call returns once the head is above After, or
	// once Wait is over.
	After uint64
	Wait  time.Duration
	// Number is the note to read with KindNote.
	Number uint64
}

// Result is the outcome of a call.
type Result struct {
	Call   Call
	Failed bool
	// Head and Baseline are the numbers of the newest note and of the newest baseline, set
	// for KindHead and KindWatch.
	Head     uint64
	Baseline uint64
}

// Config configures a Scheduler.
type Config struct {
	Host string
	Zone string
	// Wait is the longest wait of one watch.
	Wait time.Duration
	// Seed seeds the jitter.
	Seed uint64
	// PollOnly makes every host read the head each PollInterval instead of watching.
	// Experiments use it as the baseline for comparison.
	PollOnly bool
}

const (
	// PollInterval is the interval between two reads of the head with Config.PollOnly.
	PollInterval = time.Second
	// headInterval is the time between two reads of the head by a host that does not
	// watch. In a large fleet maxFleetReadRate makes it longer.
	headInterval = time.Second
	// maxFleetReadRate is the maximum number of head reads per second by all hosts
	// together. The platform supports about 2,000 calls per second.
	maxFleetReadRate = 400
	// hostsInterval is the time between two reads of the host list by a watcher.
	hostsInterval = 2 * time.Second
	// minWatchGap is the least time between two watches, even if they return at once.
	minWatchGap = 50 * time.Millisecond
	// maxJitter is the largest fraction by which an interval is extended.
	maxJitter = 0.25
	never     = time.Duration(math.MaxInt64)
	// peerDeliveryGrace is how long peers have to deliver a note before this host reads it
	// itself.
	peerDeliveryGrace = 500 * time.Millisecond
)

// Scheduler schedules a host's calls to the platform.
type Scheduler struct {
	cfg      Config
	rng      *rand.Rand
	rotation zoneRotation
	// fleetSize is the number of published hosts.
	fleetSize int
	// activeNote is the number of the active note, 0 before the first.
	activeNote uint64
	head       uint64
	baseline   uint64
	notes      noteSchedule

	watchInProgress bool
	nextWatchAt     time.Duration
	callInProgress  bool
	nextCallAt      time.Duration
	nextHostsAt     time.Duration
	headReads       headSchedule
	watchBackoff    backoff
	callBackoff     backoff
}

// New returns a Scheduler whose first call reads the head.
func New(cfg Config) *Scheduler {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	return &Scheduler{cfg: cfg, rng: rng, notes: newNoteSchedule(rng), headReads: headSchedule{requested: true}}
}

// SetActive reports the state that is now active on this host.
func (s *Scheduler) SetActive(state *release.State) {
	s.activeNote = state.Number
	s.fleetSize = len(state.Hosts)
	s.rotation = newZoneRotation(state.Hosts, s.cfg.Zone, s.cfg.Host)
	s.notes.forget(state.Number)
	if s.headReads.catchUpTo <= state.Number {
		s.headReads.catchUpAt = 0
	}
}

// PeerNoteActive reports that note number is active on a peer.
func (s *Scheduler) PeerNoteActive(now clock.Instant, number uint64) {
	if number > max(s.activeNote, s.head) && s.headReads.catchUpAt == 0 {
		s.headReads.catchUpAt = now.Mono + peerDeliveryGrace + s.randomDelay(s.fleetInterval(peerDeliveryGrace))
		s.headReads.catchUpTo = number
	}
}

// RequestHead makes a read of the head due now, even during the backoff after a failed call.
func (s *Scheduler) RequestHead() {
	s.headReads.requested = true
	s.nextCallAt = 0
}

// CallEnded handles the result of a call. A note that was read but did not become active is
// read again later, because it may have been corrupted in transit.
func (s *Scheduler) CallEnded(now clock.Instant, r *Result) {
	if r.Call.Kind == KindWatch {
		s.watchInProgress = false
		s.nextWatchAt = now.Mono + s.watchBackoff.next(s.rng, r.Failed, minWatchGap)
	} else {
		s.callInProgress = false
		s.nextCallAt = now.Mono + s.callBackoff.next(s.rng, r.Failed, 0)
	}
	switch {
	case r.Failed:
	case r.Call.Kind == KindNote:
		if r.Call.Number > s.activeNote {
			s.notes.recordFailure(now.Mono, r.Call.Number)
		}
	case r.Call.Kind == KindHead, r.Call.Kind == KindWatch:
		s.head, s.baseline = r.Head, r.Baseline
	}
}

// Advance returns the calls that are due, which count as in progress from then on.
func (s *Scheduler) Advance(now clock.Instant) []Call {
	var calls []Call
	if c, ok := s.nextWatch(now); ok {
		s.watchInProgress = true
		calls = append(calls, c)
	}
	if c, ok := s.nextCall(now); ok {
		s.callInProgress = true
		calls = append(calls, c)
	}
	return calls
}

func (s *Scheduler) nextWatch(now clock.Instant) (Call, bool) {
	if s.watchInProgress || now.Mono < s.nextWatchAt || !s.isWatcher(now) {
		return Call{}, false
	}
	return Call{Kind: KindWatch, After: s.head, Wait: s.cfg.Wait}, true
}

// isWatcher reports whether this host is a watcher now. Before the first note the zone's
// hosts are unknown, and it is not.
func (s *Scheduler) isWatcher(now clock.Instant) bool {
	return !s.cfg.PollOnly && s.activeNote > 0 && s.rotation.watchesAt(now.Wall)
}

func (s *Scheduler) nextCall(now clock.Instant) (Call, bool) {
	if s.callInProgress || now.Mono < s.nextCallAt {
		return Call{}, false
	}
	if number, ok := s.notes.next(now.Mono, s.activeNote, s.baseline, s.head); ok {
		return Call{Kind: KindNote, Number: number}, true
	}
	watcher := s.isWatcher(now)
	if now.Mono >= s.headDue(watcher) {
		s.headReads = headSchedule{lastRead: now.Mono, jitter: s.rng.Float64() * maxJitter}
		return Call{Kind: KindHead}, true
	}
	if now.Mono >= s.nextHostsAt {
		s.nextHostsAt = now.Mono + s.hostsReadInterval(watcher)
		return Call{Kind: KindHosts}, true
	}
	return Call{}, false
}

// headSchedule determines when the head is read next.
type headSchedule struct {
	lastRead time.Duration
	// catchUpAt is when to read the head because note catchUpTo is active on a peer but
	// not here, 0 for never.
	catchUpAt time.Duration
	catchUpTo uint64
	requested bool
	// jitter is the fraction by which the next interval is extended.
	jitter float64
}

// headDue returns when the head is to be read next.
func (s *Scheduler) headDue(watcher bool) time.Duration {
	r := &s.headReads
	switch {
	case r.requested:
		return 0
	case s.cfg.PollOnly:
		return r.lastRead + PollInterval
	case watcher:
		return never
	}
	due := r.lastRead + s.jitteredInterval(headInterval)
	if r.catchUpAt > 0 {
		due = min(due, r.catchUpAt)
	}
	return due
}

// jitteredInterval returns this host's fleetInterval, extended by the current jitter.
func (s *Scheduler) jitteredInterval(interval time.Duration) time.Duration {
	base := s.fleetInterval(interval)
	return base + time.Duration(s.headReads.jitter*float64(base))
}

// hostsReadInterval returns the time between two reads of the host list.
func (s *Scheduler) hostsReadInterval(watcher bool) time.Duration {
	if watcher {
		return hostsInterval
	}
	return max(hostsInterval, 2*s.jitteredInterval(headInterval))
}

// fleetInterval returns interval, or the interval at which the reads of all hosts add up to
// maxFleetReadRate if that is longer.
func (s *Scheduler) fleetInterval(interval time.Duration) time.Duration {
	return max(interval, time.Duration(s.fleetSize)*time.Second/maxFleetReadRate)
}

func (s *Scheduler) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit) + 1))
}

// NextWake returns when Advance must next be called.
func (s *Scheduler) NextWake(now clock.Instant) time.Duration {
	due := now.Mono + untilRotation(now.Wall)
	watcher := s.isWatcher(now)
	if watcher && !s.watchInProgress {
		due = min(due, s.nextWatchAt)
	}
	if s.callInProgress {
		return due
	}
	call := min(s.nextHostsAt, s.headDue(watcher))
	if at, ok := s.notes.due(s.activeNote, s.baseline, s.head); ok {
		call = min(call, at)
	}
	return min(due, max(call, s.nextCallAt))
}
