package admission

import (
	"fmt"
	"testing"
	"time"
)

func TestBucketEnforcesRate(t *testing.T) {
	var b Bucket
	const rate = 10.0
	taken := 0
	for now := time.Duration(0); now < 100*time.Second; now += 10 * time.Millisecond {
		if b.Take(now, rate) {
			taken++
		}
	}
	if most := int(rate*(100+maxAccrual.Seconds())) + 1; taken > most || taken < 1000 {
		t.Errorf("%d requests accepted in 100 s at 10 per second", taken)
	}
}

func TestBucketCreditsAtMostOneBurstAfterPause(t *testing.T) {
	var b Bucket
	const rate = 10.0
	for b.Take(0, rate) {
	}
	taken := 0
	for b.Take(time.Hour, rate) {
		taken++
	}
	if taken != int(rate*maxAccrual.Seconds()) {
		t.Errorf("%d requests accepted at once after a pause of one hour", taken)
	}
}

func TestPerHostRateDividesRateByHosts(t *testing.T) {
	if PerHostRate(90, 9) != 10 || PerHostRate(90, 0) != 90 {
		t.Errorf("shares are %v and %v, want 10 and 90", PerHostRate(90, 9), PerHostRate(90, 0))
	}
	var b Bucket
	for range 1000 {
		if !b.Take(0, 0) {
			t.Fatal("a caller without a rate limit was refused")
		}
	}
}

func push(q *Queue[int], caller string, cost int) {
	q.Push(Waiter[int]{Caller: caller, Cost: cost, LatestStart: time.Hour})
}

// TestFloodFromOneCallerDoesNotStarveOthers checks that a caller with 5000 queued requests
// gets one request per round, as do 999 callers with one request each.
func TestFloodFromOneCallerDoesNotStarveOthers(t *testing.T) {
	q := NewQueue[int]()
	for range 5000 {
		push(q, "flood", 4)
	}
	const others = 999
	for i := range others {
		push(q, fmt.Sprintf("caller-%d", i), 4)
	}
	served := map[string]int{}
	for range others + 1 {
		w, _ := q.Pop()
		served[w.Caller]++
	}
	if len(served) != others+1 || served["flood"] != 1 {
		t.Errorf("%d callers served in one round, the flooding caller %d times", len(served), served["flood"])
	}
}

func TestExpensiveRequestsAreServedLessOften(t *testing.T) {
	q := NewQueue[int]()
	for range 100 {
		push(q, "expensive", 8)
		push(q, "cheap", 1)
	}
	cost := map[string]int{}
	for range 90 {
		w, _ := q.Pop()
		cost[w.Caller] += w.Cost
	}
	if d := cost["expensive"] - cost["cheap"]; d < -8 || d > 16 {
		t.Errorf("cost served: expensive %d, cheap %d", cost["expensive"], cost["cheap"])
	}
}

func TestEvictRemovesNewestOfLongestFlow(t *testing.T) {
	q := NewQueue[int]()
	for i := range 3 {
		q.Push(Waiter[int]{Caller: "long", Cost: 1, Value: i})
	}
	push(q, "short", 1)
	w, ok := q.Evict()
	if !ok || w.Caller != "long" || w.Value != 2 || q.Len() != 3 {
		t.Errorf("evicted %+v, %d left", w, q.Len())
	}
}

func TestRemovePreservesOrder(t *testing.T) {
	q := NewQueue[int]()
	for i := range 6 {
		q.Push(Waiter[int]{Caller: "a", Cost: 1, Value: i})
	}
	removed := q.Remove(func(w *Waiter[int]) bool { return w.Value%2 == 0 })
	if len(removed) != 3 || q.CallerLen("a") != 3 {
		t.Fatalf("%d removed, %d left, want 3 and 3", len(removed), q.CallerLen("a"))
	}
	for _, want := range []int{1, 3, 5} {
		if w, _ := q.Pop(); w.Value != want {
			t.Errorf("popped %d, want %d", w.Value, want)
		}
	}
	if _, ok := q.Pop(); ok || q.Len() != 0 {
		t.Error("the queue is not empty")
	}
}
