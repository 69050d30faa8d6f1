package gateway

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/edge/wallclock"
	"pollentack.example/pollentack/internal/ring"
)

// core is a stepped core with events E and effects F.
type core[E, F any] interface {
	Step(now clock.Instant, ev E, fx *F)
	Advance(now clock.Instant, fx *F)
	NextWake() (time.Duration, bool)
}

// stepper is a duty that owns a core and steps it, one event at a time.
type stepper[E, F any] struct {
	clock wallclock.Clock
	inbox *ring.Ring[E]
	core  core[E, F]
	// carryOut does what a step asked for and empties the effects.
	carryOut func(*F)
}

// run steps the core until its ring is closed.
func (s *stepper[E, F]) run(first E) {
	var fx F
	batch := make([]E, stepBatch)
	s.step(first, &fx)
	for {
		n, ok := s.inbox.Take(batch, s.wait())
		if !ok {
			return
		}
		for _, ev := range batch[:n] {
			s.step(ev, &fx)
		}
		if n == 0 {
			s.core.Advance(s.clock.Now(), &fx)
			s.carryOut(&fx)
		}
	}
}

func (s *stepper[E, F]) step(ev E, fx *F) {
	s.core.Step(s.clock.Now(), ev, fx)
	s.carryOut(fx)
}

// wait is the time until the core's next timer.
func (s *stepper[E, F]) wait() time.Duration {
	due, ok := s.core.NextWake()
	if !ok {
		return ring.Forever
	}
	return max(0, due-s.clock.Now().Mono)
}
