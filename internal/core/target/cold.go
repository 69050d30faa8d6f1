package target

import (
	"maps"
	"slices"
	"time"
)

// Grant is the leave to send one request to a target.
type Grant struct {
	// Incarnation is the one that the host believes is running, 0 for none heard.
	Incarnation uint64
	// Check asks to compare the incarnation over a new connection before the request. A
	// request within the published budget needs none: any incarnation bears it.
	Check bool
	// Turn is set for a cold target: the target refuses the request after Turn.Ends.
	Turn *Turn
}

// Grant returns what a request that goes to the target now must carry.
func (t *Table) Grant(id ID) Grant {
	e := &t.entries[id]
	ramped := !e.Cold || e.Level.step() > 0
	g := Grant{Incarnation: e.Incarnation, Check: ramped && !e.healthLies && !t.options.NoWarmUp}
	if e.Cold {
		turn := TurnAt(t.now.Wall)
		g.Turn = &turn
	}
	return g
}

// MonoOf converts a wall-clock time to the monotonic clock, as they stand in this step.
func (t *Table) MonoOf(wall time.Duration) time.Duration { return t.now.Mono + wall - t.now.Wall }

// runReserve is what must be left of a turn for a request that runs at most once.
const runReserve = TurnLength / 2

// PickRun is Pick for a request that runs at most once. It goes to a cold target only
// early in the turn: the turn's end would leave the outcome of a long one unknown.
func (t *Table) PickRun(replicas []ID, avoid ID) ID {
	early := TurnAt(t.now.Wall).Ends-t.now.Wall >= runReserve
	fit := make([]ID, 0, len(replicas))
	for _, id := range replicas {
		if early || !t.entries[id].Cold {
			fit = append(fit, id)
		}
	}
	id, _ := t.Pick(fit, avoid)
	return id
}

// NextTurn returns when the next turn opens, on the monotonic clock, and false where no
// target is cold.
func (t *Table) NextTurn() (time.Duration, bool) {
	if len(t.cold) == 0 {
		return 0, false
	}
	return t.MonoOf(nextOpening(t.now.Wall)), true
}

// SettleAll ends the ramp of every cold target that has become warm.
func (t *Table) SettleAll() {
	for _, id := range slices.Sorted(maps.Keys(t.cold)) {
		t.settle(id)
	}
}

// Observe takes a first-hand observation of the target.
func (t *Table) Observe(id ID, s Sign) {
	e := &t.entries[id]
	incarnation := e.Incarnation
	changed := e.Observe(t.now, s)
	if e.Incarnation != incarnation && e.Spec != nil && t.byName[e.Spec.Name] == id {
		e.Leaving = e.Spec.Leaving
		e.SaidLeaving = false
		e.Latency = 0
	}
	if s.Answered && s.Incarnation != 0 && s.Incarnation < e.claimed {
		e.healthLies = true
	}
	if s.Overload {
		e.Limiter.Shed(t.now.Mono)
	}
	if changed {
		t.tell(id)
	}
	t.track(id)
}

// ObserveHealth takes a health endpoint's word. It lags and may mislead, so it makes a
// target cold at most once for each incarnation that it claims, never warm, and counts
// for nothing once a reply has contradicted it.
func (t *Table) ObserveHealth(id ID, incarnation uint64, cold bool) {
	e := &t.entries[id]
	if e.healthLies || incarnation <= e.claimed {
		return
	}
	if e.Heard() && incarnation <= e.Incarnation {
		return
	}
	e.claimed = incarnation
	if e.Heard() || cold {
		t.chill(id)
	}
}

// ObserveLeaving takes the word of the target, or of a peer, that it is leaving.
func (t *Table) ObserveLeaving(id ID) {
	e := &t.entries[id]
	if e.SaidLeaving {
		return
	}
	e.Leaving = true
	e.SaidLeaving = true
	t.tell(id)
}

// Hear merges what a peer knows of the target.
func (t *Table) Hear(id ID, incarnation uint64, level Level, cold, leaving bool) {
	e := &t.entries[id]
	if incarnation < e.Incarnation {
		return
	}
	if e.Hear(incarnation, level, cold) {
		t.tell(id)
	}
	if leaving {
		t.ObserveLeaving(id)
	}
	t.track(id)
}

// News calls tell for each target whose newest facts peers have not heard, once.
func (t *Table) News(tell func(*Entry)) {
	for _, id := range t.news {
		e := &t.entries[id]
		e.changed = false
		if e.Spec != nil {
			tell(e)
		}
	}
	t.news = t.news[:0]
}

func (t *Table) tell(id ID) {
	e := &t.entries[id]
	if e.changed {
		return
	}
	e.changed = true
	t.news = append(t.news, id)
}

// chill makes a target cold.
func (t *Table) chill(id ID) {
	if t.entries[id].Chill() {
		t.tell(id)
	}
	t.track(id)
}

// track keeps the set of cold targets in line with the entry.
func (t *Table) track(id ID) {
	e := &t.entries[id]
	if t.options.NoWarmUp {
		e.Cold = false
	}
	if e.Cold {
		t.cold[id] = true
		t.settle(id)
		return
	}
	delete(t.cold, id)
}

// settle lets a target that has become warm take this host's share.
func (t *Table) settle(id ID) {
	e := &t.entries[id]
	if e.Spec == nil || !e.Settle(e.Spec.ColdBudget, e.Spec.Slots, TurnAt(t.now.Wall)) {
		return
	}
	delete(t.cold, id)
	e.Limiter.Restart(FairShare(e.Spec.Slots, t.roster.size()))
	t.tell(id)
}

// coldBudget returns how many requests this host may have in progress at a cold target
// now: none but in its own turn.
func (t *Table) coldBudget(e *Entry) int {
	turn := TurnAt(t.now.Wall)
	if !turn.Open(t.now.Wall) || e.Stopped(turn) || !t.roster.holds(t.now, e.Spec.Name, turn.Number) {
		return 0
	}
	return e.Budget(e.Spec.ColdBudget, e.Spec.Slots)
}

// WarmLimit returns this host's limit at a usable warm target, else 0.
func (t *Table) WarmLimit(id ID) int {
	e := &t.entries[id]
	if !e.Usable() || e.Cold {
		return 0
	}
	return e.Limiter.Limit()
}
