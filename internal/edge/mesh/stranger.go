package mesh

import (
	"fmt"
	"net"
	"sync/atomic"
)

// maxStrangerBytes bounds what is received on a connection before the peer's hello is accepted. A session
// holds 256 KiB for each stream on which nothing is read, so that it must be bounded below it.
const maxStrangerBytes = 64 << 10

// strangerConn is an accepted connection, of which only maxStrangerBytes are read until its peer is known.
type strangerConn struct {
	net.Conn
	known atomic.Bool
	// received is used by the session's receive loop only.
	received int
}

// Read implements net.Conn.
func (c *strangerConn) Read(b []byte) (int, error) {
	if c.known.Load() {
		return c.Conn.Read(b)
	}
	left := maxStrangerBytes - c.received
	if left <= 0 {
		return 0, fmt.Errorf("more than %d bytes before the hello was accepted", maxStrangerBytes)
	}
	n, err := c.Conn.Read(b[:min(len(b), left)])
	c.received += n
	return n, err
}

// misuse returns a function that counts and logs why a connection ends because of what the peer has sent.
func (m *Mesh) misuse(conn net.Conn) func(error) {
	return func(err error) {
		m.counters.connectionsMisused.Add(1)
		m.options.Log.Warn().Str("event", "mesh_connection_misused").Str("remote", conn.RemoteAddr().String()).Err(err).Send()
	}
}
