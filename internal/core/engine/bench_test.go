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
	benchHits = 10
	// benchQueries is the number of queries in progress at a time.
	benchQueries = 16
	benchWarmUp  = 10
	benchLatency = 5 * time.Millisecond
	// maxAllocations bounds the allocations of a sub-request: its send and its reply.
	maxAllocations = 1.0
)

// bench plays whole queries on an engine: each shard has two replicas of its own, and
// all answer at once.
type bench struct {
	engine  *Engine
	now     clock.Instant
	fx      Effects
	request query.Request
	submit  Submit
	sends   []Send
	reply   Reply
	answers int
}

func newBench(fanOut int) *bench {
	n := &release.Note{Number: 1, Baseline: true, Items: []release.Item{
		{Op: release.Add, Zone: &release.Zone{Name: "a", Region: "r"}},
		{Op: release.Add, Service: &release.Service{Name: "s", Policy: release.Policy{Deadline: time.Second, MinCoverage: 1, HedgeBudget: 0.05}}},
		{Op: release.Add, Caller: &release.Caller{Name: "c", KeyHash: [32]byte{1}, Services: map[string]bool{"s": true}, Rate: 1e9}},
	}}
	snap := &release.Snapshot{Service: "s", Version: 1, Layout: "a", Weight: float64(fanOut)}
	for i := range fanOut {
		shard := release.Shard{Weight: 1}
		for r := range 2 {
			name := fmt.Sprintf("t%d-%d", i, r)
			shard.Replicas = append(shard.Replicas, name)
			n.Items = append(n.Items, release.Item{Op: release.Add, Target: &release.Target{Name: name, Zone: "a", Service: "s", Slots: 64, Connections: 1000, ColdBudget: 64}})
		}
		snap.Shards = append(snap.Shards, shard)
	}
	n.Items = append(n.Items, release.Item{Op: release.Add, Snapshot: snap})
	state, faults := release.Fold(nil, n)
	if len(faults) > 0 {
		panic(fmt.Sprint(faults))
	}
	b := &bench{engine: New(Config{Host: "h", Zone: "a", Seed: 1, MaxQueries: 100, Hedge: true})}
	b.request = query.Request{KeyHash: [32]byte{1}, Service: "s", Limit: benchHits}
	b.submit.Request = &b.request
	for i := range benchHits {
		b.reply.Hits = append(b.reply.Hits, query.Hit{Doc: fmt.Sprint(i), Score: float64(i)})
	}
	b.engine.Step(b.now, &Release{State: state}, &b.fx)
	return b
}

// round sends benchQueries queries and answers their sub-requests, all queries by turns.
func (b *bench) round() {
	b.sends = b.sends[:0]
	for range benchQueries {
		b.request.Key++
		b.engine.Step(b.now, &b.submit, &b.fx)
		b.sends = append(b.sends, b.fx.Sends...)
		b.fx.Reset()
	}
	b.now = b.now.Add(benchLatency)
	b.reply.Outcome, b.reply.Incarnation, b.reply.Elapsed = Answered, 1, benchLatency
	fanOut := len(b.sends) / benchQueries
	for shard := range fanOut {
		for q := range benchQueries {
			b.end(&b.sends[q*fanOut+shard])
		}
	}
}

func (b *bench) end(s *Send) {
	b.reply.Attempt, b.reply.Target, b.reply.Snapshot = s.Attempt, s.Target, s.Snapshot.Key()
	b.engine.Step(b.now, &b.reply, &b.fx)
	b.answers += len(b.fx.Answers)
	b.fx.Reset()
}

func BenchmarkSubRequest(b *testing.B) {
	for _, fanOut := range []int{50, 200, 1900} {
		b.Run(fmt.Sprintf("fan-out=%d", fanOut), func(b *testing.B) {
			w := newBench(fanOut)
			for range benchWarmUp {
				w.round()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				w.round()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*fanOut*benchQueries), "ns/sub-request")
		})
	}
}

func TestSubRequestAllocatesAtMostOnce(t *testing.T) {
	for _, fanOut := range []int{50, 200, 1900} {
		w := newBench(fanOut)
		for range benchWarmUp {
			w.round()
		}
		const runs = 5
		answered := w.answers
		perRound := testing.AllocsPerRun(runs, w.round)
		if got := w.answers - answered; got != (runs+1)*benchQueries {
			t.Fatalf("fan-out %d: %d of %d queries were answered", fanOut, got, (runs+1)*benchQueries)
		}
		if got := perRound / float64(fanOut*benchQueries); got > maxAllocations {
			t.Errorf("fan-out %d: %.2f allocations per sub-request, allowed are %.0f", fanOut, got, maxAllocations)
		}
	}
}
