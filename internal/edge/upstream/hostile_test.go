package upstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/relay"
)

// TestCopyWithoutIDIsNotTaken sends a second copy of a reply that names no request while the
// next request waits on the connection. The next request must not receive it, nor any later
// request the reply before its own.
func TestCopyWithoutIDIsNotTaken(t *testing.T) {
	f := newFixture(t, func(c net.Conn, id string, n int) error {
		if n > 0 {
			time.Sleep(40 * time.Millisecond)
		}
		if err := ok(c, id, "to "+id); err != nil {
			return err
		}
		go func() {
			time.Sleep(20 * time.Millisecond)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\ncopy %s", len("copy "+id), id)
		}()
		return nil
	})
	failed := 0
	for i := range 10 {
		id := fmt.Sprint(i)
		switch got := f.do(id, longTimeout); {
		case got.Outcome == relay.Answered && string(got.Response.Body) != "to "+id:
			t.Errorf("request %s got the reply %q", id, got.Response.Body)
		case got.Outcome == relay.Malformed:
			failed++
		case got.Outcome != relay.Answered:
			t.Errorf("request %s: %v %s", id, got.Outcome, got.Reason)
		}
	}
	if failed == 0 {
		t.Error("no request met a copy, so that the test shows nothing")
	}
}

// TestReplyWithoutIDOnNewConnection checks that a reply that names no request is taken where
// nothing else can be meant, and that its connection is not used again.
func TestReplyWithoutIDOnNewConnection(t *testing.T) {
	f := newFixture(t, func(c net.Conn, _ string, _ int) error {
		_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
		return err
	})
	for i := range 3 {
		if got := f.do(fmt.Sprint(i), longTimeout); got.Outcome != relay.Answered {
			t.Fatalf("request %d: %v %s", i, got.Outcome, got.Reason)
		}
	}
	if n := f.target.accepted.Load(); n != 3 {
		t.Errorf("%d connections, want one for each request", n)
	}
}

func TestOnlyFinalStatusIsAnswer(t *testing.T) {
	tests := []struct {
		name    string
		head    string
		outcome relay.Outcome
	}{
		{"status 000", "HTTP/1.1 000 None\r\nId: ID\r\nContent-Length: 1\r\n\r\nx", relay.Malformed},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\nId: ID\r\nUpgrade: u\r\nConnection: Upgrade\r\n\r\nx", relay.Malformed},
		{"status 600", "HTTP/1.1 600 Odd\r\nId: ID\r\nContent-Length: 1\r\n\r\nx", relay.Malformed},
		{"interim replies before the final one", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 1\r\n\r\nx", relay.Answered},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, func(c net.Conn, id string, _ int) error {
				_, err := c.Write([]byte(strings.ReplaceAll(tt.head, "ID", id)))
				return err
			})
			if got := f.do("a", longTimeout); got.Outcome != tt.outcome {
				t.Errorf("outcome %v (%s), want %v", got.Outcome, got.Reason, tt.outcome)
			}
		})
	}
}

// socketBytes is more than the send and receive buffers of a loopback connection hold.
const socketBytes = 12 << 20

// TestRepliesWithoutEnd sends four requests at once to a target whose reply never ends. Each
// must fail well before its deadline, the target must not be read for longer, and the heap must
// grow by no more than the limit of the client and the copies made while a buffer grows.
func TestRepliesWithoutEnd(t *testing.T) {
	const parallel = 4
	tests := []struct {
		name, start, repeated string
		maxBytes              int64
	}{
		{"status line", "HTTP/1.1 200 ", "endless ", maxReplyHeadBytes},
		{"header line", "HTTP/1.1 200 OK\r\nId: ID\r\nX: ", "endless ", maxReplyHeadBytes},
		{"header", "HTTP/1.1 200 OK\r\nId: ID\r\n", "X: endless\r\n", maxReplyHeadBytes},
		{"interim replies", "", "HTTP/1.1 103 Early Hints\r\n\r\n", maxReplyHeadBytes},
		{"body", "HTTP/1.1 200 OK\r\nId: ID\r\n\r\n", "endless ", maxReplyBytes},
		{"body with a length", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 99999999999\r\n\r\n", "endless ", maxReplyBytes},
		{"chunks", "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nendless \r\n", 2 * maxReplyBytes},
		{"chunks of 64 bytes", "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("endless ", 8) + "\r\n", 2 * maxReplyBytes},
		{"trailer", "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: endless\r\n", maxReplyHeadBytes},
		{"body of another request", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "endless ", maxReplyBytes},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var sent atomic.Int64
			block := []byte(strings.Repeat(tt.repeated, 64<<10/len(tt.repeated)))
			f := newFixture(t, func(c net.Conn, id string, _ int) error {
				_, err := c.Write([]byte(strings.ReplaceAll(tt.start, "ID", id)))
				for err == nil {
					var n int
					n, err = c.Write(block)
					sent.Add(int64(n))
				}
				return err
			})
			stop := make(chan struct{})
			peak := make(chan uint64)
			before := heapBytes()
			go func() { peak <- peakHeapBytes(stop) }()
			done := make(chan *relay.AttemptEnded, parallel)
			begin := time.Now()
			for i := range parallel {
				s := f.send(fmt.Sprint(i), longTimeout)
				go func() { done <- f.client.Do(s) }()
			}
			for range parallel {
				if got := <-done; got.Outcome != relay.Malformed {
					t.Errorf("outcome %v (%s), want %v", got.Outcome, got.Reason, relay.Malformed)
				}
			}
			if took := time.Since(begin); took > longTimeout/2 {
				t.Errorf("ended after %v, want an end before the deadline of %v", took, longTimeout)
			}
			close(stop)
			if n, limit := sent.Load(), parallel*(tt.maxBytes+socketBytes); n > limit {
				t.Errorf("the target sent %d bytes, want at most %d", n, limit)
			}
			// Garbage of grown buffers may double what is in use until the next collection.
			if grown, limit := int64(<-peak)-int64(before), int64(2*testReplyBytes+socketBytes); grown > limit {
				t.Errorf("heap grew by %d bytes, want at most %d", grown, limit)
			}
			if f.client.memory.used != 0 {
				t.Errorf("%d bytes still counted as in use", f.client.memory.used)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// peakHeapBytes returns the largest heap that was seen until stop is closed.
func peakHeapBytes(stop <-chan struct{}) uint64 {
	var peak uint64
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapAlloc)
		select {
		case <-stop:
			return peak
		case <-time.After(time.Millisecond):
		}
	}
}

// TestLargestReplyIsGivenUpFirst fills the memory for replies. The largest reply in progress
// must end, and the others must still grow.
func TestLargestReplyIsGivenUpFirst(t *testing.T) {
	m := newReplyMemory(func() int { return 100 })
	bodies := make([]*replyBody, 3)
	for i, size := range []int{20, 50, 20} {
		client, server := net.Pipe()
		defer func() { _ = server.Close() }()
		bodies[i] = &replyBody{conn: &conn{meteredConn: &meteredConn{Conn: client}}}
		if err := m.grow(bodies[i], size); err != nil {
			t.Fatal(err)
		}
	}
	if err := m.grow(bodies[0], 20); err != nil {
		t.Errorf("a small reply was given up: %v", err)
	}
	if _, err := bodies[1].conn.Conn.Read(make([]byte, 1)); err == nil || !bodies[1].evicted {
		t.Error("the connection of the largest reply was not closed")
	}
	if err := m.grow(bodies[2], 90); err == nil {
		t.Error("a reply that is the largest itself could grow")
	}
	for i, evicted := range []bool{false, true, true} {
		if got := m.release(bodies[i]); got != evicted {
			t.Errorf("reply %d: given up %v, want %v", i, got, evicted)
		}
	}
	if m.used != 0 {
		t.Errorf("%d bytes in use at the end", m.used)
	}
}

// panickingCodec panics on replies to requests with the id "bad".
type panickingCodec struct{ testCodec }

func (c panickingCodec) DecodeReply(s *relay.Send, reply *http.Response, body []byte) *relay.AttemptEnded {
	if s.Request.ID == "bad" {
		panic("unforeseen reply")
	}
	return c.testCodec.DecodeReply(s, reply, body)
}

// TestPanicEndsOnlyItsAttempt checks that a panic in the handling of one reply ends that attempt,
// with a connection that is not used again, and no other.
func TestPanicEndsOnlyItsAttempt(t *testing.T) {
	f := newFixture(t, func(c net.Conn, id string, _ int) error { return ok(c, id, "x") })
	f.client.codec = panickingCodec{}
	if got := f.do("bad", longTimeout); got.Outcome != relay.Lost || got.Attempt != f.last || !strings.Contains(got.Reason, "unforeseen reply") {
		t.Errorf("outcome %v of attempt %d (%s), want %v of attempt %d", got.Outcome, got.Attempt, got.Reason, relay.Lost, f.last)
	}
	if got := f.do("good", longTimeout); got.Outcome != relay.Answered {
		t.Errorf("next: %v %s", got.Outcome, got.Reason)
	}
	if n := f.target.accepted.Load(); n != 2 || len(f.client.exchanges) != 0 {
		t.Errorf("%d connections, want 2; %d exchanges left", n, len(f.client.exchanges))
	}
}

// TestLargeBodyIsWhole reads a body of many blocks, with a length, in chunks and until the end of
// the connection.
func TestLargeBodyIsWhole(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 5<<20/16) + "end"
	for name, write := range map[string]func(c net.Conn, id string) error{
		"length": func(c net.Conn, id string) error { return ok(c, id, body) },
		"chunks": func(c net.Conn, id string) error {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
			return err
		},
		"until the end": func(c net.Conn, id string) error {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", id, body)
			return errors.New("close")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(c net.Conn, id string, _ int) error { return write(c, id) })
			got := f.do("a", longTimeout)
			if got.Outcome != relay.Answered || string(got.Response.Body) != body {
				t.Fatalf("outcome %v (%s), want the whole body", got.Outcome, got.Reason)
			}
			got.Handled()
			if f.client.memory.used != 0 {
				t.Errorf("%d bytes still counted as in use", f.client.memory.used)
			}
		})
	}
}
