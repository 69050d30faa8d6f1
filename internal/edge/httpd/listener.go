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

	"pollentack.example/pollentack/internal/core/intake"
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

const (
	// connectionBytes is what a connection costs beside the requests on it: its block, the stacks of
	// its threads and the state that hertz keeps for it.
	connectionBytes = 32 << 10
	// Connections may take connectionsNumerator/connectionsDenominator of the budget, so that there is
	// room for requests beside any number of them.
	connectionsNumerator   = 3
	connectionsDenominator = 4
	// headCopies is the number of copies of a head that hertz keeps until its connection is closed.
	headCopies = 3
)

// listener tracks its connections, so that it can bound what they hold together, and a shutdown can close
// idle keep-alive connections instead of waiting for them.
type listener struct {
	net.Listener
	options *Options
	// idleTimeout returns how long a connection may wait for its next request. If it is nil,
	// the read deadlines that hertz sets apply unchanged.
	idleTimeout func() time.Duration
	started     time.Time

	mu sync.Mutex
	// released is signaled when bytes or a connection are given up.
	released *sync.Cond
	table    *intake.Table
	conns    map[*intake.Connection]*conn
	closing  bool
	refusals [intake.ReasonCount]uint64
	// displaced counts the connections that gave way to new ones.
	displaced uint64
}

func newListener(l net.Listener, o *Options) *listener {
	x := &listener{Listener: l, options: o, idleTimeout: o.IdleTimeout, started: time.Now(), table: intake.NewTable(), conns: map[*intake.Connection]*conn{}}
	x.released = sync.NewCond(&x.mu)
	return x
}

// acceptRetryDelay is the wait after a failed accept before the next one.
const acceptRetryDelay = 50 * time.Millisecond

// Accept returns the next connection, which is tracked until it is closed. While the listener is
// closing, a request that has arrived on it is still served. It fails only once the listener is
// closed: hertz ends its loop on any error, and an accept also fails for want of descriptors.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for err != nil && !errors.Is(err, net.ErrClosed) {
		time.Sleep(acceptRetryDelay)
		c, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err //nolint:wrapcheck // hertz compares it
	}
	l.awaitRoom()
	tracked := &conn{Conn: c, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked.entry = l.table.Open(l.now())
	l.conns[tracked.entry] = tracked
	if l.closing {
		_ = c.SetReadDeadline(expired)
		return tracked, nil
	}
	// hertz sets a deadline only for the requests after the first.
	now := time.Now()
	if l.idleTimeout != nil {
		tracked.waitingSince = now
	}
	_ = c.SetReadDeadline(now.Add(l.limits().idleTimeout))
	return tracked, nil
}

// awaitRoom waits until there is room for the connection that was accepted, or the listener is closing.
// Another one may have to give way. Further connections wait in the queue of the socket meanwhile.
func (l *listener) awaitRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.reserveConnection() {
		if l.closing {
			// What has arrived on it is still served.
			l.options.Budget.Force(memory.Connections, connectionBytes)
			return
		}
		victim, wait := l.table.Displace(l.now())
		if victim != nil {
			l.displaced++
			l.interrupt(victim)
			if l.options.Displaced != nil {
				l.options.Displaced()
			}
		}
		if wait {
			l.released.Wait()
			continue
		}
		l.mu.Unlock()
		time.Sleep(acceptRetryDelay)
		l.mu.Lock()
	}
}

// reserveConnection reserves what a connection takes and reports whether it was left.
func (l *listener) reserveConnection() bool {
	budget := l.options.Budget
	most := max(1, int(budget.Limit()/connectionsDenominator*connectionsNumerator/connectionBytes))
	if l.options.MaxConnections > 0 {
		most = min(most, l.options.MaxConnections)
	}
	return l.table.Len() < most && budget.Reserve(memory.Connections, connectionBytes)
}

func (l *listener) now() time.Duration { return time.Since(l.started) }

// received records that a part of a request has arrived.
func (l *listener) received(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Received(c.entry, l.now())
}

// grow reserves n more bytes for a request that is not whole, and reports whether they were left. It
// waits for those of a request that gives way.
func (l *listener) grow(c *conn, n int) bool {
	budget := l.options.Budget
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		free := budget.Reserve(memory.Requests, n)
		room, victim := l.table.Grow(c.entry, n, budget.Limit(), free, l.now())
		if room == intake.Granted {
			c.held += n
			l.table.Hold(c.entry, c.held+c.writing)
			return true
		}
		if free {
			budget.Release(memory.Requests, n)
		}
		if room == intake.Denied {
			return false
		}
		if victim != nil {
			l.interrupt(victim)
		}
		l.released.Wait()
	}
}

// shrink gives up n bytes of a request.
func (l *listener) shrink(c *conn, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.options.Budget.Release(memory.Requests, n)
	c.held -= n
	l.table.Hold(c.entry, c.held+c.writing)
	l.released.Broadcast()
}

// beginWrite reserves the n bytes of a response that is written. It is written also without room for it,
// but a response that its caller does not take gives way.
func (l *listener) beginWrite(c *conn, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.options.Budget.Reserve(memory.Requests, n) {
		l.options.Budget.Force(memory.Requests, n)
		if victim := l.table.ResponseToGiveWay(l.now()); victim != nil {
			l.interrupt(victim)
		}
	}
	c.writing = n
	l.table.Writing(c.entry, c.held+c.writing, l.now())
}

func (l *listener) wroteSome(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Progress(c.entry, l.now())
}

// endWrite gives up what beginWrite has reserved.
func (l *listener) endWrite(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.options.Budget.Release(memory.Requests, c.writing)
	c.writing = 0
	l.table.Hold(c.entry, c.held)
	l.table.Answered(c.entry, l.now())
	l.released.Broadcast()
}

// interrupt ends what the thread of a connection that gives way waits for, so that it closes it.
func (l *listener) interrupt(victim *intake.Connection) {
	_ = l.conns[victim].SetDeadline(expired)
	l.released.Broadcast()
}

// whole records that a request has arrived. It returns false if the connection has to give way.
func (l *listener) whole(c *conn, headBytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kept := headCopies * headBytes; headBytes > BlockBytes && kept > c.headKept {
		if !l.options.Budget.Reserve(memory.Connections, kept-c.headKept) {
			return false
		}
		c.headKept = kept
	}
	return l.table.Whole(c.entry)
}

// answered records that the request was answered.
func (l *listener) answered(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Answered(c.entry, l.now())
}

func (l *listener) isGivingWay(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.entry.Closing()
}

// refused records that a request was refused, and reports whether its connection may linger.
func (l *listener) refused(c *conn, r intake.Reason) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals[r]++
	lingers := !c.entry.Closing()
	l.table.GiveWay(c.entry)
	return lingers
}

// Stats are the counters of a listener.
type Stats struct {
	Connections int `json:"connections"`
	// Refused counts the requests that were refused before they were whole, by reason.
	Refused map[string]uint64 `json:"refused"`
	// Displaced counts the connections that were closed to make room for new ones.
	Displaced uint64 `json:"displaced"`
}

func (l *listener) stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Stats{Connections: l.table.Len(), Displaced: l.displaced, Refused: map[string]uint64{}}
	for r, n := range l.refusals {
		s.Refused[intake.Reason(r).String()] = n
	}
	return s
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
	l.released.Broadcast()
	for _, c := range l.conns {
		_ = c.Conn.SetReadDeadline(expired)
	}
}

// closeAll closes every connection without waiting for its request.
func (l *listener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	l.released.Broadcast()
	for _, c := range l.conns {
		_ = c.Conn.Close()
	}
}

// conn is a tracked connection of a caller.
type conn struct {
	net.Conn
	listener *listener
	entry    *intake.Connection
	// held are the bytes reserved for the request, headKept those for what hertz keeps of heads.
	held, headKept int
	// writing are the bytes reserved for the response while it is written.
	writing int
	// receiving states that the read deadline is that of a request of which a part has arrived,
	// extended that it was extended because more had arrived unread.
	receiving, extended bool
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
	c.waitingSince, c.receiving, c.extended = time.Time{}, false, false
	switch {
	case c.listener.closing || c.entry.Closing():
		t = expired
	case c.listener.idleTimeout != nil && t.After(now):
		c.waitingSince = now
		t = now.Add(c.listener.idleTimeout())
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the write deadline, unless the connection was told to give way.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.entry.Closing() {
		t = expired
	}
	return c.Conn.SetWriteDeadline(t)
}

// setReceiveDeadline sets the read deadline for a request of which a part has arrived.
func (c *conn) setReceiveDeadline(t time.Time) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.waitingSince, c.receiving = time.Time{}, true
	if !c.listener.closing && !c.entry.Closing() && !c.extended {
		// Read fails too if it cannot be set.
		_ = c.Conn.SetReadDeadline(t)
	}
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
	switch {
	case c.entry.Closing():
		return false
	case c.receiving && !c.extended:
		// What has arrived while the process was held up is in time.
		c.extended = true
		return sockpeek.Peek(c.Conn) == nil && c.Conn.SetReadDeadline(time.Now().Add(arrivedRequestTimeout)) == nil
	case c.listener.closing:
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
	l := c.listener
	l.mu.Lock()
	if _, open := l.conns[c.entry]; open {
		delete(l.conns, c.entry)
		l.table.Close(c.entry)
		l.options.Budget.Release(memory.Connections, connectionBytes+c.headKept)
		l.released.Broadcast()
	}
	l.mu.Unlock()
	return c.Conn.Close()
}
