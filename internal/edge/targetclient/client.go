// Package targetclient carries out sends and cancels of the engine over the targets'
// published protocol, and reports how each attempt ended.
package targetclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	errs "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"go.opentelemetry.io/otel/attribute"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/edge/trace"
	"pollentack.example/pollentack/internal/edge/wallclock"
	"pollentack.example/pollentack/internal/targetapi"
)

const (
	dialTimeout   = time.Second
	cancelTimeout = time.Second
	// idleTimeout keeps connections warm between requests; it is under the time after
	// which targets close idle connections.
	idleTimeout = 60 * time.Second
	// replyGrace is how long after the deadline a reply is still awaited: the target
	// is told the deadline and ends by itself.
	replyGrace = 50 * time.Millisecond
	// maxConnsPerTarget is above any target's limit, which the engine enforces.
	maxConnsPerTarget = 4096
)

// Client makes the calls. Its methods block and are run by workers.
type Client struct {
	host   string
	clock  wallclock.Clock
	tracer *trace.Tracer
	http   *client.Client
	conns  *connections
}

// New returns a client that names host in its attempts.
func New(host string, clk wallclock.Clock, tracer *trace.Tracer) (*Client, error) {
	conns := newConnections()
	c, err := client.NewClient(
		client.WithDialer(&countingDialer{Dialer: standard.NewDialer(), conns: conns}),
		client.WithMaxIdleConnDuration(idleTimeout),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(maxConnsPerTarget),
		client.WithKeepAlive(true),
	)
	if err != nil {
		return nil, fmt.Errorf("target client: %w", err)
	}
	return &Client{host: host, clock: clk, tracer: tracer, http: c, conns: conns}, nil
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do carries out one send and returns how it ended.
func (c *Client) Do(s *engine.Send) *engine.Reply {
	var answer targetapi.SearchReply
	end := c.exchange(&exchange{
		spec:        s.Spec,
		guard:       &s.Guard,
		deadline:    s.Deadline,
		path:        targetapi.PathSearch,
		name:        "attempt",
		traceParent: s.Request.TraceParent,
		attributes:  []attribute.KeyValue{attribute.Int("shard", int(s.Attempt.Shard)), attribute.Int("try", int(s.Attempt.Try))},
		request:     func(left time.Duration) any { return c.searchRequest(s, left) },
		take: func() engine.Outcome {
			return outcomeOf(&answer, c.ref(s.Attempt), s.Spec.Name)
		},
	}, &answer)
	reply := &engine.Reply{
		Attempt:            s.Attempt,
		Target:             s.Target,
		Outcome:            end.outcome,
		ClaimedIncarnation: end.claimed,
		Disconnected:       end.disconnected,
		Elapsed:            end.elapsed,
	}
	if end.replied {
		fill(reply, &answer)
	}
	return reply
}

// Cancel tells the target that the attempt has lost. A failure costs only its work.
// It is dropped where the host's share of the target's connections is in use.
func (c *Client) Cancel(x *engine.Cancel) {
	if !c.conns.acquireSpare(x.Spec.Address) {
		return
	}
	defer c.conns.releaseSpare(x.Spec.Address)
	body, err := json.Marshal(c.ref(x.Attempt))
	if err != nil {
		return
	}
	_ = c.do(&call{address: x.Spec.Address, path: targetapi.PathCancel, body: body, timeout: cancelTimeout}, nil)
}

func (c *Client) ref(id query.AttemptID) targetapi.AttemptRef {
	return targetapi.AttemptRef{Host: c.host, Query: uint64(id.Query), Shard: id.Shard, Try: id.Try}
}

func (c *Client) searchRequest(s *engine.Send, left time.Duration) *targetapi.SearchRequest {
	return &targetapi.SearchRequest{
		Attempt:        c.ref(s.Attempt),
		Service:        s.Snapshot.Service,
		Version:        s.Snapshot.Version,
		Layout:         s.Snapshot.Layout,
		Shard:          s.Attempt.Shard,
		Body:           string(s.Request.Body),
		Limit:          s.Request.Limit,
		DeadlineMicros: left.Microseconds(),
		NotAfterMicros: s.NotAfter.Microseconds(),
	}
}

// call is one HTTP call to a target.
type call struct {
	address     string
	path        string
	body        []byte
	timeout     time.Duration
	traceParent string
}

// method is GET for a call without a body.
func (x *call) method() string {
	if x.body == nil {
		return "GET"
	}
	return "POST"
}

func (c *Client) do(x *call, into any) error {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(x.method())
	req.SetRequestURI("http://" + x.address + x.path)
	req.SetBody(x.body)
	if x.traceParent != "" {
		req.Header.Set(trace.Header, x.traceParent)
	}
	if err := c.http.DoTimeout(context.Background(), req, resp, x.timeout); err != nil {
		return fmt.Errorf("call %s%s: %w", x.address, x.path, err)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return fmt.Errorf("%w of %s: %w", errMalformed, x.address, err)
	}
	return nil
}

// errMalformed is a reply that came but does not decode.
var errMalformed = errors.New("malformed reply")

// disconnected reports whether a failed call broke its connection, which may be the
// sign of a restart. A late reply and a malformed one are none.
func disconnected(err error) bool {
	return !errors.Is(err, errs.ErrTimeout) && !errors.Is(err, errMalformed)
}

// outcomeOfError tells a connection that was never made, where nothing ran, from one
// that was lost after the send.
func outcomeOfError(err error) engine.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return engine.Unreachable
	}
	return engine.Lost
}

var outcomes = map[string]engine.Outcome{
	targetapi.StatusOK:           engine.Answered,
	targetapi.StatusShed:         engine.Shed,
	targetapi.StatusCold:         engine.ColdRefused,
	targetapi.StatusSnapshotGone: engine.SnapshotGone,
	targetapi.StatusCancelled:    engine.Cancelled,
}

// fill takes the target's word. A reply that names another attempt or target is
// crossed: what became of this attempt is not known, and nothing it says is believed.
// outcomeOf judges a reply to the attempt ref at the target name.
func outcomeOf(answer *targetapi.SearchReply, ref targetapi.AttemptRef, name string) engine.Outcome {
	outcome, ok := outcomes[answer.Status]
	switch {
	case answer.Attempt != ref || answer.Target != name:
		return engine.Crossed
	case !ok:
		return engine.Lost
	case outcome == engine.Answered && answer.Shard != ref.Shard:
		return engine.Crossed
	case outcome == engine.Answered && answer.Count != len(answer.Hits):
		return engine.Truncated
	}
	return outcome
}

// fill takes what a reply says. A crossed one says nothing of the target that was asked.
func fill(reply *engine.Reply, answer *targetapi.SearchReply) {
	if reply.Outcome == engine.Crossed {
		return
	}
	reply.Incarnation = answer.Incarnation
	reply.Cold = answer.Cold
	reply.Leaving = answer.Leaving
	if reply.Outcome != engine.Answered {
		return
	}
	reply.Snapshot = release.Key{Version: answer.Version, Layout: answer.Layout}
	reply.Hits = make([]query.Hit, len(answer.Hits))
	for i, h := range answer.Hits {
		reply.Hits[i] = query.Hit(h)
	}
}
