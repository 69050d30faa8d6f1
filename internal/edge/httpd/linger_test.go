package httpd

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// TestRejectedCallerReadsResponse sends requests that exceed the limits and continues to write
// after the server has rejected them. If the server closed the connection at once, the unread
// bytes would reset it and the caller would lose the response.
func TestRejectedCallerReadsResponse(t *testing.T) {
	s, err := Start("127.0.0.1:0", Options{MaxBodyBytes: 1 << 10, MaxHeaderBytes: 4 << 10}, func(h *server.Hertz) {
		h.Use(func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(http.StatusOK) })
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for name, tt := range map[string]struct {
		head string
		want int
	}{
		"header": {"GET / HTTP/1.1\r\nHost: h\r\nX-Long: ", http.StatusRequestHeaderFieldsTooLarge},
		"body":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n", http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", s.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := c.Write(append([]byte(tt.head), bytes.Repeat([]byte("x"), 16<<10)...)); err != nil {
				t.Fatal(err)
			}
			// Once the first byte of the response has arrived, the request is rejected. What the
			// caller writes after that must not prevent it from reading the rest.
			r := bufio.NewReader(c)
			if _, err := r.Peek(1); err != nil {
				t.Fatalf("no response: %v", err)
			}
			for range 8 {
				if _, err := c.Write(bytes.Repeat([]byte("x"), 4<<10)); err != nil {
					t.Fatalf("the connection was closed while the request was being written: %v", err)
				}
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.want {
				t.Errorf("status %d, want %d", resp.StatusCode, tt.want)
			}
		})
	}
}

// TestLingeringEnds guards against a rejected caller that keeps its connection open: it held the
// connection for the idle timeout.
func TestLingeringEnds(t *testing.T) {
	const idleTimeout, tooLate = time.Minute, 10 * time.Second
	s, err := Start("127.0.0.1:0", Options{MaxHeaderBytes: 4 << 10, IdleTimeout: func() time.Duration { return idleTimeout }}, func(*server.Hertz) {})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := dial(t, s)
	if _, err := c.Write(append([]byte("GET / HTTP/1.1\r\nHost: h\r\nX-Long: "), bytes.Repeat([]byte("x"), 16<<10)...)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatalf("status %d, want 431", resp.StatusCode)
	}
	open := func() int {
		s.listener.mu.Lock()
		defer s.listener.mu.Unlock()
		return len(s.listener.conns)
	}
	for begin := time.Now(); open() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > tooLate {
			t.Fatalf("the connection of a rejected caller is still open after %v", tooLate)
		}
	}
}
