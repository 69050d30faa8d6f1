package targetclient

import (
	"encoding/json"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
)

// exchange is one request to a target and its reply, of any kind of work.
type exchange struct {
	spec  *release.Target
	guard *engine.Guard
	// deadline is a time on the monotonic clock.
	deadline time.Duration
	path     string
	// spanName, traceParent and spanAttributes describe the trace span.
	spanName       string
	traceParent    string
	spanAttributes []attribute.KeyValue
	// request returns the body to encode, given the time left until the deadline.
	request func(left time.Duration) any
	// classify returns the outcome of the decoded reply.
	classify func() engine.Outcome
}

// exchangeResult is the result of an exchange.
type exchangeResult struct {
	outcome engine.Outcome
	// reportedIncarnation is the incarnation that the health endpoint returned, if the request
	// was not sent because of it.
	reportedIncarnation uint64
	disconnected        bool
	elapsed             time.Duration
	// replied is set if a reply was decoded.
	replied bool
}

// exchange sends the request at most once, after the check that the guard requires, and
// decodes the reply into answer. It counts one busy connection for its duration.
func (c *Client) exchange(x *exchange, answer any) exchangeResult {
	start := c.clock.Now().Mono
	left := x.deadline - start
	dials := c.conns.acquire(x.spec.Address, x.guard.ReservedConnections)
	defer c.conns.release(x.spec.Address)
	if left <= 0 {
		return exchangeResult{outcome: engine.Unsent}
	}
	if needsCheck(x.guard, dials) {
		if check := c.checkTarget(x.spec.Address, x.guard, left); check.outcome != 0 {
			return exchangeResult{outcome: check.outcome, reportedIncarnation: check.reportedIncarnation, disconnected: check.disconnected}
		}
	}
	body, err := json.Marshal(x.request(left))
	if err != nil {
		return exchangeResult{outcome: engine.Unsent}
	}
	span := c.tracer.Start(x.traceParent, x.spanName, append(x.spanAttributes, attribute.String("target", x.spec.Name))...)
	err = c.send(&httpCall{
		address:     x.spec.Address,
		path:        x.path,
		body:        body,
		timeout:     left + replyGrace,
		traceParent: span.TraceParent(),
	}, answer)
	result := exchangeResult{elapsed: c.clock.Now().Mono - start, replied: err == nil}
	if err != nil {
		result.outcome = errorOutcome(err)
		result.disconnected = connectionLost(err)
	} else {
		result.outcome = x.classify()
	}
	if result.outcome == engine.Crossed {
		// The connection is one reply behind, and the HTTP client has already pooled it.
		c.http.CloseIdleConnections()
	}
	span.End(attribute.String("outcome", result.outcome.String()))
	return result
}
