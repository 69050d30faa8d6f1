package mesh

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
)

// TestStrangerIsReadUpToItsHello guards against connections that never say hello and fill the windows of
// many streams.
func TestStrangerIsReadUpToItsHello(t *testing.T) {
	p := startPeer(t, "p", 1, nil)
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	session, err := yamux.Client(conn, config)
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	for range 8 {
		stream, err := session.OpenStream()
		if err != nil {
			break // the peer has closed the connection
		}
		_ = stream.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		_, _ = stream.Write(make([]byte, 256<<10))
	}
	select {
	case <-session.CloseChan():
	case <-time.After(10 * time.Second):
		t.Error("the connection is still open")
	}
	if n := p.counters.bytesRead.Load(); n > maxStrangerBytes {
		t.Errorf("%d bytes were read before a hello, want %d at most", n, maxStrangerBytes)
	}
}
