package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a new connection.
	dialTimeout = time.Second
	// unackedTimeout closes a connection whose bytes the peer's kernel does not confirm,
	// as after a partition or a loss of power.
	unackedTimeout = 2 * time.Second
	// keepAliveMargin is taken from the idle time that a target names, for the way of the
	// next request.
	keepAliveMargin = time.Second
	// defaultKeepAlive is how long a connection is kept to a target that names no time.
	defaultKeepAlive = 10 * time.Second
	// extraKeepAlive is how long a second idle connection to a target is kept. A target
	// counts the connections of a host that lost power until it notices, so that hosts which
	// hold few leave room for their own return.
	extraKeepAlive  = time.Second
	readBufferBytes = 4 << 10
	// rememberedIDs is the number of requests that a connection remembers. A second reply
	// comes where the next one is awaited, or a few later.
	rememberedIDs = 16
	// stalledWrite is how long a target may take no bytes before the sender looks for an
	// early answer. An answer that waits unread delays only a rejected request.
	stalledWrite = 20 * time.Millisecond
)

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	expires time.Time
	// carried are the ids of the last requests on the connection, the next of them at place
	// next replaced first.
	carried [rememberedIDs]string
	next    int
}

// note remembers a request that the connection carries.
func (c *conn) note(id string) {
	c.carried[c.next] = id
	c.next = (c.next + 1) % rememberedIDs
}

// hasCarried reports whether the connection carried the request lately. A second reply to
// it may still be on its way, and the id would not tell that from the reply to come.
func (c *conn) hasCarried(id string) bool { return slices.Contains(c.carried[:], id) }

func dial(address string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: min(timeout, dialTimeout), Control: setUserTimeout}
	c, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to target: %w", err)
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// send writes a request until a time, or until the peer has begun to answer. A peer may
// answer before it has read the whole request and read on later, or never; whole is false
// where it got only a part.
func (c *conn) send(request []byte, until time.Time) (whole bool, err error) {
	for {
		if err := c.SetWriteDeadline(earlier(until, time.Now().Add(stalledWrite))); err != nil {
			return false, err
		}
		n, err := c.Write(request)
		request = request[n:]
		switch {
		case err == nil:
			return true, nil
		case c.answered():
			return false, nil
		case !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(until):
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

// quiet reports whether an idle connection is open and has brought no bytes: what comes
// without a request belongs to none.
func (c *conn) quiet() bool {
	return c.reader.Buffered() == 0 && errors.Is(c.peek(), unix.EAGAIN)
}

// answered reports whether bytes of the peer wait to be read, also on a connection that
// the peer has closed since.
func (c *conn) answered() bool {
	return c.reader.Buffered() > 0 || c.peek() == nil
}

// peek looks for bytes that wait: nil where there are some, EAGAIN where the connection
// is open and has none.
func (c *conn) peek() error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return unix.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var n int
	var peeked error
	var b [1]byte
	// Control and not Read, which fails on the deadline of the last exchange.
	err = raw.Control(func(fd uintptr) {
		n, _, peeked = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return err
	case peeked != nil:
		return peeked
	case n == 0:
		return io.EOF
	}
	return nil
}

// pool keeps idle connections by target.
type pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

func newPool() *pool { return &pool{idle: map[string][]*conn{}} }

// take returns the connection to a target that was used last and has not carried the
// request with this id, nil for none.
func (p *pool) take(key, id string) *conn {
	for {
		c := p.pop(key, id)
		if c == nil {
			return nil
		}
		if time.Now().Before(c.expires) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(key, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i, c := range slices.Backward(list) {
		if !c.hasCarried(id) {
			p.idle[key] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *pool) put(key string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	if len(p.idle[key]) > 0 {
		if extra := time.Now().Add(extraKeepAlive); extra.Before(c.expires) {
			c.expires = extra
		}
	}
	p.idle[key] = append(p.idle[key], c)
}

// reap closes the idle connections whose time is over.
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

// keep closes the idle connections to all targets but those of keys.
func (p *pool) keep(keys map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		if !keys[key] {
			closeAll(list)
			delete(p.idle, key)
		}
	}
}

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
