// Package await lets the handler of a request block until the duty that processes the request
// delivers the answer.
package await

import (
	"sync"
	"sync/atomic"
)

// Waiters holds the handlers that wait for an answer, by key.
type Waiters[T any] struct {
	lastKey atomic.Uint64

	mu sync.Mutex
	// pending holds a channel of capacity 1 for each handler that waits.
	pending   map[uint64]chan T
	abandoned bool
}

// New returns an empty Waiters.
func New[T any]() *Waiters[T] { return &Waiters[T]{pending: map[uint64]chan T{}} }

// Await calls submit with a new key and blocks until the answer for that key is delivered. It
// returns false at once if submit returns false. It has no timeout: the duty must answer every
// request that was submitted, unless Abandon is called.
func (w *Waiters[T]) Await(submit func(key uint64) bool) (T, bool) {
	return w.AwaitUntil(nil, submit, nil)
}

// AwaitUntil is like Await, but calls onDone with the key and returns false once done is
// closed, unless the answer has been delivered by then.
func (w *Waiters[T]) AwaitUntil(done <-chan struct{}, submit func(key uint64) bool, onDone func(key uint64)) (T, bool) {
	var zero T
	key := w.lastKey.Add(1)
	ch := make(chan T, 1)
	w.mu.Lock()
	abandoned := w.abandoned
	if !abandoned {
		w.pending[key] = ch
	}
	w.mu.Unlock()
	if abandoned {
		return zero, false
	}
	if !submit(key) {
		w.remove(key)
		return zero, false
	}
	select {
	case answer, ok := <-ch:
		return answer, ok
	case <-done:
		if !w.remove(key) {
			answer, ok := <-ch
			return answer, ok
		}
		onDone(key)
		return zero, false
	}
}

// remove removes a key and reports whether it waited for its answer.
func (w *Waiters[T]) remove(key uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, pending := w.pending[key]
	delete(w.pending, key)
	return pending
}

// Deliver passes an answer to the handler that waits for it. If none waits, as after a first
// answer, the answer is dropped.
func (w *Waiters[T]) Deliver(key uint64, answer T) { w.Offer(key, answer) }

// Offer is Deliver, and reports whether a handler waits for the answer.
func (w *Waiters[T]) Offer(key uint64, answer T) bool {
	w.mu.Lock()
	ch, ok := w.pending[key]
	delete(w.pending, key)
	w.mu.Unlock()
	if ok {
		ch <- answer
	}
	return ok
}

// Abandon ends all present and future waits without an answer.
func (w *Waiters[T]) Abandon() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned = true
	for key, ch := range w.pending {
		close(ch)
		delete(w.pending, key)
	}
}
