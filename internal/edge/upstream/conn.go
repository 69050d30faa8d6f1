package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pollentack.example/pollentack/internal/edge/sockpeek"
)

const (
	// dialTimeout bounds the time to connect to a target.
	dialTimeout = time.Second
	// tcpUserTimeout is the TCP_USER_TIMEOUT of a connection: how long sent bytes may stay
	// unacknowledged, as after a network partition or a power failure of the peer.
	tcpUserTimeout = 2 * time.Second
	// keepAliveMargin is subtracted from the idle timeout that a target advertises, so that
	// the next request arrives before the target closes the connection.
	keepAliveMargin = time.Second
	// defaultKeepAlive is how long an idle connection is kept to a target that advertises no
	// idle timeout.
	defaultKeepAlive = 10 * time.Second
	// extraKeepAlive is how long each idle connection to a target beyond the first is kept.
	// A target counts the connections of a host that lost power against its limit until it
	// notices the loss. With few of them the host can connect again after its restart.
	extraKeepAlive  = time.Second
	readBufferBytes = 4 << 10
	// maxRecentIDs is the number of request ids that a connection records. A duplicate reply
	// arrives in place of the reply to the next request or to one a few requests later.
	maxRecentIDs = 16
	// writeStallTimeout is how long a write may make no progress before the client checks for
	// an early reply. An early reply stays unread for that time, which delays only requests
	// that the target rejects.
	writeStallTimeout = 20 * time.Millisecond
)

// conn is one connection to a target.
type conn struct {
	*meteredConn
	reader  *bufio.Reader
	expires time.Time
	// exchanges is the number of requests sent on the connection.
	exchanges int
	// recentIDs is a circular buffer of the ids of the last requests on the connection;
	// nextID is the index that is overwritten next.
	recentIDs [maxRecentIDs]string
	nextID    int
}

// recordID records the id of a request that is sent on the connection.
func (c *conn) recordID(id string) {
	c.exchanges++
	c.recentIDs[c.nextID] = id
	c.nextID = (c.nextID + 1) % maxRecentIDs
}

// sentRecently reports whether the id is among the last maxRecentIDs requests on the
// connection. A duplicate reply to that request may still arrive, and its id would match
// that of a repeated request.
func (c *conn) sentRecently(id string) bool { return slices.Contains(c.recentIDs[:], id) }

// dial connects to a target within timeout and at most dialTimeout.
func dial(address string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: min(timeout, dialTimeout), Control: setUserTimeout}
	c, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to target: %w", err)
	}
	metered := &meteredConn{Conn: c}
	return &conn{meteredConn: metered, reader: bufio.NewReaderSize(metered, readBufferBytes)}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// maxJoinedBody is the longest body that is copied behind its head, to be written with it.
const maxJoinedBody = 16 << 10

// sendRequest is send for a head and a body.
func (c *conn) sendRequest(head, body []byte, deadline time.Time) (complete bool, err error) {
	if len(body) <= maxJoinedBody {
		return c.send(append(head, body...), deadline)
	}
	if complete, err = c.send(head, deadline); err != nil || !complete {
		return complete, err
	}
	return c.send(body, deadline)
}

// send writes bytes of a request until the deadline, or until the target begins to reply. A target may
// reply before it has read the whole request and may never read the rest; complete is false
// if only part of the request was written.
func (c *conn) send(request []byte, deadline time.Time) (complete bool, err error) {
	for {
		if err := c.SetWriteDeadline(earlier(deadline, time.Now().Add(writeStallTimeout))); err != nil {
			return false, err
		}
		n, err := c.Write(request)
		request = request[n:]
		switch {
		case err == nil:
			return true, nil
		case c.hasInput():
			return false, nil
		case !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(deadline):
			return false, err
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// idle reports whether a pooled connection is open and has no unread bytes. Bytes that
// arrive outside an exchange belong to no request.
func (c *conn) idle() bool {
	return c.reader.Buffered() == 0 && errors.Is(sockpeek.Peek(c.Conn), unix.EAGAIN)
}

// hasInput reports whether received bytes wait to be read, even if the peer has closed the
// connection after it sent them.
func (c *conn) hasInput() bool {
	return c.reader.Buffered() > 0 || sockpeek.Peek(c.Conn) == nil
}

// pool holds idle connections by target.
type pool struct {
	mu     sync.Mutex
	idle   map[poolKey][]*conn
	closed bool
}

func newPool() *pool { return &pool{idle: map[poolKey][]*conn{}} }

// take removes and returns the most recently used connection to a target that is usable and
// has not sent a request with this id lately, or nil.
func (p *pool) take(key poolKey, id string) *conn {
	for {
		c := p.pop(key, id)
		if c == nil {
			return nil
		}
		if time.Now().Before(c.expires) && c.idle() {
			return c
		}
		_ = c.Close()
	}
}

// pop removes and returns the most recently used connection to a target that has not sent a
// request with this id lately, or nil. The connection may be closed or expired.
func (p *pool) pop(key poolKey, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i, c := range slices.Backward(list) {
		if !c.sentRecently(id) {
			p.idle[key] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put adds an idle connection. If the target already has one, the new one expires after at
// most extraKeepAlive.
func (p *pool) put(key poolKey, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	if len(p.idle[key]) > 0 {
		if expires := time.Now().Add(extraKeepAlive); expires.Before(c.expires) {
			c.expires = expires
		}
	}
	p.idle[key] = append(p.idle[key], c)
}

// reap closes the idle connections that have expired.
func (p *pool) reap() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		clear(list[len(kept):])
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}

// retain closes the idle connections to all targets that are not to be kept.
func (p *pool) retain(keep func(poolKey) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		if !keep(key) {
			closeAll(list)
			delete(p.idle, key)
		}
	}
}

// close closes all idle connections; put closes connections that are added later.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		closeAll(list)
	}
	p.idle = nil
}

func closeAll(list []*conn) {
	for _, c := range list {
		_ = c.Close()
	}
}
