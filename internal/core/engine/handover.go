package engine

import (
	"maps"
	"slices"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/once"
	"pollentack.example/pollentack/internal/core/result"
)

// handoverState is the state of the handover of tickets during a planned stop. Calls for
// these tickets are parked from the request until the offers of all chunks have ended, and
// then forwarded to the successors.
type handoverState struct {
	requested bool
	exported  bool
	chunks    map[uint64]*chunkOffer
	// abandoned counts the chunks for which no candidate was left.
	abandoned int
}

// chunkOffer is a chunk and the candidates to which it can still be offered.
type chunkOffer struct {
	chunk      *once.HandoverChunk
	candidates []string
}

func (h *handoverState) inProgress() bool {
	return h.requested && (!h.exported || len(h.chunks) > 0)
}

// HandoverEnded reports whether a handover was requested and has ended.
func (e *Engine) HandoverEnded() bool {
	return e.once.handover.requested && !e.once.handover.inProgress()
}

func (e *Engine) startHandover(now clock.Instant, ev *StartHandover, fx *Effects) {
	e.once.handover.requested = true
	if ev.Force {
		e.exportTickets(now, fx)
		return
	}
	e.exportWhenIdle(now, fx)
}

// exportWhenIdle exports the tickets if a handover was requested and no run is in
// progress.
func (e *Engine) exportWhenIdle(now clock.Instant, fx *Effects) {
	if e.once.handover.requested && len(e.once.runs) == 0 {
		e.exportTickets(now, fx)
	}
}

func (e *Engine) exportTickets(now clock.Instant, fx *Effects) {
	h := &e.once.handover
	if h.exported {
		return
	}
	h.exported = true
	chunks := e.once.table.Export(now)
	for i := range chunks {
		c := &chunks[i]
		h.chunks[c.Number] = &chunkOffer{chunk: c, candidates: e.successors(c.Home)}
		e.offerNext(c.Number, fx)
	}
	e.resumeParkedCalls(now, fx)
}

func (e *Engine) successors(home string) []string {
	if e.state == nil {
		return nil
	}
	hosts := once.Successors(home, e.state.Hosts)
	kept := hosts[:0]
	for _, host := range hosts {
		if host != e.cfg.Host {
			kept = append(kept, host)
		}
	}
	return kept
}

// offerNext offers a chunk to its next candidate. A chunk without one is abandoned, and
// no host can then give the outcome of its tickets.
func (e *Engine) offerNext(number uint64, fx *Effects) {
	o := e.once.handover.chunks[number]
	if len(o.candidates) == 0 {
		delete(e.once.handover.chunks, number)
		e.once.handover.abandoned++
		return
	}
	fx.HandoverOffers = append(fx.HandoverOffers, HandoverOffer{Host: o.candidates[0], Chunk: o.chunk})
	o.candidates = o.candidates[1:]
}

// handoverDone handles the end of an offer. A chunk is offered to another candidate only
// if it was never sent to the previous one, so that two processes never hold the same
// ticket.
func (e *Engine) handoverDone(now clock.Instant, ev *HandoverOfferDone, fx *Effects) {
	if _, ok := e.once.handover.chunks[ev.Number]; !ok {
		return
	}
	if ev.NeverSent {
		e.offerNext(ev.Number, fx)
	} else {
		delete(e.once.handover.chunks, ev.Number)
	}
	e.resumeParkedCalls(now, fx)
}

// resumeParkedCalls routes the parked calls once the handover has ended.
func (e *Engine) resumeParkedCalls(now clock.Instant, fx *Effects) {
	if e.once.handover.inProgress() {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(e.once.calls)) {
		call := e.once.calls[key]
		if call.parked {
			call.parked = false
			e.routeOnce(now, call, fx)
		}
	}
}

func (e *Engine) importChunk(now clock.Instant, ev *ImportChunk, fx *Effects) {
	answer := OnceAnswer{Key: ev.Key}
	if !e.once.table.Import(now, ev.Chunk) {
		answer.Code, answer.Detail = result.QueueFull, "the chunk was not taken"
	}
	fx.OnceAnswers = append(fx.OnceAnswers, answer)
}
