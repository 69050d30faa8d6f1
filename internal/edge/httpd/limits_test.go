package httpd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// TestIdleConnectionTakesNewLimits guards against a request that is measured by the limits that applied
// when its connection became idle.
func TestIdleConnectionTakesNewLimits(t *testing.T) {
	var limit atomic.Int64
	limit.Store(10)
	options := Options{Limits: func() RequestLimits { return RequestLimits{BodyBytes: int(limit.Load())} }}
	s, err := Start("127.0.0.1:0", options, func(h *server.Hertz) {
		h.Use(func(_ context.Context, c *app.RequestContext) { c.AbortWithStatus(http.StatusOK) })
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := dial(t, s)
	for _, size := range []int{10, 11} {
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
		if status := responseTo(t, c); status != http.StatusOK {
			t.Errorf("status %d for %d bytes, the limit is %d", status, size, limit.Load())
		}
		time.Sleep(50 * time.Millisecond) // lets the server wait for the next request
		limit.Store(11)
	}
}

// TestRequestBehindAnotherHasToArriveInTime guards against a request that may be as slow as a connection may
// be idle, since its first bytes came with the request before.
func TestRequestBehindAnotherHasToArriveInTime(t *testing.T) {
	s, err := Start("127.0.0.1:0", Options{Limits: func() RequestLimits {
		return RequestLimits{HeaderTimeout: 100 * time.Millisecond}
	}}, func(h *server.Hertz) {
		h.Use(func(_ context.Context, c *app.RequestContext) { c.AbortWithStatus(http.StatusOK) })
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := dial(t, s)
	_ = c.SetReadDeadline(time.Now().Add(defaultIdleTimeout / 10))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\n")
	r := bufio.NewReader(c)
	for _, want := range []int{http.StatusOK, http.StatusRequestTimeout} {
		if status := responseTo(t, r); status != want {
			t.Errorf("status %d, want %d", status, want)
		}
	}
}

// TestBodyInChunksTakesNoMoreThanOneWithLength guards against a buffer of twice the size of the largest body.
func TestBodyInChunksTakesNoMoreThanOneWithLength(t *testing.T) {
	const body = 1 << 20
	for _, chunked := range []bool{false, true} {
		s, _ := startBudgeted(t, body*3/2, closed())
		if status, text := post(t, dial(t, s), body, chunked); status != http.StatusOK {
			t.Errorf("chunked %t: status %d, %q", chunked, status, text)
		}
	}
}
