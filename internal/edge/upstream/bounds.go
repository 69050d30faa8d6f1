package upstream

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

const (
	// maxReplyHeadBytes bounds the status lines, header fields and trailers of one exchange
	// together, interim replies included.
	maxReplyHeadBytes = 64 << 10
	// maxReplyBytes is the maximum size of a reply body.
	maxReplyBytes = 8 << 20
	// The framing of a chunked body may take maxFramingBytes and 1/framingDivisor of the body.
	// Chunks of a few bytes cost more processor time than their content is worth.
	maxFramingBytes = 64 << 10
	framingDivisor  = 4
)

// ErrReplyTooLarge is wrapped by the error for a reply that exceeds a limit.
var ErrReplyTooLarge = errors.New("reply exceeds the limit")

// meteredConn is a connection that is read only up to an allowance of bytes. The parsers above
// it read lines of any length, so the limit must be below them.
type meteredConn struct {
	net.Conn
	allowance int
	limit     int
	part      string
}

// read returns the number of bytes that were read since allow.
func (m *meteredConn) read() int { return m.limit - m.allowance }

// allow sets the number of bytes of a part of the reply that may be read from now on.
func (m *meteredConn) allow(part string, n int) { m.part, m.allowance, m.limit = part, n, n }

// Read implements io.Reader.
func (m *meteredConn) Read(p []byte) (int, error) {
	if m.allowance <= 0 {
		return 0, fmt.Errorf("%w: %s has more than %d bytes", ErrReplyTooLarge, m.part, m.limit)
	}
	n, err := m.Conn.Read(p[:min(len(p), m.allowance)])
	m.allowance -= n
	return n, err
}

// replyMemory bounds the bytes that the bodies of all replies in progress occupy together.
// If they exceed the limit, the largest is given up first, so that the small replies beside a
// target that sends without end are still read.
type replyMemory struct {
	// limit returns the current limit.
	limit func() int

	mu     sync.Mutex
	used   int
	bodies map[*replyBody]struct{}
}

// replyBody is the memory of one reply body in progress.
type replyBody struct {
	conn    *conn
	bytes   int
	evicted bool
}

func newReplyMemory(limit func() int) *replyMemory {
	return &replyMemory{limit: limit, bodies: map[*replyBody]struct{}{}}
}

// errEvicted is returned for the body that was given up to free memory.
var errEvicted = fmt.Errorf("%w of all replies in progress, of which it was the largest", ErrReplyTooLarge)

// grow adds n bytes to a body. It closes the connections of other bodies if that is necessary
// to stay within the limit, and fails if b itself is the largest or was given up before.
func (m *replyMemory) grow(b *replyBody, n int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.evicted {
		return errEvicted
	}
	m.bodies[b] = struct{}{}
	b.bytes += n
	m.used += n
	for limit := m.limit(); m.used > limit; {
		victim := b
		for other := range m.bodies {
			if other.bytes > victim.bytes {
				victim = other
			}
		}
		victim.evicted = true
		m.remove(victim)
		if victim == b {
			return errEvicted
		}
		_ = victim.conn.Close()
	}
	return nil
}

// hold counts n bytes of a body that was read until it is handed on, and returns the function that ends it.
func (m *replyMemory) hold(n int) (end func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used += n
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.used -= n
	}
}

// release removes a body that is no longer in progress and reports whether it was given up.
func (m *replyMemory) release(b *replyBody) (evicted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remove(b)
	return b.evicted
}

// ReplyBytes returns the bytes that the bodies of all replies in progress occupy.
func (c *Client) ReplyBytes() int {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	return c.memory.used
}

func (m *replyMemory) remove(b *replyBody) {
	if _, ok := m.bodies[b]; ok {
		delete(m.bodies, b)
		m.used -= b.bytes
	}
}
