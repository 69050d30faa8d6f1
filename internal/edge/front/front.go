// Package front takes callers' requests over HTTP and translates them for the engine.
// It decides nothing but the shape of a request.
package front

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

// QueryBody is the JSON body of a query.
type QueryBody struct {
	Query     string `json:"query"`
	Limit     int    `json:"limit"`
	TimeoutMS int64  `json:"timeout_ms"`
}

// AnswerBody is the JSON body of every answer and refusal.
type AnswerBody struct {
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

// Front is the listener for callers.
type Front struct {
	submit    func(*engine.Submit) bool
	tracer    *trace.Tracer
	bodyBytes int
	next      atomic.Uint64
	refused   atomic.Bool
	// isolated fails the balancer's check for as long as it is set.
	isolated atomic.Bool
	ready    atomic.Pointer[func() bool]

	mu      sync.Mutex
	waiting map[uint64]chan engine.Answer

	server *httpd.Server
}

// Start listens on address. submit hands a request over and reports whether it was
// taken; routes add further paths.
func Start(address string, limits httpd.Limits, tracer *trace.Tracer, submit func(*engine.Submit) bool, routes ...func(*server.Hertz)) (*Front, error) {
	f := &Front{submit: submit, tracer: tracer, bodyBytes: limits.BodyBytes, waiting: map[uint64]chan engine.Answer{}}
	limits.BodyBytes *= readFactor
	limits.HeaderBytes = maxHeaderBytes
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

// Address returns where the front listens.
func (f *Front) Address() string { return f.server.Address() }

// FailHealth makes the balancer's check fail from now on.
func (f *Front) FailHealth() { f.refused.Store(true) }

// SetIsolated makes the balancer's check fail while the host is isolated.
func (f *Front) SetIsolated(isolated bool) { f.isolated.Store(isolated) }

// SetReady gives what the balancer's check asks besides; the check fails until then.
func (f *Front) SetReady(ready func() bool) { f.ready.Store(&ready) }

// Break closes every connection at once, as the end of the process does.
func (f *Front) Break() { f.server.Break() }

// Abandon answers every query in progress as unknown.
func (f *Front) Abandon() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, ch := range f.waiting {
		delete(f.waiting, key)
		close(ch)
	}
}

// Stop stops listening once the requests in progress have been answered.
func (f *Front) Stop() { f.server.Close() }

// Deliver hands an answer to the caller that waits for it.
func (f *Front) Deliver(a *engine.Answer) {
	f.mu.Lock()
	ch, ok := f.waiting[a.Key]
	delete(f.waiting, a.Key)
	f.mu.Unlock()
	if ok {
		ch <- *a
	}
}

func (f *Front) routes(h *server.Hertz) {
	h.Use(f.closeWhenLeaving, f.limitBody)
	h.POST("/v1/services/:service/query", f.query)
	h.GET("/healthz", f.healthz)
}

// closeWhenLeaving tells callers to end their connections once the balancer's check
// fails, so that none is idle when the listener closes.
func (f *Front) closeWhenLeaving(ctx context.Context, c *app.RequestContext) {
	c.Next(ctx)
	if f.refused.Load() {
		c.Response.Header.SetConnectionClose(true)
	}
}

func (f *Front) healthz(_ context.Context, c *app.RequestContext) {
	if f.refused.Load() {
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

func (f *Front) query(_ context.Context, c *app.RequestContext) {
	body, err := decodeQuery(c.Request.Body())
	if err != nil {
		write(c, &engine.Answer{Code: result.BadRequest, Detail: err.Error()})
		return
	}
	span := f.tracer.Start(string(c.GetHeader(trace.Header)), "query", attribute.String("service", c.Param("service")))
	answer := f.await(&query.Request{
		KeyHash:     sha256.Sum256([]byte(bearer(c))),
		Service:     c.Param("service"),
		Body:        []byte(body.Query),
		Limit:       body.Limit,
		Timeout:     time.Duration(body.TimeoutMS) * time.Millisecond,
		TraceParent: span.Context(),
	})
	span.End(
		attribute.Int("code", int(answer.Code)),
		attribute.Float64("coverage", answer.Coverage),
		attribute.Int("attempts", answer.Attempts),
	)
	write(c, &answer)
}

func bearer(c *app.RequestContext) string {
	return strings.TrimPrefix(string(c.GetHeader("Authorization")), "Bearer ")
}

// await submits the request and blocks until its answer.
func (f *Front) await(req *query.Request) engine.Answer {
	req.Key = f.next.Add(1)
	ch := make(chan engine.Answer, 1)
	f.mu.Lock()
	f.waiting[req.Key] = ch
	f.mu.Unlock()
	if !f.submit(&engine.Submit{Request: req}) {
		f.mu.Lock()
		delete(f.waiting, req.Key)
		f.mu.Unlock()
		return engine.Answer{Code: result.QueueFull, Detail: "the host's ring of new queries is full"}
	}
	answer, ok := <-ch
	if !ok {
		return engine.Answer{Code: result.OutcomeUnknown, Detail: "the host ended"}
	}
	return answer
}

func write(c *app.RequestContext, a *engine.Answer) {
	info := a.Code.Info()
	c.JSON(info.HTTP, AnswerBody{
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
