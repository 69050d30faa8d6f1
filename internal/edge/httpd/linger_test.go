package httpd

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// TestRefusedCallerReadsItsAnswer sends requests above the limits slowly, so that the
// listener refuses each before it has been written whole.
func TestRefusedCallerReadsItsAnswer(t *testing.T) {
	s, err := Start("127.0.0.1:0", Limits{BodyBytes: 1 << 10, HeaderBytes: 4 << 10}, func(h *server.Hertz) {
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
			// The listener has answered once the first byte is here; what the caller writes
			// from now on must not cost it the rest.
			r := bufio.NewReader(c)
			if _, err := r.Peek(1); err != nil {
				t.Fatalf("no answer: %v", err)
			}
			for range 8 {
				if _, err := c.Write(bytes.Repeat([]byte("x"), 4<<10)); err != nil {
					t.Fatalf("the connection ended while the request was written: %v", err)
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
