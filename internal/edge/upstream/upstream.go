// Package upstream carries out the relay's sends: one exchange at a time on each
// connection to a target. A connection is kept only after an exchange that left no doubt
// about where the next reply begins.
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
	"pollentack.example/pollentack/internal/edge/trace"
	"pollentack.example/pollentack/internal/edge/wallclock"
)

const (
	// maxReplyBytes bounds the body of a reply.
	maxReplyBytes = 8 << 20
	// maxStrayReplies is how many replies to earlier requests are skipped on a connection
	// before the one that is awaited.
	maxStrayReplies = 3
	// replyGrace is how long after the deadline a reply is still awaited: the target is
	// told the deadline and ends by itself, and its reply keeps the connection.
	replyGrace = 20 * time.Millisecond
)

// Codec translates between HTTP messages of targets and the relay's types.
type Codec interface {
	// AppendRequest appends a whole request that gives the target the time left and the
	// trace context of the attempt, "" for none.
	AppendRequest(buf []byte, s *relay.Send, left time.Duration, traceParent string) []byte
	// Answers reports whether the reply is one to this send and not to an earlier one.
	Answers(s *relay.Send, reply *http.Response) bool
	// DecodeReply judges a whole reply.
	DecodeReply(s *relay.Send, reply *http.Response, body []byte) *relay.Reply
}

// Client makes the exchanges. Its methods block and are run by workers.
type Client struct {
	codec  Codec
	clock  wallclock.Clock
	tracer *trace.Tracer
	pool   *pool
	dials  atomic.Uint64

	mu        sync.Mutex
	exchanges map[relay.AttemptID]*exchange
}

// exchange is one send in progress.
type exchange struct {
	conn      *conn
	cancelled bool
}

// New returns a client.
func New(codec Codec, clk wallclock.Clock, tracer *trace.Tracer) *Client {
	return &Client{codec: codec, clock: clk, tracer: tracer, pool: newPool(), exchanges: map[relay.AttemptID]*exchange{}}
}

// Dials returns the number of connections made.
func (c *Client) Dials() uint64 { return c.dials.Load() }

// Close drops idle connections.
func (c *Client) Close() { c.pool.close() }

// Reap closes the idle connections whose time is over.
func (c *Client) Reap() { c.pool.reap() }

// Keep drops idle connections to targets that are not in the view.
func (c *Client) Keep(v *catalog.View) {
	keys := make(map[string]bool, len(v.Targets))
	for _, t := range v.Targets {
		keys[poolKey(t)] = true
	}
	c.pool.keep(keys)
}

func poolKey(t *catalog.Target) string { return t.Instance + "@" + t.Address }

// Cancel gives up the exchange of an attempt by closing its connection, which makes most
// targets drop the request.
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

// Register makes the exchange of an attempt known, so that it can be cancelled before a
// worker takes it up. Do must follow.
func (c *Client) Register(id relay.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges[id] = &exchange{}
}

// Do carries out one send and returns how it ended.
func (c *Client) Do(s *relay.Send) *relay.Reply {
	span := c.tracer.Start(s.Request.TraceParent, "attempt",
		attribute.String("target", s.Target.Instance), attribute.String("service", s.Target.Service))
	reply := c.do(s, span.Context())
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

func (c *Client) do(s *relay.Send, traceParent string) *relay.Reply {
	left := s.Deadline - c.clock.Now().Mono
	if left <= 0 {
		return ended(relay.Unsent, "no time left")
	}
	conn := c.pool.take(poolKey(s.Target), s.Request.ID)
	if conn == nil {
		fresh, err := dial(s.Target.Address, left)
		if err != nil {
			return ended(relay.Unreachable, err.Error())
		}
		c.dials.Add(1)
		conn = fresh
	}
	if !c.attach(s.Attempt, conn) {
		c.pool.put(poolKey(s.Target), conn)
		return ended(relay.Unsent, "cancelled before it was sent")
	}
	left = s.Deadline - c.clock.Now().Mono
	if left <= 0 {
		c.detach(s.Attempt)
		c.pool.put(poolKey(s.Target), conn)
		return ended(relay.Unsent, "no time left")
	}
	reply, keep := c.roundTrip(s, conn, left, traceParent)
	c.detach(s.Attempt)
	if !keep {
		_ = conn.Close()
		return reply
	}
	c.pool.put(poolKey(s.Target), conn)
	return reply
}

func ended(outcome relay.Outcome, reason string) *relay.Reply {
	return &relay.Reply{Outcome: outcome, Reason: reason}
}

// attach hands the connection to the exchange and reports false where that was cancelled.
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

// roundTrip sends the request and reads its reply; keep tells whether the connection may
// carry another exchange.
func (c *Client) roundTrip(s *relay.Send, conn *conn, left time.Duration, traceParent string) (reply *relay.Reply, keep bool) {
	conn.note(s.Request.ID)
	until := time.Now().Add(left + replyGrace)
	if err := conn.SetReadDeadline(until); err != nil {
		return ended(relay.Lost, err.Error()), false
	}
	whole, err := conn.send(c.codec.AppendRequest(nil, s, left, traceParent), until)
	if err != nil {
		return failed("write", err), false
	}
	for range maxStrayReplies {
		resp, err := http.ReadResponse(conn.reader, &http.Request{Method: s.Request.Method})
		if err != nil {
			return failed("read", err), false
		}
		body, err := readBody(resp)
		if err != nil {
			return failed("read body", err), false
		}
		if !c.codec.Answers(s, resp) {
			continue
		}
		reply = c.codec.DecodeReply(s, resp, body)
		return reply, whole && c.reusable(conn, resp)
	}
	return ended(relay.Malformed, "only replies to earlier requests"), false
}

func readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxReplyBytes {
		return nil, fmt.Errorf("more than %d bytes", maxReplyBytes)
	}
	return body, resp.Body.Close()
}

// reusable reports whether the next reply on the connection will begin where this ended,
// and sets until when the connection may be used.
func (c *Client) reusable(conn *conn, resp *http.Response) bool {
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if resp.Close || unframed || conn.reader.Buffered() > 0 {
		return false
	}
	idle := defaultKeepAlive
	if named, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		idle = named - keepAliveMargin
	}
	conn.expires = time.Now().Add(idle)
	return idle > 0
}

// keepAlive returns the idle time that a Keep-Alive header names.
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

// failed tells a connection that ended or timed out from bytes that are no reply.
func failed(step string, err error) *relay.Reply {
	reason := step + ": " + err.Error()
	var netErr net.Error
	var opErr *net.OpError
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		return ended(relay.TimedOut, reason)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &opErr), errors.Is(err, net.ErrClosed):
		return ended(relay.Lost, reason)
	}
	return ended(relay.Malformed, reason)
}
