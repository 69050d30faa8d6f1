package faultmatrix

import (
	"crypto/sha256"
	"fmt"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/once"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
)

const (
	onceService     = "fees"
	oncePeriod      = 60 * time.Millisecond
	onceResendDelay = 40 * time.Millisecond
	onceResends     = 2
	forwardTimeout  = 600 * time.Millisecond
	ticketLifetime  = time.Minute
)

// ticketRecord is what the observer has recorded about one non-idempotent request.
type ticketRecord struct {
	ticket      once.Ticket
	runsStarted int
	notRun      result.Code
	answers     int
	outputs     map[string]bool
}

func onceConfig(h *host) once.Config {
	return once.Config{
		Home:           hostName(h.index),
		Incarnation:    uint64(h.index*1000 + h.generation),
		Key:            []byte{byte(h.index), byte(h.generation)},
		Lifetime:       ticketLifetime,
		MaxRecords:     1000,
		MaxOutputBytes: 1 << 20,
	}
}

func onceItems() []release.Item {
	items := make([]release.Item, 0, 1+len(zones))
	items = append(items, release.Item{Op: release.Add, Service: &release.Service{
		Name: onceService, AtMostOnce: true, Policy: release.Policy{Deadline: queryDeadline},
	}})
	for i, zone := range zones {
		items = append(items, release.Item{Op: release.Add, Target: &release.Target{
			Name: onceTarget(i), Address: "127.0.0.1:1", Zone: zone, Service: onceService,
			Slots: targetSlots, MaxConnections: 45, MaxColdRequests: coldBudget,
		}})
	}
	return items
}

func onceTarget(i int) string { return fmt.Sprintf("fee-%d", i) }

// onceLoad requests a ticket from a random host every oncePeriod. Each ticket is then used
// through hosts that are chosen independently of it.
func (sim *simulation) onceLoad() {
	if sim.now > loadEnd {
		return
	}
	sim.requestTicket(sim.hosts[sim.rng.IntN(len(sim.hosts))])
	sim.after(oncePeriod, sim.onceLoad)
}

func (sim *simulation) requestTicket(h *host) {
	if h.dead || h.stopping {
		return
	}
	sim.inject(stepTicket, h, nil)
	req := &engine.TicketRequest{Key: sim.expectOnceAnswer(h, func(a *engine.OnceAnswer) {
		if a.Ticket == nil {
			return
		}
		sim.observer.tickets[a.Ticket.Ref] = &ticketRecord{ticket: *a.Ticket, outputs: map[string]bool{}}
		sim.useTicket(sim.observer.tickets[a.Ticket.Ref], onceResends)
	}), KeyHash: sha256.Sum256([]byte(callerKey)), Service: onceService}
	h.deliver(req)
}

// useTicket submits the request through a random host, and resends it the given number of
// times, onceResendDelay apart, through a random host each time.
func (sim *simulation) useTicket(record *ticketRecord, resends int) {
	h := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	if !h.dead && !h.stopping {
		ticket := record.ticket
		key := sim.expectOnceAnswer(h, func(a *engine.OnceAnswer) { sim.observer.ticketAnswered(record, a) })
		h.deliver(&engine.OnceSubmit{Request: &engine.OnceRequest{
			Key: key, KeyHash: sha256.Sum256([]byte(callerKey)), Service: onceService, Body: []byte("fee"), Ticket: &ticket,
		}})
	}
	if resends > 0 {
		sim.after(onceResendDelay, func() { sim.useTicket(record, resends-1) })
	}
}

// expectOnceAnswer registers a callback for an answer of the host and returns the request
// key to use. A host that has restarted since does not call back.
func (sim *simulation) expectOnceAnswer(h *host, answered func(*engine.OnceAnswer)) uint64 {
	sim.nextKey++
	generation := h.generation
	sim.onceWaiters[sim.nextKey] = func(a *engine.OnceAnswer) {
		if h.generation == generation {
			answered(a)
		}
	}
	return sim.nextKey
}

func (h *host) applyOnceEffects(fx *engine.OnceEffects) {
	for i := range fx.OnceAnswers {
		a := fx.OnceAnswers[i]
		if answered := h.sim.onceWaiters[a.Key]; answered != nil {
			delete(h.sim.onceWaiters, a.Key)
			h.sim.after(networkDelay, func() { answered(&a) })
		}
	}
	for i := range fx.RunSends {
		h.sendRun(fx.RunSends[i])
	}
	for i := range fx.Forwards {
		h.forward(fx.Forwards[i])
	}
	for i := range fx.HandoverOffers {
		h.sendHandover(fx.HandoverOffers[i])
	}
}

// sendRun delivers one run to its target.
func (h *host) sendRun(s engine.RunSend) {
	t := h.sim.targets[s.Spec.Name]
	h.sim.inject(stepConnect, h, t)
	generation := h.generation
	h.sim.after(networkDelay, func() { t.receiveRun(h, generation, s) })
}

func (t *fakeTarget) receiveRun(h *host, generation int, s engine.RunSend) {
	t.sim.inject(stepSend, h, t)
	r := &engine.AttemptResult{Target: s.Target}
	switch {
	case t.down:
		r.Outcome = engine.Unreachable
		r.Disconnected = true
	case t.shedding || len(t.running) >= targetSlots:
		r.Outcome = engine.Shed
	default:
		t.sim.observer.workReceived(h, t)
		t.run(h, generation, s)
		return
	}
	t.replyRun(h, generation, s, r)
}

func (t *fakeTarget) run(h *host, generation int, s engine.RunSend) {
	record := t.sim.observer.runStarted(s.Ticket)
	key := runKey{host: h.index, generation: generation, run: s.Run}
	t.running[key] = true
	incarnation := t.incarnation
	t.sim.after(usualWorkTime/2, func() { t.sim.inject(stepRunning, h, t) })
	t.sim.after(usualWorkTime, func() {
		r := &engine.AttemptResult{Target: s.Target, Outcome: engine.Lost, Disconnected: true}
		if t.incarnation == incarnation {
			t.endRun(key)
			r.Outcome = engine.Answered
			r.Disconnected = false
		}
		t.setTargetState(r)
		r.Snapshot.Layout = fmt.Sprintf("run %d", record.runsStarted)
		t.replyRun(h, generation, s, r)
	})
}

// replyRun delivers the end of a run to the host. A pending reply fault alters its
// outcome.
func (t *fakeTarget) replyRun(h *host, generation int, s engine.RunSend, r *engine.AttemptResult) {
	t.sim.inject(stepReply, h, t)
	for _, d := range t.applyReplyFault(r) {
		ev := &engine.RunResult{
			Run: s.Run, Try: s.Try, Target: s.Target, Outcome: d.reply.Outcome,
			Incarnation: d.reply.Incarnation, Cold: d.reply.Cold, Leaving: d.reply.Leaving,
			Disconnected: d.reply.Disconnected,
			Output:       []byte(r.Snapshot.Layout),
		}
		if d.reply.Attempt.Shard != r.Attempt.Shard {
			ev.Run++
		}
		t.sim.after(networkDelay+d.delay, func() {
			if h.generation == generation {
				h.deliver(ev)
			}
		})
	}
}

// forward delivers a request to the host that may hold its ticket, and the answer to the
// sender.
func (h *host) forward(f engine.Forward) {
	peer := h.sim.hostByName(f.Host)
	h.sim.inject(stepForward, h, nil)
	generation := h.generation
	done := false
	end := func(a *engine.OnceAnswer) {
		if h.generation == generation && !done {
			done = true
			h.deliver(&engine.ForwardDone{Key: f.Key, Answer: a})
		}
	}
	h.sim.after(forwardTimeout, func() { end(nil) })
	if peer.dead || h.sim.isCut(h.index, peer.index) {
		return
	}
	req := *f.Request
	req.Forwarded = true
	req.Key = h.sim.expectOnceAnswer(peer, func(a *engine.OnceAnswer) {
		if !h.sim.isCut(h.index, peer.index) {
			end(a)
		}
	})
	h.sim.after(networkDelay, func() { peer.deliver(&engine.OnceSubmit{Request: &req}) })
}

// sendHandover delivers a chunk of a stopping host's tickets to a successor.
func (h *host) sendHandover(x engine.HandoverOffer) {
	peer := h.sim.hostByName(x.Host)
	h.sim.inject(stepHandover, h, nil)
	generation := h.generation
	number := x.Chunk.Number
	end := func(neverSent bool) {
		if h.generation == generation {
			h.deliver(&engine.HandoverOfferDone{Number: number, NeverSent: neverSent})
		}
	}
	if peer.dead || h.sim.isCut(h.index, peer.index) {
		h.sim.after(networkDelay, func() { end(true) })
		return
	}
	key := h.sim.expectOnceAnswer(peer, func(*engine.OnceAnswer) { end(false) })
	h.sim.after(networkDelay, func() { peer.deliver(&engine.ImportChunk{Key: key, Chunk: x.Chunk}) })
	h.sim.after(forwardTimeout, func() { end(false) })
}

func (sim *simulation) hostByName(name string) *host {
	for _, h := range sim.hosts {
		if hostName(h.index) == name {
			return h
		}
	}
	return nil
}

// runStarted records that a target starts to run a non-idempotent request, and checks that
// it runs at most once.
func (o *observer) runStarted(ref once.Ref) *ticketRecord {
	record := o.tickets[ref]
	if record == nil {
		o.fail(checkOnce, "unknown ticket %v started to run", ref)
		return &ticketRecord{}
	}
	record.runsStarted++
	if record.runsStarted > 1 {
		o.fail(checkOnce, "ticket %v started to run %d times", ref, record.runsStarted)
	}
	o.verifyNotRun(record)
	return record
}

func (o *observer) ticketAnswered(record *ticketRecord, a *engine.OnceAnswer) {
	record.answers++
	switch {
	case a.Code == result.OK:
		record.outputs[string(a.Output)] = true
		if len(record.outputs) > 1 {
			o.fail(checkAnswer, "ticket %v has different outcomes: %v", record.ticket.Ref, record.outputs)
		}
	case a.Code.Kind() == result.NotRun:
		record.notRun = a.Code
		o.verifyNotRun(record)
	}
}

func (o *observer) verifyNotRun(record *ticketRecord) {
	if record.notRun != 0 && record.runsStarted > 0 {
		o.fail(checkNotRun, "ticket %v was refused as not run with %s, but started to run", record.ticket.Ref, record.notRun)
	}
}
