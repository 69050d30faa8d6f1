package targetclient

import (
	"encoding/json"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
)

// exchange is one request for work and its reply, whatever the kind of work.
type exchange struct {
	spec  *release.Target
	guard *engine.Guard
	// deadline is on the monotonic clock.
	deadline time.Duration
	path     string
	// name, traceParent and attributes are the span's.
	name        string
	traceParent string
	attributes  []attribute.KeyValue
	// request returns the body to encode, given the time that is left.
	request func(left time.Duration) any
	// take judges the decoded reply.
	take func() engine.Outcome
}

// ending is how an exchange ended.
type ending struct {
	outcome engine.Outcome
	// claimed is the incarnation that a health endpoint spoke of when it held work back.
	claimed      uint64
	disconnected bool
	elapsed      time.Duration
	// replied tells that a reply was decoded.
	replied bool
}

// exchange sends the request at most once, within the host's share of connections and
// after the check that the guard asks for, and decodes the reply into answer.
func (c *Client) exchange(x *exchange, answer any) ending {
	begin := c.clock.Now().Mono
	left := x.deadline - begin
	dials := c.conns.acquire(x.spec.Address, x.guard.Spare)
	defer c.conns.release(x.spec.Address)
	if left <= 0 {
		return ending{outcome: engine.Unsent}
	}
	if needsCheck(x.guard, dials) {
		if held := c.checkIncarnation(x.spec.Address, x.guard, left); held.outcome != 0 {
			return ending{outcome: held.outcome, claimed: held.claimed, disconnected: held.disconnected}
		}
	}
	body, err := json.Marshal(x.request(left))
	if err != nil {
		return ending{outcome: engine.Unsent}
	}
	span := c.tracer.Start(x.traceParent, x.name, append(x.attributes, attribute.String("target", x.spec.Name))...)
	err = c.do(&call{
		address:     x.spec.Address,
		path:        x.path,
		body:        body,
		timeout:     left + replyGrace,
		traceParent: span.Context(),
	}, answer)
	end := ending{elapsed: c.clock.Now().Mono - begin, replied: err == nil}
	if err != nil {
		end.outcome = outcomeOfError(err)
		end.disconnected = disconnected(err)
	} else {
		end.outcome = x.take()
	}
	span.End(attribute.String("outcome", end.outcome.String()))
	return end
}
