package mesh

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"pollentack.example/pollentack/internal/edge/memory"
)

const (
	// defaultMemoryBytes is the budget of a mesh without Options.Memory.
	defaultMemoryBytes = 256 << 20
	// copiesPerByte is the memory for a byte of a call, which is in the receive buffer of its stream and in
	// that of the message, which doubles as it grows. For a byte of a reply it is in the reply, its frame
	// and the session's copy.
	copiesPerByte = 3
	// The calls whose transfer has not ended may take 1/unfinishedDivisor of the budget if there is room,
	// and 1/guaranteedDivisor in any case, as may those that are being served.
	unfinishedDivisor = 2
	guaranteedDivisor = 8
	// maxStreams bounds the streams that a peer has open on a link: those of calls in progress and those
	// that wait in the session to be accepted.
	maxStreams = maxIncomingCalls + 256
	// transferTimeout bounds the time in which a request or a reply that has begun must be transferred.
	transferTimeout = 10 * time.Second
)

var (
	errStreams = fmt.Errorf("more than %d open streams", maxStreams)
	errMemory  = errors.New("no memory is left for unfinished calls, of which the peer holds the most")
)

// ledger accounts for the memory that the calls of all peers hold.
type ledger struct {
	budget *memory.Budget

	mu    sync.Mutex
	flows map[*inflow]struct{}
	// unfinished and served are the bytes of all flows.
	unfinished, served int
}

// inflow accounts for the memory that the calls of one session hold, by the streams that the peer has
// opened. Its fields are guarded by the ledger's mutex.
type inflow struct {
	ledger *ledger
	// cut ends the session without waiting, because of an error.
	cut     func(error)
	ended   bool
	streams map[uint32]*streamInflow
	// unfinished are the bytes of all streams.
	unfinished int
}

// streamInflow accounts for the memory that a stream holds.
type streamInflow struct {
	// unfinished are the bytes of a request or a reply whose transfer has not ended. served are those of
	// requests that are being served.
	unfinished, served int
	// begunAt is when the first of the unfinished bytes came.
	begunAt time.Time
	// expire ends the waits of the stream's worker. It is nil until there is one.
	expire func()
	// closedAt is when this host closed the stream, of which the session keeps what it has received until
	// the peer closes it too, for heartbeatTimeout at most.
	closedAt   time.Time
	peerClosed bool
}

func newLedger(budget *memory.Budget) *ledger {
	if budget == nil {
		budget = memory.NewBudget(defaultMemoryBytes)
	}
	return &ledger{budget: budget, flows: map[*inflow]struct{}{}}
}

// newInflow adds a session.
func (g *ledger) newInflow(cut func(error)) *inflow {
	f := &inflow{ledger: g, cut: cut, streams: map[uint32]*streamInflow{}}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.flows[f] = struct{}{}
	return f
}

// end releases what the session holds.
func (f *inflow) end() {
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	f.endLocked()
}

func (f *inflow) endLocked() {
	f.ended = true
	for id, s := range f.streams {
		f.remove(id, s)
	}
	delete(f.ledger.flows, f)
}

// frame accounts for the header of a frame of the peer. It fails if the peer has too many streams.
func (f *inflow) frame(h *frameHeader) error {
	if !h.has(frameFlagSYN | frameFlagFIN | frameFlagRST) {
		return nil
	}
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	id := h.stream()
	s := f.streams[id]
	if s == nil && h.has(frameFlagSYN) && !f.ended {
		if len(f.streams) >= maxStreams {
			return errStreams
		}
		s = &streamInflow{}
		f.streams[id] = s
	}
	if s != nil && h.has(frameFlagFIN|frameFlagRST) {
		s.peerClosed = true
		f.removeClosed(id, s)
	}
	return nil
}

// attach sets the function that ends the waits of a stream's worker.
func (f *inflow) attach(id uint32, expire func()) {
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	if s := f.streams[id]; s != nil {
		s.expire = expire
	}
}

// close states that this host closes a stream.
func (f *inflow) close(id uint32) {
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	if s := f.streams[id]; s != nil {
		s.closedAt, s.expire = time.Now(), nil
		f.removeClosed(id, s)
	}
}

// removeClosed removes a stream that both sides have closed.
func (f *inflow) removeClosed(id uint32, s *streamInflow) {
	if s.peerClosed && !s.closedAt.IsZero() {
		f.remove(id, s)
	}
}

func (f *inflow) remove(id uint32, s *streamInflow) {
	f.finish(s, s.unfinished)
	f.release(s, s.served)
	delete(f.streams, id)
}

// transfer accounts for n bytes of a request that have arrived on a stream, or of a reply that are to be
// written to it. If too little memory is left, the session that holds the most such bytes is cut.
func (f *inflow) transfer(id uint32, n int) {
	if largest := f.add(id, n*copiesPerByte); largest != nil {
		largest.cut(errMemory)
	}
}

// add adds unfinished bytes to a stream, and ends and returns the session that has to be cut, or nil.
func (f *inflow) add(id uint32, n int) *inflow {
	g := f.ledger
	g.mu.Lock()
	defer g.mu.Unlock()
	s := f.streams[id]
	if s == nil {
		return nil
	}
	if s.unfinished == 0 {
		s.begunAt = time.Now()
	}
	room := g.budget.Reserve(memory.Messages, n)
	if !room {
		g.budget.Force(memory.Messages, n)
	}
	s.unfinished += n
	f.unfinished += n
	g.unfinished += n
	limit := int(g.budget.Limit())
	if g.unfinished <= limit/guaranteedDivisor || room && g.unfinished <= limit/unfinishedDivisor {
		return nil
	}
	largest := f
	for other := range g.flows {
		if other.unfinished > largest.unfinished {
			largest = other
		}
	}
	largest.endLocked()
	return largest
}

// serve states that a request of n bytes has arrived whole, and reports whether there is memory to serve
// it.
func (f *inflow) serve(id uint32, n int) bool {
	g := f.ledger
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := f.streams[id]; s != nil {
		f.finish(s, min(n*copiesPerByte, s.unfinished))
	}
	return g.served <= int(g.budget.Limit())/guaranteedDivisor || !g.budget.Exceeded()
}

// done releases n bytes of a request and its reply.
func (f *inflow) done(id uint32, n int) {
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	s := f.streams[id]
	if s == nil {
		return
	}
	n *= copiesPerByte
	f.finish(s, min(max(0, n-s.served), s.unfinished))
	f.release(s, min(n, s.served))
}

// finish moves n unfinished bytes to those that are being served.
func (f *inflow) finish(s *streamInflow, n int) {
	s.unfinished -= n
	f.unfinished -= n
	f.ledger.unfinished -= n
	s.served += n
	f.ledger.served += n
}

// release releases n bytes that were being served.
func (f *inflow) release(s *streamInflow, n int) {
	s.served -= n
	f.ledger.served -= n
	f.ledger.budget.Release(memory.Messages, n)
}

// expire removes streams that the session has given up, and returns functions that end transfers which
// take too long.
func (g *ledger) expire(now time.Time) (ends []func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for f := range g.flows {
		for id, s := range f.streams {
			switch {
			case !s.closedAt.IsZero() && now.Sub(s.closedAt) > heartbeatTimeout:
				f.remove(id, s)
			case s.unfinished > 0 && s.expire != nil && now.Sub(s.begunAt) > transferTimeout:
				ends = append(ends, s.expire)
				s.begunAt = now
			}
		}
	}
	return ends
}
