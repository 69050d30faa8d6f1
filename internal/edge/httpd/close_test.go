package httpd

import (
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
)

// TestCloseRightAfterServe guards against a process that hangs when it is to stop while it starts.
func TestCloseRightAfterServe(t *testing.T) {
	const tooLate = 5 * time.Second
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s, err := Serve(l, Options{}, func(*server.Hertz) {})
		if err != nil {
			t.Fatal(err)
		}
		closed := make(chan struct{})
		go func() {
			s.Close()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(tooLate):
			t.Fatalf("a server that was closed right after its start still runs after %v", tooLate)
		}
	}
}
