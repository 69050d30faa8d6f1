package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/query"
)

type timerKind int

const (
	timerDeadline timerKind = iota + 1
	timerLateCheck
	timerGroupRetry
	timerOnceRun
	timerOnceCall
	// timerTurn and timerQueue are global: they belong to no query.
	timerTurn
	timerQueue
	// timerCanary belongs to a fingerprint.
	timerCanary
)

// timer belongs to a query, or to a group for timerGroupRetry. For timerOnceRun,
// timerOnceCall and timerCanary, query holds a run number, a call key and a fingerprint.
type timer struct {
	due   time.Duration
	query query.ID
	group *query.ReplicaGroup
	kind  timerKind
}

// less orders timers by due time and breaks ties, so that identical runs fire them in the
// same order.
func (t *timer) less(o *timer) bool {
	if t.due != o.due {
		return t.due < o.due
	}
	if t.kind != o.kind {
		return t.kind < o.kind
	}
	if t.kind == timerGroupRetry {
		return t.group.Order < o.group.Order
	}
	return t.query < o.query
}

// timerHeap is a binary min-heap ordered by due time.
type timerHeap struct{ items []timer }

func (h *timerHeap) next() (time.Duration, bool) {
	if len(h.items) == 0 {
		return 0, false
	}
	return h.items[0].due, true
}

func (h *timerHeap) arm(t timer) {
	h.items = append(h.items, t)
	i := len(h.items) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !h.items[i].less(&h.items[parent]) {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

func (h *timerHeap) popDue(now time.Duration) (timer, bool) {
	if len(h.items) == 0 || h.items[0].due > now {
		return timer{}, false
	}
	top := h.items[0]
	last := len(h.items) - 1
	h.items[0] = h.items[last]
	h.items[last] = timer{}
	h.items = h.items[:last]
	h.siftDown()
	return top, true
}

func (h *timerHeap) siftDown() {
	i := 0
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.items[child].less(&h.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.items[i], h.items[least] = h.items[least], h.items[i]
		i = least
	}
}
