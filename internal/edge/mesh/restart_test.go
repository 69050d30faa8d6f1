package mesh

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/wire"
)

// silentConn is a connection that reads nothing more once it is silent, until it is released.
type silentConn struct {
	net.Conn
	silent   *atomic.Bool
	released chan struct{}
}

func (c *silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent.Load() {
		<-c.released
	}
	return n, err
}

// TestRestartWithClockSetBackIsAccepted guards against a host that its peers refuse for half a minute
// after a restart, since its clock was set back and its hello seems to be of an earlier process. The
// link to the process before may have ended or may be silent.
func TestRestartWithClockSetBackIsAccepted(t *testing.T) {
	for _, silent := range []bool{false, true} {
		name := map[bool]string{false: "link ended", true: "link silent"}[silent]
		t.Run(name, func(t *testing.T) {
			insecure := func(o *Options) { o.Insecure = true }
			p := startPeer(t, "p", 1, insecure)
			p.Handle(wire.CallKind_CALL_KIND_GOSSIP, func(string, []byte) []byte { return []byte("reply") })
			var isSilent atomic.Bool
			released := make(chan struct{})
			before := startPeer(t, "q", 50, func(o *Options) {
				o.Insecure = true
				o.Dial = func(address string, timeout time.Duration) (net.Conn, error) {
					conn, err := dialTCP(address, timeout)
					return &silentConn{Conn: conn, silent: &isSilent, released: released}, err
				}
			})
			t.Cleanup(func() { close(released) })
			call := func(from *peer) bool {
				_, err := from.CallAddress(p.Address(), wire.CallKind_CALL_KIND_GOSSIP, nil, time.Second)
				return err == nil
			}
			waitUntil(t, "a call of the process before", func() bool { return call(before) })
			if silent {
				isSilent.Store(true)
			} else {
				before.Stop()
			}
			after := startPeer(t, "q", 49, insecure)
			waitUntil(t, "a call of the process after", func() bool { return call(after) })
		})
	}
}
