package engine

import (
	"maps"
	"slices"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/once"
	"pollentack.example/pollentack/internal/core/result"
)

// handingOver is the state of a planned stop's handover. Calls for its tickets are
// parked from its beginning until every chunk has been taken or given up, and then
// sent on to the successor.
type handingOver struct {
	requested bool
	exported  bool
	chunks    map[uint64]*offer
	// lost counts the chunks that no candidate was offered.
	lost int
}

// offer is one chunk and the hosts that it may still be offered to.
type offer struct {
	chunk *once.Chunk
	hosts []string
}

func (h *handingOver) inProgress() bool {
	return h.requested && (!h.exported || len(h.chunks) > 0)
}

// HandedOver reports whether a requested handover has ended.
func (e *Engine) HandedOver() bool { return e.once.handing.requested && !e.once.handing.inProgress() }

func (e *Engine) handOver(now clock.Instant, ev *HandOver, fx *Effects) {
	e.once.handing.requested = true
	if ev.Force {
		e.export(now, fx)
		return
	}
	e.exportWhenIdle(now, fx)
}

// exportWhenIdle exports once the last run in progress has ended.
func (e *Engine) exportWhenIdle(now clock.Instant, fx *Effects) {
	if e.once.handing.requested && len(e.once.runs) == 0 {
		e.export(now, fx)
	}
}

func (e *Engine) export(now clock.Instant, fx *Effects) {
	h := &e.once.handing
	if h.exported {
		return
	}
	h.exported = true
	chunks := e.once.table.Export(now)
	for i := range chunks {
		c := &chunks[i]
		h.chunks[c.Number] = &offer{chunk: c, hosts: e.successors(c.Home)}
		e.offerNext(c.Number, fx)
	}
	e.unpark(now, fx)
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

// offerNext offers a chunk to its next candidate, or gives it up: its tickets are then
// answered as unknown by every host.
func (e *Engine) offerNext(number uint64, fx *Effects) {
	o := e.once.handing.chunks[number]
	if len(o.hosts) == 0 {
		delete(e.once.handing.chunks, number)
		e.once.handing.lost++
		return
	}
	fx.Handovers = append(fx.Handovers, Handover{To: o.hosts[0], Chunk: o.chunk})
	o.hosts = o.hosts[1:]
}

// handoverDone ends an offer. A chunk goes to another candidate only where the first is
// known never to have got it, so that no two processes hold one ticket.
func (e *Engine) handoverDone(now clock.Instant, ev *HandoverDone, fx *Effects) {
	if _, ok := e.once.handing.chunks[ev.Number]; !ok {
		return
	}
	if ev.NeverSent {
		e.offerNext(ev.Number, fx)
	} else {
		delete(e.once.handing.chunks, ev.Number)
	}
	e.unpark(now, fx)
}

// unpark sends the parked calls on once the handover has ended.
func (e *Engine) unpark(now clock.Instant, fx *Effects) {
	if e.once.handing.inProgress() {
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

func (e *Engine) takeOver(now clock.Instant, ev *TakeOver, fx *Effects) {
	answer := OnceAnswer{Key: ev.Key}
	if !e.once.table.Import(now, ev.Chunk) {
		answer.Code, answer.Detail = result.QueueFull, "the chunk was not taken"
	}
	fx.OnceAnswers = append(fx.OnceAnswers, answer)
}
