package callschedule

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay before a failed call is repeated.
	// minRetryDelay also applies to reads of a rejected note.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 8 * time.Second
	// maxNoteRetryDelay bounds the delay before a rejected note is read again.
	maxNoteRetryDelay = time.Minute
	// noteWindow is how far above the active note other notes are read.
	noteWindow = 64
)

// backoff doubles the delay after each consecutive failure.
type backoff struct{ wait time.Duration }

// next returns the delay before the next call, which is successDelay after a success.
func (b *backoff) next(rng *rand.Rand, failed bool, successDelay time.Duration) time.Duration {
	if !failed {
		b.wait = 0
		return successDelay
	}
	b.wait = min(max(2*b.wait, minRetryDelay), maxRetryDelay)
	return b.wait/2 + time.Duration(rng.Int64N(int64(b.wait/2)))
}

// noteSchedule determines which note to read next.
type noteSchedule struct {
	rng      *rand.Rand
	backoffs map[uint64]noteBackoff
}

type noteBackoff struct {
	at   time.Duration
	wait time.Duration
}

func newNoteSchedule(rng *rand.Rand) noteSchedule {
	return noteSchedule{rng: rng, backoffs: map[uint64]noteBackoff{}}
}

// recordFailure records that a note was read and did not become active.
func (s *noteSchedule) recordFailure(now time.Duration, number uint64) {
	if len(s.backoffs) > 2*noteWindow {
		clear(s.backoffs)
	}
	wait := min(max(2*s.backoffs[number].wait, minRetryDelay), maxNoteRetryDelay)
	s.backoffs[number] = noteBackoff{at: now + wait + time.Duration(s.rng.Int64N(int64(wait/2))), wait: wait}
}

// forget drops the backoff of all notes up to number.
func (s *noteSchedule) forget(number uint64) {
	for n := range s.backoffs {
		if n <= number {
			delete(s.backoffs, n)
		}
	}
}

// next returns the note to read now: the newest baseline first, then the notes after the
// active one in order.
func (s *noteSchedule) next(now time.Duration, active, baseline, head uint64) (uint64, bool) {
	if baseline > active && s.backoffs[baseline].at <= now {
		return baseline, true
	}
	for n := active + 1; n <= s.last(active, head); n++ {
		if s.backoffs[n].at <= now {
			return n, true
		}
	}
	return 0, false
}

// due returns when next will have a note to read.
func (s *noteSchedule) due(active, baseline, head uint64) (at time.Duration, ok bool) {
	if baseline > active {
		at, ok = s.backoffs[baseline].at, true
	}
	for n := active + 1; n <= s.last(active, head); n++ {
		if !ok || s.backoffs[n].at < at {
			at, ok = s.backoffs[n].at, true
		}
	}
	return at, ok
}

// last returns the highest note to read. Before the first baseline is active, no other
// notes are read.
func (s *noteSchedule) last(active, head uint64) uint64 {
	if active == 0 {
		return 0
	}
	return min(head, active+noteWindow)
}
