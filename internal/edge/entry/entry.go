// Package entry is the listener for callers of routed requests: it decodes a request,
// hands it to the relay and writes the answer. What the messages look like is the
// codec's business.
package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol"
	"go.opentelemetry.io/otel/attribute"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/relay"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/await"
	"pollentack.example/pollentack/internal/edge/httpd"
	"pollentack.example/pollentack/internal/edge/trace"
)

const (
	// maxHeaderBytes and maxBodyBytes bound what is held of a request whatever the
	// published limits say.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 4 << 20
	// defaultIdle is how long a connection may wait for its next request while no limit
	// is published.
	defaultIdle = 30 * time.Second
)

// Codec translates between HTTP messages of callers and the relay's types.
type Codec interface {
	// DecodeRequest returns an error for a request that is not in the protocol.
	DecodeRequest(in *protocol.Request) (*relay.Request, error)
	EncodeAnswer(a *relay.Answer, out *protocol.Response)
	// ReadyPath is where the balancer asks whether this host takes connections.
	ReadyPath() string
}

// Entry is the listener for callers.
type Entry struct {
	codec    Codec
	submit   func(relay.Event) bool
	hangUp   func(relay.Event) bool
	waiters  *await.Waiters[relay.Answer]
	record   func(*decision.Record)
	tracer   *trace.Tracer
	limits   atomic.Pointer[catalog.Limits]
	draining atomic.Bool
	open     atomic.Int64
	server   *httpd.Server
}

// Start listens for callers on address. submit puts a new request, hangUp tells that a
// caller has gone, waiters join the answers to those who wait, and record takes the
// refusals of requests that never reach the relay.
func Start(address string, codec Codec, waiters *await.Waiters[relay.Answer], submit, hangUp func(relay.Event) bool, record func(*decision.Record), tracer *trace.Tracer) (*Entry, error) {
	e := &Entry{codec: codec, submit: submit, hangUp: hangUp, waiters: waiters, record: record, tracer: tracer}
	e.limits.Store(&catalog.Limits{})
	limits := httpd.Limits{
		BodyBytes: maxBodyBytes, HeaderBytes: maxHeaderBytes,
		SenseHangUp: true, Bare: true, Idle: e.idle,
	}
	s, err := httpd.Start(address, limits, func(h *server.Hertz) { h.Use(e.serve) })
	if err != nil {
		return nil, err
	}
	e.server = s
	return e, nil
}

// Address returns where the listener is.
func (e *Entry) Address() string { return e.server.Address() }

// SetLimits puts published limits in force, for open connections too.
func (e *Entry) SetLimits(l catalog.Limits) { e.limits.Store(&l) }

// Drain closes each connection after its next answer.
func (e *Entry) Drain() { e.draining.Store(true) }

// InProgress returns the number of requests that have been read and not answered.
func (e *Entry) InProgress() int { return int(e.open.Load()) }

// Close ends the listener and its connections.
func (e *Entry) Close() { e.server.Close() }

func (e *Entry) idle() time.Duration {
	if idle := e.limits.Load().IdleTimeout; idle > 0 {
		return idle
	}
	return defaultIdle
}

// serve handles one request and blocks until its answer, or until its caller has gone.
func (e *Entry) serve(ctx context.Context, c *app.RequestContext) {
	e.open.Add(1)
	defer e.open.Add(-1)
	c.Abort()
	answer := e.ask(ctx, c)
	e.codec.EncodeAnswer(&answer, &c.Response)
	if e.draining.Load() {
		c.Response.SetConnectionClose()
	}
}

func (e *Entry) ask(ctx context.Context, c *app.RequestContext) relay.Answer {
	limits := e.limits.Load()
	if size := len(c.Request.Header.RawHeaders()); limits.HeaderBytes > 0 && size > limits.HeaderBytes {
		return e.refuse("", result.HeaderTooLarge, fmt.Sprintf("%d bytes of header, limit %d", size, limits.HeaderBytes))
	}
	if limits.BodyBytes > 0 && len(c.Request.Body()) > limits.BodyBytes {
		return e.refuse("", result.BodyTooLarge, fmt.Sprintf("%d bytes, limit %d", len(c.Request.Body()), limits.BodyBytes))
	}
	request, err := e.codec.DecodeRequest(&c.Request)
	if err != nil {
		return e.refuse("", result.BadRequest, err.Error())
	}
	span := e.tracer.Start(c.Request.Header.Get(trace.Header), "request", attribute.String("request", request.ID))
	request.TraceParent = span.Context()
	answer := e.await(ctx, request)
	span.End(attribute.String("code", answer.Code.String()), attribute.Int("missing", answer.Missing))
	return answer
}

// await hands a request to the relay and waits for its answer.
func (e *Entry) await(ctx context.Context, request *relay.Request) relay.Answer {
	put := func(key uint64) bool {
		request.Key = key
		return e.submit(&relay.Submit{Request: request})
	}
	gone := func(key uint64) { e.hangUp(&relay.CallerGone{Key: key}) }
	answer, ok := e.waiters.AwaitUntil(ctx.Done(), put, gone)
	switch {
	case ok:
		return answer
	case ctx.Err() != nil:
		// The caller has gone; the relay logs what it gave up.
		return relay.Answer{Code: result.OutcomeUnknown}
	}
	answer = e.refuse(request.ID, result.QueueFull, "the relay's ring is full")
	answer.RetryAfter = fullRetryAfter
	return answer
}

// refuse ends a request that never reaches the relay.
func (e *Entry) refuse(id string, code result.Code, reason string) relay.Answer {
	r := decision.Warning("request_refused",
		decision.String("request", id), decision.String("code", code.String()), decision.String("reason", reason))
	e.record(&r)
	return relay.Answer{Code: code}
}

// fullRetryAfter is the pause that a caller is asked for when the ring to the relay is
// full: about the time in which the relay empties it.
const fullRetryAfter = 200 * time.Millisecond

// StartReady listens on address for the balancer; ready tells whether this host takes
// new connections.
func StartReady(address string, codec Codec, ready func() bool) (*httpd.Server, error) {
	return httpd.Start(address, httpd.Limits{BodyBytes: maxHeaderBytes}, func(h *server.Hertz) {
		h.GET(codec.ReadyPath(), func(_ context.Context, c *app.RequestContext) {
			if ready() {
				c.SetStatusCode(http.StatusOK)
				return
			}
			c.SetStatusCode(http.StatusServiceUnavailable)
		})
	})
}
