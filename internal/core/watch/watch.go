// Package watch decides when a host calls the platform.
//
// Two hosts of each availability zone, by turn, keep a watch open; a waiting watch
// counts as one call. The rest hear from peers, and read the head at an interval that is
// each host's static share of the platform's rate: a peer's word does not tell whether
// that peer still reaches the platform. At most one watch and one short call are in
// progress. Failed calls back off with jitter.
package watch

import (
	"math"
	"math/rand/v2"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/release"
)

// Kind is what a call asks for.
type Kind int

// Kinds of calls. KindWait is a watch; the others return at once.
const (
	KindHead Kind = iota + 1
	KindWait
	KindNote
	KindHosts
)

// Call is one call to the platform.
type Call struct {
	Kind Kind
	// After and Wait belong to KindWait: the call returns once the head is above After,
	// or when Wait is over.
	After uint64
	Wait  time.Duration
	// Number belongs to KindNote.
	Number uint64
}

// Result is how a call ended.
type Result struct {
	Call   Call
	Failed bool
	// Head and Baseline belong to KindHead and KindWait.
	Head     uint64
	Baseline uint64
}

// Config is what a host's settings say to its Watch.
type Config struct {
	Host string
	Zone string
	// Wait is the longest wait of one watch.
	Wait time.Duration
	// Seed makes the jitter repeatable.
	Seed uint64
	// Poll makes every host read the head at each PollInterval, without watches: the
	// baseline that experiments compare with.
	Poll bool
}

const (
	// PollInterval is the baseline's interval between two reads.
	PollInterval = time.Second
	// readInterval is the time between two reads of the head by a host that does not
	// watch; in a large fleet it is the host's share of fallbackRate.
	readInterval = time.Second
	// fallbackRate is the number of reads a second that all hosts may add up to, out of
	// about 2,000 that the platform bears.
	fallbackRate = 400
	// hostsInterval is the time between two reads of the host list by a watcher.
	hostsInterval = 2 * time.Second
	// watchGap is the least time between two watches, also if they return at once.
	watchGap = 50 * time.Millisecond
	// maxJitter is the share by which an interval is longer at most.
	maxJitter = 0.25
	never     = time.Duration(math.MaxInt64)
	// grace is the time that peers have to bring a note before it is read here.
	grace = 500 * time.Millisecond
)

// Watch decides when to call the platform.
type Watch struct {
	cfg  Config
	rng  *rand.Rand
	zone zone
	// fleet is the number of published hosts.
	fleet int
	// inForce is the number of the note in force.
	inForce  uint64
	head     uint64
	baseline uint64
	retries  retries

	watching  bool
	watchAt   time.Duration
	calling   bool
	callAt    time.Duration
	hostsAt   time.Duration
	reads     headReads
	watchWait backoff
	callWait  backoff
}

// New returns a Watch that begins with a read of the head.
func New(cfg Config) *Watch {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	return &Watch{cfg: cfg, rng: rng, retries: newRetries(rng), reads: headReads{asked: true}}
}

// InForce tells which state is in force.
func (w *Watch) InForce(s *release.State) {
	w.inForce = s.Number
	w.fleet = len(s.Hosts)
	w.zone = newZone(s.Hosts, w.cfg.Zone, w.cfg.Host)
	w.retries.forget(s.Number)
}

// PeerHeard tells that a peer has note number in force.
func (w *Watch) PeerHeard(now clock.Instant, number uint64) {
	if number > max(w.inForce, w.head) && w.reads.behind == 0 {
		w.reads.behind = now.Mono + grace + w.jitter(w.share(grace))
	}
}

// Ask makes the head due now, also while failed calls are backed off from.
func (w *Watch) Ask() {
	w.reads.asked = true
	w.callAt = 0
}

// Ended tells how a call ended. A note that did not come into force is read again
// later, since its text may have been damaged on the way.
func (w *Watch) Ended(now clock.Instant, r *Result) {
	if r.Call.Kind == KindWait {
		w.watching = false
		w.watchAt = now.Mono + w.watchWait.next(w.rng, r.Failed, watchGap)
	} else {
		w.calling = false
		w.callAt = now.Mono + w.callWait.next(w.rng, r.Failed, 0)
	}
	switch {
	case r.Failed:
	case r.Call.Kind == KindNote:
		if r.Call.Number > w.inForce {
			w.retries.failed(now.Mono, r.Call.Number)
		}
	case r.Call.Kind == KindHead, r.Call.Kind == KindWait:
		w.head, w.baseline = r.Head, r.Baseline
	}
}

// Advance returns the calls that are due.
func (w *Watch) Advance(now clock.Instant) []Call {
	var calls []Call
	if c, ok := w.nextWatch(now); ok {
		w.watching = true
		calls = append(calls, c)
	}
	if c, ok := w.nextCall(now); ok {
		w.calling = true
		calls = append(calls, c)
	}
	return calls
}

func (w *Watch) nextWatch(now clock.Instant) (Call, bool) {
	if w.watching || now.Mono < w.watchAt || !w.watches(now) {
		return Call{}, false
	}
	return Call{Kind: KindWait, After: w.head, Wait: w.cfg.Wait}, true
}

// watches reports whether this host watches now. Before the first note it cannot know.
func (w *Watch) watches(now clock.Instant) bool {
	return !w.cfg.Poll && w.inForce > 0 && w.zone.watchesAt(now.Wall)
}

func (w *Watch) nextCall(now clock.Instant) (Call, bool) {
	if w.calling || now.Mono < w.callAt {
		return Call{}, false
	}
	if number, ok := w.retries.next(now.Mono, w.inForce, w.baseline, w.head); ok {
		return Call{Kind: KindNote, Number: number}, true
	}
	watches := w.watches(now)
	if now.Mono >= w.headDue(watches) {
		w.reads = headReads{last: now.Mono, jitter: w.rng.Float64() * maxJitter}
		return Call{Kind: KindHead}, true
	}
	if now.Mono >= w.hostsAt {
		w.hostsAt = now.Mono + w.hostsWait(watches)
		return Call{Kind: KindHosts}, true
	}
	return Call{}, false
}

// headReads is what the next read of the head depends on.
type headReads struct {
	last time.Duration
	// behind is when a note that a peer has in force must be looked for, 0 for never.
	behind time.Duration
	asked  bool
	// jitter is the share by which the next interval is longer.
	jitter float64
}

// headDue returns when the head is to be read next.
func (w *Watch) headDue(watches bool) time.Duration {
	r := &w.reads
	switch {
	case r.asked:
		return 0
	case w.cfg.Poll:
		return r.last + PollInterval
	case watches:
		return never
	}
	due := r.last + w.spread(readInterval)
	if r.behind > 0 {
		due = min(due, r.behind)
	}
	return due
}

// spread returns this host's interval with its jitter.
func (w *Watch) spread(interval time.Duration) time.Duration {
	share := w.share(interval)
	return share + time.Duration(w.reads.jitter*float64(share))
}

// hostsWait is the time between two reads of the host list.
func (w *Watch) hostsWait(watches bool) time.Duration {
	if watches {
		return hostsInterval
	}
	return max(hostsInterval, 2*w.spread(readInterval))
}

// share returns interval, or this host's static share of fallbackRate if that is longer.
func (w *Watch) share(interval time.Duration) time.Duration {
	return max(interval, time.Duration(w.fleet)*time.Second/fallbackRate)
}

func (w *Watch) jitter(most time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(most) + 1))
}

// NextWake returns when Advance must next be called.
func (w *Watch) NextWake(now clock.Instant) time.Duration {
	due := now.Mono + untilTurn(now.Wall)
	watches := w.watches(now)
	if watches && !w.watching {
		due = min(due, w.watchAt)
	}
	if w.calling {
		return due
	}
	call := min(w.hostsAt, w.headDue(watches))
	if at, ok := w.retries.due(w.inForce, w.baseline, w.head); ok {
		call = min(call, at)
	}
	return min(due, max(call, w.callAt))
}
