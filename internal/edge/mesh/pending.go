package mesh

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// PendingCall is a call whose request is made once it can be sent, and that can be cancelled at any
// time: it may wait for a link to a host that does not answer, or for the response of one.
type PendingCall struct {
	payload func() ([]byte, error)
	// done is closed by Cancel.
	done chan struct{}

	mu        sync.Mutex
	cancelled bool
	// sent states that the request may have left this host.
	sent bool
	// stream is the stream of the call while it waits for the response.
	stream *yamux.Stream
}

// NewPendingCall returns a call. payload is called once there is a stream for the request; an error
// ends the call unsent.
func NewPendingCall(payload func() ([]byte, error)) *PendingCall {
	return &PendingCall{payload: payload, done: make(chan struct{})}
}

// ErrCancelled is the reason of a call that Cancel or CancelUnsent has ended.
var ErrCancelled = errors.New("call was cancelled")

// Cancel ends the call, and reports whether its request may have been sent.
func (c *PendingCall) Cancel() (sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel()
	return c.sent
}

// CancelUnsent ends the call unless its request may have been sent.
func (c *PendingCall) CancelUnsent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sent {
		c.cancel()
	}
}

func (c *PendingCall) cancel() {
	if c.cancelled {
		return
	}
	c.cancelled = true
	close(c.done)
	if c.stream != nil {
		_ = c.stream.SetDeadline(time.Unix(1, 0))
	}
}

// begin returns the request to send on a stream.
func (c *PendingCall) begin(stream *yamux.Stream) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrCancelled)
	}
	payload, err := c.payload()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.sent, c.stream = true, stream
	return payload, nil
}

// end is called once the call does not wait on its stream any more, which others may then use.
func (c *PendingCall) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stream = nil
}
