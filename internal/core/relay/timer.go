package relay

import (
	"container/heap"
	"time"
)

// timer is the time at which a request must next be polled.
type timer struct {
	due     time.Duration
	request *request
}

// timerHeap is a min-heap of timers by due time.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}

func (h *timerHeap) arm(due time.Duration, r *request) { heap.Push(h, timer{due: due, request: r}) }

func (h *timerHeap) popDue(now time.Duration) (*request, bool) {
	if len(*h) == 0 || (*h)[0].due > now {
		return nil, false
	}
	return heap.Pop(h).(timer).request, true
}
