package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/engine"
)

// BenchmarkPeersOfTarget measures the choice of peers in a fleet of the stated target.
func BenchmarkPeersOfTarget(b *testing.B) {
	hosts := publishedHosts(3900, 13)
	b.ResetTimer()
	for range b.N {
		PeersOf(hosts, "host-0007")
	}
}

// BenchmarkRound measures one heartbeat to and one from each of eight peers, without
// the encoding.
func BenchmarkRound(b *testing.B) {
	bench := newBench(27, 3)
	bench.run(time.Second)
	core := bench.cores[bench.names[0]]
	now := bench.now
	var fx Effects
	b.ResetTimer()
	for range b.N {
		now = now.Add(beatInterval)
		for name, p := range core.peers {
			h := &Heartbeat{Sequence: p.heard + 1, Echo: core.sequence, Note: 1, Hash: core.facts.hash}
			core.Step(now, &Heard{Peer: name, Incarnation: p.incarnation, Heartbeat: h}, &fx)
			fx.Reset()
		}
		core.Advance(now, &fx)
		fx.Reset()
	}
}

// BenchmarkFactsAtTarget measures the merge of one fact among those of 22,000 targets,
// and their memory.
func BenchmarkFactsAtTarget(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := New(Config{Host: "host-0000"}, clock.Instant{})
	names := make([]string, 22_000)
	for i := range names {
		names[i] = fmt.Sprintf("leaf-%05d", i)
		m.facts.mergeTarget(engine.TargetFact{Target: names[i], Incarnation: 1, Level: 1})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for i := range b.N {
		m.facts.mergeTarget(engine.TargetFact{Target: names[i%len(names)], Incarnation: uint64(2 + i/len(names))})
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-of-facts")
}
