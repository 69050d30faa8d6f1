package ring_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/ring"
)

// TestRingMatchesModel applies the same puts, takes and closes to a ring and to a slice as
// its model, and compares the results and counters.
func TestRingMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		r := ring.New[int]("model", capacity)
		var model []int
		var drops uint64
		peak, closed := 0, false
		for i := range rapid.IntRange(0, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 20).Draw(t, "step") {
			case 0:
				r.Close()
				closed = true
			case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10:
				reserve := rapid.IntRange(0, capacity).Draw(t, "reserve")
				fits := !closed && len(model) < capacity-reserve
				if got := r.PutWithReserve(i, reserve); got != fits {
					t.Fatalf("put of %d with reserve %d: %t, the ring holds %d of %d, closed %t", i, reserve, got, len(model), capacity, closed)
				}
				if !fits {
					drops++
					break
				}
				model = append(model, i)
				peak = max(peak, len(model))
			default:
				batch := make([]int, rapid.IntRange(1, 4).Draw(t, "batch"))
				n, ok := r.Take(batch, 0)
				want := model[:min(len(batch), len(model))]
				if !slices.Equal(batch[:n], want) || ok != (n > 0 || !closed) {
					t.Fatalf("took %v, %t; want %v, closed %t", batch[:n], ok, want, closed)
				}
				model = model[n:]
			}
			want := ring.Stats{Name: "model", Depth: len(model), Peak: peak, Capacity: capacity, Drops: drops}
			if got := r.Stats(); got != want {
				t.Fatalf("counters are %+v, want %+v", got, want)
			}
		}
	})
}

// startDuty runs f as a duty and returns a function that waits for its end.
func startDuty(t testing.TB, f func()) (wait func()) {
	t.Helper()
	group, err := duty.NewGroup(1, func(name string, err error) { t.Errorf("%s: %v", name, err) })
	if err != nil {
		t.Fatal(err)
	}
	if err := group.Start(duty.Duty{Name: "test", Run: f, Stop: func() {}}); err != nil {
		t.Fatal(err)
	}
	return group.Stop
}

// TestTakeBlocks checks on a virtual clock that Take blocks until an element arrives, its
// timeout expires or the ring is closed.
func TestTakeBlocks(t *testing.T) {
	tests := map[string]struct {
		wait time.Duration
		wake func(*ring.Ring[int])
		// took is the time after which Take returns.
		took time.Duration
		n    int
		ok   bool
	}{
		"element":            {ring.Forever, func(r *ring.Ring[int]) { r.Put(1) }, time.Second, 1, true},
		"element in timeout": {time.Minute, func(r *ring.Ring[int]) { r.Put(1) }, time.Second, 1, true},
		"timeout":            {time.Millisecond, func(*ring.Ring[int]) {}, time.Millisecond, 0, true},
		"close":              {ring.Forever, func(r *ring.Ring[int]) { r.Close() }, time.Second, 0, false},
		"element then close": {ring.Forever, func(r *ring.Ring[int]) { r.Put(1); r.Close() }, time.Second, 1, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := ring.New[int]("test", 4)
				begin := time.Now()
				timer := time.AfterFunc(time.Second, func() { tt.wake(r) })
				defer timer.Stop()
				n, ok := r.Take(make([]int, 4), tt.wait)
				if took := time.Since(begin); n != tt.n || ok != tt.ok || took != tt.took {
					t.Errorf("took %d, %t after %s; want %d, %t after %s", n, ok, took, tt.n, tt.ok, tt.took)
				}
			})
		})
	}
}

// TestNoElementIsLost checks, with four producers and a consumer that blocks while the ring
// is empty, that every accepted element arrives, and the elements of each producer in order.
func TestNoElementIsLost(t *testing.T) {
	const producers, each = 4, 5000
	r := ring.New[[2]int]("test", 16)
	var accepted [producers]int
	waits := make([]func(), 0, producers)
	for p := range producers {
		waits = append(waits, startDuty(t, func() {
			for i := range each {
				if r.Put([2]int{p, i}) {
					accepted[p]++
				}
			}
		}))
	}
	var arrived [producers]int
	last := [producers]int{-1, -1, -1, -1}
	done := startDuty(t, func() {
		batch := make([][2]int, 8)
		for {
			n, ok := r.Take(batch, ring.Forever)
			if !ok {
				return
			}
			for _, v := range batch[:n] {
				if v[1] <= last[v[0]] {
					t.Errorf("element %d of producer %d after %d", v[1], v[0], last[v[0]])
				}
				last[v[0]] = v[1]
				arrived[v[0]]++
			}
		}
	})
	for _, wait := range waits {
		wait()
	}
	r.Close()
	done()
	if arrived != accepted {
		t.Errorf("accepted %v, arrived %v", accepted, arrived)
	}
}

const (
	benchCapacity = 4096
	benchBatch    = 256
)

// BenchmarkRing and BenchmarkChannel pass b.N elements from producers to one consumer.
func BenchmarkRing(b *testing.B) {
	r := ring.New[*int]("bench", benchCapacity)
	done := startDuty(b, func() {
		batch := make([]*int, benchBatch)
		for {
			if _, ok := r.Take(batch, ring.Forever); !ok {
				return
			}
		}
	})
	value := new(int)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			for !r.Put(value) {
				time.Sleep(time.Microsecond)
			}
		}
	})
	r.Close()
	done()
}

func BenchmarkChannel(b *testing.B) {
	ch := make(chan *int, benchCapacity)
	var drained sync.WaitGroup
	drained.Add(1)
	done := startDuty(b, func() {
		defer drained.Done()
		batch := make([]*int, 0, benchBatch)
		for v := range ch {
			batch = append(batch[:0], v)
			for len(batch) < benchBatch && len(ch) > 0 {
				batch = append(batch, <-ch)
			}
		}
	})
	value := new(int)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			for !putChannel(ch, value) {
				time.Sleep(time.Microsecond)
			}
		}
	})
	close(ch)
	drained.Wait()
	done()
}

func putChannel(ch chan<- *int, value *int) bool {
	select {
	case ch <- value:
		return true
	default:
		return false
	}
}
