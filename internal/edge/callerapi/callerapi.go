// Package callerapi serves callers' requests over HTTP and translates them for the engine. It
// makes no decisions beyond the validation of a request.
package callerapi

import (
	"context"
	"crypto/sha256"
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

// Start listens on address. submit passes a request to the engine and reports whether it was
// accepted. routes register further paths.
func Start(address string, limits httpd.Options, tracer *trace.Tracer, submit func(*engine.Submit) bool, routes ...func(*server.Hertz)) (*Server, error) {
	f := &Server{submit: submit, tracer: tracer, maxBodyBytes: limits.MaxBodyBytes, pending: map[uint64]chan engine.Answer{}}
	limits.MaxBodyBytes *= bodyReadFactor
	limits.MaxHeaderBytes = maxHeaderBytes
	s, err := httpd.Start(address, limits, func(h *server.Hertz) {
		f.routes(h)
		for _, route := range routes {
			route(h)
		}
	})
	if err != nil {
		return nil, err
	}
	f.server = s
	return f, nil
}

// Address returns the address on which the server listens.
func (f *Server) Address() string { return f.server.Address() }

// StartDraining makes the load balancer's health check fail from now on, and makes callers close
// their connections.
func (f *Server) StartDraining() { f.draining.Store(true) }

// SetIsolated makes the load balancer's health check fail while isolated is set.
func (f *Server) SetIsolated(isolated bool) { f.isolated.Store(isolated) }

// SetReadinessCheck sets the readiness function that the load balancer's health check also calls. The
// health check fails until it is set.
func (f *Server) SetReadinessCheck(ready func() bool) { f.ready.Store(&ready) }

// CloseConnections closes every connection at once, like an abrupt end of the process.
func (f *Server) CloseConnections() { f.server.CloseConnections() }

// AbortPending answers every pending query with OutcomeUnknown.
func (f *Server) AbortPending() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, ch := range f.pending {
		delete(f.pending, key)
		close(ch)
	}
}

// Stop stops listening and waits, for a bounded time, until the requests in progress have been
// answered.
func (f *Server) Stop() { f.server.Close() }

// Deliver passes an answer to the pending request with its key. An answer without a pending
// request is dropped.
func (f *Server) Deliver(a *engine.Answer) {
	f.mu.Lock()
	ch, ok := f.pending[a.Key]
	delete(f.pending, a.Key)
	f.mu.Unlock()
	if ok {
		ch <- *a
	}
}

func (f *Server) routes(h *server.Hertz) {
	h.Use(f.closeWhenDraining, f.limitBody)
	h.POST("/v1/services/:service/query", f.handleQuery)
	h.GET("/healthz", f.handleHealth)
}

// closeWhenDraining adds "Connection: close" to responses after StartDraining, so that no
// connection is idle when the listener closes.
func (f *Server) closeWhenDraining(ctx context.Context, c *app.RequestContext) {
	c.Next(ctx)
	if f.draining.Load() {
		c.Response.Header.SetConnectionClose(true)
	}
}

func (f *Server) handleHealth(_ context.Context, c *app.RequestContext) {
	if f.draining.Load() {
		c.String(http.StatusServiceUnavailable, "leaving\n")
		return
	}
	if f.isolated.Load() {
		c.String(http.StatusServiceUnavailable, "isolated\n")
		return
	}
	if ready := f.ready.Load(); ready == nil || !(*ready)() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ok\n")
}

func (f *Server) handleQuery(_ context.Context, c *app.RequestContext) {
	body, err := decodeQuery(c.Request.Body())
	if err != nil {
		writeAnswer(c, &engine.Answer{Code: result.BadRequest, Detail: err.Error()})
		return
	}
	span := f.tracer.Start(string(c.GetHeader(trace.TraceParentHeader)), "query", attribute.String("service", c.Param("service")))
	answer := f.submitAndWait(&query.Request{
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
func (f *Server) submitAndWait(req *query.Request) engine.Answer {
	req.Key = f.nextKey.Add(1)
	ch := make(chan engine.Answer, 1)
	f.mu.Lock()
	f.pending[req.Key] = ch
	f.mu.Unlock()
	if !f.submit(&engine.Submit{Request: req}) {
		f.mu.Lock()
		delete(f.pending, req.Key)
		f.mu.Unlock()
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
