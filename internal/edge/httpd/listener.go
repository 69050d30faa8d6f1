package httpd

import (
	"net"
	"sync"
	"time"
)

// listener tracks its connections, so that those in keep-alive can be ended at a
// shutdown instead of being waited for.
type listener struct {
	net.Listener

	mu      sync.Mutex
	conns   map[*conn]struct{}
	closing bool
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, conns: map[*conn]struct{}{}}
}

// Accept returns the next connection, tracked until its Close.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &conn{Conn: c, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		_ = c.Close()
	}
	l.conns[tracked] = struct{}{}
	return tracked, nil
}

// endIdle lets no connection wait for a further request. A request that has been read
// is still answered, since only reads end.
func (l *listener) endIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for c := range l.conns {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// breakAll closes every connection, as the end of the process does.
func (l *listener) breakAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for c := range l.conns {
		_ = c.Conn.Close()
	}
}

type conn struct {
	net.Conn
	listener *listener
}

// SetReadDeadline has no effect once the listener ends idle connections.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.listener.closing {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// Close ends the connection and its tracking.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
