package httpd

import (
	"errors"
	"fmt"
	"os"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"

	"pollentack.example/pollentack/internal/core/intake"
)

// A request is received as a whole before hertz sees it: hertz reads heads and chunks of any length and
// begins anew with each byte that arrives.

const (
	// maxReceiveTime bounds the time in which a request arrives.
	maxReceiveTime = 2 * time.Minute
	// refusalWriteTimeout bounds the time to write a refusal or an interim response.
	refusalWriteTimeout = time.Second
)

var (
	// errRefused ends a connection without a response of hertz: if there is one, it has been written.
	errRefused = fmt.Errorf("the request was refused: %w", hertzerrors.ErrNothingRead)
	// errFraming ends a connection on which hertz reads more or less than a request.
	errFraming = errors.New("the request has another length than its head states")
)

var interimContinue = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// reception is a request while it arrives.
type reception struct {
	// begin is its offset in the buffer.
	begin int
	// began is when its first bytes were received, zero before.
	began time.Time
	// continued states that the interim response was written.
	continued bool
}

// receive receives the next request. If that is refused, the response has been written.
func (c *bufferedConn) receive() error {
	if c.partlyRead {
		return errFraming
	}
	c.request.Begin(intake.Limits{})
	x := reception{begin: c.next}
	if c.w == x.begin {
		if err := c.receiveMore(&x, Limits{}); err != nil {
			return c.interrupted(&x, err)
		}
	} else {
		x.began = time.Now()
	}
	// They may have changed while the connection was idle.
	limits := c.listener.limits()
	c.request.Begin(limits.Limits)
	for {
		if c.w > x.begin {
			kept, processed, refusal := c.request.Advance(c.in[x.begin:c.w])
			if refusal != nil {
				return c.refuse(refusal)
			}
			if c.request.Whole() {
				c.r, c.end, c.next = x.begin, x.begin+kept, x.begin+processed
				return c.becomeWhole()
			}
			c.w = x.begin + kept
			c.listener.received(c.conn)
		}
		if err := c.receiveMore(&x, limits); err != nil {
			return c.interrupted(&x, err)
		}
	}
}

// receiveMore receives more of a request that is not whole.
func (c *bufferedConn) receiveMore(x *reception, limits Limits) error {
	headWhole, _ := c.request.HeadWhole()
	if c.request.AwaitsContinue() && !x.continued {
		x.continued = true
		if err := c.writeNow(interimContinue); err != nil {
			return err
		}
	}
	if c.w == len(c.in) {
		if refusal := c.makeRoom(x); refusal != nil {
			return refusal
		}
	}
	switch {
	case x.began.IsZero():
		// The first bytes may take the idle timeout.
	case headWhole:
		c.setReceiveDeadline(earlier(time.Now().Add(limits.idleTimeout), x.began.Add(maxReceiveTime)))
	default:
		c.setReceiveDeadline(x.began.Add(limits.HeaderTimeout))
	}
	n, err := c.conn.Read(c.in[c.w:])
	c.w += n
	if n == 0 {
		return err
	}
	if x.began.IsZero() {
		x.began = time.Now()
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// makeRoom makes room behind the bytes received of a request.
func (c *bufferedConn) makeRoom(x *reception) *intake.Refusal {
	received := c.in[x.begin:c.w]
	if len(received) < BlockBytes {
		c.replaceBlock()
		c.block = blocks.Get().(*[BlockBytes]byte)
		c.in = c.block[:]
	} else {
		size := c.request.Capacity(len(received))
		if !c.reserve(size) {
			return &intake.Refusal{Reason: intake.NoRoom, Detail: fmt.Sprintf("no memory is left for a request of %d bytes so far", len(received))}
		}
		c.replaceBlock()
		c.in = make([]byte, size)
	}
	c.r, c.end, c.next, c.w = 0, 0, 0, copy(c.in, received)
	x.begin = 0
	return nil
}

// replaceBlock takes the block out of use, which slices handed out may still refer to.
func (c *bufferedConn) replaceBlock() {
	if c.block != nil {
		c.replaced = append(c.replaced, c.block)
		c.block = nil
	}
}

// reserve has n bytes reserved for the request.
func (c *bufferedConn) reserve(n int) bool {
	if n <= c.reserved {
		return true
	}
	if !c.listener.grow(c.conn, n-c.reserved) {
		return false
	}
	c.reserved = n
	return true
}

func (c *bufferedConn) becomeWhole() error {
	_, headBytes := c.request.HeadWhole()
	if !c.listener.whole(c.conn, headBytes) {
		return c.refuse(&intake.Refusal{Reason: intake.NoRoom, Detail: "the request gave way to others"})
	}
	c.whole = true
	return nil
}

// interrupted ends a request that did not arrive. A caller that sent nothing gets no response.
func (c *bufferedConn) interrupted(x *reception, err error) error {
	var refusal *intake.Refusal
	switch {
	case errors.As(err, &refusal):
		return c.refuse(refusal)
	case c.listener.isGivingWay(c.conn):
		if x.began.IsZero() && c.w == x.begin {
			return errRefused
		}
		return c.refuse(&intake.Refusal{Reason: intake.NoRoom, Detail: "the request gave way to others"})
	case x.began.IsZero():
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.refuse(&intake.Refusal{Reason: intake.TooSlow, Detail: fmt.Sprintf("%d bytes of a request arrived in %v", c.w-x.begin, time.Since(x.began))})
	}
	return errRefused
}

// refuse responds to a request that is not read and gives up what was received of it.
func (c *bufferedConn) refuse(refusal *intake.Refusal) error {
	c.drop()
	lingers := c.listener.refused(c.conn, refusal.Reason)
	c.requestUnread.Store(lingers)
	_ = c.writeNow(c.listener.response(refusal))
	return errRefused
}

// writeNow writes to a caller that is not waited for.
func (c *bufferedConn) writeNow(p []byte) error {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	_, err := c.Conn.Write(p)
	return errors.Join(err, c.Conn.SetWriteDeadline(time.Time{}))
}

// peekBehind returns a byte behind the request, received if there is none. The rest stays in the socket.
func (c *bufferedConn) peekBehind() ([]byte, error) {
	if c.next == c.w {
		if c.w == len(c.in) {
			c.replaceBlock()
			c.block = blocks.Get().(*[BlockBytes]byte)
			c.in, c.r, c.end, c.next, c.w = c.block[:], 0, 0, 0, 0
		}
		n, err := c.conn.Read(c.in[c.w:])
		c.w += n
		if n == 0 {
			return nil, err
		}
	}
	return c.in[c.next : c.next+1], nil
}
