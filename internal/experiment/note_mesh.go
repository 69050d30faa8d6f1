package experiment

import (
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/node"
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
	noteMeshNotes = 5
	// maxNoteMeshSeconds bounds the slowest note.
	maxNoteMeshSeconds = 3
	// noteMeshSettle lets the watches in progress end after a cut.
	noteMeshSettle = 1500 * time.Millisecond
)

// runNoteMesh lets every other host in turn be the only one that reaches the platform.
func runNoteMesh(uint64) (*Outcome, error) {
	bed, err := testbed.Start(testbed.Layout{Seed: 1, Zones: testbed.ThreeZones(), Hosts: noteMeshHosts}, testbed.Options{})
	if err != nil {
		return nil, err
	}
	defer bed.Stop()
	connected, err := noteTimes(bed, func(int) error { return nil })
	if err != nil {
		return nil, err
	}
	cut, err := noteTimes(bed, func(i int) error { return cutAllBut(bed, 2*i) })
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

// cutAllBut cuts every host but one from the platform, once each has reached it again
// after the last cut: hosts back off while they cannot.
func cutAllBut(bed *testbed.Testbed, connected int) error {
	reached := make([]uint64, noteMeshHosts)
	for host, n := range bed.Nodes {
		reached[host] = successfulCalls(n)
		bed.CutPlatform(host, false)
	}
	err := testbed.Await("every host to reach the platform", func() bool {
		for host, n := range bed.Nodes {
			if successfulCalls(n) == reached[host] {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	for host := range bed.Nodes {
		bed.CutPlatform(host, host != connected)
	}
	time.Sleep(noteMeshSettle)
	return nil
}

func successfulCalls(n *node.Node) uint64 {
	s := n.Status()
	return s.PlatformCalls - min(s.PlatformCalls, s.PlatformFails)
}

type noteTiming struct{ slowest, mean float64 }

// noteTimes publishes notes and measures each until it is in force on all hosts.
func noteTimes(bed *testbed.Testbed, before func(i int) error) (noteTiming, error) {
	var t noteTiming
	for i := range noteMeshNotes {
		if err := before(i); err != nil {
			return t, err
		}
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
