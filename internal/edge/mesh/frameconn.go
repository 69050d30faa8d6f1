package mesh

import (
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// The header of a yamux frame: version, type, flags, stream ID and length, big-endian.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameFlagsOffset  = 2
	frameStreamOffset = 4
	frameLengthOffset = 8

	frameTypeData         = 0
	frameTypeWindowUpdate = 1
	frameTypePing         = 2
	frameFlagSYN          = 1
	frameFlagFIN          = 4
	frameFlagRST          = 8
)

// maxJoinedBytes is the longest body that is copied behind its header. Each link keeps that much
// memory, and for a longer body one more system call matters little.
const maxJoinedBytes = 16 << 10

// frameTimeout bounds the time in which a frame that has begun must have arrived.
const frameTimeout = 10 * time.Second

// frameConn joins the writes of a yamux session. A session writes the header and the body of a
// frame separately, and a frame that opens a stream before the first data, which together cost
// three system calls and wake the peer as often. Headers that something is certain to follow
// are held back and written with it. Only the session's send loop writes.
//
// It also watches the frames that arrive. Only the session's receive loop reads.
type frameConn struct {
	net.Conn
	held []byte
	// bodyFollows is set after the header of a data frame.
	bodyFollows bool
	// waits are the waits on the session's streams, which end with the connection.
	waits *streamWaits

	mu          sync.Mutex
	frames      frameScanner
	established bool
	// timed is set while there is a read deadline.
	timed bool
	pings pingLimit
	// inflow accounts for what arrives.
	inflow *inflow
	// onMisuse receives why the connection ends because of what the peer has sent.
	onMisuse func(error)
}

func newFrameConn(conn net.Conn, g *ledger) *frameConn {
	c := &frameConn{Conn: conn, onMisuse: func(error) {}, waits: &streamWaits{streams: map[*yamux.Stream]struct{}{}}}
	c.inflow = g.newInflow(c.cut)
	return c
}

// cut ends the session from any thread. Unlike that of TLS, the Close of a TCP connection does not wait.
func (c *frameConn) cut(err error) {
	c.onMisuse(err)
	conn := c.Conn
	if stranger, ok := conn.(*strangerConn); ok {
		conn = stranger.Conn
	}
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	_ = conn.Close()
}

// end ends the waits on the session's streams, and the accounts of what they hold.
func (c *frameConn) end() {
	c.waits.end()
	c.inflow.end()
}

// Read implements net.Conn. The waits end before the session learns of an error. Nothing is passed on of
// bytes with which the peer exceeds a bound.
func (c *frameConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil {
		if err = c.watch(b[:n]); err != nil {
			n = 0
			if !errors.Is(err, net.ErrClosed) {
				c.onMisuse(err)
			}
		}
	}
	if err != nil {
		c.end()
	}
	return n, err
}

// watch examines bytes that have arrived.
func (c *frameConn) watch(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun := false
	for len(b) > 0 {
		begun = begun || !c.frames.unfinished()
		body := c.frames.bodyLeft > 0
		n, complete := c.frames.scan(b)
		b = b[n:]
		var err error
		switch h := &c.frames.header; {
		case body:
			c.inflow.transfer(h.stream(), n)
		case complete && h.kind() == frameTypePing && h.has(frameFlagSYN):
			err = c.pings.add(time.Now())
		case complete && h.kind() <= frameTypeWindowUpdate:
			err = c.inflow.frame(h)
		}
		if err != nil {
			return err
		}
	}
	if c.established && (c.timed || begun) {
		return c.limitFrame(begun)
	}
	return nil
}

// limitFrame sets the read deadline if a frame is unfinished, anew if it has just begun, and clears it
// otherwise.
func (c *frameConn) limitFrame(begun bool) error {
	unfinished := c.frames.unfinished()
	if unfinished == c.timed && (!unfinished || !begun) {
		return nil
	}
	c.timed = unfinished
	var deadline time.Time
	if unfinished {
		deadline = time.Now().Add(frameTimeout)
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("set deadline of a frame: %w", err)
	}
	return nil
}

// limitHandshake sets the read deadline for the time until establish is called.
func (c *frameConn) limitHandshake() error {
	c.timed = true
	if err := c.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return fmt.Errorf("set deadline of the handshake: %w", err)
	}
	return nil
}

// establish ends the time limit of the handshake. From now on only frames that have begun are limited.
func (c *frameConn) establish() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.established = true
	return c.limitFrame(true)
}

// Close implements net.Conn. A session that ends for any other reason closes its connection.
func (c *frameConn) Close() error {
	c.end()
	return c.Conn.Close()
}

// Write implements net.Conn. Data that is held back counts as written.
func (c *frameConn) Write(b []byte) (int, error) {
	n, err := c.write(b)
	if err != nil {
		c.end()
	}
	return n, err
}

func (c *frameConn) write(b []byte) (int, error) {
	if !c.bodyFollows && len(b) == frameHeaderBytes {
		flags := binary.BigEndian.Uint16(b[frameFlagsOffset:])
		c.bodyFollows = b[frameTypeOffset] == frameTypeData && binary.BigEndian.Uint32(b[frameLengthOffset:]) > 0
		if c.bodyFollows || b[frameTypeOffset] == frameTypeWindowUpdate && flags == frameFlagSYN {
			c.held = append(c.held, b...)
			return len(b), nil
		}
	} else {
		c.bodyFollows = false
	}
	if len(c.held) == 0 {
		return c.Conn.Write(b)
	}
	joined := len(b) <= maxJoinedBytes
	if joined {
		c.held = append(c.held, b...)
	}
	_, err := c.Conn.Write(c.held)
	c.held = c.held[:0]
	switch {
	case err != nil:
		return 0, err
	case !joined:
		return c.Conn.Write(b)
	}
	return len(b), nil
}
