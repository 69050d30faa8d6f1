package engine

import (
	"container/heap"
	"time"

	"pollentack.example/pollentack/internal/core/query"
)

type timerKind int

const (
	timerDeadline timerKind = iota + 1
	timerHedge
	timerOnceRun
	timerOnceCall
)

type timer struct {
	due   time.Duration
	query query.ID
	kind  timerKind
}

// timerHeap orders timers by when they are due; the earliest is at index 0.
type timerHeap struct{ items timerItems }

func (h *timerHeap) arm(t timer) { heap.Push(&h.items, t) }

func (h *timerHeap) next() (time.Duration, bool) {
	if len(h.items) == 0 {
		return 0, false
	}
	return h.items[0].due, true
}

func (h *timerHeap) popDue(now time.Duration) (timer, bool) {
	if len(h.items) == 0 || h.items[0].due > now {
		return timer{}, false
	}
	return heap.Pop(&h.items).(timer), true
}

type timerItems []timer

func (t timerItems) Len() int { return len(t) }

// Less breaks ties by query and kind, so that equal runs pop in equal order.
func (t timerItems) Less(i, j int) bool {
	if t[i].due != t[j].due {
		return t[i].due < t[j].due
	}
	if t[i].query != t[j].query {
		return t[i].query < t[j].query
	}
	return t[i].kind < t[j].kind
}

func (t timerItems) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push is for container/heap.
func (t *timerItems) Push(x any) { *t = append(*t, x.(timer)) }

// Pop is for container/heap.
func (t *timerItems) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
