package engine

import (
	"fmt"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
)

const (
	benchHits    = 10
	benchLatency = 5 * time.Millisecond
	// benchShards is the number of shards in the fleet, benchInProgress the number of
	// sub-requests in progress at every fan-out: a smaller fan-out has the same number of
	// sub-requests in more queries.
	benchShards       = 1900
	benchInProgress   = 10 * benchShards
	benchWarmUpRounds = 3
	// maxAllocsPerSubRequest is the maximum number of allocations for the send and the
	// reply of one sub-request.
	maxAllocsPerSubRequest = 1.0
)

// bench runs whole queries on an engine. Each shard has two replicas of its own, and all
// sub-requests are answered in the order of the sends.
type bench struct {
	engine   *Engine
	now      clock.Instant
	fx       Effects
	services int
	queries  int
	requests []query.Request
	submit   Submit
	sends    []Send
	reply    AttemptResult
	key      uint64
	answers  int
}

func newBench(fanOut int) *bench {
	b := &bench{services: benchShards / fanOut, queries: benchInProgress / fanOut}
	n := &release.Note{Number: 1, Baseline: true, Items: []release.Item{{Op: release.Add, Zone: &release.Zone{Name: "a", Region: "r"}}}}
	caller := &release.Caller{Name: "c", KeyHash: [32]byte{1}, Services: map[string]bool{}, Rate: 1e9}
	for i := range b.services {
		name := fmt.Sprintf("s%d", i)
		caller.Services[name] = true
		n.Items = append(n.Items, benchService(name, fanOut)...)
	}
	n.Items = append(n.Items, release.Item{Op: release.Add, Caller: caller})
	state, faults := release.Apply(nil, n)
	if len(faults) > 0 {
		panic(fmt.Sprint(faults))
	}
	b.engine = New(Config{Host: "h", Zone: "a", Seed: 1, MaxQueries: benchInProgress, Hedge: true})
	b.requests = make([]query.Request, b.queries)
	for i := range b.requests {
		b.requests[i] = query.Request{KeyHash: caller.KeyHash, Service: fmt.Sprintf("s%d", i%b.services), Limit: benchHits}
	}
	for i := range benchHits {
		b.reply.Hits = append(b.reply.Hits, query.Hit{Doc: fmt.Sprint(i), Score: float64(i)})
	}
	b.engine.Step(b.now, &Release{State: state}, &b.fx)
	for range benchWarmUpRounds {
		b.runRound()
	}
	return b
}

func benchService(name string, fanOut int) []release.Item {
	items := []release.Item{{Op: release.Add, Service: &release.Service{Name: name, Policy: release.Policy{Deadline: time.Second, MinCoverage: 1, HedgeBudget: 0.05}}}}
	snap := &release.Snapshot{Service: name, Version: 1, Layout: "a", Weight: float64(fanOut)}
	for i := range fanOut {
		shard := release.Shard{Weight: 1}
		for r := range 2 {
			t := fmt.Sprintf("%s-%d-%d", name, i, r)
			shard.Replicas = append(shard.Replicas, t)
			items = append(items, release.Item{Op: release.Add, Target: &release.Target{Name: t, Zone: "a", Service: name, Slots: 64, MaxConnections: 1000, MaxColdRequests: 64}})
		}
		snap.Shards = append(snap.Shards, shard)
	}
	return append(items, release.Item{Op: release.Add, Snapshot: snap})
}

// runRound submits all queries and then answers all their sub-requests.
func (b *bench) runRound() {
	b.sends = b.sends[:0]
	for i := range b.requests {
		b.key++
		b.requests[i].Key = b.key
		b.submit.Request = &b.requests[i]
		b.engine.Step(b.now, &b.submit, &b.fx)
		b.sends = append(b.sends, b.fx.Sends...)
		b.fx.Reset()
	}
	b.now = b.now.Add(benchLatency)
	b.reply.Outcome, b.reply.Incarnation, b.reply.Elapsed = Answered, 1, benchLatency
	for i := 0; i < len(b.sends); i++ {
		b.answer(&b.sends[i])
	}
}

// answer answers one sub-request and collects the sends that this makes possible.
func (b *bench) answer(s *Send) {
	b.reply.Attempt, b.reply.Target, b.reply.Snapshot = s.Attempt, s.Target, s.Snapshot.Key()
	b.engine.Step(b.now, &b.reply, &b.fx)
	b.answers += len(b.fx.Answers)
	b.sends = append(b.sends, b.fx.Sends...)
	b.fx.Reset()
}

func BenchmarkSubRequest(b *testing.B) {
	for _, fanOut := range []int{50, 200, 1900} {
		b.Run(fmt.Sprintf("fan-out=%d", fanOut), func(b *testing.B) {
			w := newBench(fanOut)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				w.runRound()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*fanOut*w.queries), "ns/sub-request")
		})
	}
}

func TestSubRequestAllocatesAtMostOnce(t *testing.T) {
	for _, fanOut := range []int{50, 200, 1900} {
		w := newBench(fanOut)
		const runs = 2
		answered := w.answers
		perRound := testing.AllocsPerRun(runs, w.runRound)
		if got, want := w.answers-answered, (runs+1)*w.queries; got != want {
			t.Fatalf("fan-out %d: %d of %d queries were answered", fanOut, got, want)
		}
		if got := perRound / float64(fanOut*w.queries); got > maxAllocsPerSubRequest {
			t.Errorf("fan-out %d: %.2f allocations per sub-request, want at most %.0f", fanOut, got, maxAllocsPerSubRequest)
		}
	}
}
