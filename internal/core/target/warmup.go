package target

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
)

const (
	// windowLength is how long a holder must send without a failure before its budget
	// doubles.
	windowLength = 500 * time.Millisecond
	// maxSilence is how long requests may go unanswered before the next reply counts as a
	// sign that the target was unavailable and may be cold.
	maxSilence = 5 * time.Second
	// stepBits is the number of low bits of a Level that count its clean windows.
	stepBits = 8
	// maxStep bounds the doublings of the budget.
	maxStep = 30
)

// Level is a version of the warm-up state of a target within one incarnation: in the high
// bits, how often the target turned cold; in the low bits, the clean windows since then. It
// only grows, so hosts converge on the highest one.
type Level int32

// step returns the number of clean windows since the target last turned cold, at most
// maxStep.
func (l Level) step() int { return min(int(l&(1<<stepBits-1)), maxStep) }

// nextCold returns the level of a target that turns cold once more.
func (l Level) nextCold() Level { return (l>>stepBits + 1) << stepBits }

// Observation is what the end of one request shows about a target's warm-up state.
type Observation struct {
	// Incarnation is reported by the target, 0 if it reported none.
	Incarnation uint64
	// Cold is reported by the target.
	Cold bool
	// Answered is set if a complete reply arrived.
	Answered bool
	// Shed is set if the target shed the request.
	Shed bool
	// Disconnected is set if the connection was refused or broke.
	Disconnected bool
	// Local is set if the request ended on this host, so that the missing reply says
	// nothing about the target.
	Local bool
}

// WarmUp is one host's warm-up state of a target. The zero value is the state of a target
// of which the host knows nothing.
type WarmUp struct {
	Incarnation uint64
	Cold        bool
	Level       Level

	// replied is set by the first complete reply.
	replied bool
	// unansweredSince is the time at which the first request since the last reply went
	// unanswered, 0 if none did.
	unansweredSince time.Duration
	// window is the turn in which this host last held the target.
	window window
}

// window tracks the requests of a holder within one turn.
type window struct {
	// turn is the number of the turn.
	turn         int64
	start        time.Duration
	replies      int
	cleanWindows int
	failed       bool
}

// IncarnationKnown reports whether the host knows the target's incarnation.
func (w *WarmUp) IncarnationKnown() bool { return w.Incarnation != 0 }

// Contacted reports whether the host knows the incarnation or has had a complete reply.
func (w *WarmUp) Contacted() bool { return w.replied || w.IncarnationKnown() }

// MarkCold makes the target cold and restarts its ramp. It reports whether the state
// changed.
func (w *WarmUp) MarkCold() bool {
	w.window.failed = true
	w.window.cleanWindows = 0
	if w.Cold && w.Level.step() == 0 {
		return false
	}
	w.Cold = true
	w.Level = w.Level.nextCold()
	return true
}

// Budget returns the number of requests that the holder of a turn may have in progress: the
// published budget, doubled by each clean window, up to slots.
func (w *WarmUp) Budget(published, slots int) int {
	published = max(1, published)
	for range w.Level.step() {
		published *= 2
		if published >= slots {
			return max(1, slots)
		}
	}
	return published
}

// Observe applies one observation and reports whether the state changed in a way that must
// be reported to peers.
func (w *WarmUp) Observe(now clock.Instant, o Observation) bool {
	if o.Disconnected {
		return w.MarkCold()
	}
	if o.Answered {
		w.replied = true
	}
	if o.Incarnation == 0 && !o.Answered {
		if !o.Local {
			w.observeNoReply(now)
		}
		return false
	}
	if o.Incarnation < w.Incarnation {
		return false
	}
	changed := w.observeIncarnation(o)
	if w.unansweredSince != 0 && now.Mono-w.unansweredSince > maxSilence {
		changed = w.MarkCold() || changed
	}
	w.unansweredSince = 0
	if o.Cold {
		return w.observeCold(o) || changed
	}
	if o.Shed {
		w.restartWindow(now)
	}
	if w.Cold && o.Answered {
		w.window.replies++
	}
	return changed
}

// observeIncarnation applies the incarnation that the target reported. A new one means a
// restart, after which the target is cold, except for the first one that this host learns.
// A holder at the published budget continues its turn, because its requests in progress are
// within the budget of any incarnation.
func (w *WarmUp) observeIncarnation(o Observation) bool {
	if o.Incarnation == w.Incarnation {
		return false
	}
	restarted := w.IncarnationKnown()
	w.Incarnation = o.Incarnation
	if !restarted {
		return false
	}
	if !w.Cold || w.Level.step() > 0 {
		w.window.failed = true
	}
	w.window.replies = 0
	w.window.cleanWindows = 0
	w.Cold = true
	w.Level = 0
	return true
}

// observeCold applies a report of the target that it is cold: the ramp restarts. If it was
// known to be cold, the holder of the turn continues at the published budget, unless the
// target shed the request.
func (w *WarmUp) observeCold(o Observation) bool {
	failed := w.window.failed || o.Shed
	wasCold := w.Cold
	changed := w.MarkCold()
	if wasCold {
		w.window.failed = failed
		w.window.replies = 0
	}
	return changed
}

// restartWindow restarts the window after a target that does not report itself as cold has
// shed a request: its slots are in use, perhaps by hosts for which it is already warm.
func (w *WarmUp) restartWindow(now clock.Instant) {
	w.window.start = now.Mono
	w.window.replies = 0
}

// observeNoReply records a request without a reply, which ends the turn of a holder.
func (w *WarmUp) observeNoReply(now clock.Instant) {
	w.window.failed = true
	if w.unansweredSince == 0 {
		w.unansweredSince = now.Mono
	}
}

// MergePeer merges a peer's state and reports whether anything changed. The higher
// incarnation wins, then the higher level. A peer's state can make the target cold, but
// warm only by a level at which the ramp is complete.
func (w *WarmUp) MergePeer(incarnation uint64, level Level, cold bool) bool {
	if incarnation < w.Incarnation {
		return false
	}
	if incarnation == w.Incarnation && level <= w.Level {
		return false
	}
	restarted := incarnation > w.Incarnation || level>>stepBits > w.Level>>stepBits
	switch {
	case !w.IncarnationKnown():
		w.Cold = cold
	case restarted:
		w.Cold = true
		w.window.failed = true
		w.window.cleanWindows = 0
	}
	w.Incarnation = incarnation
	w.Level = level
	return true
}

// RecordSend records that this host sends a request in the turn. It starts the window of
// the turn, or completes one that is due, and reports whether the level rose.
func (w *WarmUp) RecordSend(now clock.Instant, turn Turn) bool {
	if w.window.turn != turn.Number {
		w.window = window{turn: turn.Number, start: now.Mono}
		return false
	}
	return w.completeWindow(now)
}

// completeWindow raises the level and starts the next window if the current one has lasted
// windowLength, with replies and without a failure. It reports whether it did so.
func (w *WarmUp) completeWindow(now clock.Instant) bool {
	if w.window.failed || w.window.replies == 0 || now.Mono-w.window.start < windowLength {
		return false
	}
	w.window.start = now.Mono
	w.window.replies = 0
	w.window.cleanWindows++
	if w.Level.step() < maxStep {
		w.Level++
	}
	return true
}

// Stopped reports whether this host, as the holder, saw a failure and sends no more in this
// turn.
func (w *WarmUp) Stopped(turn Turn) bool { return w.window.turn == turn.Number && w.window.failed }

// EndRampIfWarm ends the ramp if the budget has reached the slots, or if this host held an
// earlier turn with replies and without a failure. It reports whether the target is now
// warm for this host. Without reports from peers, the hosts thus start to use the target
// one per turn.
func (w *WarmUp) EndRampIfWarm(published, slots int, turn Turn) bool {
	if !w.Cold {
		return false
	}
	ramped := w.Level.step() > 0 && w.Budget(published, slots) >= slots
	held := !w.window.failed && w.window.cleanWindows+w.window.replies > 0 && w.window.turn < turn.Number
	if !ramped && !held {
		return false
	}
	if w.Level.step() == 0 {
		w.Level++
	}
	w.Cold = false
	return true
}
