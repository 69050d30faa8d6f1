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
	tailFanOut          = 100
	tailQueries         = 3000
	tailArrivalInterval = 100 * time.Millisecond
	tailMinLatency      = 10 * time.Millisecond
	tailMeanExtra       = 10 * time.Millisecond
	tailSlowFactor      = 20
	// maxTailRatio is the maximum ratio of the P99 with stragglers to that without them.
	// maxExtraShare is the maximum share of extra attempts.
	maxTailRatio  = 1.5
	maxExtraShare = 0.05
)

// pendingReply is a reply in transit.
type pendingReply struct {
	at    time.Duration
	reply *AttemptResult
}

type replyQueue []pendingReply

func (h replyQueue) Len() int           { return len(h) }
func (h replyQueue) Less(i, j int) bool { return h[i].at < h[j].at }
func (h replyQueue) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *replyQueue) Push(x any)        { *h = append(*h, x.(pendingReply)) }
func (h *replyQueue) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// runTail simulates queries on a virtual clock and returns the P99 latency and the share
// of extra attempts.
func runTail(slowShare float64, hedge bool) (p99 time.Duration, extra float64) {
	w := newWorld(release.Policy{Deadline: 2 * time.Second, MinCoverage: 1, HedgeBudget: maxExtraShare}, 2*tailFanOut)
	w.engine.cfg.Hedge = hedge
	groups := make([][]int, tailFanOut)
	for i := range groups {
		groups[i] = []int{2 * i, 2*i + 1}
	}
	w.change(release.Add, snapshot(1, "a", groups...))
	rng := rand.New(rand.NewPCG(1, 1))
	var latencies []time.Duration
	w.check = func(a Answer) { latencies = append(latencies, a.Elapsed) }
	var pending replyQueue
	seen := 0
	dispatch := func() {
		for ; seen < len(w.order); seen++ {
			id := w.order[seen]
			work := tailMinLatency + time.Duration(rng.ExpFloat64()*float64(tailMeanExtra))
			if rng.Float64() < slowShare {
				work *= tailSlowFactor
			}
			heap.Push(&pending, pendingReply{at: w.now.Mono + work, reply: w.answerAfter(id, work)})
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
			next += time.Duration(rng.ExpFloat64() * float64(tailArrivalInterval))
		} else {
			w.step(heap.Pop(&pending).(pendingReply).reply)
		}
		dispatch()
	}
	slices.Sort(latencies)
	c := w.engine.counters
	return latencies[len(latencies)*99/100], float64(c.Hedges+c.Retries) / float64(c.FirstAttempts)
}

func (w *world) answerAfter(id query.AttemptID, elapsed time.Duration) *AttemptResult {
	r := w.reply(id, Answered)
	r.Elapsed = elapsed
	return r
}

func TestHedgingBoundsTailLatencyWithinBudget(t *testing.T) {
	clean, _ := runTail(0, true)
	unhedged, _ := runTail(0.01, false)
	hedged, extra := runTail(0.01, true)
	t.Logf("P99 without stragglers %v, with stragglers %v, with stragglers and hedging %v; extra load %.4f", clean, unhedged, hedged, extra)
	if float64(hedged) > maxTailRatio*float64(clean) {
		t.Errorf("P99 with hedging is %v, want at most %.1f times %v", hedged, maxTailRatio, clean)
	}
	if extra > maxExtraShare {
		t.Errorf("extra load is %.4f, want at most %.2f", extra, maxExtraShare)
	}
	if unhedged <= hedged {
		t.Errorf("P99 is %v without hedging, want more than %v with hedging", unhedged, hedged)
	}
}
