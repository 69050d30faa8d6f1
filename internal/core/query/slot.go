package query

import (
	"time"

	"pollentack.example/pollentack/internal/core/target"
)

const (
	// maxExecutions bounds the attempts at one shard that a target may have executed: the
	// first and two hedges or retries. Attempts known not to have run do not count.
	maxExecutions = 3
	// maxAttempts bounds all attempts at one shard, including those known not to have run.
	// It fits the int16 of Attempt.number.
	maxAttempts = 1 << 14
)

// Attempt is one request to one target that is in progress or may have run.
type Attempt struct {
	Sent   time.Duration
	Target target.ID
	number int16
	Open   bool
}

// Try returns the number of the attempt at its shard, as in AttemptID.
func (a *Attempt) Try() int32 { return int32(a.number) }

// Slot is the state of one shard of a query. It is kept small because a query has one for
// each shard of its snapshot.
type Slot struct {
	// Done is set once a complete reply from the pinned snapshot arrived.
	Done bool
	// Waiting is set while the shard is queued in its group for a replica.
	Waiting bool
	// Lost is set once no replica can answer from the pinned snapshot.
	Lost         bool
	attemptCount uint8
	nextNumber   int16
	attempts     [maxExecutions]Attempt
}

// Settled reports whether the shard has answered or is lost.
func (s *Slot) Settled() bool { return s.Done || s.Lost }

// Attempts returns the attempts that are in progress or may have run, oldest first.
func (s *Slot) Attempts() []Attempt { return s.attempts[:s.attemptCount] }

// Find returns the attempt in progress with the given number, or nil.
func (s *Slot) Find(try int32) *Attempt {
	for i := range s.attempts[:s.attemptCount] {
		if a := &s.attempts[i]; a.Open && a.Try() == try {
			return a
		}
	}
	return nil
}

// Open returns the number of attempts in progress.
func (s *Slot) Open() int {
	n := 0
	for i := range s.attempts[:s.attemptCount] {
		if s.attempts[i].Open {
			n++
		}
	}
	return n
}

// CanTry reports whether another attempt is allowed.
func (s *Slot) CanTry() bool {
	return !s.Settled() && s.attemptCount < maxExecutions && s.nextNumber < maxAttempts
}

// Tried reports whether any attempt was made, including those known not to have run.
func (s *Slot) Tried() bool { return s.nextNumber > 0 }

// Begin records a new attempt and returns its number. CanTry must hold.
func (s *Slot) Begin(t target.ID, now time.Duration) int32 {
	try := s.nextNumber
	s.attempts[s.attemptCount] = Attempt{Target: t, Sent: now, number: try, Open: true}
	s.attemptCount++
	s.nextNumber++
	return int32(try)
}

// End marks an attempt as ended. One that is known not to have run is removed, so that it
// does not count against maxExecutions.
func (s *Slot) End(a *Attempt, notRun bool) {
	a.Open = false
	if !notRun {
		return
	}
	for i := range s.attempts[:s.attemptCount] {
		if s.attempts[i].number == a.number {
			copy(s.attempts[i:], s.attempts[i+1:s.attemptCount])
			s.attemptCount--
			return
		}
	}
}

// Last returns the target of the newest of Attempts, or target.None.
func (s *Slot) Last() target.ID {
	if s.attemptCount == 0 {
		return target.None
	}
	return s.attempts[s.attemptCount-1].Target
}
