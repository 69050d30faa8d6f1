package httpd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"pollentack.example/pollentack/internal/core/intake"
)

// The connections of hertz keep a buffer of the size of their largest request for as long as they are
// open. Those here keep a block, and take what a request needs beyond it from a budget.

// BlockBytes is the size of the blocks that are used again. A body that is longer stays as it is once its
// request has ended.
const BlockBytes = 4 << 10

var blocks = sync.Pool{New: func() any { return new([BlockBytes]byte) }}

// bufferedConn is a connection of a caller, with the buffers that hertz reads from and writes to.
type bufferedConn struct {
	*conn

	// in[r:end] is the rest of the request, in[next:w] has been received behind it.
	in              []byte
	r, end, next, w int
	// block is the block that in is, nil if in is larger. replaced are blocks that slices handed out
	// since the last Release may still refer to.
	block    *[BlockBytes]byte
	replaced []*[BlockBytes]byte
	// reserved is what is reserved for in.
	reserved int
	request  intake.Request
	// whole states that the request has been received, detecting that the connection is read only to
	// detect its end.
	whole, detecting bool
	// partlyRead states that hertz has left a part of a request unread.
	partlyRead bool

	// out are the slices to write, of which the last one has room if outBlock is set.
	out      [][]byte
	outBlock []*[BlockBytes]byte
}

// SetReadTimeout sets the time to wait for input. A request that was received needs none.
func (c *bufferedConn) SetReadTimeout(t time.Duration) error {
	if c.whole {
		return nil
	}
	return c.SetReadDeadline(deadlineAfter(t))
}

func (c *bufferedConn) SetWriteTimeout(t time.Duration) error {
	return c.SetWriteDeadline(deadlineAfter(t))
}

func deadlineAfter(t time.Duration) time.Time {
	if t <= 0 {
		return time.Time{}
	}
	return time.Now().Add(t)
}

// Len returns the number of bytes of the request that have been received and not read.
func (c *bufferedConn) Len() int { return c.end - c.r }

// Peek returns the next n bytes without reading them. They are valid until Release.
func (c *bufferedConn) Peek(n int) ([]byte, error) {
	if c.detecting {
		return c.peekBehind()
	}
	if !c.whole {
		if err := c.receive(); err != nil {
			return nil, err
		}
	}
	if n > c.Len() {
		return c.in[c.r:c.end], errFraming
	}
	return c.in[c.r : c.r+n], nil
}

// Skip reads n bytes that have been received.
func (c *bufferedConn) Skip(n int) error {
	if n > c.Len() {
		return fmt.Errorf("skip %d bytes, %d have been received", n, c.Len())
	}
	c.r += n
	return nil
}

// ReadByte reads a byte.
func (c *bufferedConn) ReadByte() (byte, error) {
	p, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	c.r++
	return p[0], nil
}

// ReadBinary reads n bytes and returns a copy.
func (c *bufferedConn) ReadBinary(n int) ([]byte, error) {
	p, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	c.r += n
	return append([]byte(nil), p...), nil
}

// Read reads at least a byte.
func (c *bufferedConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if _, err := c.Peek(1); err != nil {
		return 0, err
	}
	n := copy(p, c.in[c.r:c.end])
	c.r += n
	return n, nil
}

// Release gives up what was read.
func (c *bufferedConn) Release() error {
	if !c.whole {
		return nil
	}
	c.partlyRead = c.r != c.end
	behind := c.in[c.next:c.w]
	c.whole, c.detecting = false, false
	if len(behind) == 0 || c.block == nil && len(behind) <= BlockBytes {
		c.drop()
	}
	if len(behind) > 0 && c.in == nil {
		c.block = blocks.Get().(*[BlockBytes]byte)
		c.in = c.block[:]
		c.w = copy(c.in, behind)
	}
	c.releaseBlocks()
	c.listener.answered(c.conn)
	return nil
}

// drop gives up the buffer and what is reserved for it.
func (c *bufferedConn) drop() {
	c.replaceBlock()
	c.releaseBlocks()
	c.in, c.r, c.end, c.next, c.w = nil, 0, 0, 0, 0
	if c.reserved > 0 {
		c.listener.shrink(c.conn, c.reserved)
		c.reserved = 0
	}
}

func (c *bufferedConn) releaseBlocks() {
	for _, b := range c.replaced {
		blocks.Put(b)
	}
	clear(c.replaced)
	c.replaced = c.replaced[:0]
}

// Malloc returns n bytes that the next Flush writes.
func (c *bufferedConn) Malloc(n int) ([]byte, error) {
	if n > BlockBytes {
		p := make([]byte, n)
		c.out, c.outBlock = append(c.out, p), append(c.outBlock, nil)
		return p, nil
	}
	last := len(c.out) - 1
	if last < 0 || c.outBlock[last] == nil || cap(c.out[last])-len(c.out[last]) < n {
		b := blocks.Get().(*[BlockBytes]byte)
		c.out, c.outBlock = append(c.out, b[:0]), append(c.outBlock, b)
		last++
	}
	used := len(c.out[last])
	c.out[last] = c.out[last][:used+n]
	return c.out[last][used : used+n : used+n], nil
}

// WriteBinary has the next Flush write p, which must not change until then.
func (c *bufferedConn) WriteBinary(p []byte) (int, error) {
	if len(p) > BlockBytes {
		c.out, c.outBlock = append(c.out, p), append(c.outBlock, nil)
		return len(p), nil
	}
	b, err := c.Malloc(len(p))
	return copy(b, p), err
}

// Write writes what waits for Flush, then p.
func (c *bufferedConn) Write(p []byte) (int, error) {
	if err := c.Flush(); err != nil {
		return 0, err
	}
	if err := c.writeInTime(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

const (
	// writeTimeout bounds the time in which a caller takes writeStep bytes of a response.
	writeTimeout = 30 * time.Second
	writeStep    = 256 << 10
)

// writeInTime writes p to a caller that takes some of it every now and then.
func (c *bufferedConn) writeInTime(p []byte) error {
	for len(p) > 0 {
		if c.writing > 0 {
			c.listener.wroteSome(c.conn)
		}
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return fmt.Errorf("write to caller: %w", err)
		}
		n, err := c.conn.Write(p[:min(len(p), writeStep)])
		if err != nil {
			return err //nolint:wrapcheck // hertz compares it
		}
		p = p[n:]
	}
	return nil
}

// Flush writes what waits for it.
func (c *bufferedConn) Flush() error {
	var err error
	large := 0
	for i, p := range c.out {
		if c.outBlock[i] == nil {
			large += len(p)
		}
	}
	if large > 0 {
		c.listener.beginWrite(c.conn, large)
		defer c.listener.endWrite(c.conn)
	}
	for i, p := range c.out {
		if err == nil {
			err = c.writeInTime(p)
		}
		if b := c.outBlock[i]; b != nil {
			blocks.Put(b)
		}
	}
	clear(c.out)
	c.out, c.outBlock = c.out[:0], c.outBlock[:0]
	return err
}

// ToHertzError translates errors into those that hertz knows.
func (c *bufferedConn) ToHertzError(err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ENOTCONN):
		return hertzerrors.ErrConnectionClosed
	case errors.As(err, &netErr) && netErr.Timeout():
		return hertzerrors.ErrTimeout
	}
	return err
}

// HandleSpecificError reports whether hertz should ignore an error.
func (c *bufferedConn) HandleSpecificError(err error, _ string) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// statefulConn is a connection on which hertz senses whether the caller closes it.
type statefulConn interface {
	network.Conn
	DetectConnectionClose()
	AbortBlockingRead()
}

// sensingConn is a statefulConn that marks the end of a request: sensing begins once it has been read.
type sensingConn struct {
	statefulConn
	buffered *bufferedConn
}

// DetectConnectionClose begins to receive on another thread.
func (c *sensingConn) DetectConnectionClose() {
	c.buffered.detecting = true
	c.statefulConn.DetectConnectionClose()
}

// transporter is the standard transport of hertz with bufferedConn in place of its connections.
type transporter struct {
	network.Transporter
	// senses states that the context of a connection ends when its caller closes it.
	senses bool
}

// acceptedKey is the key of the accepted connection in the context of its transport.
type acceptedKey struct{}

func withAccepted(c net.Conn) context.Context {
	return context.WithValue(context.Background(), acceptedKey{}, c)
}

func newTransporter(o *config.Options) network.Transporter {
	return &transporter{Transporter: standard.NewTransporter(o), senses: o.SenseClientDisconnection}
}

// Listener returns the listener, nil until there is one.
func (t *transporter) Listener() net.Listener {
	if v, ok := t.Transporter.(interface{ Listener() net.Listener }); ok {
		return v.Listener()
	}
	return nil
}

// ListenAndServe implements network.Transporter.
func (t *transporter) ListenAndServe(onData network.OnData) error {
	return t.Transporter.ListenAndServe(func(ctx context.Context, _ any) error {
		accepted, ok := ctx.Value(acceptedKey{}).(*conn)
		if !ok {
			return errors.New("connection was not accepted by the listener")
		}
		c := &bufferedConn{conn: accepted}
		defer c.drop()
		if !t.senses {
			return onData(ctx, c)
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		stateful := standard.NewStatefulConn(c, func(err error) {
			var netErr net.Error
			if !errors.As(err, &netErr) || !netErr.Timeout() {
				cancel()
			}
		})
		return onData(ctx, &sensingConn{statefulConn: stateful, buffered: c})
	})
}
