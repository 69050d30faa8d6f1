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
	"pollentack.example/pollentack/internal/edge/trace"
	"pollentack.example/pollentack/internal/edge/wallclock"
)

// testCodec writes the least of a request and takes "Id" for the echo.
type testCodec struct{}

func (testCodec) AppendRequest(buf []byte, s *relay.Send, _ time.Duration, _ string) []byte {
	return fmt.Appendf(buf, "GET / HTTP/1.1\r\nHost: t\r\nId: %s\r\n\r\n", s.Request.ID)
}

func (testCodec) Answers(s *relay.Send, reply *http.Response) bool {
	return reply.Header.Get("Id") == s.Request.ID
}

func (testCodec) DecodeReply(_ *relay.Send, reply *http.Response, body []byte) *relay.Reply {
	return &relay.Reply{Outcome: relay.Answered, Response: &relay.Response{Status: reply.StatusCode, Body: body}}
}

// target is a listener that answers each request on a connection with what answer gives.
type target struct {
	listener net.Listener
	accepted atomic.Int64
}

// errBreak makes a target reset the connection after what it wrote.
var errBreak = errors.New("break")

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
		case errors.Is(err, errBreak):
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case err != nil:
			return
		}
	}
}

func ok(c net.Conn, id, body string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	return err
}

type rig struct {
	client *Client
	clock  wallclock.Clock
	target *target
	last   relay.AttemptID
}

func newRig(t *testing.T, answer func(c net.Conn, id string, n int) error) *rig {
	clk := wallclock.New()
	r := &rig{client: New(testCodec{}, clk, trace.Off()), clock: clk, target: startTarget(t, answer)}
	t.Cleanup(r.client.Close)
	return r
}

func (r *rig) send(id string, timeout time.Duration) *relay.Send {
	r.last++
	s := &relay.Send{
		Attempt:  r.last,
		Target:   &catalog.Target{Instance: "i", Address: r.target.listener.Addr().String()},
		Request:  &relay.Request{ID: id, Method: http.MethodGet},
		Deadline: r.clock.Now().Mono + timeout,
	}
	r.client.Register(s.Attempt)
	return s
}

func (r *rig) do(id string, timeout time.Duration) *relay.Reply {
	return r.client.Do(r.send(id, timeout))
}

const enough = 5 * time.Second

// TestConnectionOutlivesTheDeadlineOfItsExchange sends a second request after the deadline
// of the first: the idle connection must still serve it.
func TestConnectionOutlivesTheDeadlineOfItsExchange(t *testing.T) {
	r := newRig(t, func(c net.Conn, id string, _ int) error { return ok(c, id, "x") })
	const timeout = 30 * time.Millisecond
	if got := r.do("a", timeout); got.Outcome != relay.Answered {
		t.Fatalf("first: %v %s", got.Outcome, got.Reason)
	}
	time.Sleep(timeout + replyGrace + 10*time.Millisecond)
	if got := r.do("b", enough); got.Outcome != relay.Answered {
		t.Fatalf("second: %v %s", got.Outcome, got.Reason)
	}
	if n := r.target.accepted.Load(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// TestFaultyReplies checks that no fault of a reply reaches a caller as an answer, and
// that no connection is kept after one.
func TestFaultyReplies(t *testing.T) {
	write := func(text string) func(net.Conn, string, int) error {
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
		{"extra bytes after the reply", write("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 1\r\n\r\ny"), relay.Answered},
		{"no HTTP", write("garbage that is no reply\r\n\r\n"), relay.Malformed},
		{"an earlier request's reply first", write("HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 1\r\n\r\noHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 1\r\n\r\nx"), relay.Answered},
		{"closed before the end", func(c net.Conn, id string, _ int) error {
			if id == "next" {
				return ok(c, id, "x")
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nshort", id)
			return errors.New("close")
		}, relay.Lost},
		{"reset in a body without a length", func(c net.Conn, id string, _ int) error {
			if id == "next" {
				return ok(c, id, "x")
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nx", id)
			time.Sleep(20 * time.Millisecond)
			return errBreak
		}, relay.Lost},
		{"end of a body without a length", func(c net.Conn, id string, _ int) error {
			if id == "next" {
				return ok(c, id, "x")
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nx", id)
			return errors.New("close")
		}, relay.Answered},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, tt.answer)
			got := r.do("first", enough)
			if got.Outcome != tt.outcome {
				t.Fatalf("outcome %v (%s), want %v", got.Outcome, got.Reason, tt.outcome)
			}
			if got.Outcome == relay.Answered && string(got.Response.Body) != "x" {
				t.Errorf("body %q, want x", got.Response.Body)
			}
			if next := r.do("next", enough); next.Outcome != relay.Answered || string(next.Response.Body) != "x" {
				t.Errorf("next: %v %+v", next.Outcome, next.Response)
			}
		})
	}
}

// TestLateExtraReplyIsNoAnswer lets a second reply to the first request arrive while the
// connection is idle: the next request must not get it.
func TestLateExtraReplyIsNoAnswer(t *testing.T) {
	sent := make(chan struct{})
	r := newRig(t, func(c net.Conn, id string, _ int) error {
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
	r.do("a", enough)
	<-sent
	if got := r.do("b", enough); got.Outcome != relay.Answered || string(got.Response.Body) != "right" {
		t.Errorf("second: %v %+v", got.Outcome, got.Response)
	}
}

func TestUnreachableAndSilentTargets(t *testing.T) {
	r := newRig(t, func(net.Conn, string, int) error { time.Sleep(time.Second); return nil })
	if got := r.do("silent", 30*time.Millisecond); got.Outcome != relay.TimedOut {
		t.Errorf("silent target: %v %s", got.Outcome, got.Reason)
	}
	_ = r.target.listener.Close()
	if got := r.do("gone", enough); got.Outcome != relay.Unreachable || !got.Outcome.NotRun() {
		t.Errorf("closed port: %v %s", got.Outcome, got.Reason)
	}
	if got := r.do("late", 0); got.Outcome != relay.Unsent {
		t.Errorf("no time left: %v", got.Outcome)
	}
}

func TestCancelEndsTheExchange(t *testing.T) {
	reached := make(chan struct{})
	r := newRig(t, func(net.Conn, string, int) error { close(reached); time.Sleep(time.Minute); return nil })
	s := r.send("a", time.Minute)
	go func() { <-reached; r.client.Cancel(s.Attempt) }()
	if got := r.client.Do(s); got.Outcome != relay.Cancelled {
		t.Errorf("outcome %v %s", got.Outcome, got.Reason)
	}
	early := r.send("b", time.Minute)
	r.client.Cancel(early.Attempt)
	if got := r.client.Do(early); !got.Outcome.NotRun() {
		t.Errorf("cancelled before it was sent: %v", got.Outcome)
	}
}

// TestIdleConnectionsAreFew makes several connections at a time: of those that are idle
// then only one is kept, and none to a target that left the view.
func TestIdleConnectionsAreFew(t *testing.T) {
	const parallel = 4
	arrived := make(chan struct{}, parallel)
	release := make(chan struct{})
	r := newRig(t, func(c net.Conn, id string, _ int) error {
		arrived <- struct{}{}
		<-release
		return ok(c, id, "x")
	})
	done := make(chan *relay.Reply, parallel)
	for i := range parallel {
		s := r.send(fmt.Sprint(i), enough)
		go func() { done <- r.client.Do(s) }()
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
		r.client.pool.mu.Lock()
		defer r.client.pool.mu.Unlock()
		for _, list := range r.client.pool.idle {
			n += len(list)
		}
		return n
	}
	if got := idle(); got != parallel {
		t.Fatalf("%d idle connections at once, want %d", got, parallel)
	}
	time.Sleep(extraKeepAlive)
	r.client.Reap()
	if got := idle(); got != 1 {
		t.Errorf("%d idle connections after %v, want 1", got, extraKeepAlive)
	}
	r.client.Keep(catalog.NewView())
	if got := idle(); got != 0 {
		t.Errorf("%d idle connections to a target that left, want 0", got)
	}
}

// TestRepeatedRequestTakesAnotherConnection sends one request twice to a target whose
// second reply to the first comes where the next reply is awaited: the id cannot tell it
// from the reply to the repeat.
func TestRepeatedRequestTakesAnotherConnection(t *testing.T) {
	r := newRig(t, func(c net.Conn, id string, n int) error {
		if n > 0 {
			if err := ok(c, "a", "second reply"); err != nil {
				return err
			}
		}
		return ok(c, id, "reply to "+id)
	})
	for _, id := range []string{"a", "b", "a", "c"} {
		reply := r.do(id, enough)
		if reply.Outcome != relay.Answered || string(reply.Response.Body) != "reply to "+id {
			t.Fatalf("%s: %v with %+v", id, reply.Outcome, reply.Response)
		}
	}
	if n := r.target.accepted.Load(); n != 2 {
		t.Errorf("%d connections, want 2: only the repeat needs another", n)
	}
}
