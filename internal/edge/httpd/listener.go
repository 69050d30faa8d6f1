package httpd

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lingerTimeout is how long a refused caller may go on writing before its connection
	// is closed; net/http waits as long.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes bounds what is read and dropped of a refused request. A caller that
	// sends more is not waiting for its answer.
	maxLingerBytes = 1 << 20
)

// listener tracks its connections, so that those in keep-alive can be ended at a
// shutdown instead of being waited for.
type listener struct {
	net.Listener
	// idle is how long a connection may wait for its next request, nil for no own bound.
	idle func() time.Duration

	mu      sync.Mutex
	conns   map[*conn]struct{}
	closing bool
}

func newListener(l net.Listener, idle func() time.Duration) *listener {
	return &listener{Listener: l, idle: idle, conns: map[*conn]struct{}{}}
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
	// waitsSince is when the wait for bytes under a deadline began, zero for none.
	waitsSince time.Time
	// unread is set while the last answer refused a request that was not read to its end.
	unread atomic.Bool
}

// SetReadDeadline has no effect once the listener ends idle connections. Where the
// listener has a bound of its own on idle connections, that one counts.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	now := time.Now()
	c.waitsSince = time.Time{}
	switch {
	case c.listener.closing:
		t = time.Unix(1, 0)
	case c.listener.idle != nil && t.After(now):
		c.waitsSince = now
		t = now.Add(c.listener.idle())
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads, and waits on where the bound on idle connections was raised meanwhile.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.unread.Store(false)
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extend() {
			return n, err
		}
	}
}

// extend moves the read deadline to the bound on idle connections that is in force now,
// and reports false where that is over too.
func (c *conn) extend() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.listener.closing || c.waitsSince.IsZero() {
		return false
	}
	due := c.waitsSince.Add(c.listener.idle())
	if !due.After(time.Now()) {
		return false
	}
	return c.Conn.SetReadDeadline(due) == nil
}

// Write writes, and notes answers after which the caller may still be writing.
func (c *conn) Write(b []byte) (int, error) {
	if refusesUnread(b) {
		c.unread.Store(true)
	}
	return c.Conn.Write(b)
}

// refusesUnread reports whether an answer begins with a status that is given before a
// request has been read to its end: 408, 413 or 431.
func refusesUnread(answer []byte) bool {
	status, ok := bytes.CutPrefix(answer, []byte("HTTP/1.1 "))
	if !ok || len(status) < 3 {
		return false
	}
	switch string(status[:3]) {
	case "408", "413", "431":
		return true
	}
	return false
}

// linger lets a caller that still writes read its answer: closing a connection with
// unread bytes resets it, and a reset discards the answer.
func (c *conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	// Either end of the rest will do: the caller's close, the time or the bound on bytes.
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}

// Close ends the connection and its tracking.
func (c *conn) Close() error {
	if c.unread.Load() {
		c.linger()
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
