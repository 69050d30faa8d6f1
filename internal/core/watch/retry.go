package watch

import (
	"math/rand/v2"
	"time"
)

const (
	// firstRetry and maxRetry bound the wait before a failed call is made again, and
	// before a note that was refused is read again.
	firstRetry = 250 * time.Millisecond
	maxRetry   = 8 * time.Second
	// maxNoteRetry bounds the wait before a refused note is read again.
	maxNoteRetry = time.Minute
	// window bounds how far above the note in force notes are read.
	window = 64
)

// backoff doubles the wait after each failure in a row.
type backoff struct{ wait time.Duration }

// next returns the wait before the next call, which is rest after a success.
func (b *backoff) next(rng *rand.Rand, failed bool, rest time.Duration) time.Duration {
	if !failed {
		b.wait = 0
		return rest
	}
	b.wait = min(max(2*b.wait, firstRetry), maxRetry)
	return b.wait/2 + time.Duration(rng.Int64N(int64(b.wait/2)))
}

// retries tells which note to read next.
type retries struct {
	rng   *rand.Rand
	notes map[uint64]retry
}

type retry struct {
	at   time.Duration
	wait time.Duration
}

func newRetries(rng *rand.Rand) retries { return retries{rng: rng, notes: map[uint64]retry{}} }

// failed notes that a note was read and did not come into force.
func (r *retries) failed(now time.Duration, number uint64) {
	if len(r.notes) > 2*window {
		clear(r.notes)
	}
	wait := min(max(2*r.notes[number].wait, firstRetry), maxNoteRetry)
	r.notes[number] = retry{at: now + wait + time.Duration(r.rng.Int64N(int64(wait/2))), wait: wait}
}

// forget drops what is known of notes up to number.
func (r *retries) forget(number uint64) {
	for n := range r.notes {
		if n <= number {
			delete(r.notes, n)
		}
	}
}

// next returns the note to read now: the baseline first, then those after the one in
// force in their order.
func (r *retries) next(now time.Duration, inForce, baseline, head uint64) (uint64, bool) {
	if baseline > inForce && r.notes[baseline].at <= now {
		return baseline, true
	}
	for n := inForce + 1; n <= r.last(inForce, head); n++ {
		if r.notes[n].at <= now {
			return n, true
		}
	}
	return 0, false
}

// due returns when next has a note to read.
func (r *retries) due(inForce, baseline, head uint64) (at time.Duration, ok bool) {
	if baseline > inForce {
		at, ok = r.notes[baseline].at, true
	}
	for n := inForce + 1; n <= r.last(inForce, head); n++ {
		if !ok || r.notes[n].at < at {
			at, ok = r.notes[n].at, true
		}
	}
	return at, ok
}

// last returns the highest note to read. Nothing is read one by one before the first
// baseline is in force.
func (r *retries) last(inForce, head uint64) uint64 {
	if inForce == 0 {
		return 0
	}
	return min(head, inForce+window)
}
