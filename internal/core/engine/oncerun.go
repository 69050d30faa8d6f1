package engine

import (
	"fmt"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/once"
	"pollentack.example/pollentack/internal/core/quarantine"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

// maxRunTries bounds the targets that are offered one request.
const maxRunTries = 3

// onceRun is one ticket's only run: attempts one after the other, each only after the
// one before is known not to have run.
type onceRun struct {
	id       uint64
	req      *OnceRequest
	deadline time.Duration
	tries    int32
	last     target.ID
	// sent is set while an attempt is in progress.
	sent bool
}

// planRuns lists the targets of each service that takes tickets.
func (e *Engine) planRuns(s *release.State) {
	e.once.targets = map[string][]target.ID{}
	for name, spec := range s.Targets {
		if svc, ok := s.Services[spec.Service]; ok && svc.Once {
			e.once.targets[spec.Service] = append(e.once.targets[spec.Service], e.targets.Lookup(name))
		}
	}
	for _, ids := range e.once.targets {
		slices.Sort(ids)
	}
}

// startRun begins the run of a ticket or refuses it for good as not run.
func (e *Engine) startRun(now clock.Instant, req *OnceRequest, caller *release.Caller, fx *Effects) {
	if err := e.runBarred(now, req, caller); err != nil {
		e.finishOnce(req.Ticket.Ref, once.Outcome{Code: err.Code, Detail: err.Detail}, fx)
		return
	}
	e.once.nextRun++
	run := &onceRun{id: e.once.nextRun, req: req, deadline: now.Mono + e.onceTimeout(req), last: target.None}
	e.once.runs[run.id] = run
	e.timers.arm(timer{due: run.deadline, query: query.ID(run.id), kind: timerOnceRun})
	e.sendRun(run, fx)
}

func (e *Engine) runBarred(now clock.Instant, req *OnceRequest, caller *release.Caller) *result.Error {
	svc, ok := e.state.Services[req.Service]
	switch {
	case !ok:
		return &result.Error{Code: result.ServiceUnknown, Detail: fmt.Sprintf("service %q is not in force", req.Service)}
	case !svc.Once:
		return &result.Error{Code: result.BadRequest, Detail: fmt.Sprintf("service %q takes no tickets", req.Service)}
	case !caller.Services[req.Service]:
		return &result.Error{Code: result.CallerForbidden, Detail: fmt.Sprintf("caller %q may not use service %q", caller.Name, req.Service)}
	case e.canary.book.Known(now, quarantine.Of(req.Service, req.Body)) == quarantine.Convicted:
		return &result.Error{Code: result.Quarantined, Detail: "the body killed targets that ran it"}
	case e.isolated:
		return &result.Error{Code: result.Isolated, Detail: "neither the platform nor a peer is reached"}
	}
	return nil
}

// sendRun offers the request to a target with room, or queues it until one has.
func (e *Engine) sendRun(run *onceRun, fx *Effects) {
	if e.offerRun(run, fx) {
		return
	}
	e.once.queue = append(e.once.queue, run.id)
}

func (e *Engine) offerRun(run *onceRun, fx *Effects) bool {
	if e.pause.waiting {
		return false
	}
	id := e.targets.PickRun(e.once.targets[run.req.Service], run.last)
	if id == target.None {
		return false
	}
	e.targets.Sent(id)
	run.tries++
	run.last = id
	run.sent = true
	fx.RunSends = append(fx.RunSends, RunSend{
		Run:         run.id,
		Try:         run.tries,
		Target:      id,
		Spec:        e.targets.Entry(id).Spec,
		Ticket:      run.req.Ticket.Ref,
		Service:     run.req.Service,
		Body:        run.req.Body,
		Deadline:    run.deadline,
		TraceParent: run.req.TraceParent,
		Guard:       e.guard(id),
	})
	return true
}

// resumeRuns offers what is queued, oldest first, to targets that have room again.
func (e *Engine) resumeRuns(now clock.Instant, fx *Effects) {
	if len(e.once.queue) == 0 {
		return
	}
	kept := e.once.queue[:0]
	for _, id := range e.once.queue {
		run, ok := e.once.runs[id]
		if !ok {
			continue
		}
		if now.Mono >= run.deadline || !e.offerRun(run, fx) {
			kept = append(kept, id)
		}
	}
	e.once.queue = kept
}

// runReply takes the end of an attempt. Only a definite "not run" is offered elsewhere.
func (e *Engine) runReply(now clock.Instant, r *RunReply, fx *Effects) {
	run, ok := e.once.runs[r.Run]
	if !ok || !run.sent || r.Try != run.tries {
		e.counters.LateReplies++
		return
	}
	run.sent = false
	e.observeTarget(&Reply{
		Target:      r.Target,
		Outcome:     r.Outcome,
		Incarnation: r.Incarnation,
		Cold:        r.Cold,
		Leaving:     r.Leaving,
		Elapsed:     r.Elapsed,

		ClaimedIncarnation: r.ClaimedIncarnation,
		Disconnected:       r.Disconnected,
	})
	name := e.targets.Entry(r.Target).Spec.Name
	switch {
	case r.Outcome == Answered:
		e.endRun(run, once.Outcome{Code: result.OK, Target: name, Output: r.Output}, fx)
	case !r.Outcome.NotRun():
		detail := fmt.Sprintf("sent to target %q, which gave no whole reply (%s)", name, r.Outcome)
		e.endRun(run, once.Outcome{Code: result.OutcomeUnknown, Detail: detail, Target: name}, fx)
	case run.tries >= maxRunTries || now.Mono >= run.deadline:
		detail := fmt.Sprintf("declined %d times, last by target %q (%s)", run.tries, name, r.Outcome)
		e.endRun(run, once.Outcome{Code: result.Shed, Detail: detail}, fx)
	default:
		e.sendRun(run, fx)
	}
	e.exportWhenIdle(now, fx)
}

// runDue ends a run for which no target had room in time.
func (e *Engine) runDue(id uint64, fx *Effects) {
	run, ok := e.once.runs[id]
	if !ok || run.sent {
		return
	}
	code, detail := result.DeadlineTooShort, "no target had room before the deadline"
	if run.tries > 0 {
		code, detail = result.Shed, "declined, and no other target had room before the deadline"
	}
	e.endRun(run, once.Outcome{Code: code, Detail: detail}, fx)
}

func (e *Engine) endRun(run *onceRun, o once.Outcome, fx *Effects) {
	delete(e.once.runs, run.id)
	e.finishOnce(run.req.Ticket.Ref, o, fx)
}

func (e *Engine) finishOnce(ref once.Ref, o once.Outcome, fx *Effects) {
	for _, key := range e.once.table.Finish(ref, o) {
		e.answerOutcome(key, &o, fx)
	}
}
