package engine

import (
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/target"
)

// observeTarget takes what the end of an attempt says of its target.
func (e *Engine) observeTarget(r *Reply) {
	e.targets.Done(r.Target, r.Elapsed, r.Outcome == Answered)
	e.targets.Observe(r.Target, target.Sign{
		Incarnation:  r.Incarnation,
		Cold:         r.Cold,
		Answered:     r.Outcome == Answered,
		Overload:     r.Outcome == Shed,
		Disconnected: r.Disconnected,
		Local:        r.Outcome == Cancelled || r.Outcome.NotRun() && r.Incarnation == 0,
	})
	if r.ClaimedIncarnation != 0 {
		e.targets.ObserveHealth(r.Target, r.ClaimedIncarnation, true)
	}
	if r.Leaving {
		e.targets.ObserveLeaving(r.Target)
	}
}

// observeHealth takes a health endpoint's word for bad news only: it lags, so it makes
// a target cold, but never warm.
func (e *Engine) observeHealth(h *Health) {
	if h.Reachable {
		e.targets.ObserveHealth(h.Target, h.Incarnation, h.Cold)
	}
}

// hearFacts takes hearsay of targets.
func (e *Engine) hearFacts(facts []TargetFact) {
	for i := range facts {
		f := &facts[i]
		id := e.targets.Lookup(f.Target)
		if id == target.None {
			continue
		}
		e.targets.Hear(id, f.Incarnation, target.Level(f.Level), f.Cold, f.Leaving)
	}
}

// guard returns what bounds a request that goes to the target now.
func (e *Engine) guard(id target.ID) Guard {
	grant := e.targets.Grant(id)
	g := Guard{Incarnation: grant.Incarnation, Check: grant.Check, Spare: e.targets.Entry(id).Spare()}
	if grant.Turn != nil {
		g.NotAfter = grant.Turn.Ends
	}
	return g
}

// grant puts on a send what bounds it at its target: for a cold one, the turn's end.
func (e *Engine) grant(s *Send) {
	s.Guard = e.guard(s.Target)
	if s.NotAfter != 0 {
		s.Deadline = min(s.Deadline, e.targets.MonoOf(s.NotAfter))
	}
}

// afterStep reports news of targets to the peers, and arms the timer of the next turn.
func (e *Engine) afterStep(now clock.Instant, fx *Effects) {
	e.drainGate(now, fx)
	e.targets.News(func(entry *target.Entry) {
		fx.Facts = append(fx.Facts, TargetFact{
			Target:      entry.Spec.Name,
			Incarnation: entry.Incarnation,
			Cold:        entry.Cold,
			Level:       int32(entry.Level),
			Leaving:     entry.SaidLeaving,
		})
	})
	if e.turnDue {
		return
	}
	if due, ok := e.targets.NextTurn(); ok {
		e.turnDue = true
		e.timers.arm(timer{due: due, kind: timerTurn})
	}
}

// ownTimer handles a timer that belongs to no query, and reports whether it was one.
func (e *Engine) ownTimer(now clock.Instant, t timer, fx *Effects) bool {
	switch t.kind {
	case timerTurn:
		e.turnDue = false
		e.targets.SettleAll()
		e.wakeAll(now, fx)
	case timerQueue:
		e.gate.sweeping = false
		e.expireQueued(now, fx)
		e.armQueueSweep(now)
	default:
		return false
	}
	return true
}
