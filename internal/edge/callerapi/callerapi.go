// Package callerapi serves callers' requests over HTTP and translates them for the engine. It
// makes no decisions beyond the validation of a request.
package callerapi

import (
	"context"
	"crypto/sha256"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"go.opentelemetry.io/otel/attribute"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/httpd"
	"pollentack.example/pollentack/internal/edge/trace"
)

// QueryRequest is the JSON body of a query.
type QueryRequest struct {
	Query     string `json:"query"`
	Limit     int    `json:"limit"`
	TimeoutMS int64  `json:"timeout_ms"`
}

// QueryResponse is the JSON body of every response to a query, including refusals.
type QueryResponse struct {
	Code      result.Code `json:"code"`
	Name      string      `json:"name"`
	Detail    string      `json:"detail,omitempty"`
	Version   uint64      `json:"version,omitempty"`
	Layout    string      `json:"layout,omitempty"`
	Coverage  float64     `json:"coverage"`
	Shards    int         `json:"shards"`
	Missing   []int32     `json:"missing,omitempty"`
	Attempts  int         `json:"attempts"`
	ElapsedUS int64       `json:"elapsed_us"`
	Hits      []query.Hit `json:"hits,omitempty"`
}

const (
	defaultLimit = 10
	maxLimit     = 1000
	maxTimeoutMS = 60_000
)

// Server is the HTTP server for callers.
type Server struct {
	submit       func(*engine.Submit) bool
	tracer       *trace.Tracer
	maxBodyBytes int
	nextKey      atomic.Uint64
	draining     atomic.Bool
	isolated     atomic.Bool
	ready        atomic.Pointer[func() bool]

	mu      sync.Mutex
	pending map[uint64]chan engine.Answer

	server *httpd.Server
}

// Start serves callers on socket. submit passes a request to the engine and reports whether it was
// accepted. routes register further paths.
func Start(socket net.Listener, limits httpd.Options, tracer *trace.Tracer, submit func(*engine.Submit) bool, routes ...func(*server.Hertz)) (*Server, error) {
	s := &Server{submit: submit, tracer: tracer, maxBodyBytes: limits.MaxBodyBytes, pending: map[uint64]chan engine.Answer{}}
	limits.MaxBodyBytes *= bodyReadFactor
	limits.MaxHeaderBytes = maxHeaderBytes
	httpServer, err := httpd.Serve(socket, limits, func(h *server.Hertz) {
		s.routes(h)
		for _, route := range routes {
			route(h)
		}
	})
	if err != nil {
		return nil, err
	}
	s.server = httpServer
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.server.Address() }

// StartDraining makes the load balancer's health check fail from now on, and makes callers
// close their connections.
func (s *Server) StartDraining() { s.draining.Store(true) }

// SetIsolated makes the load balancer's health check fail while isolated is set.
func (s *Server) SetIsolated(isolated bool) { s.isolated.Store(isolated) }

// SetReadinessCheck sets the readiness function that the load balancer's health check also
// calls. The health check fails until it is set.
func (s *Server) SetReadinessCheck(ready func() bool) { s.ready.Store(&ready) }

// CloseConnections closes every connection at once, like an abrupt end of the process.
func (s *Server) CloseConnections() { s.server.CloseConnections() }

// AbortPending answers every pending query with OutcomeUnknown.
func (s *Server) AbortPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, ch := range s.pending {
		delete(s.pending, key)
		close(ch)
	}
}

// Stop stops listening and waits, for a bounded time, until the requests in progress have been
// answered.
func (s *Server) Stop() { s.server.Close() }

// Deliver passes an answer to the pending request with its key. An answer without a pending
// request is dropped.
func (s *Server) Deliver(a *engine.Answer) {
	s.mu.Lock()
	ch, ok := s.pending[a.Key]
	delete(s.pending, a.Key)
	s.mu.Unlock()
	if ok {
		ch <- *a
	}
}

func (s *Server) routes(h *server.Hertz) {
	h.Use(s.closeWhenDraining, s.limitBody)
	h.POST("/v1/services/:service/query", s.handleQuery)
	h.GET("/healthz", s.handleHealth)
}

// closeWhenDraining adds "Connection: close" to responses after StartDraining, so that no
// connection is idle when the listener closes.
func (s *Server) closeWhenDraining(ctx context.Context, c *app.RequestContext) {
	c.Next(ctx)
	if s.draining.Load() {
		c.Response.Header.SetConnectionClose(true)
	}
}

func (s *Server) handleHealth(_ context.Context, c *app.RequestContext) {
	if s.draining.Load() {
		c.String(http.StatusServiceUnavailable, "leaving\n")
		return
	}
	if s.isolated.Load() {
		c.String(http.StatusServiceUnavailable, "isolated\n")
		return
	}
	if ready := s.ready.Load(); ready == nil || !(*ready)() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ok\n")
}

func (s *Server) handleQuery(_ context.Context, c *app.RequestContext) {
	body, err := decodeQuery(c.Request.Body())
	if err != nil {
		writeAnswer(c, &engine.Answer{Code: result.BadRequest, Detail: err.Error()})
		return
	}
	span := s.tracer.Start(string(c.GetHeader(trace.TraceParentHeader)), "query", attribute.String("service", c.Param("service")))
	answer := s.submitAndWait(&query.Request{
		KeyHash:     sha256.Sum256([]byte(bearerToken(c))),
		Service:     c.Param("service"),
		Body:        []byte(body.Query),
		Limit:       body.Limit,
		Timeout:     time.Duration(body.TimeoutMS) * time.Millisecond,
		TraceParent: span.TraceParent(),
	})
	span.End(
		attribute.Int("code", int(answer.Code)),
		attribute.Float64("coverage", answer.Coverage),
		attribute.Int("attempts", answer.Attempts),
	)
	writeAnswer(c, &answer)
}

func bearerToken(c *app.RequestContext) string {
	return strings.TrimPrefix(string(c.GetHeader("Authorization")), "Bearer ")
}

// submitAndWait submits a request to the engine and blocks until it is answered.
func (s *Server) submitAndWait(req *query.Request) engine.Answer {
	req.Key = s.nextKey.Add(1)
	ch := make(chan engine.Answer, 1)
	s.mu.Lock()
	s.pending[req.Key] = ch
	s.mu.Unlock()
	if !s.submit(&engine.Submit{Request: req}) {
		s.mu.Lock()
		delete(s.pending, req.Key)
		s.mu.Unlock()
		return engine.Answer{Code: result.QueueFull, Detail: "the host's ring of new queries is full"}
	}
	answer, ok := <-ch
	if !ok {
		return engine.Answer{Code: result.OutcomeUnknown, Detail: "the host ended"}
	}
	return answer
}

func writeAnswer(c *app.RequestContext, a *engine.Answer) {
	info := a.Code.Info()
	c.JSON(info.HTTP, QueryResponse{
		Code:      a.Code,
		Name:      info.Name,
		Detail:    a.Detail,
		Version:   a.Snapshot.Version,
		Layout:    a.Snapshot.Layout,
		Coverage:  a.Coverage,
		Shards:    a.Shards,
		Missing:   a.Missing,
		Attempts:  a.Attempts,
		ElapsedUS: a.Elapsed.Microseconds(),
		Hits:      a.Hits,
	})
}
