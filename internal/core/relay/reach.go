package relay

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
)

// A host may be cut off from all targets while its callers, the store and the other hosts still reach
// it. Each target then looks as if it had failed. What tells the two apart is that no target replies:
// the host counts as cut off once several are silent and none has replied since.

const (
	// minSilentTargets is the number of silent targets from which on the cause is this host's side.
	// Where fewer are published, all must be silent, and at least minSilentOfFew.
	minSilentTargets = 4
	minSilentOfFew   = 2
	// minSilence is the least time without a reply. Targets pause for a moment, each at its own
	// time.
	minSilence = 100 * time.Millisecond
)

// reach is what a host knows of its own way to the targets.
type reach struct {
	// contactAt is when a target last replied.
	contactAt time.Duration
	// silent holds the targets to which an attempt of this host has failed or been late since. since
	// is when the first of these attempts was sent, contactAt if that is later.
	silent map[*target]bool
	since  time.Duration
	// cutOff is set once enough targets are silent, until one replies.
	cutOff bool
}

// observeSilence notes that an attempt of this host to a target failed or is late.
func (e *Engine) observeSilence(now clock.Instant, a *attempt, fx *Effects) {
	if a.via != nil || a.target.removed {
		return
	}
	since := max(a.sent, e.reach.contactAt)
	if len(e.reach.silent) == 0 || since < e.reach.since {
		e.reach.since = since
	}
	e.reach.silent[a.target] = true
	needed := max(minSilentOfFew, min(minSilentTargets, len(e.targets)))
	if e.reach.cutOff || len(e.reach.silent) < needed || now.Mono-e.reach.since < minSilence {
		return
	}
	e.reach.cutOff = true
	e.counters.CutOffs++
	fx.Records = append(fx.Records, decision.Warning("targets_unreachable",
		decision.Int("silent", len(e.reach.silent)), decision.Int("targets", len(e.targets)), decision.Millis("silent_for", now.Mono-e.reach.since)))
}

// observeContact notes that a target has replied to this host.
func (e *Engine) observeContact(now clock.Instant, fx *Effects) {
	clear(e.reach.silent)
	e.reach.contactAt = now.Mono
	if !e.reach.cutOff {
		return
	}
	e.reach.cutOff = false
	fx.Records = append(fx.Records, decision.New("targets_reached", decision.Millis("cut_off_for", now.Mono-e.reach.since)))
}
