package experiment

import (
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/testbed"
)

func init() {
	register(Experiment{
		Name:    "note-mesh",
		Summary: "time until a note is in force on nine hosts of which eight cannot reach the platform; baseline: all reach it",
		Run:     runNoteMesh,
	})
}

const (
	noteMeshHosts = 9
	noteMeshNotes = 9
	// maxNoteMeshSeconds bounds the slowest note.
	maxNoteMeshSeconds = 3
	// noteMeshSettle lets the watches in progress end after a cut.
	noteMeshSettle = 2500 * time.Millisecond
)

// runNoteMesh lets each host in turn be the only one that reaches the platform.
func runNoteMesh(uint64) (*Outcome, error) {
	bed, err := testbed.Start(testbed.Layout{Seed: 1, Zones: testbed.ThreeZones(), Hosts: noteMeshHosts}, testbed.Options{})
	if err != nil {
		return nil, err
	}
	defer bed.Stop()
	connected, err := noteTimes(bed, func(int) {})
	if err != nil {
		return nil, err
	}
	cut, err := noteTimes(bed, func(i int) {
		for host := range noteMeshHosts {
			bed.CutPlatform(host, host != i%noteMeshHosts)
		}
		time.Sleep(noteMeshSettle)
	})
	if err != nil {
		return nil, err
	}
	return &Outcome{
		Baseline: Values{"slowest_seconds_all_connected": connected.slowest, "mean_seconds_all_connected": connected.mean},
		Result:   Values{"slowest_seconds": cut.slowest, "mean_seconds": cut.mean, "notes": noteMeshNotes, "hosts": noteMeshHosts},
		Bound:    Values{"slowest_seconds_max": maxNoteMeshSeconds},
		Holds:    cut.slowest <= maxNoteMeshSeconds,
	}, nil
}

type noteTiming struct{ slowest, mean float64 }

// noteTimes publishes notes and measures each until it is in force on all hosts.
func noteTimes(bed *testbed.Testbed, before func(i int)) (noteTiming, error) {
	var t noteTiming
	for i := range noteMeshNotes {
		before(i)
		began := time.Now()
		if err := bed.AwaitNote(bed.Change(toggledZone(bed, i))); err != nil {
			return t, err
		}
		seconds := time.Since(began).Seconds()
		t.slowest = max(t.slowest, seconds)
		t.mean += seconds / noteMeshNotes
	}
	return t, nil
}

// toggledZone takes the first zone out and back by turns.
func toggledZone(bed *testbed.Testbed, i int) release.Item {
	zone := bed.Layout.Zones[0]
	zone.Out = i%2 == 0
	return release.Item{Op: release.Change, Zone: &zone}
}
