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

	"pollentack.example/pollentack/internal/edge/memory"
	"pollentack.example/pollentack/internal/edge/sockpeek"
)

const (
	// lingerTimeout is how long a connection stays open for reading after a request was
	// rejected unread; net/http uses the same time.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes is how many bytes of a rejected request are read and discarded. A caller
	// that sends more is not waiting for the response.
	maxLingerBytes = 1 << 20
)

// listener tracks its connections, so that a shutdown can close idle keep-alive connections
// instead of waiting for them.
type listener struct {
	net.Listener
	// idleTimeout returns how long a connection may wait for its next request. If it is nil,
	// the read deadlines that hertz sets apply unchanged.
	idleTimeout func() time.Duration
	// budget bounds the memory of the connections; nil means no bound.
	budget *memory.Budget

	mu      sync.Mutex
	conns   map[*conn]struct{}
	closing bool
}

func newListener(l net.Listener, idleTimeout func() time.Duration) *listener {
	return &listener{Listener: l, idleTimeout: idleTimeout, conns: map[*conn]struct{}{}}
}

// acceptRetryDelay is the wait after a failed accept before the next one.
const acceptRetryDelay = 50 * time.Millisecond

// Accept returns the next connection, which is tracked until it is closed. While the listener is
// closing, a request that has arrived on it is still served. It fails only once the listener is
// closed: hertz ends its loop on any error, and an accept also fails for want of descriptors.
func (l *listener) Accept() (net.Conn, error) {
	l.awaitRoom()
	c, err := l.Listener.Accept()
	for err != nil && !errors.Is(err, net.ErrClosed) {
		time.Sleep(acceptRetryDelay)
		c, err = l.Listener.Accept()
	}
	if err != nil {
		l.release()
		return nil, err //nolint:wrapcheck // hertz compares it
	}
	tracked := &conn{Conn: c, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		_ = c.SetReadDeadline(expired)
	}
	l.conns[tracked] = struct{}{}
	return tracked, nil
}

// awaitRoom waits until the budget has room for a connection, or the listener is closing. New
// connections wait in the queue of the socket meanwhile.
func (l *listener) awaitRoom() {
	for l.budget != nil && !l.budget.Reserve(memory.Connections, connectionBytes) {
		l.mu.Lock()
		closing := l.closing
		l.mu.Unlock()
		if closing {
			// What is accepted now is closed at once.
			l.budget.Force(memory.Connections, connectionBytes)
			return
		}
		time.Sleep(acceptRetryDelay)
	}
}

// release returns what awaitRoom has reserved.
func (l *listener) release() {
	if l.budget != nil {
		l.budget.Release(memory.Connections, connectionBytes)
	}
}

// expired is a read deadline in the past.
var expired = time.Unix(1, 0)

// interruptReads expires the read deadline of every connection, so that hertz closes those that
// wait for a request. A request that has been read, or has arrived and was not read yet, is still
// answered.
func (l *listener) interruptReads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for c := range l.conns {
		_ = c.Conn.SetReadDeadline(expired)
	}
}

// closeAll closes every connection without waiting for its request.
func (l *listener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for c := range l.conns {
		_ = c.Conn.Close()
	}
}

// conn is a tracked connection of a caller.
type conn struct {
	net.Conn
	listener *listener
	// waitingSince is when the current read deadline was set, zero if there is none or the
	// listener has no idleTimeout.
	waitingSince time.Time
	// requestUnread is set if the last response rejected a request that was not read
	// completely.
	requestUnread atomic.Bool
}

// SetReadDeadline sets the read deadline. If the listener has an idleTimeout, that replaces
// the deadline t; if the listener is closing, reads stay interrupted.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	now := time.Now()
	c.waitingSince = time.Time{}
	switch {
	case c.listener.closing:
		t = expired
	case c.listener.idleTimeout != nil && t.After(now):
		c.waitingSince = now
		t = now.Add(c.listener.idleTimeout())
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the connection. If the deadline expires and the idle timeout was raised
// after the deadline was set, it continues to wait.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.requestUnread.Store(false)
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendReadDeadline() {
			return n, err
		}
	}
}

// arrivedRequestTimeout is how long a closing listener waits for the rest of a request that has
// begun to arrive.
const arrivedRequestTimeout = time.Second

// extendReadDeadline sets the read deadline according to the current idle timeout, or, while the
// listener is closing, for input that has arrived. It returns false if that deadline has expired
// too.
func (c *conn) extendReadDeadline() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.listener.closing {
		return sockpeek.Peek(c.Conn) == nil && c.Conn.SetReadDeadline(time.Now().Add(arrivedRequestTimeout)) == nil
	}
	if c.waitingSince.IsZero() {
		return false
	}
	due := c.waitingSince.Add(c.listener.idleTimeout())
	if !due.After(time.Now()) {
		return false
	}
	return c.Conn.SetReadDeadline(due) == nil
}

// Write writes to the connection and records whether the response rejects a request that the
// caller may still be writing.
func (c *conn) Write(b []byte) (int, error) {
	if rejectsUnreadRequest(b) {
		c.requestUnread.Store(true)
	}
	return c.Conn.Write(b)
}

// rejectsUnreadRequest reports whether a response has a status that is sent before the request
// has been read completely: 408, 413 or 431.
func rejectsUnreadRequest(response []byte) bool {
	status, ok := bytes.CutPrefix(response, []byte("HTTP/1.1 "))
	if !ok || len(status) < 3 {
		return false
	}
	switch string(status[:3]) {
	case "408", "413", "431":
		return true
	}
	return false
}

// linger closes the write side and discards input, so that a caller that is still writing can
// read the response. Closing a connection with unread bytes resets it, and the reset may
// discard the response.
func (c *conn) linger() {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	// The caller's close, the timeout and the byte limit all end the lingering.
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}

// Close closes the connection, after lingering if the last request was not read completely,
// and removes it from the listener.
func (c *conn) Close() error {
	if c.requestUnread.Load() {
		c.linger()
	}
	c.listener.mu.Lock()
	_, open := c.listener.conns[c]
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	if open {
		c.listener.release()
	}
	return c.Conn.Close()
}
