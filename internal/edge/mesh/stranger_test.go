package mesh

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"pollentack.example/pollentack/internal/core/membership"
	"pollentack.example/pollentack/internal/core/release"
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

// TestNamesOfStrangersGiveWay guards against a host that remembers every name that a stranger says hello
// with.
func TestNamesOfStrangersGiveWay(t *testing.T) {
	p := startPeer(t, "p", 1, nil)
	p.SetHosts([]release.Host{p.host(), {Name: "known", Zone: "zone", MeshAddress: "127.0.0.1:1"}}, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range []string{"known", "first"} {
		p.remember(name, membership.Incarnation{Started: 1})
	}
	for i := range maxSeenNames {
		p.remember(fmt.Sprint(i), membership.Incarnation{Started: 1})
	}
	_, known := p.lastSeen["known"]
	_, first := p.lastSeen["first"]
	if n := len(p.lastSeen); n != maxSeenNames || !known || first {
		t.Errorf("%d names, known host %v, first stranger %v, want %d, true, false", n, known, first, maxSeenNames)
	}
}

// TestHandshakeEndsDespiteHalfAFrame guards against connections that stay for ever because the session
// waits for the rest of a frame.
func TestHandshakeEndsDespiteHalfAFrame(t *testing.T) {
	conn, err := net.Dial("tcp", startPeer(t, "p", 1, nil).Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// The header of a data frame of 100 bytes that opens stream 1, and one byte of it.
	if _, err = conn.Write([]byte{0, frameTypeData, 0, frameFlagSYN, 0, 0, 0, 1, 0, 0, 0, 100, 'x'}); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout + 5*time.Second))
	if _, err = io.Copy(io.Discard, conn); err != nil {
		t.Errorf("read until the peer closes the connection: %v", err)
	}
}
