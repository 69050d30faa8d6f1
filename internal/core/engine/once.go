package engine

import (
	"crypto/sha256"
	"fmt"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/once"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

const (
	// defaultOnceTimeout is the timeout of a request whose service is unknown on this
	// host.
	defaultOnceTimeout = 5 * time.Second
	// homeGrace is the extra time after the run's deadline in which a target's reply may
	// still arrive at the home.
	homeGrace = 200 * time.Millisecond
	// maxForwardRounds is how many times all hosts that may hold a ticket are asked. The
	// first round misses a record that is handed over from a host asked later to one asked
	// earlier.
	maxForwardRounds = 2
	// forwardGrace is the extra time for a forwarded call, so that the home times out
	// before the forwarding host.
	forwardGrace = 500 * time.Millisecond
)

// onceState tracks the requests that run at most once.
type onceState struct {
	table *once.Table
	calls map[uint64]*onceCall
	runs  map[uint64]*onceRun
	// queuedRuns holds the runs that wait for a target with capacity, oldest first.
	queuedRuns []uint64
	nextRun    uint64
	targets    map[string][]target.ID
	handover   handoverState
}

// onceCall is a request of a caller or peer that waits for an answer.
type onceCall struct {
	req      *OnceRequest
	deadline time.Duration
	// peers lists the peers still to be asked.
	peers []string
	// rounds counts how many times all hosts that may hold the ticket were asked.
	rounds int
	parked bool
}

func newOnceState(cfg *once.Config) onceState {
	return onceState{
		table:    once.NewTable(*cfg),
		calls:    map[uint64]*onceCall{},
		runs:     map[uint64]*onceRun{},
		handover: handoverState{chunks: map[uint64]*chunkOffer{}},
	}
}

func (s *onceState) inProgress() int { return len(s.calls) + len(s.runs) }

// Tickets returns the ticket table, which status reports may only read.
func (e *Engine) Tickets() *once.Table { return e.once.table }

func (e *Engine) stepOnce(now clock.Instant, ev Event, fx *Effects) {
	switch ev := ev.(type) {
	case *TicketRequest:
		e.handleTicketRequest(now, ev, fx)
	case *OnceSubmit:
		e.submitOnce(now, ev.Request, fx)
	case *RunResult:
		e.runAttemptEnded(now, ev, fx)
	case *ForwardDone:
		e.forwarded(ev, fx)
	case *StartHandover:
		e.startHandover(now, ev, fx)
	case *HandoverOfferDone:
		e.handoverDone(now, ev, fx)
	case *ImportChunk:
		e.importChunk(now, ev, fx)
	}
}

func (e *Engine) handleTicketRequest(now clock.Instant, req *TicketRequest, fx *Effects) {
	answer := OnceAnswer{Key: req.Key}
	ticket, err := e.issueTicket(now, req)
	if err != nil {
		e.counters.Refusals++
		answer.Code, answer.Detail = err.Code, err.Detail
	} else {
		answer.Ticket = &ticket
	}
	fx.OnceAnswers = append(fx.OnceAnswers, answer)
}

func (e *Engine) issueTicket(now clock.Instant, req *TicketRequest) (once.Ticket, *result.Error) {
	caller, svc, err := e.admit(&query.Request{Key: req.Key, KeyHash: req.KeyHash, Service: req.Service})
	if err == nil {
		err = e.takeToken(now, caller)
	}
	if err != nil {
		return once.Ticket{}, err
	}
	if !svc.AtMostOnce {
		return once.Ticket{}, &result.Error{Code: result.BadRequest, Detail: fmt.Sprintf("service %q takes no tickets", svc.Name)}
	}
	return e.once.table.Issue(now, svc.Name, caller.Name)
}

// submitOnce handles a request with a ticket. Only the host that holds the ticket may
// report it as not run, because an earlier copy of the request may have reached that
// host.
func (e *Engine) submitOnce(now clock.Instant, req *OnceRequest, fx *Effects) {
	switch {
	case req.Ticket == nil:
		fx.OnceAnswers = append(fx.OnceAnswers, OnceAnswer{Key: req.Key, Code: result.TicketMissing, Detail: "get a ticket first"})
		return
	case e.state == nil && req.Forwarded && !e.once.table.Decides(req.Ticket.Ref):
		// The home of the ticket has just been started again. Its successor holds the ticket.
		fx.OnceAnswers = append(fx.OnceAnswers, notHeld(req.Key))
		return
	case e.state == nil:
		fx.OnceAnswers = append(fx.OnceAnswers, OnceAnswer{Key: req.Key, Code: result.OutcomeUnknown, Detail: "no configuration in force"})
		return
	case len(e.once.calls) >= e.cfg.MaxQueries:
		fx.OnceAnswers = append(fx.OnceAnswers, OnceAnswer{Key: req.Key, Code: result.OutcomeUnknown, Detail: "too many requests wait on this host; send it again"})
		return
	}
	call := &onceCall{req: req, deadline: now.Mono + e.onceTimeout(req) + homeGrace}
	if !e.once.table.Decides(req.Ticket.Ref) {
		call.deadline += forwardGrace
	}
	e.once.calls[req.Key] = call
	e.timers.arm(timer{due: call.deadline, query: query.ID(req.Key), kind: timerOnceCall})
	e.routeOnce(now, call, fx)
}

func (e *Engine) onceTimeout(req *OnceRequest) time.Duration {
	timeout := defaultOnceTimeout
	if svc, ok := e.state.Services[req.Service]; ok {
		timeout = svc.Policy.Deadline
	}
	if req.Timeout > 0 {
		timeout = min(timeout, req.Timeout)
	}
	return timeout
}

// routeOnce routes a call to the host that holds its ticket.
func (e *Engine) routeOnce(now clock.Instant, call *onceCall, fx *Effects) {
	ref := call.req.Ticket.Ref
	held := e.once.table.Decides(ref)
	switch {
	case e.once.handover.inProgress() && (held || e.once.table.HandedOver(ref)):
		call.parked = true
	case held:
		e.beginTicket(now, call.req, fx)
	case call.req.Forwarded:
		answer := notHeld(call.req.Key)
		e.answerOnce(call.req.Key, &answer, fx)
	default:
		e.forwardNext(call, fx)
	}
}

// notHeld returns the answer to a forwarded request whose ticket this host does not hold. The
// sender then asks the next holder.
func notHeld(key uint64) OnceAnswer {
	return OnceAnswer{Key: key, Code: result.HomeGone, Detail: "this host does not hold the ticket", NotHeld: true}
}

// holders lists the peers that may hold a ticket, in the order in which they are asked.
func (e *Engine) holders(ref once.Ref) []string {
	candidates := append([]string{ref.Home}, once.Successors(ref.Home, e.state.Hosts)...)
	peers := candidates[:0]
	for _, host := range candidates {
		if host != e.cfg.Host {
			peers = append(peers, host)
		}
	}
	return peers
}

// forwardNext forwards the call to the next peer. Asking another peer after a lost call
// is safe: at most one process holds the ticket, and the others answer NotHeld.
func (e *Engine) forwardNext(call *onceCall, fx *Effects) {
	if len(call.peers) == 0 && call.rounds < maxForwardRounds {
		call.rounds++
		call.peers = e.holders(call.req.Ticket.Ref)
	}
	if len(call.peers) == 0 {
		e.answerOnce(call.req.Key, &OnceAnswer{Code: result.HomeGone, Detail: "neither the ticket's home nor a successor of it was reached"}, fx)
		return
	}
	host := call.peers[0]
	call.peers = call.peers[1:]
	fx.Forwards = append(fx.Forwards, Forward{Key: call.req.Key, Host: host, Request: call.req, Deadline: call.deadline})
}

func (e *Engine) forwarded(ev *ForwardDone, fx *Effects) {
	call, ok := e.once.calls[ev.Key]
	if !ok {
		return
	}
	if ev.Answer == nil || ev.Answer.NotHeld {
		e.forwardNext(call, fx)
		return
	}
	e.answerOnce(ev.Key, ev.Answer, fx)
}

// beginTicket runs, replays, joins or refuses a request whose ticket this host holds.
func (e *Engine) beginTicket(now clock.Instant, req *OnceRequest, fx *Effects) {
	caller := e.state.CallerByKeyHash(req.KeyHash)
	if caller == nil {
		e.answerOnce(req.Key, &OnceAnswer{Code: result.OutcomeUnknown, Detail: "no caller in force has this key"}, fx)
		return
	}
	ref := req.Ticket.Ref
	verdict := e.once.table.Begin(now, &once.Use{
		Ticket:  *req.Ticket,
		Service: req.Service,
		Caller:  caller.Name,
		Body:    sha256.Sum256(req.Body),
	})
	if verdict.Action == once.Refuse || verdict.Action == once.Replay {
		e.answerOutcome(req.Key, &verdict.Outcome, fx)
		return
	}
	if !e.once.table.AddWaiter(ref, req.Key) {
		e.answerOnce(req.Key, &OnceAnswer{Code: result.OutcomeUnknown, Detail: "too many wait for this request; send it again"}, fx)
	}
	if verdict.Action == once.Run {
		e.startRun(now, req, caller, fx)
	}
}

func (e *Engine) answerOutcome(key uint64, o *once.Outcome, fx *Effects) {
	e.answerOnce(key, &OnceAnswer{Code: o.Code, Detail: o.Detail, Target: o.Target, Output: o.Output}, fx)
}

// answerOnce ends a call. It ignores a second answer to the same call.
func (e *Engine) answerOnce(key uint64, a *OnceAnswer, fx *Effects) {
	if _, ok := e.once.calls[key]; !ok {
		return
	}
	delete(e.once.calls, key)
	if a.Code != result.OK {
		e.counters.Refusals++
	}
	answer := *a
	answer.Key = key
	fx.OnceAnswers = append(fx.OnceAnswers, answer)
}

// onceTimerDue ends a run that found no target in time, or a call that timed out.
func (e *Engine) onceTimerDue(t timer, fx *Effects) {
	if t.kind == timerOnceRun {
		e.expireRun(uint64(t.query), fx)
		return
	}
	e.answerOnce(uint64(t.query), &OnceAnswer{Code: result.OutcomeUnknown, Detail: "no outcome before the deadline; send it again to learn it"}, fx)
}
