package httpd

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"pollentack.example/pollentack/internal/edge/memory"
)

// responseTo returns the status of the response on a connection, 0 if it ends without one.
func responseTo(t *testing.T, c io.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestUnfinishedRequestsGiveWay guards against a crowd that sends all but the end of its requests and
// stays: it used up the budget, and a body in chunks took memory beside it.
func TestUnfinishedRequestsGiveWay(t *testing.T) {
	const crowd, limit = 60, 14 << 20
	for name, request := range map[string]string{
		"length":       fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", largeBody, strings.Repeat("x", largeBody-1)),
		"large chunks": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s", largeBody, strings.Repeat("x", largeBody-1)),
		"small chunks": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", largeBody),
		"head":         "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 60<<10),
	} {
		t.Run(name, func(t *testing.T) {
			s, budget := startBudgeted(t, limit, closed())
			for range crowd {
				c := dial(t, s)
				go func() { _, _ = io.WriteString(c, request) }()
			}
			if status, body := post(t, dial(t, s), 10, false); status != http.StatusOK {
				t.Errorf("small request beside the crowd: status %d, %q", status, body)
			}
			// A large one may be refused while the crowd still sends.
			for begin := time.Now(); ; time.Sleep(100 * time.Millisecond) {
				status, body := post(t, dial(t, s), largeBody, true)
				if status == http.StatusOK && body == fmt.Sprint(largeBody) {
					break
				}
				if status != http.StatusServiceUnavailable || time.Since(begin) > 10*time.Second {
					t.Fatalf("large request beside the crowd: status %d, %q", status, body)
				}
			}
			if u := budget.Usage(); u.Peak > limit {
				t.Errorf("budget %+v", u)
			}
		})
	}
}

// TestSlowRequestIsRefused guards against a request that holds its connection for ever because its end
// does not come.
func TestSlowRequestIsRefused(t *testing.T) {
	const timeout = 100 * time.Millisecond
	s, err := Start("127.0.0.1:0", Options{
		IdleTimeout: func() time.Duration { return timeout },
		Limits: func() RequestLimits {
			return RequestLimits{HeaderTimeout: timeout, FieldBytes: 1 << 10, BodyBytes: 1 << 10}
		},
	}, func(h *server.Hertz) {
		h.Use(func(_ context.Context, c *app.RequestContext) { c.AbortWithStatus(http.StatusOK) })
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, tt := range []struct {
		name, sent string
		status     int
	}{
		{"nothing", "", http.StatusRequestTimeout},
		{"empty line", "\r\n", http.StatusRequestTimeout},
		{"head", "GET / HTTP/1.1\r\nHost", http.StatusRequestTimeout},
		{"body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx", http.StatusRequestTimeout},
		{"fields", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"announced body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1025\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"empty lines", strings.Repeat("\r\n", 100), http.StatusBadRequest},
		{"whole", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK},
	} {
		c := dial(t, s)
		_, _ = io.WriteString(c, tt.sent)
		if status := responseTo(t, c); status != tt.status {
			t.Errorf("%s: status %d, want %d", tt.name, status, tt.status)
		}
	}
}

// TestInterimResponseBeforeBody checks that a caller that waits for it is told to send the body, and that
// requests behind one another are answered each.
func TestInterimResponseBeforeBody(t *testing.T) {
	s, _ := startBudgeted(t, 1<<30, closed())
	c := dial(t, s)
	r := bufio.NewReader(c)
	for _, head := range []string{"Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n"} {
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"+head+"\r\n")
		interim := make([]byte, len(interimContinue))
		if _, err := io.ReadFull(r, interim); err != nil || !bytes.Equal(interim, interimContinue) {
			t.Fatalf("%q, %v, want an interim response", interim, err)
		}
		body := "abc"
		if strings.HasPrefix(head, "T") {
			body = "3\r\nabc\r\n0\r\n\r\n"
		}
		_, _ = io.WriteString(c, body+"POST / HTTP/1.1\r\nHost: h\r\n\r\n")
		for _, want := range []string{"3", "0"} {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			got, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if string(got) != want {
				t.Errorf("body of %s bytes arrived, want %s", got, want)
			}
		}
	}
	if n := s.listener.options.Budget.Usage().Parts["requests"]; n != 0 {
		t.Errorf("%d bytes stay reserved", n)
	}
}

// TestSilentConnectionsGiveWay guards against callers that wait for ever to be accepted behind a crowd that
// takes up the room for connections and sends no request.
func TestSilentConnectionsGiveWay(t *testing.T) {
	const crowd = 20
	for name, sent := range map[string]string{
		"nothing":   "",
		"head":      "GET / HTTP/1.1\r\nHost: h",
		"unread":    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\nExpect: 100-continue\r\n\r\n",
		"two bytes": "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s, budget := startBudgeted(t, crowd*connectionBytes+200, closed())
			for range crowd + 2 {
				_, _ = io.WriteString(dial(t, s), sent)
			}
			if status, body := post(t, dial(t, s), 10, false); status != http.StatusOK {
				t.Errorf("status %d, %q behind the crowd", status, body)
			}
			if u, stats := budget.Usage(), s.Stats(); u.Peak > u.Limit || stats.Displaced == 0 {
				t.Errorf("budget %+v, counters %+v", u, stats)
			}
		})
	}
}

// TestOperatorListenerBoundsItsConnections guards against a crowd on a listener for the balancer or for
// operators, which had no bound on what its connections hold.
func TestOperatorListenerBoundsItsConnections(t *testing.T) {
	const crowd, want = 100, operatorBytes / connectionBytes
	s, err := Start("127.0.0.1:0", OperatorOptions(), func(h *server.Hertz) {
		h.Use(func(_ context.Context, c *app.RequestContext) { c.AbortWithStatus(http.StatusOK) })
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for range crowd {
		dial(t, s)
	}
	c := dial(t, s)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if status := responseTo(t, c); status != http.StatusOK {
		t.Errorf("status %d behind the crowd", status)
	}
	if n := s.Stats().Connections; n > want {
		t.Errorf("%d connections are open, want %d at most", n, want)
	}
}

// TestUnreadAnswersGiveWay guards against callers that do not read their answers, which were held beside
// the budget and for ever.
func TestUnreadAnswersGiveWay(t *testing.T) {
	const crowd, answer, limit = 6, 16 << 20, 64 << 20
	budget := memory.NewBudget(limit)
	s, err := Start("127.0.0.1:0", Options{Budget: budget}, func(h *server.Hertz) {
		h.Use(func(_ context.Context, c *app.RequestContext) {
			c.AbortWithStatus(http.StatusOK)
			c.Response.SetBodyRaw(make([]byte, answer))
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for range crowd {
		_, _ = io.WriteString(dial(t, s), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	for begin := time.Now(); budget.Usage().Used < 3*answer; time.Sleep(time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("budget %+v while %d answers are written", budget.Usage(), crowd)
		}
	}
	for begin := time.Now(); budget.Usage().Used > limit; time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("budget %+v behind callers that do not read", budget.Usage())
		}
		c := dial(t, s)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if status := responseTo(t, c); status != http.StatusOK {
			t.Errorf("status %d of a caller that reads", status)
		}
		_ = c.Close()
	}
}

// TestResponseGivesWayBetweenItsParts guards against a connection that is told to give way after a part of
// its response was taken: the deadline of the next part kept it, and accept waited for its end.
func TestResponseGivesWayBetweenItsParts(t *testing.T) {
	l := newListener(nil, (&Options{}).withDefaults())
	near, far := net.Pipe()
	defer far.Close()
	c := &bufferedConn{conn: &conn{Conn: near, listener: l, entry: l.table.Open(0)}}
	l.conns[c.entry] = c.conn
	l.beginWrite(c.conn, writeStep)
	l.mu.Lock()
	l.table.GiveWay(c.entry)
	l.interrupt(c.entry)
	l.mu.Unlock()
	time.AfterFunc(time.Second, func() { _ = far.Close() })
	if err := c.writeInTime(make([]byte, writeStep)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("writing to a caller that takes nothing: %v, want %v", err, os.ErrDeadlineExceeded)
	}
}

// TestIdleConnectionsLeaveRoomForRequests guards against a crowd of connections without a request that
// takes the whole budget, so that every request beyond a block is refused.
func TestIdleConnectionsLeaveRoomForRequests(t *testing.T) {
	const crowd = 40
	s, budget := startBudgeted(t, crowd*connectionBytes, closed())
	for range crowd {
		dial(t, s)
	}
	if status, body := post(t, dial(t, s), 5*BlockBytes, false); status != http.StatusOK {
		t.Errorf("status %d, %q, budget %+v", status, body, budget.Usage())
	}
}
