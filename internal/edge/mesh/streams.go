package mesh

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// maxIdleStreams bounds the streams of a link that are kept for later calls. Each occupies
	// a worker of the peer.
	maxIdleStreams = 2
	// idleStreamTimeout is the time without a call after which a kept stream is closed.
	idleStreamTimeout = 15 * time.Second
)

// streamWaits ends the waits on the streams of a session as the session ends. A Read that waits then
// uses the processor until the session has closed its stream, which takes seconds if there are
// hundreds, unless its deadline is over.
type streamWaits struct {
	mu      sync.Mutex
	ended   bool
	streams map[*yamux.Stream]struct{}
}

// past is a deadline that is over.
var past = time.Unix(1, 0)

// add adds a stream.
func (w *streamWaits) add(s *yamux.Stream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streams[s] = struct{}{}
}

// remove removes a stream that is about to be closed.
func (w *streamWaits) remove(s *yamux.Stream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.streams, s)
}

// setDeadline sets the deadline of reads and writes of a stream, zero for none. It fails after end.
func (w *streamWaits) setDeadline(s *yamux.Stream, t time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return yamux.ErrSessionShutdown
	}
	return s.SetDeadline(t)
}

// setReadDeadline is setDeadline for reads.
func (w *streamWaits) setReadDeadline(s *yamux.Stream, t time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return yamux.ErrSessionShutdown
	}
	return s.SetReadDeadline(t)
}

// end ends all waits.
func (w *streamWaits) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	for s := range w.streams {
		_ = s.SetDeadline(past)
	}
}

// idleStream is a stream whose last call has ended.
type idleStream struct {
	*yamux.Stream
	since time.Time
	pool  *streamPool
}

func (s idleStream) close() { s.pool.close(s.Stream) }

// streamPool keeps the streams of a link that a call has left in order, since to open and close
// a stream for each call takes three more frames, each of which wakes the other host. A stream
// whose call failed in any way is closed: its reply may still arrive.
type streamPool struct {
	session *yamux.Session
	waits   *streamWaits
	// reusable is set if the peer serves several calls on a stream.
	reusable bool

	mu   sync.Mutex
	idle []idleStream
}

// take returns the stream that was used last, or a new one. It fails if the link has ended, so
// that the caller knows that nothing was sent.
func (p *streamPool) take() (*yamux.Stream, error) {
	if p.session.IsClosed() {
		return nil, yamux.ErrSessionShutdown
	}
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		s := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return s.Stream, nil
	}
	p.mu.Unlock()
	s, err := p.session.OpenStream()
	if err == nil {
		p.waits.add(s)
	}
	return s, err
}

// close closes a stream that take returned.
func (p *streamPool) close(s *yamux.Stream) {
	p.waits.remove(s)
	_ = s.Close()
}

// put takes back a stream after a call with a whole reply.
func (p *streamPool) put(s *yamux.Stream) {
	s.Shrink()
	p.mu.Lock()
	keep := p.reusable && len(p.idle) < maxIdleStreams
	if keep {
		p.idle = append(p.idle, idleStream{s, time.Now(), p})
	}
	p.mu.Unlock()
	if !keep {
		p.close(s)
	}
}

// takeUnused removes and returns the streams that were not used for idleStreamTimeout. Closing
// one may wait for the link. The oldest come first.
func (p *streamPool) takeUnused() []idleStream {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for n < len(p.idle) && time.Since(p.idle[n].since) > idleStreamTimeout {
		n++
	}
	unused := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	return unused
}
