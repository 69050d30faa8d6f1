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

	"pollentack.example/pollentack/internal/edge/memory"
)

// The connections of hertz keep a buffer of the size of their largest request for as long as they are
// open. Those here keep a block, and take what a request needs beyond it from a budget.

const (
	// BlockBytes is the size of the blocks that are used again. A body that is longer and came with
	// its length stays as it is once its request has ended.
	BlockBytes = 4 << 10
	// connectionBytes is what a connection costs beside the requests on it: its block, the stacks of
	// its threads and the state that hertz keeps for it.
	connectionBytes = 32 << 10
	// reserveStep is the unit in which bytes of a request are reserved.
	reserveStep = 16 << 10
	// chunkedCopies is the memory that a byte of a body without a length takes: hertz copies it from
	// the connection to a buffer that doubles when it is full.
	chunkedCopies = 3
)

var blocks = sync.Pool{New: func() any { return new([BlockBytes]byte) }}

// bufferedConn is a connection of a caller, with the buffers that hertz reads from and writes to.
type bufferedConn struct {
	net.Conn
	// budget is nil for a listener without one. overloaded is the response to a request that finds no
	// room in it.
	budget     *memory.Budget
	overloaded []byte

	// in[r:w] has been received and not read.
	in   []byte
	r, w int
	// block is the block that in is, nil if in is larger. replaced are blocks that slices handed out
	// since the last Release may still refer to.
	block    *[BlockBytes]byte
	replaced []*[BlockBytes]byte
	// received counts the bytes since the last Release, reserved those taken from the budget. grown
	// counts the buffers larger than a block: a body with a length needs one.
	received, reserved, grown int
	// requestRead states that the request has been read, so that what else is received is not its.
	requestRead bool
	// readErr is an error that came with the last bytes received.
	readErr error

	// out are the slices to write, of which the last one has room if outBlock is set.
	out      [][]byte
	outBlock []*[BlockBytes]byte
}

// errOverBudget ends a connection without a response of hertz: its own has been written.
var errOverBudget = fmt.Errorf("no memory is left for the request: %w", hertzerrors.ErrNothingRead)

func (c *bufferedConn) SetReadTimeout(t time.Duration) error {
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

// Len returns the number of bytes that have been received and not read.
func (c *bufferedConn) Len() int { return c.w - c.r }

// Peek returns the next n bytes without reading them. They are valid until Release.
func (c *bufferedConn) Peek(n int) ([]byte, error) {
	err := c.fill(n)
	if n > c.Len() {
		return c.in[c.r:c.w], err
	}
	return c.in[c.r : c.r+n], nil
}

// fill receives until n bytes are there.
func (c *bufferedConn) fill(n int) error {
	for c.Len() < n {
		if err := c.readErr; err != nil {
			c.readErr = nil
			return err
		}
		if err := c.makeRoom(n); err != nil {
			return err
		}
		m, err := c.Conn.Read(c.in[c.w:])
		c.w += m
		c.received += m
		if m > 0 {
			c.readErr = err
			if c.grown > 1 {
				err = c.reserve(chunkedCopies * c.received)
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// makeRoom makes room for n bytes from the first unread one on. Bytes that were handed out stay where
// they are.
func (c *bufferedConn) makeRoom(n int) error {
	if len(c.in)-c.r >= n && c.w < len(c.in) {
		return nil
	}
	unread := c.in[c.r:c.w]
	if c.block != nil {
		c.replaced = append(c.replaced, c.block)
		c.block = nil
	}
	if n <= BlockBytes {
		c.block = blocks.Get().(*[BlockBytes]byte)
		c.in = c.block[:]
	} else {
		if err := c.reserve(n); err != nil {
			return err
		}
		c.in = make([]byte, n)
		c.grown++
	}
	c.r, c.w = 0, copy(c.in, unread)
	return nil
}

// reserve takes n bytes for the request from the budget. If they are not left, the caller is told so
// and the connection ends.
func (c *bufferedConn) reserve(n int) error {
	if c.budget == nil || c.requestRead || n <= c.reserved {
		return nil
	}
	n = (n - c.reserved + reserveStep - 1) / reserveStep * reserveStep
	if !c.budget.Reserve(memory.Requests, n) {
		_, _ = c.Conn.Write(c.overloaded)
		return errOverBudget
	}
	c.reserved += n
	return nil
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
	if err := c.fill(1); err != nil {
		return 0, err
	}
	n := copy(p, c.in[c.r:c.w])
	c.r += n
	return n, nil
}

// Release gives up what was read.
func (c *bufferedConn) Release() error {
	for _, b := range c.replaced {
		blocks.Put(b)
	}
	c.replaced = c.replaced[:0]
	if c.Len() == 0 {
		if c.block != nil {
			blocks.Put(c.block)
		}
		c.block, c.in, c.r, c.w = nil, nil, 0, 0
	}
	c.received, c.grown, c.requestRead = c.Len(), 0, false
	c.releaseBudget()
	return nil
}

func (c *bufferedConn) releaseBudget() {
	if c.reserved > 0 {
		c.budget.Release(memory.Requests, c.reserved)
		c.reserved = 0
	}
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
	return c.Conn.Write(p)
}

// Flush writes what waits for it.
func (c *bufferedConn) Flush() error {
	var err error
	for i, p := range c.out {
		if err == nil && len(p) > 0 {
			_, err = c.Conn.Write(p)
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
	c.buffered.requestRead = true
	c.statefulConn.DetectConnectionClose()
}

// transporter is the standard transport of hertz with bufferedConn in place of its connections.
type transporter struct {
	network.Transporter
	budget     *memory.Budget
	overloaded []byte
	// senses states that the context of a connection ends when its caller closes it.
	senses bool
}

// acceptedKey is the key of the accepted connection in the context of its transport.
type acceptedKey struct{}

func withAccepted(c net.Conn) context.Context {
	return context.WithValue(context.Background(), acceptedKey{}, c)
}

func newTransporter(budget *memory.Budget, overloaded []byte) func(*config.Options) network.Transporter {
	return func(o *config.Options) network.Transporter {
		return &transporter{Transporter: standard.NewTransporter(o), budget: budget, overloaded: overloaded, senses: o.SenseClientDisconnection}
	}
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
		accepted, ok := ctx.Value(acceptedKey{}).(net.Conn)
		if !ok {
			return errors.New("connection was not accepted by the listener")
		}
		c := &bufferedConn{Conn: accepted, budget: t.budget, overloaded: t.overloaded}
		defer c.releaseBudget()
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
