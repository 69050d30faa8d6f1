package relay

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
)

// declinedBackoff is the mean backoff after a target declined a request: about the duration
// of a few requests, after which its queue should be shorter.
const declinedBackoff = 20 * time.Millisecond

// minServerErrorStatus is the lowest status that indicates a failure of the target.
const minServerErrorStatus = 500

// attemptEnded handles the end of an attempt.
func (e *Engine) attemptEnded(now clock.Instant, ev *AttemptEnded, fx *Effects) {
	a := e.attempts[ev.Attempt]
	if a == nil {
		return
	}
	delete(e.attempts, ev.Attempt)
	r, sh := a.request, &a.request.shards[a.shard]
	a.target.removeAttempt(a)
	if a.probe {
		e.probesOf(a.target.spec.Zone).ended(ev.Outcome == Answered || ev.Outcome == Declined)
	}
	if a.via != nil {
		a.via.forwarded--
		switch {
		case ev.PeerCutOff:
			a.via.backOffCutOff(now.Mono)
		case ev.PeerFailed:
			a.via.backoffUntil = now.Mono + peerBackoff
		case ev.Outcome == Unsent:
		default:
			a.via.cutOffs = 0
			a.via.lastReply = now.Mono
		}
	}
	sh.removeAttempt(a)
	r.open--
	e.counters.Outcomes[ev.Outcome.String()]++
	if !ev.PeerFailed {
		e.observe(now, a, ev)
	}
	e.settleAttempt(a, ev)
	if a.via == nil {
		e.observeReach(now, a, ev, fx)
		e.observeReply(now, a, ev, fx)
	}
	if ev.Outcome == Answered {
		e.recordAnswer(now, r, fx)
	}
	if !r.ended {
		e.applyOutcome(now, r, sh, a, ev, fx)
	}
	e.dispatchWaiting(now, sh.service, fx)
}

// settleAttempt updates the counts of attempts and returns the tokens of one that did not reach its
// target.
func (e *Engine) settleAttempt(a *attempt, ev *AttemptEnded) {
	sh := &a.request.shards[a.shard]
	if ev.Outcome.NotRun() {
		sh.ran--
	} else {
		a.request.ran = true
	}
	if ev.Outcome.MayHaveArrived() {
		return
	}
	sh.delivered--
	if a.via == nil {
		a.target.limit.refund()
	}
	if a.extra {
		sh.service.budget.refund()
	}
}

// observeReply applies what a target that this host sent the attempt to said of itself, or has it
// checked if it lost the connection.
func (e *Engine) observeReply(now clock.Instant, a *attempt, ev *AttemptEnded, fx *Effects) {
	switch ev.Outcome {
	case Answered, Declined:
		e.observeNotice(now, a, &ev.Notice, fx)
	case Lost:
		e.checkTarget(now, a, fx)
	}
}

// observeReach updates what this host knows of its way to the targets from the outcome of an attempt
// that it sent itself.
func (e *Engine) observeReach(now clock.Instant, a *attempt, ev *AttemptEnded, fx *Effects) {
	switch ev.Outcome {
	case Answered, Declined, Misdirected:
		e.observeContact(now, a.target, fx)
	case Unreachable, Lost, TimedOut:
		e.observeSilence(a)
	}
}

// observe updates the state of a target from the outcome of an attempt.
func (e *Engine) observe(now clock.Instant, a *attempt, ev *AttemptEnded) {
	t := a.target
	if ev.Outcome != Answered && e.excused(a) {
		return
	}
	switch ev.Outcome {
	case Answered:
		t.lastReply = now.Mono
		t.consecutiveFailures, t.backoffUntil = 0, 0
		failed := ev.Response.Status >= minServerErrorStatus
		t.observeFailure(now.Mono, failed)
		if !failed {
			e.observeLatency(a, now.Mono-a.sent)
		}
	case Declined:
		t.lastReply = now.Mono
		t.observeFailure(now.Mono, true)
		t.backoffUntil = now.Mono + time.Duration(float64(declinedBackoff)*(0.5+e.rng.Float64()))
	case Misdirected, Unreachable:
		t.backOff(now.Mono, e.rng.Float64())
		if ev.Refused {
			e.presumeCold(now, t)
		}
	case Lost, Malformed, TimedOut:
		t.observeFailure(now.Mono, true)
		t.backOff(now.Mono, e.rng.Float64())
	}
}

// observeLatency records the latency of a successful attempt, without the network delay.
func (e *Engine) observeLatency(a *attempt, elapsed time.Duration) {
	t := a.target
	e.zones.observeLatency(t.spec.Zone, elapsed)
	net := max(time.Microsecond, elapsed-e.zones.delayTo(t))
	t.latency.Add(net)
	a.request.shards[a.shard].service.latency.Add(net)
	e.routeOf(a.request.route.Name).latency.Add(net)
}

// applyOutcome applies the outcome of an attempt to its request, which is still in progress.
func (e *Engine) applyOutcome(now clock.Instant, r *request, sh *shard, a *attempt, ev *AttemptEnded, fx *Effects) {
	switch {
	case sh.done:
		return
	case ev.Outcome == Answered && (ev.Response.OK() || !r.isGather() && ev.Response.Status < minServerErrorStatus):
		sh.done = true
		sh.part = ev.Response
		r.done++
		if r.isGather() {
			r.addRecords(ev.Response.Body)
			sh.part = &Response{Proof: ev.Response.Proof}
		}
	case ev.Outcome == Answered:
		sh.failure = ev.Response
		e.recordFailure(now, r, a, ev, fx)
	default:
		if ev.Outcome == Misdirected {
			sh.excluded = append(sh.excluded, a.target)
		}
		e.recordFailure(now, r, a, ev, fx)
	}
	switch {
	case r.done == len(r.shards), !sh.done, now.Mono >= r.cutoff:
		e.poll(now, r, fx)
	}
}

func (e *Engine) recordFailure(now clock.Instant, r *request, a *attempt, ev *AttemptEnded, fx *Effects) {
	status := 0
	if ev.Response != nil {
		status = ev.Response.Status
	}
	fx.Records = append(fx.Records, decision.Warning("attempt_failed",
		decision.String("request", r.ID), decision.String("fingerprint", r.fingerprint.String()),
		decision.String("route", r.route.Name), decision.Int("shard", a.shard),
		decision.String("target", a.target.spec.Instance), decision.String("address", a.target.spec.Address),
		decision.Uint("entry_revision", a.target.spec.Revision),
		decision.String("outcome", ev.Outcome.String()), decision.Int("status", status), decision.String("reason", ev.Reason),
		decision.Millis("elapsed", now.Mono-a.sent)))
}

// callerGone ends a request whose caller no longer waits.
func (e *Engine) callerGone(now clock.Instant, key uint64, fx *Effects) {
	r := e.requests[key]
	if r == nil {
		return
	}
	e.counters.CallersGone++
	fx.Records = append(fx.Records, decision.New("caller_gone",
		decision.String("request", r.ID), decision.String("route", r.route.Name),
		decision.Millis("age", now.Mono-r.started), decision.Int("open_attempts", r.open)))
	e.endRequest(r)
	e.cancelOpen(r, fx)
}

// cancelOpen cancels the attempts and handoffs of a request that are in progress.
func (e *Engine) cancelOpen(r *request, fx *Effects) {
	e.cancelHandoffs(r, fx)
	e.cancelAttempts(r, false, fx)
}

// withdrawOpen cancels the attempts and handoffs of an answered request that have not been sent, as
// while they wait for a connection. Those that have been sent are soon over, and to cancel them would
// cost their connections.
func (e *Engine) withdrawOpen(r *request, fx *Effects) {
	for _, h := range r.handoffs {
		if h.open {
			fx.HandoffCancels = append(fx.HandoffCancels, HandoffCancel{ID: h.id, Peer: h.peer.Host, Unsent: true})
		}
	}
	e.cancelAttempts(r, true, fx)
}

func (e *Engine) cancelAttempts(r *request, unsent bool, fx *Effects) {
	for i := range r.shards {
		for _, a := range r.shards[i].open {
			c := Cancel{Attempt: a.id, Unsent: unsent}
			if a.via != nil {
				c.Via = a.via.Host
			}
			fx.Cancels = append(fx.Cancels, c)
		}
	}
}

func (e *Engine) endRequest(r *request) {
	r.ended = true
	e.releaseSuspect(r)
	delete(e.requests, r.Key)
}
