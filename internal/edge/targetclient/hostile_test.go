package targetclient

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/edge/trace"
)

// TestRepliesWithoutEnd checks that a reply whose head or body never ends is not read until the
// deadline.
func TestRepliesWithoutEnd(t *testing.T) {
	// socketBytes is more than the send and receive buffers of a loopback connection hold.
	const socketBytes = 12 << 20
	for name, start := range map[string]string{
		"status line": "HTTP/1.1 200 ",
		"header":      "HTTP/1.1 200 OK\r\nX: ",
		"body":        "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n",
		"chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			var sent atomic.Int64
			go func() {
				block := []byte(strings.Repeat("endless ", 8<<10))
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						continue
					}
					_, err = c.Write([]byte(start))
					for err == nil {
						var n int
						n, err = c.Write(block)
						sent.Add(int64(n))
					}
					_ = c.Close()
				}
			}()
			clk := sysclock.New()
			client, err := New("h", clk, trace.NewDisabled())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			const timeout = 4 * time.Second
			got := client.Search(&engine.Send{
				Spec: &release.Target{Name: "t", Address: l.Addr().String()}, Deadline: clk.Now().Mono + timeout,
				Request: &query.Request{}, Snapshot: &release.Snapshot{},
			})
			if got.Outcome != engine.Lost || got.Elapsed > timeout/2 {
				t.Errorf("outcome %v after %v, want %v well before the deadline", got.Outcome, got.Elapsed, engine.Lost)
			}
			if n := sent.Load(); n > maxReplyBytes+socketBytes {
				t.Errorf("the target sent %d bytes", n)
			}
		})
	}
}

// TestReplyCutInItsHead has the target close the connection after each prefix of the head of a
// reply, which must never count as one.
func TestReplyCutInItsHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var cut atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(head[:cut.Load()]))
			}
			_ = c.Close()
		}
	}()
	clk := sysclock.New()
	client, err := New("h", clk, trace.NewDisabled())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for n := range len(head) {
		cut.Store(int64(n))
		got := client.Search(&engine.Send{
			Spec: &release.Target{Name: "t", Address: l.Addr().String()}, Deadline: clk.Now().Mono + 4*time.Second,
			Request: &query.Request{}, Snapshot: &release.Snapshot{},
		})
		if got.Outcome != engine.Lost {
			t.Fatalf("after %q: outcome %v, want %v", head[:n], got.Outcome, engine.Lost)
		}
	}
}
