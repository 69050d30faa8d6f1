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

// Number returns the number of the attempt at its shard, as in AttemptID.
func (a *Attempt) Number() int32 { return int32(a.number) }

// ShardState is the state of one shard of a query. It is kept small because a query has one
// for each shard of its snapshot.
type ShardState struct {
	// Answered is set once a complete reply from the pinned snapshot arrived.
	Answered bool
	// Waiting is set while the shard is queued in its group for a replica.
	Waiting bool
	// Lost is set once no replica can answer from the pinned snapshot.
	Lost         bool
	attemptCount uint8
	nextNumber   int16
	attempts     [maxExecutions]Attempt
}

// Settled reports whether the shard has answered or is lost.
func (s *ShardState) Settled() bool { return s.Answered || s.Lost }

// Attempts returns the attempts that are in progress or may have run, oldest first.
func (s *ShardState) Attempts() []Attempt { return s.attempts[:s.attemptCount] }

// Find returns the attempt in progress with the given number, or nil.
func (s *ShardState) Find(try int32) *Attempt {
	for i := range s.attempts[:s.attemptCount] {
		if a := &s.attempts[i]; a.Open && a.Number() == try {
			return a
		}
	}
	return nil
}

// OpenAttempts returns the number of attempts in progress.
func (s *ShardState) OpenAttempts() int {
	n := 0
	for i := range s.attempts[:s.attemptCount] {
		if s.attempts[i].Open {
			n++
		}
	}
	return n
}

// CanAttempt reports whether another attempt is allowed.
func (s *ShardState) CanAttempt() bool {
	return !s.Settled() && s.attemptCount < maxExecutions && s.nextNumber < maxAttempts
}

// Attempted reports whether any attempt was made, including those known not to have run.
func (s *ShardState) Attempted() bool { return s.nextNumber > 0 }

// Begin records a new attempt and returns its number. CanAttempt must hold.
func (s *ShardState) Begin(t target.ID, now time.Duration) int32 {
	try := s.nextNumber
	s.attempts[s.attemptCount] = Attempt{Target: t, Sent: now, number: try, Open: true}
	s.attemptCount++
	s.nextNumber++
	return int32(try)
}

// End marks an attempt as ended. One that is known not to have run is removed, so that it
// does not count against maxExecutions.
func (s *ShardState) End(a *Attempt, notRun bool) {
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

// LastTarget returns the target of the newest of Attempts, or target.None.
func (s *ShardState) LastTarget() target.ID {
	if s.attemptCount == 0 {
		return target.None
	}
	return s.attempts[s.attemptCount-1].Target
}
