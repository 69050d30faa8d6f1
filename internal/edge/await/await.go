// Package await joins an edge's handler, which blocks for an answer, to the duty that
// gives it.
package await

import (
	"sync"
	"sync/atomic"
)

// Waiters holds who waits, by key.
type Waiters[T any] struct {
	next atomic.Uint64

	mu        sync.Mutex
	waiting   map[uint64]chan T
	abandoned bool
}

// New returns an empty set.
func New[T any]() *Waiters[T] { return &Waiters[T]{waiting: map[uint64]chan T{}} }

// Await takes a new key, puts a request with it and blocks for the answer. It reports
// false at once where put does. The duty answers every request that was put, unless the
// waiters are abandoned.
func (w *Waiters[T]) Await(put func(key uint64) bool) (T, bool) {
	key := w.next.Add(1)
	ch := make(chan T, 1)
	w.mu.Lock()
	gone := w.abandoned
	if !gone {
		w.waiting[key] = ch
	}
	w.mu.Unlock()
	if gone {
		var none T
		return none, false
	}
	if !put(key) {
		w.mu.Lock()
		delete(w.waiting, key)
		w.mu.Unlock()
		var none T
		return none, false
	}
	answer, ok := <-ch
	return answer, ok
}

// Deliver hands an answer to who waits for it; a second answer is dropped.
func (w *Waiters[T]) Deliver(key uint64, answer T) {
	w.mu.Lock()
	ch, ok := w.waiting[key]
	delete(w.waiting, key)
	w.mu.Unlock()
	if ok {
		ch <- answer
	}
}

// Abandon ends every wait without an answer, now and later.
func (w *Waiters[T]) Abandon() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned = true
	for key, ch := range w.waiting {
		close(ch)
		delete(w.waiting, key)
	}
}
