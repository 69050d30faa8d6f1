package httpd

import (
	"errors"
	"fmt"
	"io"
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

// TestArrivedBytesAreInTime guards against requests that are refused as slow because the process stood still
// while they arrived.
func TestArrivedBytesAreInTime(t *testing.T) {
	for _, tt := range []struct{ begin, rest string }{
		{"GET / HT", "TP/1.1\r\nHost: h\r\n\r\n"},
		{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx", "y"},
	} {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer socket.Close()
		l := newListener(socket, (&Options{}).withDefaults())
		client, err := net.Dial("tcp", socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
		c := accepted.(*conn)
		_, _ = io.WriteString(client, tt.begin)
		buf := make([]byte, 100)
		if _, err := io.ReadFull(c, buf[:len(tt.begin)]); err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(client, tt.rest)
		for begin := time.Now(); sockpeek.Peek(c.Conn) != nil; time.Sleep(time.Millisecond) {
			if time.Since(begin) > 5*time.Second {
				t.Fatal("the rest did not arrive")
			}
		}
		c.setReceiveDeadline(expired)
		if n, err := c.Read(buf); string(buf[:n]) != tt.rest {
			t.Errorf("read %q, %v behind the deadline, want %q", buf[:n], err, tt.rest)
		}
		if _, err := c.Read(buf); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read %v, want an expired deadline", err)
		}
	}
}
