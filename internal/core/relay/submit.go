package relay

import (
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/result"
)

const (
	// answerMargin is kept from the deadline so that the answer still reaches the caller.
	answerMargin = 10 * time.Millisecond
	// cutoffShare is the share of the objective that is kept for the way of a partial
	// answer to its caller, as 1/n, bounded by minCutoffMargin and maxCutoffMargin.
	cutoffShare     = 10
	minCutoffMargin = 8 * time.Millisecond
	maxCutoffMargin = 16 * time.Millisecond
	// hopelessShare is the share of the objective, as 1/n, below which the time that is left
	// to a handoff is no use, and lateGatherShare the share that it has then.
	hopelessShare   = 16
	lateGatherShare = 4
	// offerShare is the share of the objective, as 1/n, after which a request that no
	// target had room for is refused, so that its caller can come back in time.
	offerShare = 4
	// minRetryAfter is the least pause that a refused caller is asked for; it is drawn up
	// to twice that so that callers do not return at once.
	minRetryAfter = 100 * time.Millisecond
)

// submit takes a new request.
func (e *Engine) submit(now clock.Instant, rq *Request, fx *Effects) {
	e.counters.Requests++
	route, code := e.routeFor(rq)
	if code != result.OK {
		e.refuse(rq, route, code, fx)
		return
	}
	r := e.newRequest(now, rq, route)
	if r.deadline <= now.Mono {
		e.refuse(rq, route, result.DeadlineTooShort, fx)
		return
	}
	e.requests[rq.Key] = r
	e.delegate(now, r, fx)
	e.look(now, r, fx)
}

// routeFor returns the route of a request, or the code to refuse it with.
func (e *Engine) routeFor(rq *Request) (*catalog.Route, result.Code) {
	if e.view.Config == nil {
		return nil, result.NotReady
	}
	route := e.view.Config.Match(rq.Host, rq.Path)
	if rq.Gather != nil {
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

// route returns a route to the shards of a handoff. Any number of them is an answer: the
// host that handed them over decides whether there are enough.
func (g *Gather) route() *catalog.Route {
	return &catalog.Route{
		Name: g.Route, Idempotent: true, Gather: g.Services, TopK: g.TopK, MaxAttempts: g.MaxAttempts,
		Objective: g.Objective, Timeout: g.Timeout, Regions: g.Regions,
	}
}

func (e *Engine) newRequest(now clock.Instant, rq *Request, route *catalog.Route) *request {
	r := &request{Request: rq, route: route, version: e.view.Config.Version, started: now.Mono}
	limit := route.Timeout
	if rq.Timeout > 0 && (limit <= 0 || rq.Timeout < limit) {
		limit = rq.Timeout
	}
	r.margin = min(max(route.Objective/cutoffShare, minCutoffMargin), maxCutoffMargin)
	if rq.Gather != nil {
		// The host that handed the shards over counts its margin as age.
		r.margin = rq.Gather.Age
		limit -= rq.Gather.Age
	}
	r.deadline = now.Mono + limit - answerMargin
	if e.drainUntil > 0 {
		r.deadline = min(r.deadline, e.drainUntil)
	}
	r.cutoff = now.Mono + max(0, route.Objective-r.margin)
	if rq.Gather != nil && r.cutoff < now.Mono+route.Objective/hopelessShare {
		// A way that leaves no time makes the answer late, not empty.
		r.cutoff = now.Mono + route.Objective/lateGatherShare
	}
	r.offerBy = now.Mono + route.Objective/offerShare
	names := e.servicesOf(route)
	r.shards = make([]shard, len(names))
	for i, name := range names {
		r.shards[i].service = e.serviceOf(name)
		if rq.Gather != nil && rq.Gather.Repeat {
			r.shards[i].arrived = 1
		}
	}
	return r
}

// servicesOf returns one service for each shard of a request on the route.
func (e *Engine) servicesOf(route *catalog.Route) []string {
	switch {
	case len(route.Gather) > 0:
		return route.Gather
	case len(route.Split) > 0:
		return []string{e.routeOf(route.Name).pickSplit(route.Split)}
	}
	return []string{route.Service}
}

// refuse ends a request that was not begun.
func (e *Engine) refuse(rq *Request, route *catalog.Route, code result.Code, fx *Effects) {
	e.counters.Refused++
	name := ""
	if route != nil {
		name = route.Name
	}
	answer := Answer{Key: rq.Key, Code: code}
	if code != result.ServiceUnknown {
		answer.RetryAfter = e.retryAfter()
	}
	fx.Answers = append(fx.Answers, answer)
	fx.Records = append(fx.Records, decision.Warning("request_refused",
		decision.String("request", rq.ID), decision.String("route", name), decision.String("host", rq.Host), decision.String("path", rq.Path),
		decision.String("code", code.String()), decision.Uint("config_revision", e.view.ConfigRevision),
		decision.Int("in_progress", len(e.requests)), decision.Millis("retry_after", answer.RetryAfter)))
}

func (e *Engine) retryAfter() time.Duration {
	return minRetryAfter + time.Duration(e.rng.Int64N(int64(minRetryAfter)))
}
