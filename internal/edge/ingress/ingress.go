// Package ingress is the HTTP server for callers of routed requests. It decodes a request,
// submits it to the relay and writes the answer. The codec defines the format of the messages.
package ingress

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol"
	"go.opentelemetry.io/otel/attribute"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/intake"
	"pollentack.example/pollentack/internal/core/relay"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/await"
	"pollentack.example/pollentack/internal/edge/httpd"
	"pollentack.example/pollentack/internal/edge/memory"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/edge/trace"
)

const (
	// maxHeaderBytes and maxBodyBytes are the maximum sizes of a request that is read, also if
	// the published limits are higher.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 4 << 20
	// defaultIdleTimeout is the idle timeout of connections while none is published.
	defaultIdleTimeout = 30 * time.Second
)

// Codec converts between the HTTP messages of callers and the relay's types.
type Codec interface {
	// DecodeRequest returns an error for a request that does not conform to the protocol.
	DecodeRequest(in *protocol.Request) (*relay.Request, error)
	EncodeAnswer(a *relay.Answer, out *protocol.Response)
	// ReadyPath returns the path of the balancer's readiness check.
	ReadyPath() string
}

// Server is the HTTP server for callers of routed requests.
type Server struct {
	codec      Codec
	budget     *memory.Budget
	submit     func(relay.Event) bool
	notify     func(relay.Event) bool
	waiters    *await.Waiters[relay.Answer]
	record     func(*decision.Record)
	onPanic    func(error)
	tracer     *trace.Tracer
	clock      sysclock.Clock
	limits     atomic.Pointer[catalog.Limits]
	draining   atomic.Bool
	inProgress atomic.Int64
	server     *httpd.Server
}

// Start serves callers on socket. submit passes a new request to the relay and returns
// false if the relay has no room; notify passes other events. waiters delivers the relay's
// answers, record logs the requests that are refused before they reach the relay, and onPanic
// receives the panics that ended a request.
func Start(socket net.Listener, codec Codec, budget *memory.Budget, maxConnections int, waiters *await.Waiters[relay.Answer], submit, notify func(relay.Event) bool, record func(*decision.Record), onPanic func(error), tracer *trace.Tracer, clk sysclock.Clock) (*Server, error) {
	s := &Server{codec: codec, budget: budget, submit: submit, notify: notify, waiters: waiters, record: record, onPanic: onPanic, tracer: tracer, clock: clk}
	s.limits.Store(&catalog.Limits{})
	options := httpd.Options{
		MaxBodyBytes: maxBodyBytes, MaxHeaderBytes: maxHeaderBytes,
		DetectDisconnect: true, OmitDefaults: true, IdleTimeout: s.idleTimeout, Limits: s.requestLimits,
		Budget: budget, MaxConnections: maxConnections, Refuse: s.refuseUnread, Displaced: s.logDisplaced, OnPanic: onPanic,
	}
	httpServer, err := httpd.Serve(socket, options, func(h *server.Hertz) { h.Use(s.serve) })
	if err != nil {
		return nil, err
	}
	s.server = httpServer
	return s, nil
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string { return s.server.Address() }

// SetLimits applies published limits, also to open connections.
func (s *Server) SetLimits(l catalog.Limits) { s.limits.Store(&l) }

// Drain makes the server close each connection after its next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// InProgress returns the number of requests that have been read and not answered.
func (s *Server) InProgress() int { return int(s.inProgress.Load()) }

// Stats returns the counters of the connections.
func (s *Server) Stats() httpd.Stats { return s.server.Stats() }

// Close stops listening, waits a bounded time for the requests in progress and closes the
// connections.
func (s *Server) Close() { s.server.Close() }

func (s *Server) idleTimeout() time.Duration {
	if timeout := s.limits.Load().IdleTimeout; timeout > 0 {
		return timeout
	}
	return defaultIdleTimeout
}

// serve handles one request. It blocks until the request is answered or its caller has closed
// the connection.
func (s *Server) serve(ctx context.Context, c *app.RequestContext) {
	arrivedAt := s.clock.Now().Mono
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	c.Abort()
	answer := s.handle(ctx, c, arrivedAt)
	defer s.budget.Release(memory.Answers, answer.BodyBytes())
	s.codec.EncodeAnswer(&answer, &c.Response)
	if answer.DecidedAt > 0 {
		// If the ring is full, the measurement is dropped.
		s.notify(&relay.AnswerWritten{Lag: s.clock.Now().Mono - answer.DecidedAt})
	}
	if s.draining.Load() {
		c.Response.SetConnectionClose()
	}
}

// handle decodes the request and returns its answer. A panic ends only this
// request, whose outcome is then unknown.
func (s *Server) handle(ctx context.Context, c *app.RequestContext, arrivedAt time.Duration) (answer relay.Answer) {
	defer func() {
		if v := recover(); v != nil {
			s.onPanic(fmt.Errorf("panic in a request handler: %v\n%s", v, debug.Stack()))
			answer = s.refuse("", result.OutcomeUnknown, fmt.Sprintf("panic: %v", v))
		}
	}()
	request, err := s.codec.DecodeRequest(&c.Request)
	if err != nil {
		return s.refuse("", result.BadRequest, err.Error())
	}
	// The server's buffers are used again once the request has been answered, while an attempt may still
	// send the body; only a long one is left alone.
	if len(request.Body) <= httpd.BlockBytes {
		request.Body = bytes.Clone(request.Body)
	}
	request.ArrivedAt = arrivedAt
	span := s.tracer.Start(c.Request.Header.Get(trace.TraceParentHeader), "request", attribute.String("request", request.ID))
	request.TraceParent = span.TraceParent()
	answer = s.submitAndWait(ctx, request)
	span.End(attribute.String("code", answer.Code.String()), attribute.Int("missing", answer.Missing))
	return answer
}

// requestLimits returns the published limits of requests.
func (s *Server) requestLimits() httpd.RequestLimits {
	l := s.limits.Load()
	return httpd.RequestLimits{FieldBytes: l.MaxHeaderBytes, BodyBytes: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout}
}

// unreadCodes are the codes of requests that are refused before they are whole.
var unreadCodes = [intake.ReasonCount]result.Code{
	intake.Malformed:    result.BadRequest,
	intake.HeadTooLarge: result.HeaderTooLarge,
	intake.BodyTooLarge: result.BodyTooLarge,
	intake.TooSlow:      result.DeadlineTooShort,
	intake.NoRoom:       result.QueueFull,
}

// refuseUnread logs a request that is refused before it is whole and returns the bytes of its answer.
func (s *Server) refuseUnread(r *intake.Refusal) []byte {
	answer := s.refuse("", unreadCodes[r.Reason], r.Detail)
	if answer.Code == result.QueueFull {
		answer.RetryAfter = queueFullRetryAfter
	}
	var response protocol.Response
	s.codec.EncodeAnswer(&answer, &response)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", response.StatusCode(), http.StatusText(response.StatusCode()))
	response.Header.VisitAll(func(name, value []byte) {
		switch string(name) {
		case "Connection", "Content-Length", "Content-Type", "Server", "Date":
		default:
			head += fmt.Sprintf("%s: %s\r\n", name, value)
		}
	})
	return []byte(head + "\r\n")
}

// logDisplaced logs that a connection is closed to make room for a new one.
func (s *Server) logDisplaced() {
	r := decision.Warning("connection_displaced", decision.String("reason", "a new connection found no room, and this one sent no request for longest"))
	s.record(&r)
}

// submitAndWait submits a request to the relay and waits for its answer.
func (s *Server) submitAndWait(ctx context.Context, request *relay.Request) relay.Answer {
	submit := func(key uint64) bool {
		request.Key = key
		return s.submit(&relay.Submit{Request: request})
	}
	callerGone := func(key uint64) { s.notify(&relay.CallerGone{Key: key}) }
	answer, ok := s.waiters.AwaitUntil(ctx.Done(), submit, callerGone)
	switch {
	case ok:
		return answer
	case ctx.Err() != nil:
		// Nobody receives this answer; the relay logs the request that it cancels.
		return relay.Answer{Code: result.OutcomeUnknown}
	}
	answer = s.refuse(request.ID, result.QueueFull, "relay ring is full")
	answer.RetryAfter = queueFullRetryAfter
	return answer
}

// refuse logs and answers a request that does not reach the relay.
func (s *Server) refuse(id string, code result.Code, reason string) relay.Answer {
	r := decision.Warning("request_refused",
		decision.String("request", id), decision.String("code", code.String()), decision.String("reason", reason))
	s.record(&r)
	return relay.Answer{Code: code}
}

// queueFullRetryAfter is the retry delay that a caller is given if the relay's ring is full:
// about the time in which the relay processes a full ring.
const queueFullRetryAfter = 200 * time.Millisecond

// StartReady serves the balancer's readiness checks on socket; ready reports whether
// the host accepts new connections.
func StartReady(socket net.Listener, codec Codec, ready func() bool, onPanic func(error)) (*httpd.Server, error) {
	options := httpd.OperatorOptions()
	options.OnPanic = onPanic
	return httpd.Serve(socket, options, func(h *server.Hertz) {
		h.GET(codec.ReadyPath(), func(_ context.Context, c *app.RequestContext) {
			if ready() {
				c.SetStatusCode(http.StatusOK)
				return
			}
			c.SetStatusCode(http.StatusServiceUnavailable)
		})
	})
}
