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
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/relay"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/edge/trace"
)

const (
	// maxRepliesPerRequest is how many replies are read until one belongs to the request;
	// replies to earlier requests on the connection are skipped.
	maxRepliesPerRequest = 3
	// minRemaining is the least time with which a request is sent: targets are given whole
	// milliseconds.
	minRemaining = time.Millisecond
	// replyGrace is how long after the deadline the client still waits for a reply. The
	// target receives the deadline and ends the request by itself; reading its reply lets the
	// connection be reused.
	replyGrace = 20 * time.Millisecond
)

// Codec converts between the HTTP messages of targets and the relay's types.
type Codec interface {
	// AppendRequest appends an encoded request without its body to buf. The request contains the remaining
	// time, and the trace context of the attempt unless traceParent is empty.
	AppendRequest(buf []byte, s *relay.Send, remaining time.Duration, traceParent string) []byte
	// Correlate reports which request the reply belongs to.
	Correlate(s *relay.Send, reply *http.Response) Correlation
	// AppendHealthCheck appends an encoded health check of a target to buf. DecodeHealth returns how long
	// the target stays cold by its response, and false if that is not one of this target's.
	AppendHealthCheck(buf []byte, t *catalog.Target, path string) []byte
	DecodeHealth(t *catalog.Target, reply *http.Response) (cold time.Duration, ok bool)
	// DecodeReply converts a complete reply and determines its outcome.
	DecodeReply(s *relay.Send, reply *http.Response, body []byte) *relay.AttemptEnded
}

// Correlation states which request of its connection a reply belongs to.
type Correlation int

const (
	// ToThisRequest is a reply that names this request.
	ToThisRequest Correlation = iota
	// ToOtherRequest is a reply that names another request.
	ToOtherRequest
	// ToUnknownRequest is a reply that names no request. It may be a second copy of an earlier
	// reply.
	ToUnknownRequest
)

// Client sends requests to targets. Do blocks and is called on worker threads.
type Client struct {
	codec  Codec
	clock  sysclock.Clock
	tracer *trace.Tracer
	pool   *pool
	memory *replyMemory
	dials  atomic.Uint64

	mu        sync.Mutex
	exchanges map[relay.AttemptID]*exchange
}

// exchange is a request in progress; conn is nil until the request has a connection.
type exchange struct {
	conn      *conn
	cancelled bool
}

// New returns a client without connections. The bodies of all replies in progress together
// occupy at most what replyBytes returns, which may change.
func New(codec Codec, clk sysclock.Clock, tracer *trace.Tracer, replyBytes func() int) *Client {
	return &Client{
		codec: codec, clock: clk, tracer: tracer, pool: newPool(), memory: newReplyMemory(replyBytes),
		exchanges: map[relay.AttemptID]*exchange{},
	}
}

// Dials returns the number of connections that were established.
func (c *Client) Dials() uint64 { return c.dials.Load() }

// Close closes the idle connections; those in use are closed when their exchange ends.
func (c *Client) Close() { c.pool.close() }

// CloseExpired closes the idle connections that have expired.
func (c *Client) CloseExpired() { c.pool.reap() }

// RetainTargets closes the idle connections to targets that are not in the view.
func (c *Client) RetainTargets(v *catalog.View) {
	c.pool.retain(func(key poolKey) bool {
		t := v.Targets[key.instance]
		return t != nil && t.Address == key.address
	})
}

// poolKey identifies the target that a pooled connection leads to.
type poolKey struct{ instance, address string }

func poolKeyOf(t *catalog.Target) poolKey { return poolKey{t.Instance, t.Address} }

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

// CancelAll cancels all attempts.
func (c *Client) CancelAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.exchanges {
		x.cancelled = true
		if x.conn != nil {
			_ = x.conn.Close()
		}
	}
}

// CancelUnsent cancels an attempt that has no connection yet.
func (c *Client) CancelUnsent(id relay.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.exchanges[id]; x != nil && x.conn == nil {
		x.cancelled = true
	}
}

// Register adds the exchange of an attempt, so that it can be cancelled before a worker calls
// Do. Do must follow, since it removes the exchange.
func (c *Client) Register(id relay.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges[id] = &exchange{}
}

// Do sends one request and returns its outcome. The attempt must have been registered. A panic,
// such as one of the codec on an unforeseen reply, ends only this attempt.
func (c *Client) Do(s *relay.Send) (reply *relay.AttemptEnded) {
	defer func() {
		if v := recover(); v != nil {
			c.Cancel(s.Attempt) // closes the connection
			reply = noResponse(relay.Lost, fmt.Sprintf("panic: %v\n%s", v, debug.Stack()))
			reply.Attempt = s.Attempt
			c.Unregister(s.Attempt)
		}
	}()
	span := c.tracer.Start(s.Request.TraceParent, "attempt",
		attribute.String("target", s.Target.Instance), attribute.String("service", s.Target.Service))
	reply = c.do(s, span.TraceParent())
	reply.Attempt = s.Attempt
	span.End(attribute.String("outcome", reply.Outcome.String()))
	if c.Unregister(s.Attempt) && reply.Outcome != relay.Answered && !reply.Outcome.NotRun() {
		reply.Outcome = relay.Cancelled
	}
	if r := reply.Response; r != nil && len(r.Body) > bodyBlockBytes {
		reply.Handled = c.memory.hold(len(r.Body))
	}
	return reply
}

// Unregister removes an attempt that has ended, or that Do was not called for, and reports
// whether it was cancelled.
func (c *Client) Unregister(id relay.AttemptID) (cancelled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.exchanges[id]
	delete(c.exchanges, id)
	return x != nil && x.cancelled
}

func (c *Client) do(s *relay.Send, traceParent string) *relay.AttemptEnded {
	remaining := s.Deadline - c.clock.Now().Mono
	if remaining < minRemaining {
		return noResponse(relay.Unsent, "deadline exceeded before the request was sent")
	}
	conn := c.pool.take(poolKeyOf(s.Target), s.Request.ID)
	if conn == nil {
		dialed, err := dial(s.Target.Address, remaining)
		if err != nil {
			ended := noResponse(relay.Unreachable, err.Error())
			ended.Refused = errors.Is(err, syscall.ECONNREFUSED)
			return ended
		}
		c.dials.Add(1)
		conn = dialed
	}
	if !c.attach(s.Attempt, conn) {
		c.pool.put(poolKeyOf(s.Target), conn)
		return noResponse(relay.Unsent, "cancelled before the request was sent")
	}
	remaining = s.Deadline - c.clock.Now().Mono
	if remaining < minRemaining {
		c.detach(s.Attempt)
		c.pool.put(poolKeyOf(s.Target), conn)
		return noResponse(relay.Unsent, "deadline exceeded before the request was sent")
	}
	reply, reuse := c.roundTrip(s, conn, remaining, traceParent)
	c.detach(s.Attempt)
	if !reuse {
		_ = conn.Close()
		return reply
	}
	c.pool.put(poolKeyOf(s.Target), conn)
	return reply
}

// checkTimeout bounds the time to connect to a target that is checked. A host whose process has
// ended refuses a connection within the round-trip time; one that is silent shows nothing.
const checkTimeout = 100 * time.Millisecond

// Check connects to a target. refused reports whether its host refuses connections, as it does once
// the process has ended, and reached whether it accepts them. The connection is kept for the next
// request.
func (c *Client) Check(t *catalog.Target) (refused, reached bool) {
	conn, err := dial(t.Address, checkTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET), false
	}
	c.dials.Add(1)
	conn.expires = time.Now().Add(extraKeepAlive)
	c.pool.put(poolKeyOf(t), conn)
	return false, true
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
	complete, err := conn.sendRequest(c.codec.AppendRequest(nil, s, remaining, traceParent), s.Request.Body, deadline)
	if err != nil {
		return exchangeFailure("write", err), false
	}
	return c.readReply(s, conn, complete)
}

// readReply reads replies until one belongs to the request. complete states that the whole
// request was written, without which the connection cannot be reused.
func (c *Client) readReply(s *relay.Send, conn *conn, complete bool) (reply *relay.AttemptEnded, reuse bool) {
	headBytes := maxReplyHeadBytes
	for skipped := 0; skipped < maxRepliesPerRequest; {
		conn.allow("head", headBytes)
		resp, err := http.ReadResponse(conn.reader, &http.Request{Method: s.Request.Method})
		if err != nil {
			return exchangeFailure("read", err), false
		}
		headBytes = conn.allowance
		switch {
		case isInterim(resp.StatusCode):
			continue
		case resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus:
			return noResponse(relay.Malformed, fmt.Sprintf("status %03d, want a final status from %d to %d", resp.StatusCode, http.StatusOK, maxStatus)), false
		}
		body, err := c.readBody(conn, resp)
		if err != nil {
			return exchangeFailure("read body", err), false
		}
		switch c.codec.Correlate(s, resp) {
		case ToOtherRequest:
			skipped++
			continue
		case ToUnknownRequest:
			if conn.exchanges > 1 || skipped > 0 {
				return noResponse(relay.Malformed, "reply names no request on a connection that carried others"), false
			}
			return c.codec.DecodeReply(s, resp, body), false
		}
		return c.codec.DecodeReply(s, resp, body), complete && c.reusable(conn, resp)
	}
	return noResponse(relay.Malformed, fmt.Sprintf("read %d replies, all to earlier requests", maxRepliesPerRequest)), false
}

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// isInterim reports whether a reply precedes the final one on the same connection. After 101
// the connection would no longer carry HTTP.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

const (
	// initialBodyBytes is the size of the first buffer for a body whose length is unknown or
	// large.
	initialBodyBytes = 16 << 10
	// bodyBlockBytes is the size of each further buffer. A body that grows is not copied until
	// it is complete, so that one without end leaves no garbage.
	bodyBlockBytes = 64 << 10
)

// readBody reads the body of a reply. The memory that it takes grows with the bytes that arrive
// and not with the length that the reply states.
func (c *Client) readBody(conn *conn, resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxReplyBytes {
		return nil, fmt.Errorf("%w: body of %d bytes, at most %d are read", ErrReplyTooLarge, resp.ContentLength, maxReplyBytes)
	}
	conn.allow("body", maxReplyBytes+maxReplyBytes/framingDivisor+maxFramingBytes)
	memory := &replyBody{conn: conn}
	body, err := c.fillBody(memory, resp)
	if c.memory.release(memory) && err != nil {
		err = errEvicted
	}
	if err != nil {
		return nil, err
	}
	return body, resp.Body.Close()
}

func (c *Client) fillBody(memory *replyBody, resp *http.Response) ([]byte, error) {
	size, total := initialBodyBytes, 0
	if n := resp.ContentLength; n >= 0 && n < initialBodyBytes {
		size = int(n) + 1 // one byte of room in which the end of the body is read
	}
	var full [][]byte
	for ; ; size = bodyBlockBytes {
		if err := c.memory.grow(memory, size); err != nil {
			return nil, err
		}
		block, err := readBlock(resp.Body, size)
		total += len(block)
		switch {
		case memory.conn.read() > total+total/framingDivisor+maxFramingBytes:
			return nil, fmt.Errorf("%w: %d bytes read for %d of a body", ErrReplyTooLarge, memory.conn.read(), total)
		case total > maxReplyBytes:
			return nil, fmt.Errorf("%w: body has more than %d bytes", ErrReplyTooLarge, maxReplyBytes)
		case err != nil && !errors.Is(err, io.EOF):
			return nil, err
		case err != nil && len(full) == 0:
			return block, nil
		case err != nil:
			if err := c.memory.grow(memory, total); err != nil {
				return nil, err
			}
			return slices.Concat(append(full, block)...), nil
		}
		full = append(full, block)
	}
}

// readBlock reads until a block of the given size is full or the body ends, which it reports as
// io.EOF.
func readBlock(body io.Reader, size int) ([]byte, error) {
	block := make([]byte, 0, size)
	for len(block) < size {
		n, err := body.Read(block[len(block):size])
		block = block[:len(block)+n]
		if err != nil {
			return block, err
		}
	}
	return block, nil
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
