package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/relay"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/edge/trace"
)

// testCodec encodes a minimal request. The target echoes the header field "Id" in its reply.
type testCodec struct{}

func (testCodec) AppendRequest(buf []byte, s *relay.Send, _ time.Duration, _ string) []byte {
	return fmt.Appendf(buf, "GET / HTTP/1.1\r\nHost: t\r\nId: %s\r\n\r\n", s.Request.ID)
}

func (testCodec) AppendHealthCheck(buf []byte, _ *catalog.Target, path string) []byte {
	return append(buf, "GET "+path+" HTTP/1.1\r\nId: health\r\n\r\n"...)
}

func (testCodec) DecodeHealth(*catalog.Target, *http.Response) (time.Duration, bool) { return 0, true }

func (testCodec) Correlate(s *relay.Send, reply *http.Response) Correlation {
	switch reply.Header.Get("Id") {
	case s.Request.ID:
		return ToThisRequest
	case "":
		return ToUnknownRequest
	}
	return ToOtherRequest
}

func (testCodec) DecodeReply(_ *relay.Send, reply *http.Response, body []byte) *relay.AttemptEnded {
	return &relay.AttemptEnded{Outcome: relay.Answered, Response: &relay.Response{Status: reply.StatusCode, Body: body}}
}

// target is a test server; its answer function writes the reply to each request. It gets the
// number n of earlier requests on the connection; an error closes the connection.
type target struct {
	listener net.Listener
	accepted atomic.Int64
}

// errReset makes a target reset the connection after it has written.
var errReset = errors.New("reset the connection")

func startTarget(t *testing.T, answer func(c net.Conn, id string, n int) error) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := &target{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tg.accepted.Add(1)
			go serveTarget(c, answer)
		}
	}()
	return tg
}

func serveTarget(c net.Conn, answer func(c net.Conn, id string, n int) error) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		switch err := answer(c, req.Header.Get("Id"), n); {
		case errors.Is(err, errReset):
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case err != nil:
			return
		}
	}
}

// ok writes a complete reply with status 200.
func ok(c net.Conn, id, body string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	return err
}

type fixture struct {
	client *Client
	clock  sysclock.Clock
	target *target
	last   relay.AttemptID
}

func newFixture(t *testing.T, answer func(c net.Conn, id string, n int) error) *fixture {
	clk := sysclock.New()
	f := &fixture{client: New(testCodec{}, clk, trace.NewDisabled(), func() int { return testReplyBytes }), clock: clk, target: startTarget(t, answer)}
	t.Cleanup(f.client.Close)
	return f
}

func (f *fixture) send(id string, timeout time.Duration) *relay.Send {
	f.last++
	s := &relay.Send{
		Attempt:  f.last,
		Target:   &catalog.Target{Instance: "i", Address: f.target.listener.Addr().String()},
		Request:  &relay.Request{ID: id, Method: http.MethodGet},
		Deadline: f.clock.Now().Mono + timeout,
	}
	f.client.Register(s.Attempt)
	return s
}

func (f *fixture) do(id string, timeout time.Duration) *relay.AttemptEnded {
	return f.client.Do(f.send(id, timeout))
}

const longTimeout = 5 * time.Second

// testReplyBytes is the memory for the replies in progress of a fixture's client.
const testReplyBytes = 12 << 20

// TestNoRequestIsSentWithoutTime guards against requests that name a remaining time of 0 ms, less than the
// millisecond that was left.
func TestNoRequestIsSentWithoutTime(t *testing.T) {
	f := newFixture(t, func(c net.Conn, id string, _ int) error { return ok(c, id, "x") })
	for range 50 {
		if got := f.do("a", 900*time.Microsecond); got.Outcome != relay.Unsent {
			t.Fatalf("outcome %v (%s) with less than a millisecond left, want %v", got.Outcome, got.Reason, relay.Unsent)
		}
	}
}

// TestConnectionReusedAfterExchangeDeadline lets the deadline of the first exchange pass while
// its connection is idle. The deadline left on the connection must not prevent its reuse.
func TestConnectionReusedAfterExchangeDeadline(t *testing.T) {
	f := newFixture(t, func(c net.Conn, id string, _ int) error { return ok(c, id, "x") })
	s := f.send("a", longTimeout)
	if got := f.client.Do(s); got.Outcome != relay.Answered {
		t.Fatalf("first: %v %s", got.Outcome, got.Reason)
	}
	for _, c := range f.client.pool.idle[poolKeyOf(s.Target)] {
		if err := c.SetDeadline(time.Unix(1, 0)); err != nil {
			t.Fatal(err)
		}
	}
	if got := f.do("b", longTimeout); got.Outcome != relay.Answered {
		t.Fatalf("second: %v %s", got.Outcome, got.Reason)
	}
	if n := f.target.accepted.Load(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// TestFaultyReplies checks that incomplete, malformed and extra replies neither reach a caller
// nor stay on a kept connection, where the next request would read them.
func TestFaultyReplies(t *testing.T) {
	replyOnce := func(text string) func(net.Conn, string, int) error {
		return func(c net.Conn, id string, n int) error {
			if n > 0 || id == "next" {
				return ok(c, id, "x")
			}
			_, err := c.Write([]byte(strings.ReplaceAll(text, "ID", id)))
			return err
		}
	}
	tests := []struct {
		name    string
		answer  func(net.Conn, string, int) error
		outcome relay.Outcome
	}{
		{"extra bytes after the reply", replyOnce("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 1\r\n\r\ny"), relay.Answered},
		{"not HTTP", replyOnce("garbage that is no reply\r\n\r\n"), relay.Malformed},
		{"reply to an earlier request first", replyOnce("HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 1\r\n\r\noHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 1\r\n\r\nx"), relay.Answered},
		{"closed before the end of the body", func(c net.Conn, id string, _ int) error {
			if id == "next" {
				return ok(c, id, "x")
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nshort", id)
			return errors.New("close")
		}, relay.Lost},
		{"reset in a body without Content-Length", func(c net.Conn, id string, _ int) error {
			if id == "next" {
				return ok(c, id, "x")
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nx", id)
			time.Sleep(20 * time.Millisecond)
			return errReset
		}, relay.Lost},
		{"close after a body without Content-Length", func(c net.Conn, id string, _ int) error {
			if id == "next" {
				return ok(c, id, "x")
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nx", id)
			return errors.New("close")
		}, relay.Answered},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, tt.answer)
			got := f.do("first", longTimeout)
			if got.Outcome != tt.outcome {
				t.Fatalf("outcome %v (%s), want %v", got.Outcome, got.Reason, tt.outcome)
			}
			if got.Outcome == relay.Answered && string(got.Response.Body) != "x" {
				t.Errorf("body %q, want x", got.Response.Body)
			}
			if next := f.do("next", longTimeout); next.Outcome != relay.Answered || string(next.Response.Body) != "x" {
				t.Errorf("next: %v %+v", next.Outcome, next.Response)
			}
		})
	}
}

// TestExtraReplyOnIdleConnectionIsDiscarded sends a second reply to the first request while
// the connection is idle. The next request must not receive it.
func TestExtraReplyOnIdleConnectionIsDiscarded(t *testing.T) {
	sent := make(chan struct{})
	f := newFixture(t, func(c net.Conn, id string, _ int) error {
		if id != "a" {
			return ok(c, id, "right")
		}
		if err := ok(c, id, "right"); err != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
		defer close(sent)
		return ok(c, id, "wrong")
	})
	f.do("a", longTimeout)
	<-sent
	if got := f.do("b", longTimeout); got.Outcome != relay.Answered || string(got.Response.Body) != "right" {
		t.Errorf("second: %v %+v", got.Outcome, got.Response)
	}
}

func TestUnreachableAndUnresponsiveTargets(t *testing.T) {
	f := newFixture(t, func(net.Conn, string, int) error { time.Sleep(time.Second); return nil })
	if got := f.do("silent", 30*time.Millisecond); got.Outcome != relay.TimedOut {
		t.Errorf("unresponsive target: %v %s", got.Outcome, got.Reason)
	}
	_ = f.target.listener.Close()
	if got := f.do("gone", longTimeout); got.Outcome != relay.Unreachable || !got.Outcome.NotRun() {
		t.Errorf("closed port: %v %s", got.Outcome, got.Reason)
	}
	if got := f.do("late", 0); got.Outcome != relay.Unsent {
		t.Errorf("deadline exceeded before the request was sent: %v", got.Outcome)
	}
}

func TestCancelEndsExchange(t *testing.T) {
	reached := make(chan struct{})
	f := newFixture(t, func(net.Conn, string, int) error { close(reached); time.Sleep(time.Minute); return nil })
	s := f.send("a", time.Minute)
	go func() { <-reached; f.client.Cancel(s.Attempt) }()
	if got := f.client.Do(s); got.Outcome != relay.Cancelled {
		t.Errorf("outcome %v %s", got.Outcome, got.Reason)
	}
	early := f.send("b", time.Minute)
	f.client.Cancel(early.Attempt)
	if got := f.client.Do(early); !got.Outcome.NotRun() {
		t.Errorf("cancelled before the request was sent: %v", got.Outcome)
	}
}

// TestIdleConnectionsAreClosed opens several connections at the same time. Once they are idle,
// all but one expire after extraKeepAlive, and the last is closed when its target is removed
// from the view.
func TestIdleConnectionsAreClosed(t *testing.T) {
	const parallel = 4
	arrived := make(chan struct{}, parallel)
	release := make(chan struct{})
	f := newFixture(t, func(c net.Conn, id string, _ int) error {
		arrived <- struct{}{}
		<-release
		return ok(c, id, "x")
	})
	done := make(chan *relay.AttemptEnded, parallel)
	for i := range parallel {
		s := f.send(fmt.Sprint(i), longTimeout)
		go func() { done <- f.client.Do(s) }()
	}
	for range parallel {
		<-arrived
	}
	close(release)
	for range parallel {
		if got := <-done; got.Outcome != relay.Answered {
			t.Fatalf("%v %s", got.Outcome, got.Reason)
		}
	}
	idle := func() int {
		n := 0
		f.client.pool.mu.Lock()
		defer f.client.pool.mu.Unlock()
		for _, list := range f.client.pool.idle {
			n += len(list)
		}
		return n
	}
	if got := idle(); got != parallel {
		t.Fatalf("%d idle connections at once, want %d", got, parallel)
	}
	time.Sleep(extraKeepAlive)
	f.client.CloseExpired()
	if got := idle(); got != 1 {
		t.Errorf("%d idle connections after %v, want 1", got, extraKeepAlive)
	}
	f.client.RetainTargets(catalog.NewView())
	if got := idle(); got != 0 {
		t.Errorf("%d idle connections to a removed target, want 0", got)
	}
}

// TestRepeatedRequestUsesAnotherConnection repeats a request to a target that sends a
// duplicate reply to it before its next reply. Both have the same id, so on the same
// connection the duplicate would be taken for the reply to the repeated request.
func TestRepeatedRequestUsesAnotherConnection(t *testing.T) {
	f := newFixture(t, func(c net.Conn, id string, n int) error {
		if n > 0 {
			if err := ok(c, "a", "second reply"); err != nil {
				return err
			}
		}
		return ok(c, id, "reply to "+id)
	})
	for _, id := range []string{"a", "b", "a", "c"} {
		reply := f.do(id, longTimeout)
		if reply.Outcome != relay.Answered || string(reply.Response.Body) != "reply to "+id {
			t.Fatalf("%s: %v with %+v", id, reply.Outcome, reply.Response)
		}
	}
	if n := f.target.accepted.Load(); n != 2 {
		t.Errorf("%d connections, want 2: only the repeated request needs another", n)
	}
}
