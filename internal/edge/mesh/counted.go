package mesh

import (
	"net"
	"sync/atomic"
)

// countedConn counts the bytes that cross a TCP connection, those of TLS and of the
// sessions' own frames included.
type countedConn struct {
	net.Conn
	sent *atomic.Uint64
	read *atomic.Uint64
}

func (m *Mesh) counted(conn net.Conn) net.Conn {
	return &countedConn{Conn: conn, sent: &m.counters.bytesSent, read: &m.counters.bytesRead}
}

// Read reads and counts.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(uint64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(uint64(n))
	return n, err
}
