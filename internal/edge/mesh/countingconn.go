package mesh

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes read and written on a TCP connection, including the overhead
// of TLS and yamux.
type countingConn struct {
	net.Conn
	sent *atomic.Uint64
	read *atomic.Uint64
}

func (m *Mesh) countBytes(conn net.Conn) net.Conn {
	return &countingConn{Conn: conn, sent: &m.counters.bytesSent, read: &m.counters.bytesRead}
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(uint64(n))
	return n, err
}
