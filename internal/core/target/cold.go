package target

import (
	"maps"
	"slices"
	"time"
)

// Grant holds the conditions under which one request may be sent to a target.
type Grant struct {
	// Incarnation is the one that the host believes to be running, 0 if unknown.
	Incarnation uint64
	// Check requires that a request on a new connection is preceded by a comparison of the
	// incarnation. A request within the published cold budget needs no check, because any
	// incarnation has the capacity for it.
	Check bool
	// Turn is set for a cold target, which refuses the request after Turn.Ends.
	Turn *Turn
}

// Grant returns the conditions for a request that is sent to the target now.
func (t *Table) Grant(id ID) Grant {
	e := &t.entries[id]
	ramped := !e.Cold || e.Level.step() > 0
	g := Grant{Incarnation: e.Incarnation, Check: ramped && !e.healthContradicted && !t.options.NoWarmUp}
	if e.Cold {
		turn := TurnAt(t.now.Wall)
		g.Turn = &turn
	}
	return g
}

// ToMono converts a wall-clock time to the monotonic clock by the clock readings of this
// step.
func (t *Table) ToMono(wall time.Duration) time.Duration { return t.now.Mono + wall - t.now.Wall }

// minTurnRemaining is the time that must remain in a turn to start a request that runs at
// most once on a cold target.
const minTurnRemaining = TurnLength / 2

// PickForOnce is Pick for a request that runs at most once. It picks a cold target only
// while minTurnRemaining is left of the turn: a request that is cut off at the end of the
// turn has an unknown outcome.
func (t *Table) PickForOnce(replicas []ID, avoid ID) ID {
	early := TurnAt(t.now.Wall).Ends-t.now.Wall >= minTurnRemaining
	eligible := make([]ID, 0, len(replicas))
	for _, id := range replicas {
		if early || !t.entries[id].Cold {
			eligible = append(eligible, id)
		}
	}
	id, _ := t.Pick(eligible, avoid)
	return id
}

// NextTurn returns the monotonic time at which the next turn opens, and false if no target
// is cold.
func (t *Table) NextTurn() (time.Duration, bool) {
	if len(t.cold) == 0 {
		return 0, false
	}
	return t.ToMono(nextOpening(t.now.Wall)), true
}

// EndCompletedRamps marks as warm every cold target whose ramp is complete.
func (t *Table) EndCompletedRamps() {
	for _, id := range slices.Sorted(maps.Keys(t.cold)) {
		t.endRampIfWarm(id)
	}
}

// Observe applies the outcome of one of this host's own requests to the target.
func (t *Table) Observe(id ID, o Observation) {
	e := &t.entries[id]
	incarnation := e.Incarnation
	changed := e.Observe(t.now, o)
	if e.Incarnation != incarnation && e.Spec != nil && t.byName[e.Spec.Name] == id {
		e.Leaving = e.Spec.Leaving
		e.ReportedLeaving = false
		e.Latency = 0
	}
	if o.Answered && o.Incarnation != 0 && o.Incarnation < e.healthIncarnation {
		e.healthContradicted = true
	}
	if o.Shed {
		e.Limiter.Shed(t.now.Mono)
	}
	if changed {
		t.markUnreported(id)
	}
	t.updateCold(id)
}

// ObserveHealth applies a report of the target's health endpoint. The report lags and may
// be wrong, so it makes the target cold at most once for each incarnation that it claims,
// never warm, and is ignored once a reply has contradicted it.
func (t *Table) ObserveHealth(id ID, incarnation uint64, cold bool) {
	e := &t.entries[id]
	if e.healthContradicted || incarnation <= e.healthIncarnation {
		return
	}
	if e.Contacted() && incarnation <= e.Incarnation {
		return
	}
	e.healthIncarnation = incarnation
	if e.Contacted() || cold {
		t.markCold(id)
	}
}

// ObserveLeaving records that the target, or a peer, reported that the target is leaving.
func (t *Table) ObserveLeaving(id ID) {
	e := &t.entries[id]
	if e.ReportedLeaving {
		return
	}
	e.Leaving = true
	e.ReportedLeaving = true
	t.markUnreported(id)
}

// MergePeer merges a peer's state of the target. Reports of older incarnations are ignored.
func (t *Table) MergePeer(id ID, incarnation uint64, level Level, cold, leaving bool) {
	e := &t.entries[id]
	if incarnation < e.Incarnation {
		return
	}
	if e.MergePeer(incarnation, level, cold) {
		t.markUnreported(id)
	}
	if leaving {
		t.ObserveLeaving(id)
	}
	t.updateCold(id)
}

// ReportChanges calls report once for each target that changed since the last call, so
// that peers can be notified.
func (t *Table) ReportChanges(report func(*Entry)) {
	for _, id := range t.unreported {
		e := &t.entries[id]
		e.unreported = false
		if e.Spec != nil {
			report(e)
		}
	}
	t.unreported = t.unreported[:0]
}

// markUnreported adds the target to those that ReportChanges reports.
func (t *Table) markUnreported(id ID) {
	e := &t.entries[id]
	if e.unreported {
		return
	}
	e.unreported = true
	t.unreported = append(t.unreported, id)
}

// markCold makes a target cold and restarts its ramp.
func (t *Table) markCold(id ID) {
	if t.entries[id].MarkCold() {
		t.markUnreported(id)
	}
	t.updateCold(id)
}

// updateCold updates the set of cold targets after a change of the entry.
func (t *Table) updateCold(id ID) {
	e := &t.entries[id]
	if t.options.NoWarmUp {
		e.Cold = false
	}
	if e.Cold {
		t.cold[id] = true
		t.endRampIfWarm(id)
		return
	}
	delete(t.cold, id)
}

// endRampIfWarm marks a cold target as warm if its ramp is complete, and restarts its
// limit at this host's share of the slots.
func (t *Table) endRampIfWarm(id ID) {
	e := &t.entries[id]
	if e.Spec == nil || !e.EndRampIfWarm(e.Spec.MaxColdRequests, e.Spec.Slots, TurnAt(t.now.Wall)) {
		return
	}
	delete(t.cold, id)
	e.Limiter.Restart(FairShare(e.Spec.Slots, t.roster.hostCount()))
	t.markUnreported(id)
}

// coldBudget returns how many requests this host may have in progress at a cold target
// now, which is 0 outside its own turn.
func (t *Table) coldBudget(e *Entry) int {
	turn := TurnAt(t.now.Wall)
	if !turn.Open(t.now.Wall) || e.Stopped(turn) || !t.roster.holdsTurn(t.now, e.Spec.Name, turn.Number) {
		return 0
	}
	return e.Budget(e.Spec.MaxColdRequests, e.Spec.Slots)
}

// WarmLimit returns this host's concurrency limit at a usable warm target, 0 for any
// other target.
func (t *Table) WarmLimit(id ID) int {
	e := &t.entries[id]
	if !e.Usable() || e.Cold {
		return 0
	}
	return e.Limiter.Limit()
}
