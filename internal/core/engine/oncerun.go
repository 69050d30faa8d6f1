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

// maxRunAttempts is the maximum number of attempts to run a request.
const maxRunAttempts = 3

// onceRun is the only run of a ticket. It makes one attempt at a time, and another one
// only if the previous attempt is known not to have run.
type onceRun struct {
	id         uint64
	req        *OnceRequest
	deadline   time.Duration
	attempts   int32
	lastTarget target.ID
	// inFlight is set while an attempt is in progress.
	inFlight bool
}

// indexOnceTargets lists the targets of each service that accepts tickets.
func (e *Engine) indexOnceTargets(s *release.State) {
	e.once.targets = map[string][]target.ID{}
	for name, spec := range s.Targets {
		if svc, ok := s.Services[spec.Service]; ok && svc.AtMostOnce {
			e.once.targets[spec.Service] = append(e.once.targets[spec.Service], e.targets.Lookup(name))
		}
	}
	for _, ids := range e.once.targets {
		slices.Sort(ids)
	}
}

// startRun starts the run of a ticket, or permanently refuses the ticket as not run.
func (e *Engine) startRun(now clock.Instant, req *OnceRequest, caller *release.Caller, fx *Effects) {
	if err := e.checkRun(now, req, caller); err != nil {
		e.finishOnce(req.Ticket.Ref, once.Outcome{Code: err.Code, Detail: err.Detail}, fx)
		return
	}
	e.once.nextRun++
	run := &onceRun{id: e.once.nextRun, req: req, deadline: now.Mono + e.onceTimeout(req), lastTarget: target.None}
	e.once.runs[run.id] = run
	e.timers.arm(timer{due: run.deadline, query: query.ID(run.id), kind: timerOnceRun})
	e.sendOrQueueRun(run, fx)
}

// checkRun returns the reason for which the request must not run, or nil.
func (e *Engine) checkRun(now clock.Instant, req *OnceRequest, caller *release.Caller) *result.Error {
	svc, ok := e.state.Services[req.Service]
	switch {
	case !ok:
		return &result.Error{Code: result.ServiceUnknown, Detail: fmt.Sprintf("service %q is not in force", req.Service)}
	case !svc.AtMostOnce:
		return &result.Error{Code: result.BadRequest, Detail: fmt.Sprintf("service %q takes no tickets", req.Service)}
	case !caller.Services[req.Service]:
		return &result.Error{Code: result.CallerForbidden, Detail: fmt.Sprintf("caller %q may not use service %q", caller.Name, req.Service)}
	case e.canary.registry.Verdict(now, quarantine.FingerprintOf(req.Service, req.Body)) == quarantine.Convicted:
		return &result.Error{Code: result.Quarantined, Detail: "the body killed targets that ran it"}
	case e.isolated:
		return &result.Error{Code: result.Isolated, Detail: "neither the platform nor a peer is reached"}
	}
	return nil
}

// sendOrQueueRun sends the run to a target with capacity, or queues it if there is none.
func (e *Engine) sendOrQueueRun(run *onceRun, fx *Effects) {
	if e.trySendRun(run, fx) {
		return
	}
	e.once.queuedRuns = append(e.once.queuedRuns, run.id)
}

func (e *Engine) trySendRun(run *onceRun, fx *Effects) bool {
	if e.pause.awaitingContact {
		return false
	}
	id := e.targets.PickForOnce(e.once.targets[run.req.Service], run.lastTarget)
	if id == target.None {
		return false
	}
	e.targets.Sent(id)
	run.attempts++
	run.lastTarget = id
	run.inFlight = true
	fx.RunSends = append(fx.RunSends, RunSend{
		Run:         run.id,
		Try:         run.attempts,
		Target:      id,
		Spec:        e.targets.Entry(id).Spec,
		Ticket:      run.req.Ticket.Ref,
		Service:     run.req.Service,
		Body:        run.req.Body,
		Deadline:    run.deadline,
		TraceParent: run.req.TraceParent,
		Guard:       e.guardFor(id),
	})
	return true
}

// sendQueuedRuns sends queued runs, oldest first, to targets that have capacity again.
func (e *Engine) sendQueuedRuns(now clock.Instant, fx *Effects) {
	if len(e.once.queuedRuns) == 0 {
		return
	}
	kept := e.once.queuedRuns[:0]
	for _, id := range e.once.queuedRuns {
		run, ok := e.once.runs[id]
		if !ok {
			continue
		}
		if now.Mono >= run.deadline || !e.trySendRun(run, fx) {
			kept = append(kept, id)
		}
	}
	e.once.queuedRuns = kept
}

// runAttemptEnded handles the end of an attempt. The run is sent again only if the
// attempt is known not to have run.
func (e *Engine) runAttemptEnded(now clock.Instant, r *RunResult, fx *Effects) {
	run, ok := e.once.runs[r.Run]
	if !ok || !run.inFlight || r.Try != run.attempts {
		e.counters.LateReplies++
		return
	}
	run.inFlight = false
	e.observeTarget(&AttemptResult{
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
	case run.attempts >= maxRunAttempts || now.Mono >= run.deadline:
		detail := fmt.Sprintf("declined %d times, last by target %q (%s)", run.attempts, name, r.Outcome)
		e.endRun(run, once.Outcome{Code: result.Shed, Detail: detail}, fx)
	default:
		e.sendOrQueueRun(run, fx)
	}
	e.exportWhenIdle(now, fx)
}

// expireRun ends a run for which no target had capacity before its deadline.
func (e *Engine) expireRun(id uint64, fx *Effects) {
	run, ok := e.once.runs[id]
	if !ok || run.inFlight {
		return
	}
	code, detail := result.DeadlineTooShort, "no target had room before the deadline"
	if run.attempts > 0 {
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
