package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/result"
)

const (
	// maxHoldTime is how long a new request is held after a process pause.
	maxHoldTime = 250 * time.Millisecond
	// contactCheckInterval is the time between two checks whether a parked shard may be
	// sent again after a process pause.
	contactCheckInterval = 20 * time.Millisecond
)

// ContactConfirmed confirms that the platform or a peer was reached at or after Since.
type ContactConfirmed struct{ Since time.Duration }

func (*ContactConfirmed) event() {}

// pauseState detects that the process was paused, after which the engine's view of the
// fleet may be out of date. Expired queries are ended first, new requests are held, and
// nothing is sent to a target until the platform or a peer has been reached again.
type pauseState struct {
	started         bool
	lastStep        time.Duration
	resumedAt       time.Duration
	awaitingContact bool
	held            []heldEvent
	// totalGap is the sum of all pauses, during which callers earn no rate tokens.
	totalGap time.Duration
}

// heldEvent is a held Submit or OnceSubmit.
type heldEvent struct {
	event Event
	until time.Duration
}

// detectPause treats a time since the last step of more than MaxStepGap as a process
// pause.
func (e *Engine) detectPause(now clock.Instant, fx *Effects) {
	p := &e.pause
	gap := now.Mono - p.lastStep
	paused := p.started && e.cfg.MaxStepGap > 0 && gap > e.cfg.MaxStepGap
	p.started, p.lastStep = true, now.Mono
	if paused {
		p.totalGap += gap
		p.awaitingContact, p.resumedAt = true, now.Mono
		e.counters.ProcessPauses++
		fx.ContactRequiredSince = now.Mono
	}
}

// activeTime returns the monotonic time without the pauses.
func (p *pauseState) activeTime(now clock.Instant) time.Duration { return now.Mono - p.totalGap }

// holdNewRequest holds a new request while contact is awaited, or removes the held query
// of a caller that no longer waits. It reports whether it has handled the event.
func (e *Engine) holdNewRequest(now clock.Instant, ev Event, fx *Effects) bool {
	if !e.pause.awaitingContact || e.isolated {
		return false
	}
	switch ev := ev.(type) {
	case *Submit, *OnceSubmit:
		h := heldEvent{event: ev, until: now.Mono + maxHoldTime}
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

// refuseHeld refuses a held request. A query is known not to have run, but an earlier
// copy of a request with a ticket may have run.
func (e *Engine) refuseHeld(h heldEvent, code result.Code, detail string, fx *Effects) {
	switch ev := h.event.(type) {
	case *Submit:
		e.refuse(ev.Request.Key, code, detail, fx)
	case *OnceSubmit:
		e.counters.Refusals++
		fx.OnceAnswers = append(fx.OnceAnswers, OnceAnswer{Key: ev.Request.Key, Code: result.OutcomeUnknown, Detail: detail + "; send it again"})
	}
}

// contactConfirmed submits the held requests, unless the process was paused again after
// the time of the contact.
func (e *Engine) contactConfirmed(now clock.Instant, ev *ContactConfirmed, fx *Effects) {
	if !e.pause.awaitingContact || ev.Since < e.pause.resumedAt {
		return
	}
	e.pause.awaitingContact = false
	e.submitHeld(now, fx)
}

func (e *Engine) submitHeld(now clock.Instant, fx *Effects) {
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

// setIsolation sets whether the host is isolated. If it is, the held requests are
// submitted, and so refused.
func (e *Engine) setIsolation(now clock.Instant, ev *Isolation, fx *Effects) {
	e.isolated = ev.Isolated
	if ev.Isolated {
		e.submitHeld(now, fx)
	}
}

// expireHeld refuses the requests that were held for too long. No target has received
// them.
func (e *Engine) expireHeld(now clock.Instant, fx *Effects) {
	p := &e.pause
	for len(p.held) > 0 && p.held[0].until <= now.Mono {
		e.refuseHeld(p.held[0], result.Isolated, "the host woke late and has reached neither the platform nor a peer since", fx)
		p.held = p.held[1:]
	}
}

// dropHeld removes a held query whose caller no longer waits, and reports whether there
// was one.
func (e *Engine) dropHeld(key uint64) bool {
	for i := range e.pause.held {
		if submit, ok := e.pause.held[i].event.(*Submit); ok && submit.Request.Key == key {
			e.pause.held = append(e.pause.held[:i:i], e.pause.held[i+1:]...)
			return true
		}
	}
	return false
}

// pauseCheckDue returns when the engine must next be stepped, and false if pauses are not
// detected. Regular steps ensure that a longer gap between two steps is a process pause.
func (e *Engine) pauseCheckDue() (time.Duration, bool) {
	if e.cfg.MaxStepGap <= 0 {
		return 0, false
	}
	next := e.pause.lastStep + e.cfg.MaxStepGap/2
	if len(e.pause.held) > 0 {
		next = min(next, e.pause.held[0].until)
	}
	return next, true
}
