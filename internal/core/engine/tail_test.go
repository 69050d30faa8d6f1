package engine

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
)

const (
	tailFanOut  = 100
	tailQueries = 3000
	tailPause   = 100 * time.Millisecond
	tailLeast   = 10 * time.Millisecond
	tailSpread  = 10 * time.Millisecond
	tailSlow    = 20
	// maxTailRatio and maxExtraShare are the bounds of the issue.
	maxTailRatio  = 1.5
	maxExtraShare = 0.05
)

// due is a reply on its way.
type due struct {
	at    time.Duration
	reply *Reply
}

type dueHeap []due

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h dueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)        { *h = append(*h, x.(due)) }
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// tailRun plays queries in virtual time and returns the p99 and the extra load.
func tailRun(slowShare float64, hedge bool) (p99 time.Duration, extra float64) {
	w := newWorld(release.Policy{Deadline: 2 * time.Second, MinCoverage: 1, HedgeBudget: maxExtraShare}, 2*tailFanOut)
	w.engine.cfg.Hedge = hedge
	groups := make([][]int, tailFanOut)
	for i := range groups {
		groups[i] = []int{2 * i, 2*i + 1}
	}
	w.change(release.Add, snapshot(1, "a", groups...))
	rng := rand.New(rand.NewPCG(1, 1))
	var took []time.Duration
	w.check = func(a Answer) { took = append(took, a.Elapsed) }
	var pending dueHeap
	seen := 0
	dispatch := func() {
		for ; seen < len(w.order); seen++ {
			id := w.order[seen]
			work := tailLeast + time.Duration(rng.ExpFloat64()*float64(tailSpread))
			if rng.Float64() < slowShare {
				work *= tailSlow
			}
			heap.Push(&pending, due{at: w.now.Mono + work, reply: w.timed(id, work)})
		}
	}
	next := time.Duration(0)
	for key := uint64(1); key <= tailQueries || len(pending) > 0; {
		at, submit := next, key <= tailQueries
		if !submit || len(pending) > 0 && pending[0].at < at {
			at, submit = pending[0].at, false
		}
		if wake, ok := w.engine.NextWake(); ok && wake < at {
			w.advance(wake - w.now.Mono)
			dispatch()
			continue
		}
		w.advance(at - w.now.Mono)
		if submit {
			w.submit(key)
			key++
			next += time.Duration(rng.ExpFloat64() * float64(tailPause))
		} else {
			w.step(heap.Pop(&pending).(due).reply)
		}
		dispatch()
	}
	slices.Sort(took)
	c := w.engine.counters
	return took[len(took)*99/100], float64(c.Hedges+c.Retries) / float64(c.FirstAttempts)
}

func (w *world) timed(id query.AttemptID, elapsed time.Duration) *Reply {
	r := w.reply(id, Answered)
	r.Elapsed = elapsed
	return r
}

func TestHedgesHoldTheTailWithinTheBudget(t *testing.T) {
	clean, _ := tailRun(0, true)
	unhedged, _ := tailRun(0.01, false)
	hedged, extra := tailRun(0.01, true)
	t.Logf("p99 without stragglers %v, with them %v, hedged %v, extra load %.4f", clean, unhedged, hedged, extra)
	if float64(hedged) > maxTailRatio*float64(clean) {
		t.Errorf("p99 is %v, allowed are %.1f times %v", hedged, maxTailRatio, clean)
	}
	if extra > maxExtraShare {
		t.Errorf("extra load is %.4f, allowed are %.2f", extra, maxExtraShare)
	}
	if unhedged <= hedged {
		t.Errorf("p99 is %v without hedges and %v with them", unhedged, hedged)
	}
}
