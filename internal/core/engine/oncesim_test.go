package engine

import (
	"crypto/sha256"
	"fmt"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/once"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

const (
	simHosts    = 4
	simTargets  = 3
	simLifetime = 10 * time.Second
	simService  = "fee"
	simKey      = "caller-key"
)

// chooser makes the random choices of a schedule.
type chooser interface{ choose(n int) int }

// simHost is a host name and the process that currently runs under it.
type simHost struct {
	name   string
	engine *Engine
	// process is the number of the current process. Messages to earlier processes are
	// lost.
	process int
	wall    time.Duration
}

// message is a message in transit. lost is called instead of deliver if the message is
// lost, and informs its sender.
type message struct {
	deliver func()
	lost    func()
}

// simTicket records what the callers and the targets observed of one ticket.
type simTicket struct {
	ticket  once.Ticket
	body    string
	runs    int
	outputs map[string]bool
	notRun  result.Code
}

// onceSim simulates several engines, a network that loses, delays, reorders and
// duplicates messages, and targets that count their runs.
type onceSim struct {
	choose         chooser
	hosts          []*simHost
	state          *release.State
	now            time.Duration
	inTransit      []message
	tickets        map[once.Ref]*simTicket
	order          []once.Ref
	onAnswer       map[uint64]func(*OnceAnswer)
	nextKey        uint64
	processes      int
	retryAfterLost bool
	forgedRan      bool
	wrongOutcome   string
}

func newOnceSim(c chooser) *onceSim {
	s := &onceSim{choose: c, state: simState(), tickets: map[once.Ref]*simTicket{}, onAnswer: map[uint64]func(*OnceAnswer){}}
	for _, h := range s.state.Hosts {
		host := &simHost{name: h.Name, wall: time.Hour}
		s.hosts = append(s.hosts, host)
		s.boot(host)
	}
	return s
}

func simState() *release.State {
	s := &release.State{
		Number:   1,
		Services: map[string]*release.Service{simService: {Name: simService, AtMostOnce: true, Policy: release.Policy{Deadline: time.Second}}},
		Callers: map[string]*release.Caller{"driver": {
			Name: "driver", KeyHash: sha256.Sum256([]byte(simKey)), Services: map[string]bool{simService: true}, Rate: 1e9,
		}},
		Zones:   map[string]*release.Zone{"a": {Name: "a"}},
		Targets: map[string]*release.Target{},
	}
	for i := range simTargets {
		name := fmt.Sprintf("target-%d", i)
		s.Targets[name] = &release.Target{Name: name, Zone: "a", Service: simService, Slots: 2, MaxConnections: 100, MaxColdRequests: 1}
	}
	for i := range simHosts {
		s.Hosts = append(s.Hosts, release.Host{Name: fmt.Sprintf("host-%d", i), Zone: "a"})
	}
	return s
}

func (s *onceSim) boot(h *simHost) {
	s.processes++
	h.process = s.processes
	h.engine = New(Config{Host: h.name, Zone: "a", Seed: uint64(s.processes), MaxQueries: 100, Once: once.Config{
		Home: h.name, Incarnation: uint64(s.processes), Key: []byte{byte(s.processes)}, Lifetime: simLifetime, MaxRecords: 3, MaxOutputBytes: 1 << 20,
	}})
	s.step(h, &Release{State: s.state})
}

func (s *onceSim) step(h *simHost, ev Event) {
	var fx Effects
	h.engine.Step(clock.Instant{Mono: s.now, Wall: h.wall}, ev, &fx)
	s.applyEffects(h, &fx)
}

func (s *onceSim) applyEffects(h *simHost, fx *Effects) {
	process := h.process
	// reply delivers an event to the process that caused the effect, if it still runs.
	reply := func(ev Event) message {
		deliver := func() {
			if h.process == process {
				s.step(h, ev)
			}
		}
		return message{deliver: deliver, lost: deliver}
	}
	for i := range fx.OnceAnswers {
		if callback := s.onAnswer[fx.OnceAnswers[i].Key]; callback != nil {
			delete(s.onAnswer, fx.OnceAnswers[i].Key)
			callback(&fx.OnceAnswers[i])
		}
	}
	for _, send := range fx.RunSends {
		s.sendRun(&send, reply)
	}
	for _, fwd := range fx.Forwards {
		s.forward(&fwd, reply)
	}
	for _, x := range fx.HandoverOffers {
		s.handOver(&x, reply)
	}
}

func (s *onceSim) post(m message) { s.inTransit = append(s.inTransit, m) }

// sendRun simulates a target that sheds the request, runs and answers it, or runs it and
// loses the connection.
func (s *onceSim) sendRun(send *RunSend, reply func(Event) message) {
	end := func(o Outcome, output []byte) message {
		if o == Lost && s.retryAfterLost {
			o = Unreachable
		}
		return reply(&RunResult{Run: send.Run, Try: send.Try, Target: send.Target, Outcome: o, Output: output})
	}
	run := func() {
		t := s.tickets[send.Ticket]
		if t == nil {
			s.forgedRan = true
			return
		}
		t.runs++
		answered := end(Answered, fmt.Appendf(nil, "run %d", t.runs))
		answered.lost = end(Lost, nil).deliver
		s.post(answered)
		if s.choose.choose(4) == 0 {
			s.post(answered)
		}
	}
	if s.choose.choose(4) == 0 {
		s.post(end(Shed, nil))
		return
	}
	if s.choose.choose(6) == 0 {
		s.post(message{deliver: run, lost: func() {}})
		s.post(end(Lost, nil))
		return
	}
	s.post(message{deliver: run, lost: func() { s.post(end(Lost, nil)) }})
}

func (s *onceSim) forward(fwd *Forward, reply func(Event) message) {
	to := s.host(fwd.Host)
	process := to.process
	none := reply(&ForwardDone{Key: fwd.Key})
	req := *fwd.Request
	req.Forwarded = true
	s.post(message{
		deliver: func() {
			if to.process != process {
				s.post(none)
				return
			}
			s.ask(to, &req, func(a *OnceAnswer) {
				answer := *a
				s.post(message{deliver: reply(&ForwardDone{Key: fwd.Key, Answer: &answer}).deliver, lost: func() { s.post(none) }})
			})
		},
		lost: func() { s.post(none) },
	})
	if s.choose.choose(6) == 0 {
		s.post(none)
	}
}

func (s *onceSim) handOver(x *HandoverOffer, reply func(Event) message) {
	to := s.host(x.Host)
	process := to.process
	unknown := reply(&HandoverOfferDone{Number: x.Chunk.Number})
	if s.choose.choose(4) == 0 {
		s.post(reply(&HandoverOfferDone{Number: x.Chunk.Number, NeverSent: true}))
		return
	}
	deliver := func() {
		if to.process != process {
			return
		}
		s.nextKey++
		s.onAnswer[s.nextKey] = func(*OnceAnswer) { s.post(unknown) }
		s.step(to, &ImportChunk{Key: s.nextKey, Chunk: x.Chunk})
	}
	s.post(message{deliver: deliver, lost: func() { s.post(unknown) }})
	if s.choose.choose(4) == 0 {
		s.post(message{deliver: deliver, lost: func() {}})
		s.post(unknown)
	}
}

func (s *onceSim) host(name string) *simHost {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (s *onceSim) ask(h *simHost, req *OnceRequest, answer func(*OnceAnswer)) {
	s.nextKey++
	own := *req
	own.Key = s.nextKey
	s.onAnswer[own.Key] = answer
	s.step(h, &OnceSubmit{Request: &own})
}

func (s *onceSim) requestTicket(h *simHost) {
	s.nextKey++
	s.onAnswer[s.nextKey] = func(a *OnceAnswer) {
		if a.Ticket != nil {
			s.tickets[a.Ticket.Ref] = &simTicket{ticket: *a.Ticket, body: fmt.Sprint(a.Ticket.Ref), outputs: map[string]bool{}}
			s.order = append(s.order, a.Ticket.Ref)
		}
	}
	s.step(h, &TicketRequest{Key: s.nextKey, KeyHash: sha256.Sum256([]byte(simKey)), Service: simService})
}

// submit submits a ticket through the host. Schedules repeat this, also through other
// hosts.
func (s *onceSim) submit(h *simHost, t *simTicket) {
	ticket := t.ticket
	req := &OnceRequest{KeyHash: sha256.Sum256([]byte(simKey)), Service: simService, Body: []byte(t.body), Ticket: &ticket}
	s.ask(h, req, func(a *OnceAnswer) {
		switch {
		case a.Code == result.OK:
			t.outputs[string(a.Output)] = true
		case a.Code.Kind() == result.NotRun:
			t.notRun = a.Code
		}
	})
}

// submitForged submits a ticket that no host has issued.
func (s *onceSim) submitForged(h *simHost, t *simTicket) {
	ticket := t.ticket
	ticket.Serial += 1000
	req := &OnceRequest{KeyHash: sha256.Sum256([]byte(simKey)), Service: simService, Body: []byte(t.body), Ticket: &ticket}
	s.ask(h, req, func(a *OnceAnswer) {
		if a.Code == result.OK {
			s.wrongOutcome = "a forged ticket was answered"
		}
	})
}

// violation describes the first violated guarantee, or returns "".
func (s *onceSim) violation() string {
	if s.forgedRan {
		return "a forged ticket ran"
	}
	for _, ref := range s.order {
		t := s.tickets[ref]
		switch {
		case t.runs > 1:
			return fmt.Sprintf("ticket %v ran %d times", ref, t.runs)
		case t.runs > 0 && t.notRun != 0:
			return fmt.Sprintf("ticket %v ran but was refused as not run (%s)", ref, t.notRun)
		case len(t.outputs) > 1:
			return fmt.Sprintf("ticket %v had %d outcomes", ref, len(t.outputs))
		}
	}
	return s.wrongOutcome
}

// leakedSlot describes a target whose count of requests in progress is not zero, or
// returns "".
func (s *onceSim) leakedSlot() string {
	for _, h := range s.hosts {
		table := h.engine.Targets()
		for id := range target.ID(table.Len()) {
			if n := table.Entry(id).InFlight; n != 0 {
				return fmt.Sprintf("%s counts %d requests in progress at target %d after the end", h.name, n, id)
			}
		}
	}
	return ""
}

func (s *onceSim) advance(h *simHost) {
	var fx Effects
	h.engine.Advance(clock.Instant{Mono: s.now, Wall: h.wall}, &fx)
	s.applyEffects(h, &fx)
}
