package engine

import (
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/target"
)

// observeTarget updates the state of a target from the end of an attempt.
func (e *Engine) observeTarget(r *AttemptResult) {
	e.targets.Done(r.Target, r.Elapsed, r.Outcome == Answered)
	e.targets.Observe(r.Target, target.Observation{
		Incarnation:  r.Incarnation,
		Cold:         r.Cold,
		Answered:     r.Outcome == Answered,
		Shed:         r.Outcome == Shed,
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

// observeHealth uses a health report only to make a target cold, never to make it warm,
// because the report may be out of date.
func (e *Engine) observeHealth(h *HealthReport) {
	if h.Reachable {
		e.targets.ObserveHealth(h.Target, h.Incarnation, h.Cold)
	}
}

// mergePeerFacts merges second-hand knowledge about targets. A fact takes effect only if it
// reports a newer incarnation, a higher warm-up level or a departure; facts about older
// incarnations are ignored.
func (e *Engine) mergePeerFacts(facts []TargetFact) {
	for i := range facts {
		f := &facts[i]
		id := e.targets.Lookup(f.Target)
		if id == target.None {
			continue
		}
		e.targets.MergePeer(id, f.Incarnation, target.Level(f.WarmUpLevel), f.Cold, f.Leaving)
	}
}

// guardFor returns the guard of a request that is sent to the target now.
func (e *Engine) guardFor(id target.ID) Guard {
	grant := e.targets.Grant(id)
	g := Guard{Incarnation: grant.Incarnation, CheckIncarnation: grant.Check, ReservedConnections: e.targets.Entry(id).ReservedConnections()}
	if grant.Turn != nil {
		g.NotAfter = grant.Turn.Ends
	}
	return g
}

// setGuard sets the guard of a send. For a cold target, the deadline is at most the end
// of the turn.
func (e *Engine) setGuard(s *Send) {
	s.Guard = e.guardFor(s.Target)
	if s.NotAfter != 0 {
		s.Deadline = min(s.Deadline, e.targets.ToMono(s.NotAfter))
	}
}

// afterStep starts queued requests, collects changed target facts for the peers, and arms
// the timer of the next turn.
func (e *Engine) afterStep(now clock.Instant, fx *Effects) {
	e.startQueued(now, fx)
	e.targets.ReportChanges(func(entry *target.Entry) {
		fx.TargetFacts = append(fx.TargetFacts, TargetFact{
			Target:      entry.Spec.Name,
			Incarnation: entry.Incarnation,
			Cold:        entry.Cold,
			WarmUpLevel: int32(entry.Level),
			Leaving:     entry.ReportedLeaving,
		})
	})
	if e.turnTimerArmed {
		return
	}
	if due, ok := e.targets.NextTurn(); ok {
		e.turnTimerArmed = true
		e.timers.arm(timer{due: due, kind: timerTurn})
	}
}

// handleGlobalTimer handles a timer that belongs to no query, and reports whether t is one.
func (e *Engine) handleGlobalTimer(now clock.Instant, t timer, fx *Effects) bool {
	switch t.kind {
	case timerTurn:
		e.turnTimerArmed = false
		e.targets.EndCompletedRamps()
		e.resumeAll(now, fx)
	case timerQueue:
		e.gate.checkArmed = false
		e.expireQueued(now, fx)
		e.armQueueCheck(now)
	default:
		return false
	}
	return true
}
