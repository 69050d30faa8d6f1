package relay

import (
	"fmt"
	"strings"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/result"
)

// tryComplete answers or fails the request if it is due, and reports whether it did. viable
// states whether an unfinished shard may still be answered.
func (e *Engine) tryComplete(now clock.Instant, r *request, viable bool, fx *Effects) bool {
	deadlinePassed := now.Mono >= r.deadline
	switch {
	case r.done == len(r.shards):
		e.answer(now, r, fx)
	case r.isGather() && r.hasMinCoverage() && (now.Mono >= r.cutoff || !viable):
		e.answer(now, r, fx)
	case deadlinePassed || !viable:
		e.fail(now, r, deadlinePassed, fx)
	case r.neverRan() && now.Mono >= r.dispatchBy:
		e.fail(now, r, false, fx)
	default:
		return false
	}
	return true
}

// neverRan reports whether it is certain that no target ran the request, and nothing is in
// progress.
func (r *request) neverRan() bool { return r.open == 0 && !r.ran && r.done == 0 }

// answer ends the request with the parts that have arrived.
func (e *Engine) answer(now clock.Instant, r *request, fx *Effects) {
	answer := Answer{Key: r.Key, Code: result.OK}
	if r.isGather() {
		answer.Gathered = true
		answer.Parts = make([]Part, 0, r.done)
		for i := range r.shards {
			if part := r.shards[i].part; part != nil {
				answer.Parts = append(answer.Parts, Part{Shard: i, Proof: part.Proof})
			}
		}
		answer.Missing = len(r.shards) - r.done
		answer.Body = r.records
		if answer.Missing > 0 {
			e.counters.Partial++
		}
	} else {
		answer.Response = r.shards[0].part
	}
	e.finish(now, r, answer, fx)
	e.withdrawOpen(r, fx)
}

// fail ends a request that cannot be completed. For a request to a single service the last
// error response of a target is passed on, if there is one.
func (e *Engine) fail(now clock.Instant, r *request, deadlinePassed bool, fx *Effects) {
	answer := Answer{Key: r.Key, Code: e.failureCode(now, r, deadlinePassed)}
	if failure := r.shards[0].failure; failure != nil && !r.isGather() {
		answer.Code = result.OK
		answer.Response = failure
	}
	if answer.Code.Kind() == result.NotRun {
		e.counters.Refused++
		answer.RetryAfter = e.retryAfter()
	} else {
		e.counters.Failed++
	}
	e.finish(now, r, answer, fx)
	e.cancelOpen(r, fx)
}

// failureCode returns the code for a failed request. It is of the kind NotRun only if it is
// certain that no target ran the request.
func (e *Engine) failureCode(now clock.Instant, r *request, deadlinePassed bool) result.Code {
	ran := r.ran || r.open > 0
	switch {
	case !ran && deadlinePassed:
		return result.DeadlineTooShort
	case !ran && e.isStuck(now, r):
		return result.TargetsUnreachable
	case !ran && e.allServicesHaveTargets(r):
		return result.Shed
	case !ran:
		return result.NoReplica
	case r.isGather():
		return result.CoverageTooLow
	case deadlinePassed:
		return result.DeadlineExceeded
	}
	return result.OutcomeUnknown
}

// allServicesHaveTargets reports whether each service of the request has a target.
func (e *Engine) allServicesHaveTargets(r *request) bool {
	for i := range r.shards {
		if len(r.shards[i].service.targets) == 0 {
			return false
		}
	}
	return true
}

func (e *Engine) finish(now clock.Instant, r *request, answer Answer, fx *Effects) {
	e.endRequest(r)
	answer.Elapsed = now.Mono - r.started
	answer.DecidedAt = now.Mono
	status := 0
	if answer.Response != nil {
		status = answer.Response.Status
	}
	record := decision.New("request_ended",
		decision.String("request", r.ID), decision.String("route", r.route.Name), decision.Uint("config_version", r.version),
		decision.String("code", answer.Code.String()), decision.Int("status", status),
		decision.Int("shards", len(r.shards)), decision.Int("missing", len(r.shards)-r.done),
		decision.String("left_out", r.leftOut(now.Mono)),
		decision.Int("hedges", r.hedges), decision.Int("retries", r.retries),
		decision.Millis("elapsed", answer.Elapsed), decision.Millis("objective", r.route.LatencyObjective))
	if answer.Code != result.OK {
		record.Level = decision.Warn
	}
	fx.Answers = append(fx.Answers, answer)
	fx.Records = append(fx.Records, record)
}

// maxLeftOutShards is the maximum number of unfinished shards in a log record.
const maxLeftOutShards = 4

// leftOut describes the state of the first unfinished shards.
func (r *request) leftOut(now time.Duration) string {
	if r.done == len(r.shards) {
		return ""
	}
	var parts []string
	for i := range r.shards {
		sh := &r.shards[i]
		if sh.done {
			continue
		}
		if len(parts) == maxLeftOutShards {
			parts = append(parts, "...")
			break
		}
		parts = append(parts, fmt.Sprintf("%d: %s", i, sh.state(now)))
	}
	return strings.Join(parts, "; ")
}

// state describes what an unfinished shard waits for.
func (s *shard) state(now time.Duration) string {
	switch {
	case s.handoff != nil:
		return "with peer " + s.handoff.peer.Host
	case len(s.open) > 0:
		var open []string
		for _, a := range s.open {
			open = append(open, fmt.Sprintf("%s for %d ms", a.target.spec.Instance, (now-a.sent).Milliseconds()))
		}
		return "open at " + strings.Join(open, ", ")
	case s.waiting:
		return fmt.Sprintf("waits for one of %d targets", len(s.service.targets))
	case len(s.service.targets) == 0:
		return "no target"
	}
	return fmt.Sprintf("given up after %d attempts", s.sends)
}
