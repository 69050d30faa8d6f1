package admission

import (
	"container/list"
	"time"
)

// Waiter is one admitted request in the queue.
type Waiter[T any] struct {
	Caller string
	// Cost is the capacity of the service that the request uses, in sub-requests.
	Cost int
	// LatestStart is the monotonic time from which it is too late to start the request: its
	// answer would miss the deadline.
	LatestStart time.Duration
	Value       T
}

// Queue is the request queue of one service: deficit round robin between callers, first
// in, first out for each caller, so that a caller with many requests delays only its own.
// Push never refuses; the owner bounds the length with Evict.
type Queue[T any] struct {
	size int
	// quantum is the largest cost so far, so that one credit covers any request and each
	// round serves every caller.
	quantum int
	flows   map[string]*flow[T]
	// active lists the flows that have waiters; the front one is served next.
	active *list.List
}

// flow holds the waiters of one caller.
type flow[T any] struct {
	caller  string
	waiters []Waiter[T]
	deficit int
	element *list.Element
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{flows: map[string]*flow[T]{}, active: list.New()}
}

// Len returns the number of waiters.
func (q *Queue[T]) Len() int { return q.size }

// CallerLen returns the number of waiters of one caller.
func (q *Queue[T]) CallerLen(caller string) int {
	if f, ok := q.flows[caller]; ok {
		return len(f.waiters)
	}
	return 0
}

// Push appends a waiter behind those of its caller.
func (q *Queue[T]) Push(w Waiter[T]) {
	f, ok := q.flows[w.Caller]
	if !ok {
		f = &flow[T]{caller: w.Caller}
		f.element = q.active.PushBack(f)
		q.flows[w.Caller] = f
	}
	f.waiters = append(f.waiters, w)
	q.size++
	q.quantum = max(q.quantum, w.Cost)
}

// Pop removes and returns the next waiter in deficit round robin order, and false if the
// queue is empty. A flow whose deficit does not cover its first waiter is credited with one
// quantum and goes to the back.
func (q *Queue[T]) Pop() (Waiter[T], bool) {
	if q.size == 0 {
		return Waiter[T]{}, false
	}
	for {
		f := q.active.Front().Value.(*flow[T])
		w := f.waiters[0]
		if f.deficit < w.Cost {
			f.deficit += q.quantum
			q.active.MoveToBack(f.element)
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
	q.removeIfEmpty(f)
}

func (q *Queue[T]) removeIfEmpty(f *flow[T]) {
	if len(f.waiters) > 0 {
		return
	}
	q.active.Remove(f.element)
	delete(q.flows, f.caller)
}

// Evict removes and returns the newest waiter of the caller with the most waiters, and
// false if the queue is empty.
func (q *Queue[T]) Evict() (Waiter[T], bool) {
	var longest *flow[T]
	for e := q.active.Front(); e != nil; e = e.Next() {
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
	q.removeIfEmpty(longest)
	return w, true
}

// Remove removes and returns all waiters that match, grouped by caller in service order.
func (q *Queue[T]) Remove(match func(*Waiter[T]) bool) []Waiter[T] {
	var removed []Waiter[T]
	for e := q.active.Front(); e != nil; {
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
		q.removeIfEmpty(f)
	}
	q.size -= len(removed)
	return removed
}
