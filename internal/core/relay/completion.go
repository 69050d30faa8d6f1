package relay

import (
	"fmt"
	"strings"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/result"
)

// settle ends the request if it is time, and reports whether it did. hope tells whether
// a shard that is not done may still be answered.
func (e *Engine) settle(now clock.Instant, r *request, hope bool, fx *Effects) bool {
	late := now.Mono >= r.deadline
	switch {
	case r.done == len(r.shards):
		e.answer(now, r, fx)
	case r.gathers() && r.enough() && (now.Mono >= r.cutoff || !hope):
		e.answer(now, r, fx)
	case late || !hope:
		e.fail(now, r, late, fx)
	case r.unoffered() && now.Mono >= r.offerBy:
		e.fail(now, r, false, fx)
	default:
		return false
	}
	return true
}

// unoffered reports whether no target has had the request.
func (r *request) unoffered() bool { return r.open == 0 && !r.ran && r.done == 0 }

// answer ends the request with what is in.
func (e *Engine) answer(now clock.Instant, r *request, fx *Effects) {
	answer := Answer{Key: r.Key, Code: result.OK}
	if r.gathers() {
		answer.Gathered = true
		var bodies [][]byte
		for i := range r.shards {
			if part := r.shards[i].part; part != nil {
				answer.Parts = append(answer.Parts, Part{Shard: i, Proof: part.Proof})
				bodies = append(bodies, part.Body)
			}
		}
		for _, g := range r.groups {
			bodies = append(bodies, g.body)
		}
		answer.Missing = len(r.shards) - r.done
		answer.Body = mergeTop(bodies, r.route.TopK)
		if answer.Missing > 0 {
			e.counters.Partial++
		}
	} else {
		answer.Response = r.shards[0].part
	}
	e.finish(now, r, answer, fx)
}

// fail ends a request that cannot be answered.
func (e *Engine) fail(now clock.Instant, r *request, late bool, fx *Effects) {
	answer := Answer{Key: r.Key, Code: e.failureCode(r, late)}
	if failure := r.shards[0].failure; failure != nil && !r.gathers() {
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

// failureCode tells callers no more than is known: "not run" only where no target may
// have run the request.
func (e *Engine) failureCode(r *request, late bool) result.Code {
	ran := r.ran || r.open > 0
	switch {
	case !ran && late:
		return result.DeadlineTooShort
	case !ran && e.anyTarget(r):
		return result.Shed
	case !ran:
		return result.NoReplica
	case r.gathers():
		return result.CoverageTooLow
	case late:
		return result.DeadlineExceeded
	}
	return result.OutcomeUnknown
}

func (e *Engine) anyTarget(r *request) bool {
	for i := range r.shards {
		if len(r.shards[i].service.targets) == 0 {
			return false
		}
	}
	return true
}

func (e *Engine) finish(now clock.Instant, r *request, answer Answer, fx *Effects) {
	e.end(r)
	answer.Elapsed = now.Mono - r.started
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
		decision.Millis("elapsed", answer.Elapsed), decision.Millis("objective", r.route.Objective))
	if answer.Code != result.OK {
		record.Level = decision.Warn
	}
	fx.Answers = append(fx.Answers, answer)
	fx.Records = append(fx.Records, record)
}

// maxLeftOut bounds the shards that a log line names.
const maxLeftOut = 4

// leftOut says for the first shards that are not done what was the matter with them.
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
		if len(parts) == maxLeftOut {
			parts = append(parts, "...")
			break
		}
		parts = append(parts, fmt.Sprintf("%d: %s", i, sh.state(now)))
	}
	return strings.Join(parts, "; ")
}

// state says what a shard that is not done waits for.
func (s *shard) state(now time.Duration) string {
	switch {
	case s.group != nil:
		return "with peer " + s.group.peer.Host
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
