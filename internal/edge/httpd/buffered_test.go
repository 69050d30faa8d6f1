package httpd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"pgregory.net/rapid"

	"pollentack.example/pollentack/internal/edge/memory"
)

const largeBody = 200 << 10

// startBudgeted starts a server with a budget, whose handler answers with the length of the body once
// hold is closed.
func startBudgeted(t testing.TB, limit int64, hold <-chan struct{}) (*Server, *memory.Budget) {
	t.Helper()
	budget := memory.NewBudget(limit)
	s, err := Start("127.0.0.1:0", Options{MaxBodyBytes: 1 << 20, Budget: budget}, func(h *server.Hertz) {
		h.POST("/", func(_ context.Context, c *app.RequestContext) {
			<-hold
			c.String(http.StatusOK, fmt.Sprint(len(c.Request.Body())))
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, budget
}

func closed() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func dial(t testing.TB, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// post sends a request with a body of n bytes, in chunks if they are to have no length, and returns the
// status and body of the response.
func post(t testing.TB, c net.Conn, n int, chunked bool) (int, string) {
	t.Helper()
	var request bytes.Buffer
	body := strings.Repeat("x", n)
	if chunked {
		fmt.Fprintf(&request, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			k := min(len(body), 30_000)
			fmt.Fprintf(&request, "%x\r\n%s\r\n", k, body[:k])
			body = body[k:]
		}
		request.WriteString("0\r\n\r\n")
	} else {
		fmt.Fprintf(&request, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, body)
	}
	go func() { _, _ = c.Write(request.Bytes()) }()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// TestIdleConnectionsKeepNoBodies guards against connections that each keep a buffer of their largest
// request: a burst of callers on kept connections then ends the process by its memory.
func TestIdleConnectionsKeepNoBodies(t *testing.T) {
	const connections, perConnection = 100, 64 << 10
	for _, chunked := range []bool{false, true} {
		s, budget := startBudgeted(t, 512<<20, closed())
		before := heapInUse()
		for i := range connections {
			if status, body := post(t, dial(t, s), largeBody, chunked); status != http.StatusOK || body != fmt.Sprint(largeBody) {
				t.Fatalf("request %d: status %d, body %q", i, status, body)
			}
		}
		if u := budget.Usage(); u.Parts["requests"] != 0 || u.Parts["connections"] < connections*connectionBytes || u.Peak <= u.Used {
			t.Errorf("budget while idle is %+v, want nothing for requests, %d for connections and a higher peak", u, connections*connectionBytes)
		}
		if grown := heapInUse() - before; grown > connections*perConnection {
			t.Errorf("chunked %v: the heap grew by %d bytes a connection, want at most %d", chunked, grown/connections, perConnection)
		}
	}
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // what the first one has put into pools
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// TestRequestsOverBudgetAreRefused sends more bodies at once than the budget has room for. Those
// without room must be refused with a true answer at once, the others answered, and the room is free
// again afterwards.
func TestRequestsOverBudgetAreRefused(t *testing.T) {
	const callers, room, slack = 8, 3, 4 << 10
	hold := make(chan struct{})
	s, budget := startBudgeted(t, (callers+1)*connectionBytes+room*(largeBody+slack), hold)
	statuses := make(chan int, callers)
	var wg sync.WaitGroup
	for range callers {
		c := dial(t, s)
		wg.Go(func() {
			status, _ := post(t, c, largeBody, false)
			statuses <- status
		})
	}
	for range callers - room {
		if status := <-statuses; status != http.StatusServiceUnavailable {
			t.Errorf("status %d while the budget is used up, want 503", status)
		}
	}
	close(hold)
	wg.Wait()
	for range room {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d of a request with room, want 200", status)
		}
	}
	for begin := time.Now(); budget.Usage().Parts["requests"] != 0; time.Sleep(time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatalf("budget after the last request is %+v", budget.Usage())
		}
	}
	if status, _ := post(t, dial(t, s), largeBody, true); status != http.StatusOK {
		t.Errorf("status %d once there is room again, want 200", status)
	}
}

// TestConnectionsWaitForBudget checks that a connection over the budget waits until another one ends.
func TestConnectionsWaitForBudget(t *testing.T) {
	s, _ := startBudgeted(t, 3*connectionBytes, closed())
	first, second := dial(t, s), dial(t, s)
	for _, c := range []net.Conn{first, second} {
		if status, _ := post(t, c, 10, false); status != http.StatusOK {
			t.Fatalf("status %d within the budget", status)
		}
	}
	third := dial(t, s)
	answered := make(chan int, 1)
	go func() {
		status, _ := post(t, third, 10, false)
		answered <- status
	}()
	select {
	case status := <-answered:
		t.Fatalf("a connection over the budget got status %d", status)
	case <-time.After(4 * acceptRetryDelay):
	}
	_ = first.Close()
	if status := <-answered; status != http.StatusOK {
		t.Errorf("status %d once another connection has ended", status)
	}
}

// pieces is a connection on which data arrives in pieces.
type pieces struct {
	net.Conn
	left [][]byte
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.left) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.left[0])
	if p.left[0] = p.left[0][n:]; len(p.left[0]) == 0 {
		p.left = p.left[1:]
	}
	return n, nil
}

func (*pieces) SetReadDeadline(time.Time) error { return nil }

func (*pieces) Close() error { return nil }

// drawRequests draws requests as they are sent and as they are read, without the framing of chunks.
func drawRequests(t *rapid.T) (sent []byte, read [][]byte) {
	for range rapid.IntRange(1, 5).Draw(t, "requests") {
		body := bytes.Repeat([]byte("0123456789abcdef\r\n"), BlockBytes)[:rapid.IntRange(0, 3*BlockBytes).Draw(t, "body")]
		head := "POST / HTTP/1.1\r\nX-Pad: " + strings.Repeat("p", rapid.IntRange(0, 2*BlockBytes).Draw(t, "pad")) + "\r\n"
		if !rapid.Bool().Draw(t, "chunked") {
			request := fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
			sent, read = append(sent, request...), append(read, request)
			continue
		}
		sent = append(sent, head+"Transfer-Encoding: chunked\r\n\r\n"...)
		for rest := body; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
			sent = fmt.Appendf(sent, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		sent = append(sent, "0\r\nX-Trailer: t\r\n\r\n"...)
		read = append(read, fmt.Appendf(nil, "%sContent-Length:%11d\r\n\r\n%s", head, len(body), body))
	}
	return sent, read
}

// drawPieces draws the pieces in which data arrives.
func drawPieces(t *rapid.T, data []byte) *pieces {
	conn := &pieces{}
	for len(data) > 0 {
		n := rapid.IntRange(1, min(len(data), 3*BlockBytes)).Draw(t, "piece")
		conn.left = append(conn.left, data[:n])
		data = data[n:]
	}
	return conn
}

// TestBufferedConnReadsWhatArrives draws requests and the pieces in which they arrive, reads them in any
// order, and compares them with what was sent. What Peek has returned must not change before Release.
func TestBufferedConnReadsWhatArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent, requests := drawRequests(t)
		l := newListener(nil, (&Options{}).withDefaults())
		c := &bufferedConn{conn: &conn{Conn: drawPieces(t, sent), listener: l, entry: l.table.Open(0)}}
		for _, data := range requests {
			readRequest(t, c, data)
			_ = c.Release()
		}
		if _, err := c.Peek(1); err == nil {
			t.Fatal("peek after the end succeeded")
		}
		c.drop()
		if u := l.options.Budget.Usage(); u.Parts["requests"] != 0 {
			t.Fatalf("%d bytes stay reserved", u.Parts["requests"])
		}
	})
}

// readRequest reads a request in a drawn way and compares it with the data.
func readRequest(t *rapid.T, c *bufferedConn, data []byte) {
	held := map[int][]byte{}
	for at := 0; at < len(data); {
		n := rapid.IntRange(1, len(data)-at).Draw(t, "n")
		got, err := readSome(t, c, n, at, held)
		if err != nil || !bytes.Equal(got, data[at:at+len(got)]) {
			t.Fatalf("read %d bytes at %d: %.60q, %v, want %.60q", n, at, got, err, data[at:])
		}
		at += len(got)
		for from, peeked := range held {
			if !bytes.Equal(peeked, data[from:from+len(peeked)]) {
				t.Fatalf("what was peeked at %d is wrong or has changed", from)
			}
		}
	}
	if c.Len() != 0 {
		t.Fatalf("%d bytes more than the request can be read", c.Len())
	}
}

// readSome draws a way to read up to n bytes at an offset and returns what was read. held has what was
// peeked since the last Release, by its offset.
func readSome(t *rapid.T, c *bufferedConn, n, at int, held map[int][]byte) (got []byte, err error) {
	switch rapid.SampledFrom([]string{"peek", "skip", "binary", "read"}).Draw(t, "op") {
	case "peek":
		held[at], err = c.Peek(n)
	case "skip":
		got, err = c.Peek(n)
		got = bytes.Clone(got)
		if err == nil {
			err = c.Skip(len(got))
		}
	case "binary":
		got, err = c.ReadBinary(n)
	default:
		got = make([]byte, n)
		n, err = c.Read(got)
		got = got[:n]
	}
	return got, err
}

// BenchmarkKeptConnections reports the memory of the process, with that of the callers, while
// connections are kept that have each carried a body of the largest size.
func BenchmarkKeptConnections(b *testing.B) {
	for _, n := range []int{500, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, _ := startBudgeted(b, 1<<30, closed())
			before := heapInUse()
			for range b.N {
				for range n {
					if status, body := post(b, dial(b, s), 256<<10, false); status != http.StatusOK {
						b.Fatalf("status %d, body %q", status, body)
					}
				}
			}
			b.ReportMetric(float64(heapInUse()-before)/float64(n*b.N), "bytes/connection")
		})
	}
}
