// Package ring provides the bounded queue that joins two duties.
//
// A ring has a fixed capacity. A put on a full ring returns false at once; each caller
// decides how to handle that. A take blocks without spinning until an element arrives, the
// timeout expires or the ring is closed.
package ring

import (
	"sync"
	"time"
)

// Forever makes Take wait without a timeout.
const Forever = time.Duration(-1)

// Ring is a bounded first-in first-out queue for many producers and one consumer.
type Ring[T any] struct {
	name string

	mu     sync.Mutex
	buf    []T
	head   int
	size   int
	closed bool
	drops  uint64
	peak   int

	// wake holds at most one token, for which the consumer blocks.
	wake  chan struct{}
	timer *time.Timer
}

// New returns a ring that holds capacity elements.
func New[T any](name string, capacity int) *Ring[T] {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &Ring[T]{
		name:  name,
		buf:   make([]T, capacity),
		wake:  make(chan struct{}, 1),
		timer: timer,
	}
}

// Put appends v and reports whether it was accepted. It returns false if the ring is full
// or closed, and never blocks.
func (r *Ring[T]) Put(v T) bool { return r.PutWithReserve(v, 0) }

// PutWithReserve is like Put, but leaves capacity for reserve elements free, for elements
// that must not be refused.
func (r *Ring[T]) PutWithReserve(v T, reserve int) bool {
	r.mu.Lock()
	if r.closed || r.size >= len(r.buf)-reserve {
		r.drops++
		r.mu.Unlock()
		return false
	}
	r.buf[(r.head+r.size)%len(r.buf)] = v
	r.size++
	r.peak = max(r.peak, r.size)
	first := r.size == 1
	r.mu.Unlock()
	if first {
		r.signal()
	}
	return true
}

func (r *Ring[T]) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Take moves up to len(batch) elements into batch and waits at most wait for the first. It
// returns the number of elements moved, and false once the ring is closed and empty.
func (r *Ring[T]) Take(batch []T, wait time.Duration) (int, bool) {
	n, closed := r.take(batch)
	if n > 0 || closed || wait == 0 {
		return n, !closed || n > 0
	}
	var expired <-chan time.Time
	if wait > 0 {
		r.timer.Reset(wait)
		defer r.timer.Stop()
		expired = r.timer.C
	}
	for {
		select {
		case <-r.wake:
		case <-expired:
			return 0, true
		}
		n, closed = r.take(batch)
		if n > 0 || closed {
			return n, n > 0 || !closed
		}
	}
}

func (r *Ring[T]) take(batch []T) (n int, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zero T
	for n < len(batch) && r.size > 0 {
		batch[n] = r.buf[r.head]
		r.buf[r.head] = zero
		r.head = (r.head + 1) % len(r.buf)
		r.size--
		n++
	}
	return n, r.closed && r.size == 0
}

// Close closes the ring: further puts fail, and Take returns the remaining elements.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.signal()
}

// Stats are the counters of a ring.
type Stats struct {
	Name     string `json:"name"`
	Depth    int    `json:"depth"`
	Peak     int    `json:"peak"`
	Capacity int    `json:"capacity"`
	Drops    uint64 `json:"drops"`
}

// Stats returns the current counters.
func (r *Ring[T]) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Name: r.name, Depth: r.size, Peak: r.peak, Capacity: len(r.buf), Drops: r.drops}
}
