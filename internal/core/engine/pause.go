package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/result"
)

const (
	// heldLimit is how long a new query waits for a word after a late wake.
	heldLimit = 250 * time.Millisecond
	// wordPause is the time between looks at work in progress that may not be sent on.
	wordPause = 20 * time.Millisecond
)

// Word tells that the platform or a peer was reached at or after Since.
type Word struct{ Since time.Duration }

func (*Word) event() {}

// pause notices that the host woke late, acting on an old view: expired work ends first,
// new requests are held, and nothing is sent to a target until the platform or a peer
// was reached since the wake.
type pause struct {
	started bool
	stepped time.Duration
	woken   time.Duration
	waiting bool
	held    []heldEvent
	// skipped is the sum of all late gaps, for which callers gain no tokens.
	skipped time.Duration
}

// heldEvent is a Submit or an OnceSubmit that waits.
type heldEvent struct {
	event Event
	until time.Duration
}

// noticeGap compares the time since the last step with the bound of the configuration.
func (e *Engine) noticeGap(now clock.Instant, fx *Effects) {
	p := &e.pause
	gap := now.Mono - p.stepped
	late := p.started && e.cfg.MaxGap > 0 && gap > e.cfg.MaxGap
	p.started, p.stepped = true, now.Mono
	if late {
		p.skipped += gap
		p.waiting, p.woken = true, now.Mono
		e.counters.LateWakes++
		fx.WordWanted = now.Mono
	}
}

// credited returns the monotonic time without the late gaps.
func (p *pause) credited(now clock.Instant) time.Duration { return now.Mono - p.skipped }

// hold keeps new work back while a word is awaited, and reports whether it did. The
// wait also ends where the caller of held work is gone.
func (e *Engine) hold(now clock.Instant, ev Event, fx *Effects) bool {
	if !e.pause.waiting || e.isolated {
		return false
	}
	switch ev := ev.(type) {
	case *Submit, *OnceSubmit:
		h := heldEvent{event: ev, until: now.Mono + heldLimit}
		if len(e.pause.held) >= e.cfg.MaxQueries {
			e.refuseHeld(h, result.QueueFull, "too many requests wait for a word after a late wake", fx)
			return true
		}
		e.pause.held = append(e.pause.held, h)
		return true
	case *CallerGone:
		return e.dropHeld(ev.Key)
	}
	return false
}

// refuseHeld refuses held work. A query is known not to have run; of a request with a
// ticket an earlier copy may have.
func (e *Engine) refuseHeld(h heldEvent, code result.Code, detail string, fx *Effects) {
	switch ev := h.event.(type) {
	case *Submit:
		e.refuse(ev.Request.Key, code, detail, fx)
	case *OnceSubmit:
		e.counters.Refusals++
		fx.OnceAnswers = append(fx.OnceAnswers, OnceAnswer{Key: ev.Request.Key, Code: result.OutcomeUnknown, Detail: detail + "; send it again"})
	}
}

// word ends the wait, and starts what was held, unless the host has woken late again
// since the word was asked for.
func (e *Engine) word(now clock.Instant, ev *Word, fx *Effects) {
	if !e.pause.waiting || ev.Since < e.pause.woken {
		return
	}
	e.pause.waiting = false
	e.startHeld(now, fx)
}

func (e *Engine) startHeld(now clock.Instant, fx *Effects) {
	held := e.pause.held
	e.pause.held = nil
	for _, h := range held {
		switch ev := h.event.(type) {
		case *Submit:
			e.submit(now, ev.Request, fx)
		case *OnceSubmit:
			e.submitOnce(now, ev.Request, fx)
		}
	}
}

// isolation takes the membership's verdict; what is held meanwhile is refused by it.
func (e *Engine) isolation(now clock.Instant, ev *Isolation, fx *Effects) {
	e.isolated = ev.Isolated
	if ev.Isolated {
		e.startHeld(now, fx)
	}
}

// expireHeld refuses what has been held for too long: no target has seen it.
func (e *Engine) expireHeld(now clock.Instant, fx *Effects) {
	p := &e.pause
	for len(p.held) > 0 && p.held[0].until <= now.Mono {
		e.refuseHeld(p.held[0], result.Isolated, "the host woke late and has reached neither the platform nor a peer since", fx)
		p.held = p.held[1:]
	}
}

// dropHeld forgets a held query whose caller is gone, and reports whether there was one.
func (e *Engine) dropHeld(key uint64) bool {
	for i := range e.pause.held {
		if submit, ok := e.pause.held[i].event.(*Submit); ok && submit.Request.Key == key {
			e.pause.held = append(e.pause.held[:i:i], e.pause.held[i+1:]...)
			return true
		}
	}
	return false
}

// pauseWake returns when the engine must be stepped so that a gap between steps means a
// late wake, and false where it does not look for gaps.
func (e *Engine) pauseWake() (time.Duration, bool) {
	if e.cfg.MaxGap <= 0 {
		return 0, false
	}
	next := e.pause.stepped + e.cfg.MaxGap/2
	if len(e.pause.held) > 0 {
		next = min(next, e.pause.held[0].until)
	}
	return next, true
}
