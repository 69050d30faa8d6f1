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
	feeService     = "fees"
	feePeriod      = 60 * time.Millisecond
	feeResendAfter = 40 * time.Millisecond
	feeResends     = 2
	forwardTimeout = 600 * time.Millisecond
	ticketLifetime = time.Minute
)

// fee is one request that may not be repeated, as its caller and the targets see it.
type fee struct {
	ticket  once.Ticket
	began   int
	notRun  result.Code
	answers int
	outputs map[string]bool
}

func onceConfig(h *host) once.Config {
	return once.Config{
		Home:           hostName(h.index),
		Incarnation:    uint64(h.index*1000 + h.life),
		Key:            []byte{byte(h.index), byte(h.life)},
		Lifetime:       ticketLifetime,
		MaxRecords:     1000,
		MaxOutputBytes: 1 << 20,
	}
}

func feeItems() []release.Item {
	items := make([]release.Item, 0, 1+len(zones))
	items = append(items, release.Item{Op: release.Add, Service: &release.Service{
		Name: feeService, Once: true, Policy: release.Policy{Deadline: queryDeadline},
	}})
	for i, zone := range zones {
		items = append(items, release.Item{Op: release.Add, Target: &release.Target{
			Name: feeTarget(i), Address: "127.0.0.1:1", Zone: zone, Service: feeService,
			Slots: targetSlots, Connections: 45, ColdBudget: coldBudget,
		}})
	}
	return items
}

func feeTarget(i int) string { return fmt.Sprintf("fee-%d", i) }

// feeLoad gets tickets at one host and uses them through another, again and again.
func (w *world) feeLoad() {
	if w.now > loadEnds {
		return
	}
	w.mint(w.hosts[w.rng.IntN(len(w.hosts))])
	w.after(feePeriod, w.feeLoad)
}

func (w *world) mint(h *host) {
	if h.dead || h.stopping {
		return
	}
	w.inject(stepTicket, h, nil)
	req := &engine.TicketRequest{Key: w.ask(h, func(a *engine.OnceAnswer) {
		if a.Ticket == nil {
			return
		}
		w.observer.fees[a.Ticket.Ref] = &fee{ticket: *a.Ticket, outputs: map[string]bool{}}
		w.useTicket(w.observer.fees[a.Ticket.Ref], feeResends)
	}), KeyHash: sha256.Sum256([]byte(callerKey)), Service: feeService}
	h.deliver(req)
}

// useTicket sends the request through any host, and again before the first run can end.
func (w *world) useTicket(f *fee, resends int) {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	if !h.dead && !h.stopping {
		ticket := f.ticket
		key := w.ask(h, func(a *engine.OnceAnswer) { w.observer.feeAnswered(f, a) })
		h.deliver(&engine.OnceSubmit{Request: &engine.OnceRequest{
			Key: key, KeyHash: sha256.Sum256([]byte(callerKey)), Service: feeService, Body: []byte("fee"), Ticket: &ticket,
		}})
	}
	if resends > 0 {
		w.after(feeResendAfter, func() { w.useTicket(f, resends-1) })
	}
}

// ask registers who waits for an answer of the host and returns its key.
func (w *world) ask(h *host, answered func(*engine.OnceAnswer)) uint64 {
	w.nextKey++
	life := h.life
	w.asked[w.nextKey] = func(a *engine.OnceAnswer) {
		if h.life == life {
			answered(a)
		}
	}
	return w.nextKey
}

func (h *host) carryOutOnce(fx *engine.OnceEffects) {
	for i := range fx.OnceAnswers {
		a := fx.OnceAnswers[i]
		if answered := h.w.asked[a.Key]; answered != nil {
			delete(h.w.asked, a.Key)
			h.w.after(networkDelay, func() { answered(&a) })
		}
	}
	for i := range fx.RunSends {
		h.runSend(fx.RunSends[i])
	}
	for i := range fx.Forwards {
		h.forward(fx.Forwards[i])
	}
	for i := range fx.Handovers {
		h.handOver(fx.Handovers[i])
	}
}

// runSend carries one run to its target and its end back.
func (h *host) runSend(s engine.RunSend) {
	t := h.w.targets[s.Spec.Name]
	h.w.inject(stepConnect, h, t)
	life := h.life
	h.w.after(networkDelay, func() { t.arriveRun(h, life, s) })
}

func (t *fakeTarget) arriveRun(h *host, life int, s engine.RunSend) {
	t.w.inject(stepSend, h, t)
	r := &engine.Reply{Target: s.Target}
	switch {
	case t.down:
		r.Outcome = engine.Unreachable
		r.Disconnected = true
	case t.shedding || len(t.running) >= targetSlots:
		r.Outcome = engine.Shed
	default:
		t.w.observer.received(h, t)
		t.run(h, life, s)
		return
	}
	t.replyRun(h, life, s, r)
}

func (t *fakeTarget) run(h *host, life int, s engine.RunSend) {
	f := t.w.observer.feeBegan(s.Ticket)
	key := runKey{host: h.index, life: life, run: s.Run}
	t.running[key] = true
	incarnation := t.incarnation
	t.w.after(usualWork/2, func() { t.w.inject(stepRunning, h, t) })
	t.w.after(usualWork, func() {
		r := &engine.Reply{Target: s.Target, Outcome: engine.Lost, Disconnected: true}
		if t.incarnation == incarnation {
			t.end(key)
			r.Outcome = engine.Answered
			r.Disconnected = false
		}
		t.sign(r)
		r.Snapshot.Layout = fmt.Sprintf("run %d", f.began)
		t.replyRun(h, life, s, r)
	})
}

// replyRun carries the end of a run back; what spoils replies spoils its outcome.
func (t *fakeTarget) replyRun(h *host, life int, s engine.RunSend, r *engine.Reply) {
	t.w.inject(stepReply, h, t)
	for _, part := range t.spoiled(r) {
		ev := &engine.RunReply{
			Run: s.Run, Try: s.Try, Target: s.Target, Outcome: part.reply.Outcome,
			Incarnation: part.reply.Incarnation, Cold: part.reply.Cold, Leaving: part.reply.Leaving,
			Disconnected: part.reply.Disconnected,
			Output:       []byte(r.Snapshot.Layout),
		}
		if part.reply.Attempt.Shard != r.Attempt.Shard {
			ev.Run++
		}
		t.w.after(networkDelay+part.delay, func() {
			if h.life == life {
				h.deliver(ev)
			}
		})
	}
}

// forward carries a request to the host that may hold its ticket, and the answer back.
func (h *host) forward(f engine.Forward) {
	peer := h.w.hostByName(f.Host)
	h.w.inject(stepForward, h, nil)
	life := h.life
	done := false
	end := func(a *engine.OnceAnswer) {
		if h.life == life && !done {
			done = true
			h.deliver(&engine.Forwarded{Key: f.Key, Answer: a})
		}
	}
	h.w.after(forwardTimeout, func() { end(nil) })
	if peer.dead || h.w.isCut(h.index, peer.index) {
		return
	}
	req := *f.Request
	req.Forwarded = true
	req.Key = h.w.ask(peer, func(a *engine.OnceAnswer) {
		if !h.w.isCut(h.index, peer.index) {
			end(a)
		}
	})
	h.w.after(networkDelay, func() { peer.deliver(&engine.OnceSubmit{Request: &req}) })
}

// handOver offers a chunk of a stopping host's tickets to a successor.
func (h *host) handOver(x engine.Handover) {
	peer := h.w.hostByName(x.To)
	h.w.inject(stepHandover, h, nil)
	life := h.life
	number := x.Chunk.Number
	end := func(neverSent bool) {
		if h.life == life {
			h.deliver(&engine.HandoverDone{Number: number, NeverSent: neverSent})
		}
	}
	if peer.dead || h.w.isCut(h.index, peer.index) {
		h.w.after(networkDelay, func() { end(true) })
		return
	}
	key := h.w.ask(peer, func(*engine.OnceAnswer) { end(false) })
	h.w.after(networkDelay, func() { peer.deliver(&engine.TakeOver{Key: key, Chunk: x.Chunk}) })
	h.w.after(forwardTimeout, func() { end(false) })
}

func (w *world) hostByName(name string) *host {
	for _, h := range w.hosts {
		if hostName(h.index) == name {
			return h
		}
	}
	return nil
}

// feeBegan sees a target begin to run a request that may not be repeated.
func (o *observer) feeBegan(ref once.Ref) *fee {
	f := o.fees[ref]
	if f == nil {
		o.fail(checkOnce, "ticket %v, which nobody has, runs", ref)
		return &fee{}
	}
	f.began++
	if f.began > 1 {
		o.fail(checkOnce, "ticket %v begins to run %d times", ref, f.began)
	}
	o.judgeNotRun(f)
	return f
}

func (o *observer) feeAnswered(f *fee, a *engine.OnceAnswer) {
	f.answers++
	switch {
	case a.Code == result.OK:
		f.outputs[string(a.Output)] = true
		if len(f.outputs) > 1 {
			o.fail(checkWhole, "ticket %v has the outcomes %v", f.ticket.Ref, f.outputs)
		}
	case a.Code.Kind() == result.NotRun:
		f.notRun = a.Code
		o.judgeNotRun(f)
	}
}

func (o *observer) judgeNotRun(f *fee) {
	if f.notRun != 0 && f.began > 0 {
		o.fail(checkNotRun, "ticket %v ran and is refused with %s", f.ticket.Ref, f.notRun)
	}
}
