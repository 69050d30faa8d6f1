package relay

import (
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/result"
)

const (
	// deadlineMargin is subtracted from the deadline so that the answer reaches the caller in
	// time.
	deadlineMargin = 10 * time.Millisecond
	// objective/replyMarginDivisor is reserved for returning a partial answer to the caller,
	// within the bounds minReplyMargin and maxReplyMargin.
	replyMarginDivisor = 10
	minReplyMargin     = 8 * time.Millisecond
	maxReplyMargin     = 16 * time.Millisecond
	// If less than objective/minGatherDivisor remains for the shards of a handoff, which is
	// too short to be useful, they get objective/lateGatherDivisor instead.
	minGatherDivisor  = 16
	lateGatherDivisor = 4
	// A request that no target has capacity for is refused after objective/dispatchDivisor,
	// so that its caller can retry in time.
	dispatchDivisor = 4
	// minRetryAfter is the minimum Retry-After delay. The delay is drawn at random between
	// this and twice this, so that refused callers do not all retry at the same time.
	minRetryAfter = 100 * time.Millisecond
	// drainRetryAfter is the Retry-After delay of requests that a stopping host refuses: the
	// next host can take them at once.
	drainRetryAfter = 5 * time.Millisecond
	// During a graceful shutdown a request that may not be repeated is accepted only if
	// unrepeatableDrainFactor times its objective remains.
	unrepeatableDrainFactor = 2
)

// submit starts or refuses a new request.
func (e *Engine) submit(now clock.Instant, rq *Request, fx *Effects) {
	e.counters.Requests++
	route, code := e.routeFor(rq)
	if code == result.OK && rq.Gather != nil && e.reach.cutOff {
		code = result.TargetsUnreachable
	}
	if code != result.OK {
		e.refuse(rq, route, code, fx)
		return
	}
	r := e.newRequest(now, rq, route)
	if r.deadline <= now.Mono || e.givenUp(rq) {
		e.refuse(rq, route, result.DeadlineTooShort, fx)
		return
	}
	if e.endsBefore(now, route) {
		e.refuseFor(rq, route, result.Draining, drainRetryAfter, fx)
		return
	}
	if code, retryAfter := e.quarantined(now, r); code != result.OK {
		e.refuseFor(rq, route, code, retryAfter, fx)
		return
	}
	if e.refuseOverLimit(now, r, fx) {
		return
	}
	e.requests[rq.Key] = r
	e.admitSuspect(now, r)
	e.delegate(now, r, fx)
	e.poll(now, r, fx)
}

// endsBefore reports whether a graceful shutdown ends before a new request on the route should be
// answered. Another host can still take the request; once it was passed on it may have to be given
// up, which is worst for one that cannot be repeated.
func (e *Engine) endsBefore(now clock.Instant, route *catalog.Route) bool {
	if e.drainUntil == 0 {
		return false
	}
	needed := route.LatencyObjective
	if !route.Idempotent {
		needed *= unrepeatableDrainFactor
	}
	return now.Mono+needed > e.drainUntil
}

// routeFor returns the route of a request and result.OK, or the code to refuse it with.
func (e *Engine) routeFor(rq *Request) (*catalog.Route, result.Code) {
	if e.view.Config == nil {
		return nil, result.NotReady
	}
	route := e.view.Config.Match(rq.Host, rq.Path)
	if rq.Gather != nil {
		if len(rq.Gather.Services) == 0 {
			return nil, result.BadRequest
		}
		route = rq.Gather.route()
	}
	switch {
	case route == nil:
		return nil, result.ServiceUnknown
	case len(e.requests) >= e.cfg.MaxRequests:
		return route, result.QueueFull
	}
	return route, result.OK
}

// route returns a route to the shards of a handoff. It has no minimum coverage, because the
// host that handed the shards off decides whether the coverage suffices.
func (g *GatherSpec) route() *catalog.Route {
	if g.Whole {
		return &catalog.Route{
			Name: g.Route, Service: g.Services[0], MaxAttempts: g.MaxAttempts,
			LatencyObjective: g.Objective, Timeout: g.Timeout, Regions: g.Regions,
		}
	}
	return &catalog.Route{
		Name: g.Route, Idempotent: true, ShardServices: g.Services, TopK: g.TopK, MaxAttempts: g.MaxAttempts,
		LatencyObjective: g.Objective, Timeout: g.Timeout, Regions: g.Regions,
	}
}

func (e *Engine) newRequest(now clock.Instant, rq *Request, route *catalog.Route) *request {
	r := &request{Request: rq, route: route, version: e.view.Config.Version, started: now.Mono, fingerprint: fingerprintOf(rq)}
	if rq.ArrivedAt > 0 {
		r.started = min(rq.ArrivedAt, now.Mono)
	}
	limit := route.Timeout
	if rq.Timeout > 0 && (limit <= 0 || rq.Timeout < limit) {
		limit = rq.Timeout
	}
	r.replyMargin = min(max(route.LatencyObjective/replyMarginDivisor, minReplyMargin), maxReplyMargin) + e.lag.expected(route.LatencyObjective)
	if rq.Gather != nil {
		// The age of a handoff includes the margins that its sender reserves, but not how long a cut
		// connection or a paused host held it up.
		r.replyMargin = rq.Gather.Age + rq.Delay
		limit -= r.replyMargin
	}
	r.deadline = r.started + limit - deadlineMargin
	if e.drainUntil > 0 {
		r.deadline = min(r.deadline, e.drainUntil)
	}
	r.cutoff = r.started + max(0, route.LatencyObjective-r.replyMargin)
	if rq.Gather != nil && r.cutoff < now.Mono+route.LatencyObjective/minGatherDivisor {
		// If the round trip leaves no time, a late answer is better than an empty one.
		r.cutoff = now.Mono + route.LatencyObjective/lateGatherDivisor
	}
	r.dispatchBy = r.started + route.LatencyObjective/dispatchDivisor
	names := e.servicesOf(route)
	r.shards = make([]shard, len(names))
	for i, name := range names {
		s := e.serviceOf(name)
		if s.budget.capacity == 0 {
			s.budget.configure(now.Mono, e.retrySlack(name), e.cfg.Retry.Window, e.slackFrom) // a service that is not published yet
		}
		r.shards[i].service = s
		if rq.Gather != nil && rq.Gather.Repeat {
			r.shards[i].delivered = 1
		}
	}
	return r
}

// servicesOf returns one service for each shard of a request on the route.
func (e *Engine) servicesOf(route *catalog.Route) []string {
	switch {
	case len(route.ShardServices) > 0:
		return route.ShardServices
	case len(route.Split) > 0:
		return []string{e.routeOf(route.Name).pickSplit(route.Split)}
	}
	return []string{route.Service}
}

// refuse answers a request that was not started.
func (e *Engine) refuse(rq *Request, route *catalog.Route, code result.Code, fx *Effects) {
	var retryAfter time.Duration
	if code != result.ServiceUnknown {
		retryAfter = e.retryAfter()
	}
	e.refuseFor(rq, route, code, retryAfter, fx)
}

// refuseFor is refuse with the delay after which the caller may retry, 0 for unspecified.
func (e *Engine) refuseFor(rq *Request, route *catalog.Route, code result.Code, retryAfter time.Duration, fx *Effects) {
	e.counters.Refused++
	name := ""
	if route != nil {
		name = route.Name
	}
	answer := Answer{Key: rq.Key, Code: code, RetryAfter: retryAfter}
	fx.Answers = append(fx.Answers, answer)
	fx.Records = append(fx.Records, decision.Warning("request_refused",
		decision.String("request", rq.ID), decision.String("route", name), decision.String("host", rq.Host), decision.String("path", rq.Path),
		decision.String("code", code.String()), decision.Uint("config_revision", e.view.ConfigRevision),
		decision.Int("in_progress", len(e.requests)), decision.Millis("retry_after", answer.RetryAfter)))
}

func (e *Engine) retryAfter() time.Duration {
	return minRetryAfter + time.Duration(e.rng.Int64N(int64(minRetryAfter)))
}
