package admission

import (
	"container/list"
	"time"
)

// Waiter is one admitted request that waits for its turn.
type Waiter[T any] struct {
	Caller string
	// Cost is what the request takes of its service, in sub-requests.
	Cost int
	// Hopeless is the monotonic time from which no answer can come in time.
	Hopeless time.Duration
	Value    T
}

// Queue is the bounded queue of one service: deficit round robin between callers, first
// in first out within one. A caller with many requests so delays only its own.
type Queue[T any] struct {
	size int
	// quantum is the largest cost seen, so that each round serves every caller.
	quantum int
	callers map[string]*flow[T]
	// ring holds the callers with waiters; the front one is served.
	ring *list.List
}

// flow is the part of one caller.
type flow[T any] struct {
	caller  string
	waiters []Waiter[T]
	deficit int
	element *list.Element
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{callers: map[string]*flow[T]{}, ring: list.New()}
}

// Len returns the number of waiters.
func (q *Queue[T]) Len() int { return q.size }

// LenOf returns the number of waiters of one caller.
func (q *Queue[T]) LenOf(caller string) int {
	if f, ok := q.callers[caller]; ok {
		return len(f.waiters)
	}
	return 0
}

// Push appends a waiter behind those of its caller.
func (q *Queue[T]) Push(w Waiter[T]) {
	f, ok := q.callers[w.Caller]
	if !ok {
		f = &flow[T]{caller: w.Caller}
		f.element = q.ring.PushBack(f)
		q.callers[w.Caller] = f
	}
	f.waiters = append(f.waiters, w)
	q.size++
	q.quantum = max(q.quantum, w.Cost)
}

// Pop takes the next waiter in the fair order. Each round credits each caller with one
// quantum.
func (q *Queue[T]) Pop() (Waiter[T], bool) {
	if q.size == 0 {
		return Waiter[T]{}, false
	}
	for {
		f := q.ring.Front().Value.(*flow[T])
		w := f.waiters[0]
		if f.deficit < w.Cost {
			f.deficit += q.quantum
			q.ring.MoveToBack(f.element)
			continue
		}
		f.deficit -= w.Cost
		q.removeFirst(f)
		return w, true
	}
}

func (q *Queue[T]) removeFirst(f *flow[T]) {
	var zero Waiter[T]
	f.waiters[0] = zero
	f.waiters = f.waiters[1:]
	q.size--
	q.dropIfEmpty(f)
}

func (q *Queue[T]) dropIfEmpty(f *flow[T]) {
	if len(f.waiters) > 0 {
		return
	}
	q.ring.Remove(f.element)
	delete(q.callers, f.caller)
}

// Evict takes the newest waiter of the caller with the most, for which there is no room.
func (q *Queue[T]) Evict() (Waiter[T], bool) {
	var longest *flow[T]
	for e := q.ring.Front(); e != nil; e = e.Next() {
		f := e.Value.(*flow[T])
		if longest == nil || len(f.waiters) > len(longest.waiters) {
			longest = f
		}
	}
	if longest == nil {
		return Waiter[T]{}, false
	}
	last := len(longest.waiters) - 1
	w := longest.waiters[last]
	longest.waiters = longest.waiters[:last]
	q.size--
	q.dropIfEmpty(longest)
	return w, true
}

// Remove takes the waiters that match, in the order of their callers.
func (q *Queue[T]) Remove(match func(*Waiter[T]) bool) []Waiter[T] {
	var removed []Waiter[T]
	for e := q.ring.Front(); e != nil; {
		f := e.Value.(*flow[T])
		e = e.Next()
		kept := f.waiters[:0]
		for _, w := range f.waiters {
			if match(&w) {
				removed = append(removed, w)
				continue
			}
			kept = append(kept, w)
		}
		clear(f.waiters[len(kept):])
		f.waiters = kept
		q.dropIfEmpty(f)
	}
	q.size -= len(removed)
	return removed
}
