// Package upstream is the HTTP client for targets. It sends the requests of the relay, one
// exchange at a time on each connection. A connection is reused only if the end of the last
// reply was unambiguous, so that no later bytes of it can be taken for the next reply.
package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/relay"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/edge/trace"
)

const (
	// maxReplyBytes is the maximum size of a reply body.
	maxReplyBytes = 8 << 20
	// maxRepliesPerRequest is how many replies are read until one belongs to the request;
	// replies to earlier requests on the connection are skipped.
	maxRepliesPerRequest = 3
	// replyGrace is how long after the deadline the client still waits for a reply. The
	// target receives the deadline and ends the request by itself; reading its reply lets the
	// connection be reused.
	replyGrace = 20 * time.Millisecond
)

// Codec converts between the HTTP messages of targets and the relay's types.
type Codec interface {
	// AppendRequest appends an encoded request to buf. The request contains the remaining
	// time, and the trace context of the attempt unless traceParent is empty.
	AppendRequest(buf []byte, s *relay.Send, remaining time.Duration, traceParent string) []byte
	// MatchesRequest reports whether the reply belongs to this request and not to an earlier
	// one on the connection.
	MatchesRequest(s *relay.Send, reply *http.Response) bool
	// DecodeReply converts a complete reply and determines its outcome.
	DecodeReply(s *relay.Send, reply *http.Response, body []byte) *relay.AttemptEnded
}

// Client sends requests to targets. Do blocks and is called on worker threads.
type Client struct {
	codec  Codec
	clock  sysclock.Clock
	tracer *trace.Tracer
	pool   *pool
	dials  atomic.Uint64

	mu        sync.Mutex
	exchanges map[relay.AttemptID]*exchange
}

// exchange is a request in progress; conn is nil until the request has a connection.
type exchange struct {
	conn      *conn
	cancelled bool
}

// New returns a client without connections.
func New(codec Codec, clk sysclock.Clock, tracer *trace.Tracer) *Client {
	return &Client{codec: codec, clock: clk, tracer: tracer, pool: newPool(), exchanges: map[relay.AttemptID]*exchange{}}
}

// Dials returns the number of connections that were established.
func (c *Client) Dials() uint64 { return c.dials.Load() }

// Close closes the idle connections; those in use are closed when their exchange ends.
func (c *Client) Close() { c.pool.close() }

// CloseExpired closes the idle connections that have expired.
func (c *Client) CloseExpired() { c.pool.reap() }

// RetainTargets closes the idle connections to targets that are not in the view.
func (c *Client) RetainTargets(v *catalog.View) {
	keys := make(map[string]bool, len(v.Targets))
	for _, t := range v.Targets {
		keys[poolKey(t)] = true
	}
	c.pool.retain(keys)
}

func poolKey(t *catalog.Target) string { return t.Instance + "@" + t.Address }

// Cancel cancels an attempt by closing its connection, on which most targets stop processing
// the request. An attempt that has no connection yet is not sent.
func (c *Client) Cancel(id relay.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.exchanges[id]
	if x == nil {
		return
	}
	x.cancelled = true
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

// Register adds the exchange of an attempt, so that it can be cancelled before a worker calls
// Do. Do must follow, since it removes the exchange.
func (c *Client) Register(id relay.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges[id] = &exchange{}
}

// Do sends one request and returns its outcome. The attempt must have been registered.
func (c *Client) Do(s *relay.Send) *relay.AttemptEnded {
	span := c.tracer.Start(s.Request.TraceParent, "attempt",
		attribute.String("target", s.Target.Instance), attribute.String("service", s.Target.Service))
	reply := c.do(s, span.TraceParent())
	reply.Attempt = s.Attempt
	span.End(attribute.String("outcome", reply.Outcome.String()))
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.exchanges[s.Attempt]; x != nil && x.cancelled && reply.Outcome != relay.Answered && !reply.Outcome.NotRun() {
		reply.Outcome = relay.Cancelled
	}
	delete(c.exchanges, s.Attempt)
	return reply
}

func (c *Client) do(s *relay.Send, traceParent string) *relay.AttemptEnded {
	remaining := s.Deadline - c.clock.Now().Mono
	if remaining <= 0 {
		return noResponse(relay.Unsent, "deadline exceeded before the request was sent")
	}
	conn := c.pool.take(poolKey(s.Target), s.Request.ID)
	if conn == nil {
		dialed, err := dial(s.Target.Address, remaining)
		if err != nil {
			return noResponse(relay.Unreachable, err.Error())
		}
		c.dials.Add(1)
		conn = dialed
	}
	if !c.attach(s.Attempt, conn) {
		c.pool.put(poolKey(s.Target), conn)
		return noResponse(relay.Unsent, "cancelled before the request was sent")
	}
	remaining = s.Deadline - c.clock.Now().Mono
	if remaining <= 0 {
		c.detach(s.Attempt)
		c.pool.put(poolKey(s.Target), conn)
		return noResponse(relay.Unsent, "deadline exceeded before the request was sent")
	}
	reply, reuse := c.roundTrip(s, conn, remaining, traceParent)
	c.detach(s.Attempt)
	if !reuse {
		_ = conn.Close()
		return reply
	}
	c.pool.put(poolKey(s.Target), conn)
	return reply
}

// noResponse returns the reply of an attempt that ended without a response.
func noResponse(outcome relay.Outcome, reason string) *relay.AttemptEnded {
	return &relay.AttemptEnded{Outcome: outcome, Reason: reason}
}

// attach assigns the connection to the exchange. It returns false if the exchange was
// cancelled or is not registered.
func (c *Client) attach(id relay.AttemptID, conn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.exchanges[id]
	if x == nil || x.cancelled {
		return false
	}
	x.conn = conn
	return true
}

func (c *Client) detach(id relay.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.exchanges[id]; x != nil {
		x.conn = nil
	}
}

// roundTrip sends the request and reads its reply; reuse reports whether the connection can
// be used for another exchange.
func (c *Client) roundTrip(s *relay.Send, conn *conn, remaining time.Duration, traceParent string) (reply *relay.AttemptEnded, reuse bool) {
	conn.recordID(s.Request.ID)
	deadline := time.Now().Add(remaining + replyGrace)
	if err := conn.SetReadDeadline(deadline); err != nil {
		return noResponse(relay.Lost, err.Error()), false
	}
	complete, err := conn.send(c.codec.AppendRequest(nil, s, remaining, traceParent), deadline)
	if err != nil {
		return exchangeFailure("write", err), false
	}
	for range maxRepliesPerRequest {
		resp, err := http.ReadResponse(conn.reader, &http.Request{Method: s.Request.Method})
		if err != nil {
			return exchangeFailure("read", err), false
		}
		body, err := readBody(resp)
		if err != nil {
			return exchangeFailure("read body", err), false
		}
		if !c.codec.MatchesRequest(s, resp) {
			continue
		}
		reply = c.codec.DecodeReply(s, resp, body)
		return reply, complete && c.reusable(conn, resp)
	}
	return noResponse(relay.Malformed, fmt.Sprintf("read %d replies, all to earlier requests", maxRepliesPerRequest)), false
}

func readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxReplyBytes {
		return nil, fmt.Errorf("reply body exceeds %d bytes", maxReplyBytes)
	}
	return body, resp.Body.Close()
}

// reusable reports whether the connection can be used for another exchange: it stays open,
// the reply had an explicit end and no bytes follow it. It sets the expiry of the connection.
func (c *Client) reusable(conn *conn, resp *http.Response) bool {
	closeDelimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if resp.Close || closeDelimited || conn.reader.Buffered() > 0 {
		return false
	}
	idle := defaultKeepAlive
	if advertised, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		idle = advertised - keepAliveMargin
	}
	conn.expires = time.Now().Add(idle)
	return idle > 0
}

// keepAlive returns the timeout parameter of a Keep-Alive header.
func keepAlive(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}

// exchangeFailure returns the reply for an exchange that failed at step: TimedOut after the
// deadline, Lost if the connection ended, and Malformed for bytes that are not a valid reply.
func exchangeFailure(step string, err error) *relay.AttemptEnded {
	reason := step + ": " + err.Error()
	var netErr net.Error
	var opErr *net.OpError
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		return noResponse(relay.TimedOut, reason)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &opErr), errors.Is(err, net.ErrClosed):
		return noResponse(relay.Lost, reason)
	}
	return noResponse(relay.Malformed, reason)
}
