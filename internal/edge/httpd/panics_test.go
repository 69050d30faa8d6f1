package httpd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// brokenListener accepts connections whose reads panic.
type brokenListener struct{ net.Listener }

type brokenConn struct{ net.Conn }

func (l brokenListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return brokenConn{c}, err
}

func (brokenConn) Read([]byte) (int, error) { panic("unforeseen bytes") }

// TestPanicEndsOnlyItsConnection checks that a panic in the parser of the request target, in a handler
// and anywhere else on the thread of a connection is reported with its stack, that the first two are
// answered without the header fields that were set before, and that the connection is closed.
func TestPanicEndsOnlyItsConnection(t *testing.T) {
	handle := func(_ context.Context, c *app.RequestContext) {
		c.Response.Header.Set("X-Set", "1")
		panic("unforeseen request")
	}
	for name, tt := range map[string]struct {
		request  string
		broken   bool
		reported string
	}{
		"parser":     {"GET a:b HTTP/1.1\r\n\r\n", false, "splitHostURI"},
		"handler":    {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, "panics_test.go"},
		"connection": {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", true, "unforeseen bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			if tt.broken {
				socket = brokenListener{socket}
			}
			reported := make(chan error, 1)
			s, err := Serve(socket, Options{OnPanic: func(err error) { reported <- err }, DetectDisconnect: true}, func(h *server.Hertz) { h.Use(handle) })
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			status, set := exchange(t, s.Address(), tt.request)
			if want := map[bool]int{false: http.StatusInternalServerError}[tt.broken]; status != want || set != "" {
				t.Errorf("status %d with field %q, want %d and none", status, set, want)
			}
			if err := <-reported; !strings.Contains(err.Error(), tt.reported) {
				t.Errorf("reported %v, want %q in it", err, tt.reported)
			}
		})
	}
}

// exchange sends a request on a connection that must end after at most one response. It returns the
// status, 0 if there is none, and the value of the field X-Set.
func exchange(t *testing.T, address, request string) (status int, set string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, request)
	r := bufio.NewReader(c)
	if resp, err := http.ReadResponse(r, nil); err == nil {
		status, set = resp.StatusCode, resp.Header.Get("X-Set")
		_ = resp.Body.Close()
	}
	if _, err := r.ReadByte(); err == nil {
		t.Error("more than one response")
	}
	return status, set
}
