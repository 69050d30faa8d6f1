package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/engine"
)

// BenchmarkPersistentPeersLargeFleet measures peer selection in a fleet of 3,900 hosts in
// 13 zones.
func BenchmarkPersistentPeersLargeFleet(b *testing.B) {
	hosts := publishedHosts(3900, 13)
	b.ResetTimer()
	for range b.N {
		PersistentPeers(hosts, "host-0007")
	}
}

// BenchmarkHeartbeatRound measures sending one heartbeat to each of eight peers and
// handling one from each, without encoding.
func BenchmarkHeartbeatRound(b *testing.B) {
	sim := newSimulation(27, 3)
	sim.run(time.Second)
	core := sim.cores[sim.names[0]]
	now := sim.now
	var fx Effects
	b.ResetTimer()
	for range b.N {
		now = now.Add(heartbeatInterval)
		for name, p := range core.peers {
			h := &Heartbeat{Sequence: p.lastSequence + 1, EchoedSequence: core.sequence, NoteNumber: 1, Hash: core.facts.hash}
			core.Step(now, &HeartbeatReceived{Peer: name, Incarnation: p.incarnation, Heartbeat: h}, &fx)
			fx.Reset()
		}
		core.Advance(now, &fx)
		fx.Reset()
	}
}

// BenchmarkMergeFactLargeFleet measures merging one fact into a store with facts about 22,000
// targets, and the memory of the store.
func BenchmarkMergeFactLargeFleet(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := New(Config{Host: "host-0000"}, clock.Instant{})
	names := make([]string, 22_000)
	for i := range names {
		names[i] = fmt.Sprintf("leaf-%05d", i)
		m.facts.mergeTarget(engine.TargetFact{Target: names[i], Incarnation: 1, WarmUpLevel: 1})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for i := range b.N {
		m.facts.mergeTarget(engine.TargetFact{Target: names[i%len(names)], Incarnation: uint64(2 + i/len(names))})
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-of-facts")
}
