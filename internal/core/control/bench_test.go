package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/callschedule"
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/release"
)

// Fleet size for which the system is designed.
const (
	fleetHosts        = 3900
	fleetTargets      = 22_000
	fleetZones        = 13
	shardsPerSnapshot = 1900
)

// fleetNote returns a baseline for a fleet of that size. Each service has one snapshot of
// 1,900 shards with two replicas each; there are as many services as the targets fill.
func fleetNote() *release.Note {
	n := &release.Note{Number: 1, Baseline: true}
	add := func(item release.Item) {
		item.Op = release.Add
		n.Items = append(n.Items, item)
	}
	for i := range fleetZones {
		add(release.Item{Zone: &release.Zone{Name: fmt.Sprintf("zone-%d", i), Region: fmt.Sprintf("region-%d", i%5)}})
	}
	for i := range fleetHosts {
		add(release.Item{Host: &release.Host{Name: fmt.Sprintf("host-%04d", i), Zone: fmt.Sprintf("zone-%d", i%fleetZones), MeshAddress: "10.0.0.1:7313"}})
	}
	const targetsPerService = 2 * shardsPerSnapshot
	for service := range fleetTargets / targetsPerService {
		name := fmt.Sprintf("service-%d", service)
		add(release.Item{Service: &release.Service{Name: name, Policy: release.Policy{Deadline: time.Second}}})
		snap := &release.Snapshot{Service: name, Version: 1, Layout: "a", Weight: shardsPerSnapshot}
		for targetIndex := range targetsPerService {
			target := fmt.Sprintf("leaf-%d-%04d", service, targetIndex)
			add(release.Item{Target: &release.Target{
				Name: target, Address: "10.0.0.2:8080", Zone: fmt.Sprintf("zone-%d", targetIndex%fleetZones),
				Service: name, Slots: 4, MaxConnections: 45, MaxColdRequests: 1,
			}})
			if targetIndex%2 == 0 {
				other := fmt.Sprintf("leaf-%d-%04d", service, targetIndex+1)
				snap.Shards = append(snap.Shards, release.Shard{Weight: 1, Replicas: []string{target, other}})
			}
		}
		add(release.Item{Snapshot: snap})
	}
	return n
}

// BenchmarkApplyNoteLargeFleet measures applying a note with one change to the state of a
// large fleet, and the memory of that state.
func BenchmarkApplyNoteLargeFleet(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	core := New(callschedule.Config{Host: "host-0000", Zone: "zone-0", Wait: time.Second})
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
		zone := &release.Zone{Name: "zone-0", Region: "region-0", OutOfService: i%2 == 0}
		n := &release.Note{Number: number, Follows: number - 1, Items: []release.Item{{Op: release.Change, Zone: zone}}}
		core.Step(now, &NoteRead{Number: number, Note: n}, &fx)
		if core.Number() != number {
			b.Fatal(fx.Rejected)
		}
		fx.Reset()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-of-state")
}
