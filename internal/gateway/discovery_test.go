package gateway

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/discovery"
	"pollentack.example/pollentack/internal/core/membership"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/wire"
)

// stuckConn is a connection whose writes block once it is stuck, until it is closed.
type stuckConn struct {
	net.Conn
	stuck  atomic.Bool
	closed chan struct{}
}

func (c *stuckConn) Write(p []byte) (int, error) {
	if c.stuck.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		return n, fmt.Errorf("write: %w", err)
	}
	return n, nil
}

func (c *stuckConn) Close() error {
	close(c.closed)
	return c.Conn.Close() //nolint:wrapcheck // passed through
}

func startTestMesh(t *testing.T, name string, dial mesh.DialFunc) *mesh.Mesh {
	t.Helper()
	m, err := mesh.Start(mesh.Options{
		Host: name, Listen: "127.0.0.1:0", Insecure: true, Log: zerolog.Nop(), Dial: dial,
		Incarnation: membership.Incarnation{Started: 1}, Emit: func(membership.Event) bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Stop)
	return m
}

// TestWatchOfPeerEndsInTimeOnStuckLink guards against a follower that learns only after seconds that
// its peer is frozen: requests that were handed to the peer have filled the link between them, and
// the next watch isn't even written.
func TestWatchOfPeerEndsInTimeOnStuckLink(t *testing.T) {
	const timeout, tooLate = 100 * time.Millisecond, time.Second
	conn := &stuckConn{closed: make(chan struct{})}
	a := startTestMesh(t, "a", func(address string, timeout time.Duration) (net.Conn, error) {
		inner, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			return nil, fmt.Errorf("dial: %w", err)
		}
		conn.Conn = inner
		return conn, nil
	})
	b := startTestMesh(t, "b", nil)
	served := newCatalogServer("b", sysclock.New(), zerolog.Nop())
	b.Handle(wire.CallKind_CALL_KIND_CATALOG, served.serve)
	hosts := []release.Host{{Name: "a", MeshAddress: a.Address()}, {Name: "b", MeshAddress: b.Address()}}
	a.SetHosts(hosts, nil)
	b.SetHosts(hosts, nil)
	d, err := newDiscoveryDuty(&Settings{Host: "a"}, nil, sysclock.New(), 1, zerolog.Nop(), nil)
	if err != nil {
		t.Fatal(err)
	}
	d.mesh = a
	if ev, ok := d.call(&discovery.Call{Peer: "b", Watch: true, Timeout: 5 * time.Second}).(*discovery.Changes); !ok || !ev.Stale {
		t.Fatalf("the first watch returned %+v, want a stale reply", ev)
	}
	conn.stuck.Store(true)
	begin := time.Now()
	ev := d.call(&discovery.Call{Peer: "b", Watch: true, Timeout: timeout})
	if took := time.Since(begin); took > tooLate {
		t.Errorf("a watch with a timeout of %v took %v", timeout, took)
	}
	if _, ok := ev.(*discovery.CallFailed); !ok {
		t.Errorf("the watch on the stuck link returned %+v, want a failure", ev)
	}
}

// panickingStore panics in each call.
type panickingStore struct{ Store }

// TestPanicOfStoreCallFailsOnlyTheCall guards against a host that ends, each time it starts, since a
// reply of the store or of a peer has something that the decoder does not expect.
func TestPanicOfStoreCallFailsOnlyTheCall(t *testing.T) {
	panics := make(chan error, 1)
	d, err := newDiscoveryDuty(&Settings{Host: "a"}, panickingStore{}, sysclock.New(), 1, zerolog.Nop(), func(err error) { panics <- err })
	if err != nil {
		t.Fatal(err)
	}
	defer d.peerCalls.Close()
	ended := make(chan any, 1)
	go func() {
		defer func() { ended <- recover() }()
		d.runCalls()
	}()
	d.calls.Put(&discovery.Call{})
	batch := make([]discovery.Event, 1)
	if n, _ := d.inbox.Take(batch, answerTimeout); n == 0 {
		t.Fatalf("the call has no result, the duty ended with %v", <-ended)
	}
	if failed, ok := batch[0].(*discovery.CallFailed); !ok || failed.Reason != panicReason {
		t.Errorf("result %+v, want a failed call", batch[0])
	}
	if err := <-panics; !strings.Contains(err.Error(), "discovery.go") {
		t.Errorf("reported %v, want the stack", err)
	}
	d.calls.Close()
	if v := <-ended; v != nil {
		t.Errorf("the duty ended with %v", v)
	}
}
