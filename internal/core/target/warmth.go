package target

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
)

const (
	// cleanWindow is how long a holder sends within its budget before it doubles it.
	cleanWindow = 500 * time.Millisecond
	// silenceLimit is how long requests may go unanswered before a reply counts as a
	// sign that the target was away.
	silenceLimit = 5 * time.Second
	// stepBits are the low bits of a Level that count its clean windows.
	stepBits = 8
	// maxStep bounds the doublings of the budget.
	maxStep = 30
)

// Level orders what hosts know of a target's warmth within one incarnation: the number
// of times that it turned cold, then the number of clean windows since. It only grows,
// so hosts agree by taking the highest.
type Level int32

// step returns the clean windows since the target last turned cold.
func (l Level) step() int { return min(int(l&(1<<stepBits-1)), maxStep) }

// nextCold returns the level of a target that turns cold once more.
func (l Level) nextCold() Level { return (l>>stepBits + 1) << stepBits }

// Sign is one observation of a target that bears on its warmth.
type Sign struct {
	// Incarnation is the target's own word, 0 where it gave none.
	Incarnation uint64
	// Cold is the target's own word.
	Cold bool
	// Answered tells that a whole reply arrived.
	Answered bool
	// Overload tells that the target declined the work.
	Overload bool
	// Disconnected tells that a connection was refused or broke.
	Disconnected bool
	// Local tells that the request ended on this host, so that the target's silence
	// means nothing.
	Local bool
}

// Warmth is what one host knows of a target's warmth. The zero value is a target that
// the host has not heard from.
type Warmth struct {
	Incarnation uint64
	Cold        bool
	Level       Level

	// heard is set by the first whole reply.
	heard bool
	// silentSince is when the first request after the last reply went unanswered.
	silentSince time.Duration
	// window is the turn in which this host last held the target.
	window window
}

// window is the part of a turn in which a holder watches its own requests.
type window struct {
	turn    int64
	begin   time.Duration
	replies int
	clean   int
	dirty   bool
}

// Known reports whether the host has heard the target's incarnation.
func (w *Warmth) Known() bool { return w.Incarnation != 0 }

// Heard reports whether the host knows anything of the target.
func (w *Warmth) Heard() bool { return w.heard || w.Known() }

// Chill makes the target cold, with its ramp at the start; it reports whether that is new.
func (w *Warmth) Chill() bool {
	w.window.dirty = true
	w.window.clean = 0
	if w.Cold && w.Level.step() == 0 {
		return false
	}
	w.Cold = true
	w.Level = w.Level.nextCold()
	return true
}

// Budget is the number of requests that the holder of a turn may have in progress: the
// published budget, doubled by each clean window.
func (w *Warmth) Budget(published, slots int) int {
	published = max(1, published)
	for range w.Level.step() {
		published *= 2
		if published >= slots {
			return max(1, slots)
		}
	}
	return published
}

// Observe takes one observation and reports whether the host's knowledge changed in a
// way that peers should hear of.
func (w *Warmth) Observe(now clock.Instant, s Sign) bool {
	if s.Disconnected {
		return w.Chill()
	}
	if s.Answered {
		w.heard = true
	}
	if s.Incarnation == 0 && !s.Answered {
		if !s.Local {
			w.observeSilence(now)
		}
		return false
	}
	if s.Incarnation < w.Incarnation {
		return false
	}
	changed := w.observeIncarnation(s)
	if w.silentSince != 0 && now.Mono-w.silentSince > silenceLimit {
		changed = w.Chill() || changed
	}
	w.silentSince = 0
	if s.Cold {
		return w.observeCold(s) || changed
	}
	if s.Overload {
		w.restartWindow(now)
	}
	if w.Cold && s.Answered {
		w.window.replies++
	}
	return changed
}

// observeIncarnation takes the target's incarnation. A new one is a restart, which
// leaves the target cold; the first that this host hears is none. A holder at the
// published budget goes on with its turn: what it has in progress is within the budget
// of any incarnation.
func (w *Warmth) observeIncarnation(s Sign) bool {
	if s.Incarnation == w.Incarnation {
		return false
	}
	restarted := w.Known()
	w.Incarnation = s.Incarnation
	if !restarted {
		return false
	}
	if !w.Cold || w.Level.step() > 0 {
		w.window.dirty = true
	}
	w.window.replies = 0
	w.window.clean = 0
	w.Cold = true
	w.Level = 0
	return true
}

// observeCold takes the target's own word that it is cold: the ramp starts again. A
// holder of the turn goes on at the published budget, unless the target declined work.
func (w *Warmth) observeCold(s Sign) bool {
	dirty := w.window.dirty || s.Overload
	known := w.Cold
	changed := w.Chill()
	if known {
		w.window.dirty = dirty
		w.window.replies = 0
	}
	return changed
}

// restartWindow begins the window again after a shed by a target that is not cold by its
// own word: its slots are in use, perhaps by hosts that have joined already.
func (w *Warmth) restartWindow(now clock.Instant) {
	w.window.begin = now.Mono
	w.window.replies = 0
}

func (w *Warmth) observeSilence(now clock.Instant) {
	w.window.dirty = true
	if w.silentSince == 0 {
		w.silentSince = now.Mono
	}
}

// Hear merges what a peer knows; the higher of incarnation and level wins. It reports
// whether that changed anything. A peer's word makes the target cold, but warm only
// through a level that stands for the whole ramp.
func (w *Warmth) Hear(incarnation uint64, level Level, cold bool) bool {
	if incarnation < w.Incarnation {
		return false
	}
	if incarnation == w.Incarnation && level <= w.Level {
		return false
	}
	colder := incarnation > w.Incarnation || level>>stepBits > w.Level>>stepBits
	switch {
	case !w.Known():
		w.Cold = cold
	case colder:
		w.Cold = true
		w.window.dirty = true
		w.window.clean = 0
	}
	w.Incarnation = incarnation
	w.Level = level
	return true
}

// Hold tells that this host sends in the turn. It opens a window, or ends one that ran
// its time, and reports whether the level rose.
func (w *Warmth) Hold(now clock.Instant, turn Turn) bool {
	if w.window.turn != turn.Number {
		w.window = window{turn: turn.Number, begin: now.Mono}
		return false
	}
	return w.endWindow(now)
}

// endWindow raises the level when the window ran its time with replies and no trouble.
func (w *Warmth) endWindow(now clock.Instant) bool {
	if w.window.dirty || w.window.replies == 0 || now.Mono-w.window.begin < cleanWindow {
		return false
	}
	w.window.begin = now.Mono
	w.window.replies = 0
	w.window.clean++
	if w.Level.step() < maxStep {
		w.Level++
	}
	return true
}

// Stopped reports whether the holder met trouble and sends no more in this turn.
func (w *Warmth) Stopped(turn Turn) bool { return w.window.turn == turn.Number && w.window.dirty }

// Settle ends the ramp where the target is known to bear its slots, or where this host
// held a turn with clean replies and no trouble. It reports whether the target is now
// warm for this host. Without any word from peers the hosts so join one a turn.
func (w *Warmth) Settle(published, slots int, turn Turn) bool {
	if !w.Cold {
		return false
	}
	ramped := w.Level.step() > 0 && w.Budget(published, slots) >= slots
	held := !w.window.dirty && w.window.clean+w.window.replies > 0 && w.window.turn < turn.Number
	if !ramped && !held {
		return false
	}
	if w.Level.step() == 0 {
		w.Level++
	}
	w.Cold = false
	return true
}
