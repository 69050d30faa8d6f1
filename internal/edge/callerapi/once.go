package callerapi

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"go.opentelemetry.io/otel/attribute"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/await"
	"pollentack.example/pollentack/internal/edge/trace"
)

// OnceRequest is the JSON body of a request that is executed at most once.
type OnceRequest struct {
	Ticket    string `json:"ticket"`
	Body      string `json:"body"`
	TimeoutMS int64  `json:"timeout_ms"`
}

// OnceResponse is the JSON body of every response to a request for a ticket or to an
// at-most-once request.
type OnceResponse struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Detail string      `json:"detail,omitempty"`
	// Ticket and ExpiresMS, in Unix milliseconds, are set in the response to a request for a
	// ticket.
	Ticket    string `json:"ticket,omitempty"`
	ExpiresMS int64  `json:"expires_ms,omitempty"`
	Target    string `json:"target,omitempty"`
	Output    string `json:"output,omitempty"`
}

// OnceHandler serves requests for tickets and at-most-once requests.
type OnceHandler struct {
	submit  func(engine.Event) bool
	waiters *await.Waiters[engine.OnceAnswer]
	tracer  *trace.Tracer
}

// NewOnceHandler returns a handler. submit passes an event to the engine and reports whether it
// was accepted.
func NewOnceHandler(submit func(engine.Event) bool, waiters *await.Waiters[engine.OnceAnswer], tracer *trace.Tracer) *OnceHandler {
	return &OnceHandler{submit: submit, waiters: waiters, tracer: tracer}
}

// Routes registers the paths with a server.
func (o *OnceHandler) Routes(h *server.Hertz) {
	h.POST("/v1/services/:service/tickets", o.handleTicket)
	h.POST("/v1/services/:service/once", o.handleOnce)
}

func (o *OnceHandler) handleTicket(_ context.Context, c *app.RequestContext) {
	answer, ok := o.waiters.Await(func(key uint64) bool {
		return o.submit(&engine.TicketRequest{Key: key, KeyHash: sha256.Sum256([]byte(bearerToken(c))), Service: c.Param("service")})
	})
	if !ok {
		answer = engine.OnceAnswer{Code: result.QueueFull, Detail: "the host's ring of new queries is full"}
	}
	writeOnceAnswer(c, &answer)
}

func (o *OnceHandler) handleOnce(_ context.Context, c *app.RequestContext) {
	var body OnceRequest
	if err := json.Unmarshal(c.Request.Body(), &body); err != nil {
		writeOnceAnswer(c, &engine.OnceAnswer{Code: result.BadRequest, Detail: err.Error()})
		return
	}
	req := &engine.OnceRequest{
		KeyHash: sha256.Sum256([]byte(bearerToken(c))),
		Service: c.Param("service"),
		Body:    []byte(body.Body),
		Timeout: max(0, time.Duration(body.TimeoutMS)) * time.Millisecond,
	}
	if body.Ticket != "" {
		ticket, err := DecodeTicket(body.Ticket)
		if err != nil {
			writeOnceAnswer(c, &engine.OnceAnswer{Code: result.TicketInvalid, Detail: err.Error()})
			return
		}
		req.Ticket = ticket
	}
	span := o.tracer.Start(string(c.GetHeader(trace.TraceParentHeader)), "once", attribute.String("service", req.Service))
	req.TraceParent = span.TraceParent()
	answer := o.submitAndWait(req)
	span.End(attribute.Int("code", int(answer.Code)))
	writeOnceAnswer(c, &answer)
}

// submitAndWait submits a request to the engine and blocks until it is answered. If the ring
// is full the outcome is unknown, not "not run": an earlier copy of the request may have
// reached the home host of the ticket.
func (o *OnceHandler) submitAndWait(req *engine.OnceRequest) engine.OnceAnswer {
	answer, ok := o.waiters.Await(func(key uint64) bool {
		req.Key = key
		return o.submit(&engine.OnceSubmit{Request: req})
	})
	if !ok {
		return engine.OnceAnswer{Code: result.OutcomeUnknown, Detail: "the host's ring of new queries is full; send it again"}
	}
	return answer
}

func writeOnceAnswer(c *app.RequestContext, a *engine.OnceAnswer) {
	info := a.Code.Info()
	body := OnceResponse{Code: a.Code, Name: info.Name, Detail: a.Detail, Target: a.Target, Output: string(a.Output)}
	if a.Ticket != nil {
		body.Ticket = EncodeTicket(a.Ticket)
		body.ExpiresMS = a.Ticket.Expiry.Milliseconds()
	}
	c.JSON(info.HTTP, body)
}
