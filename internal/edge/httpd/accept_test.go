package httpd

import (
	"net"
	"syscall"
	"testing"
)

// failingListener fails its first accept.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept() //nolint:wrapcheck // passed through
}

// TestFailedAcceptDoesNotEndListening guards against a host that takes no connection any more, while
// it counts as ready, after it once had no descriptor left for one.
func TestFailedAcceptDoesNotEndListening(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(&failingListener{Listener: inner}, (&Options{}).withDefaults())
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	conn, err := l.Accept()
	if err != nil {
		t.Fatalf("accept after one without a descriptor: %v", err)
	}
	_ = conn.Close()
	_ = inner.Close()
	if _, err := l.Accept(); err == nil {
		t.Error("accept on a closed listener succeeded")
	}
}
