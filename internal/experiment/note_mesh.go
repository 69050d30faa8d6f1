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
		Summary: "time until a note is applied on nine hosts of which eight cannot reach the platform; baseline: all reach it",
		Run:     runNoteMesh,
	})
}

const (
	noteMeshHosts = 9
	noteMeshNotes = 5
	// maxNoteMeshSeconds bounds the time until the slowest note is applied on all hosts.
	maxNoteMeshSeconds = 3
	// noteMeshSettleTime lets watches in progress end after hosts are disconnected.
	noteMeshSettleTime = 1500 * time.Millisecond
)

// runNoteMesh measures with all hosts connected to the platform, then with only one
// connected: hosts 0, 2, 4 and so on, one for each note.
func runNoteMesh(uint64) (*Outcome, error) {
	bed, err := testbed.Start(testbed.Layout{Seed: 1, Zones: testbed.ThreeZones(), Hosts: noteMeshHosts}, testbed.Options{})
	if err != nil {
		return nil, err
	}
	defer bed.Stop()
	connected, err := measurePropagation(bed, func(int) error { return nil })
	if err != nil {
		return nil, err
	}
	disconnected, err := measurePropagation(bed, func(i int) error { return disconnectAllBut(bed, 2*i) })
	if err != nil {
		return nil, err
	}
	return &Outcome{
		Baseline: Values{"slowest_seconds_all_connected": connected.slowestSeconds, "mean_seconds_all_connected": connected.meanSeconds},
		Result:   Values{"slowest_seconds": disconnected.slowestSeconds, "mean_seconds": disconnected.meanSeconds, "notes": noteMeshNotes, "hosts": noteMeshHosts},
		Bound:    Values{"slowest_seconds_max": maxNoteMeshSeconds},
		Holds:    disconnected.slowestSeconds <= maxNoteMeshSeconds,
	}, nil
}

// disconnectAllBut disconnects every host but one from the platform. It first reconnects
// all hosts and waits until each has made a successful call, because hosts back off while
// they cannot reach the platform.
func disconnectAllBut(bed *testbed.Testbed, connectedHost int) error {
	callsBefore := make([]uint64, noteMeshHosts)
	for host, n := range bed.Nodes {
		callsBefore[host] = successfulCalls(n)
		bed.SetPlatformCut(host, false)
	}
	err := testbed.Await("every host to reach the platform", func() bool {
		for host, n := range bed.Nodes {
			if successfulCalls(n) == callsBefore[host] {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	for host := range bed.Nodes {
		bed.SetPlatformCut(host, host != connectedHost)
	}
	time.Sleep(noteMeshSettleTime)
	return nil
}

func successfulCalls(n *node.Node) uint64 {
	s := n.Status()
	return s.PlatformCalls - min(s.PlatformCalls, s.PlatformFails)
}

// propagationTime is the time from publishing a note until all hosts have applied it.
type propagationTime struct{ slowestSeconds, meanSeconds float64 }

// measurePropagation publishes notes and measures how long each takes to be applied on all
// hosts. It calls prepare before each note.
func measurePropagation(bed *testbed.Testbed, prepare func(i int) error) (propagationTime, error) {
	var t propagationTime
	for i := range noteMeshNotes {
		if err := prepare(i); err != nil {
			return t, err
		}
		published := time.Now()
		if err := bed.AwaitNote(bed.PublishChange(zoneToggleItem(bed, i))); err != nil {
			return t, err
		}
		seconds := time.Since(published).Seconds()
		t.slowestSeconds = max(t.slowestSeconds, seconds)
		t.meanSeconds += seconds / noteMeshNotes
	}
	return t, nil
}

// zoneToggleItem returns a note item that evacuates the first zone if i is even, and
// restores it if i is odd.
func zoneToggleItem(bed *testbed.Testbed, i int) release.Item {
	zone := bed.Layout.Zones[0]
	zone.OutOfService = i%2 == 0
	return release.Item{Op: release.Change, Zone: &zone}
}
