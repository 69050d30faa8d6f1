package httpd

import (
	"errors"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/edge/sockpeek"
)

// TestArrivedRequestIsReadWhileClosing closes a listener when the request of one connection has
// arrived and was not read, another connection is idle, and a third is accepted only afterwards
// with a request. The requests must be read; the idle connection must not wait.
func TestArrivedRequestIsReadWhileClosing(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	l := newListener(socket, (&Options{}).withDefaults())
	dial := func(request string) net.Conn {
		caller, err := net.Dial("tcp", socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = caller.Close() })
		_, _ = fmt.Fprint(caller, request)
		return caller
	}
	accept := func() net.Conn {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	dial("first")
	first := accept()
	dial("")
	idle := accept()
	dial("after")
	for begin := time.Now(); sockpeek.Peek(first.(*conn).Conn) != nil; time.Sleep(time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("the request did not arrive")
		}
	}
	l.interruptReads()
	buf := make([]byte, 16)
	if n, err := first.Read(buf); string(buf[:n]) != "first" {
		t.Errorf("connection with a request: read %q, %v", buf[:n], err)
	}
	if _, err := idle.Read(buf); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("idle connection: %v, want an expired deadline", err)
	}
	after := accept()
	time.Sleep(20 * time.Millisecond) // lets the request arrive
	if n, err := after.Read(buf); string(buf[:n]) != "after" {
		t.Errorf("connection accepted while closing: read %q, %v", buf[:n], err)
	}
}
