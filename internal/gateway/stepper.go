package gateway

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/ring"
)

// core is the interface of a core with events E and effects F. Advance must be called at the
// time that NextWake returns.
type core[E, F any] interface {
	Step(now clock.Instant, ev E, fx *F)
	Advance(now clock.Instant, fx *F)
	NextWake() (time.Duration, bool)
}

// steppedDuty is a duty that owns a core and passes it one event at a time.
type steppedDuty[E, F any] struct {
	clock sysclock.Clock
	inbox *ring.Ring[E]
	core  core[E, F]
	// applyEffects carries out the effects of a step and resets them.
	applyEffects func(*F)
}

// run steps the core with first, then with the events of the inbox until that is closed.
func (s *steppedDuty[E, F]) run(first E) {
	var fx F
	batch := make([]E, stepBatch)
	s.step(first, &fx)
	for {
		n, ok := s.inbox.Take(batch, s.untilNextWake())
		if !ok {
			return
		}
		for _, ev := range batch[:n] {
			s.step(ev, &fx)
		}
		if n == 0 {
			s.core.Advance(s.clock.Now(), &fx)
			s.applyEffects(&fx)
		}
	}
}

func (s *steppedDuty[E, F]) step(ev E, fx *F) {
	s.core.Step(s.clock.Now(), ev, fx)
	s.applyEffects(fx)
}

// untilNextWake returns the time until the core's next timer expires.
func (s *steppedDuty[E, F]) untilNextWake() time.Duration {
	due, ok := s.core.NextWake()
	if !ok {
		return ring.Forever
	}
	return max(0, due-s.clock.Now().Mono)
}
