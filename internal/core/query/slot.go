package query

import (
	"time"

	"pollentack.example/pollentack/internal/core/target"
)

const (
	// maxRuns bounds the attempts at one shard that may run: the first and two hedges
	// or retries. Attempts known not to have run are not counted.
	maxRuns = 3
	// maxTries bounds all attempts at one shard.
	maxTries = 1 << 14
)

// Attempt is one request to one target that runs or may have run.
type Attempt struct {
	Sent   time.Duration
	Target target.ID
	try    int16
	Open   bool
}

// Try returns the attempt's number.
func (a *Attempt) Try() int32 { return int32(a.try) }

// Slot is the state of one shard of a query. It is kept small: a query has as many as
// its snapshot has shards.
type Slot struct {
	// Done is set by the whole reply of the pinned snapshot.
	Done bool
	// Waiting is set while the shard waits in its group for a replica.
	Waiting bool
	// Lost is set once no replica can answer for the pinned snapshot.
	Lost  bool
	used  uint8
	next  int16
	tried [maxRuns]Attempt
}

// Settled reports whether nothing more is awaited from the shard.
func (s *Slot) Settled() bool { return s.Done || s.Lost }

// Attempts returns the attempts that run or may have run, oldest first.
func (s *Slot) Attempts() []Attempt { return s.tried[:s.used] }

// Find returns the open attempt with this number, or nil.
func (s *Slot) Find(try int32) *Attempt {
	for i := range s.tried[:s.used] {
		if a := &s.tried[i]; a.Open && a.Try() == try {
			return a
		}
	}
	return nil
}

// Open returns the number of attempts in progress.
func (s *Slot) Open() int {
	n := 0
	for i := range s.tried[:s.used] {
		if s.tried[i].Open {
			n++
		}
	}
	return n
}

// CanTry reports whether another attempt is allowed.
func (s *Slot) CanTry() bool { return !s.Settled() && s.used < maxRuns && s.next < maxTries }

// Tried reports whether any attempt was made.
func (s *Slot) Tried() bool { return s.next > 0 }

// Begin records a new attempt and returns its number.
func (s *Slot) Begin(t target.ID, now time.Duration) int32 {
	try := s.next
	s.tried[s.used] = Attempt{Target: t, Sent: now, try: try, Open: true}
	s.used++
	s.next++
	return int32(try)
}

// End closes an attempt. One that is known not to have run makes room for another.
func (s *Slot) End(a *Attempt, notRun bool) {
	a.Open = false
	if !notRun {
		return
	}
	for i := range s.tried[:s.used] {
		if s.tried[i].try == a.try {
			copy(s.tried[i:], s.tried[i+1:s.used])
			s.used--
			return
		}
	}
}

// Last returns the newest attempt's target, or target.None.
func (s *Slot) Last() target.ID {
	if s.used == 0 {
		return target.None
	}
	return s.tried[s.used-1].Target
}
