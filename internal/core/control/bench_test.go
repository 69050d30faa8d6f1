package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/watch"
)

// Sizes of the stated target.
const (
	targetHosts  = 3900
	targetLeafs  = 22_000
	targetZones  = 13
	targetShards = 1900
)

// fleetNote is a baseline of the stated target's size: each service has 1,900 shards of
// two replicas, as many services as the leafs fill.
func fleetNote() *release.Note {
	n := &release.Note{Number: 1, Baseline: true}
	add := func(item release.Item) {
		item.Op = release.Add
		n.Items = append(n.Items, item)
	}
	for i := range targetZones {
		add(release.Item{Zone: &release.Zone{Name: fmt.Sprintf("zone-%d", i), Region: fmt.Sprintf("region-%d", i%5)}})
	}
	for i := range targetHosts {
		add(release.Item{Host: &release.Host{Name: fmt.Sprintf("host-%04d", i), Zone: fmt.Sprintf("zone-%d", i%targetZones), Mesh: "10.0.0.1:7313"}})
	}
	const leafsPerService = 2 * targetShards
	for service := range targetLeafs / leafsPerService {
		name := fmt.Sprintf("service-%d", service)
		add(release.Item{Service: &release.Service{Name: name, Policy: release.Policy{Deadline: time.Second}}})
		snap := &release.Snapshot{Service: name, Version: 1, Layout: "a", Weight: targetShards}
		for leaf := range leafsPerService {
			target := fmt.Sprintf("leaf-%d-%04d", service, leaf)
			add(release.Item{Target: &release.Target{
				Name: target, Address: "10.0.0.2:8080", Zone: fmt.Sprintf("zone-%d", leaf%targetZones),
				Service: name, Slots: 4, Connections: 45, ColdBudget: 1,
			}})
			if leaf%2 == 0 {
				other := fmt.Sprintf("leaf-%d-%04d", service, leaf+1)
				snap.Shards = append(snap.Shards, release.Shard{Weight: 1, Replicas: []string{target, other}})
			}
		}
		add(release.Item{Snapshot: snap})
	}
	return n
}

// BenchmarkFoldAtTarget measures one note of one change on a state of the stated
// target's size, and the memory of such a state.
func BenchmarkFoldAtTarget(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	core := New(watch.Config{Host: "host-0000", Zone: "zone-0", Wait: time.Second})
	var fx Effects
	now := clock.Instant{Mono: time.Second, Wall: time.Hour}
	core.Step(now, &NoteRead{Number: 1, Note: fleetNote()}, &fx)
	if core.Number() != 1 {
		b.Fatal(fx.Rejected)
	}
	fx.Reset()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for i := range b.N {
		number := uint64(i) + 2
		zone := &release.Zone{Name: "zone-0", Region: "region-0", Out: i%2 == 0}
		n := &release.Note{Number: number, Follows: number - 1, Items: []release.Item{{Op: release.Change, Zone: zone}}}
		core.Step(now, &NoteRead{Number: number, Note: n}, &fx)
		if core.Number() != number {
			b.Fatal(fx.Rejected)
		}
		fx.Reset()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-of-state")
}
