// Package targetclient sends the engine's requests and cancellations to targets over the
// target protocol, and returns the result of each attempt.
package targetclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	errs "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"go.opentelemetry.io/otel/attribute"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/edge/trace"
	"pollentack.example/pollentack/internal/targetapi"
)

const (
	dialTimeout   = time.Second
	cancelTimeout = time.Second
	// idleTimeout is how long idle connections are kept for reuse. It is below the time after
	// which targets close them.
	idleTimeout = 60 * time.Second
	// replyGrace is how long to wait for a reply after the deadline. The target knows the
	// deadline and ends the request itself.
	replyGrace = 50 * time.Millisecond
	// maxConnsPerTarget is above the connection limit of any target, which the engine
	// enforces.
	maxConnsPerTarget = 4096
	// maxReplyBytes bounds the body of a reply.
	maxReplyBytes = 8 << 20
	// maxReplyHeadBytes bounds the status line and header of a reply, and its trailers.
	maxReplyHeadBytes = 64 << 10
)

// Client calls targets. Its methods block, so callers run them on workers.
type Client struct {
	host   string
	clock  sysclock.Clock
	tracer *trace.Tracer
	http   *client.Client
	conns  *connections
}

// New returns a client that identifies its attempts by the name of this host.
func New(host string, clk sysclock.Clock, tracer *trace.Tracer) (*Client, error) {
	conns := newConnections()
	c, err := client.NewClient(
		client.WithDialer(&countingDialer{Dialer: standard.NewDialer(), conns: conns}),
		client.WithMaxIdleConnDuration(idleTimeout),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(maxConnsPerTarget),
		client.WithKeepAlive(true),
		config.ClientOption{F: func(o *config.ClientOptions) { o.MaxResponseBodySize = maxReplyBytes }},
	)
	if err != nil {
		return nil, fmt.Errorf("create target client: %w", err)
	}
	return &Client{host: host, clock: clk, tracer: tracer, http: c, conns: conns}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Search sends one search attempt to its target and returns the result.
func (c *Client) Search(s *engine.Send) *engine.AttemptResult {
	var answer targetapi.SearchReply
	result := c.exchange(&exchange{
		spec:           s.Spec,
		guard:          &s.Guard,
		deadline:       s.Deadline,
		path:           targetapi.PathSearch,
		spanName:       "attempt",
		traceParent:    s.Request.TraceParent,
		spanAttributes: []attribute.KeyValue{attribute.Int("shard", int(s.Attempt.Shard)), attribute.Int("try", int(s.Attempt.Try))},
		request:        func(left time.Duration) any { return c.searchRequest(s, left) },
		classify: func() engine.Outcome {
			return searchOutcome(&answer, c.attemptRef(s.Attempt), s.Spec.Name)
		},
	}, &answer)
	reply := &engine.AttemptResult{
		Attempt:            s.Attempt,
		Target:             s.Target,
		Outcome:            result.outcome,
		ClaimedIncarnation: result.reportedIncarnation,
		Disconnected:       result.disconnected,
		Elapsed:            result.elapsed,
	}
	if result.replied {
		copyReply(reply, &answer)
	}
	return reply
}

// Cancel notifies the target that the result of an attempt is no longer needed. Errors are
// ignored: the target only does unnecessary work. The cancellation is dropped if no reserved
// connection to the target is free.
func (c *Client) Cancel(x *engine.Cancel) {
	if !c.conns.acquireReserved(x.Spec.Address) {
		return
	}
	defer c.conns.releaseReserved(x.Spec.Address)
	body, err := json.Marshal(c.attemptRef(x.Attempt))
	if err != nil {
		return
	}
	_ = c.send(&httpCall{address: x.Spec.Address, path: targetapi.PathCancel, body: body, timeout: cancelTimeout}, nil)
}

func (c *Client) attemptRef(id query.AttemptID) targetapi.AttemptRef {
	return targetapi.AttemptRef{Host: c.host, Query: uint64(id.Query), Shard: id.Shard, Try: id.Try}
}

func (c *Client) searchRequest(s *engine.Send, left time.Duration) *targetapi.SearchRequest {
	return &targetapi.SearchRequest{
		Attempt:        c.attemptRef(s.Attempt),
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

// httpCall is one HTTP request to a target.
type httpCall struct {
	address     string
	path        string
	body        []byte
	timeout     time.Duration
	traceParent string
}

// method is GET for a call without a body.
func (x *httpCall) method() string {
	if x.body == nil {
		return "GET"
	}
	return "POST"
}

// send makes a call and decodes the JSON body of the response into out, unless out is nil.
// It does not check the HTTP status.
func (c *Client) send(x *httpCall, out any) error {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(x.method())
	req.SetRequestURI("http://" + x.address + x.path)
	req.SetBody(x.body)
	if x.traceParent != "" {
		req.Header.Set(trace.TraceParentHeader, x.traceParent)
	}
	if err := c.http.DoTimeout(context.Background(), req, resp, x.timeout); err != nil {
		return fmt.Errorf("call %s%s: %w", x.address, x.path, err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fmt.Errorf("%w from %s: %w", errMalformed, x.address, err)
	}
	return nil
}

// errMalformed is returned for a reply that cannot be decoded.
var errMalformed = errors.New("malformed reply")

// connectionLost reports whether a call failed because its connection was refused or broke,
// which may indicate a restart of the target. Timeouts and malformed replies do not.
func connectionLost(err error) bool {
	return !errors.Is(err, errs.ErrTimeout) && !errors.Is(err, errMalformed)
}

// errorOutcome returns Unreachable for a failed dial, after which the request cannot have
// run, and Lost for any other error.
func errorOutcome(err error) engine.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return engine.Unreachable
	}
	return engine.Lost
}

var searchOutcomes = map[string]engine.Outcome{
	targetapi.StatusOK:           engine.Answered,
	targetapi.StatusShed:         engine.Shed,
	targetapi.StatusCold:         engine.ColdRefused,
	targetapi.StatusSnapshotGone: engine.SnapshotGone,
	targetapi.StatusCancelled:    engine.Cancelled,
}

// searchOutcome returns the outcome of a reply to the attempt ref at the named target. A reply
// for another attempt, target or shard is Crossed: the outcome of this attempt is unknown,
// and the content of the reply is ignored.
func searchOutcome(answer *targetapi.SearchReply, ref targetapi.AttemptRef, name string) engine.Outcome {
	outcome, ok := searchOutcomes[answer.Status]
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

// copyReply copies the content of the target's answer to reply. A crossed answer is ignored,
// since it does not describe the target of this attempt.
func copyReply(reply *engine.AttemptResult, answer *targetapi.SearchReply) {
	if reply.Outcome == engine.Crossed {
		return
	}
	reply.Incarnation = answer.Incarnation
	reply.Cold = answer.Cold
	reply.Leaving = answer.Leaving
	if reply.Outcome != engine.Answered {
		return
	}
	reply.Snapshot = release.SnapshotKey{Version: answer.Version, Layout: answer.Layout}
	reply.Hits = make([]query.Hit, len(answer.Hits))
	for i, h := range answer.Hits {
		reply.Hits[i] = query.Hit(h)
	}
}
