package testbed

import (
	"testing"

	"pollentack.example/pollentack/internal/core/release"
)

func startNineHosts(t *testing.T) *Testbed {
	t.Helper()
	bed, err := Start(Layout{Seed: 1, Zones: ThreeZones(), Hosts: 9}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Stop)
	err = Await("a full mesh", func() bool {
		for _, n := range bed.Nodes {
			if len(n.Status().Peers) != 8 {
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	return bed
}

func zoneOut(bed *Testbed, out bool) release.Item {
	zone := bed.Layout.Zones[0]
	zone.OutOfService = out
	return release.Item{Op: release.Change, Zone: &zone}
}

// TestNoteReachesHostsCutFromThePlatform checks that a note becomes active on all nine
// hosts although eight of them cannot reach the platform.
func TestNoteReachesHostsCutFromThePlatform(t *testing.T) {
	bed := startNineHosts(t)
	for i := 1; i < 9; i++ {
		bed.SetPlatformCut(i, true)
	}
	for _, out := range []bool{true, false, true} {
		if err := bed.AwaitNote(bed.PublishChange(zoneOut(bed, out))); err != nil {
			t.Fatal(err)
		}
	}
}

// TestPartitionHeals checks that a part of the fleet that reaches neither the platform nor
// the other hosts does not get a new note, and gets it once the partition ends.
func TestPartitionHeals(t *testing.T) {
	bed := startNineHosts(t)
	bed.SetPartitioned(4, true)
	for i := range 4 {
		bed.SetPlatformCut(i, true)
	}
	number := bed.PublishChange(zoneOut(bed, true))
	err := Await("the note on the connected half", func() bool { return bed.Nodes[8].Status().Note == number })
	if err != nil {
		t.Fatal(err)
	}
	for i := range 4 {
		if got := bed.Nodes[i].Status().Note; got >= number {
			t.Errorf("host %d got note %d across the cut", i, got)
		}
	}
	bed.SetPartitioned(4, false)
	if err := bed.AwaitNote(number); err != nil {
		t.Fatal(err)
	}
}

// TestStartWithoutThePlatform checks that a host that cannot reach the platform when it
// starts gets the active state from its peers.
func TestStartWithoutThePlatform(t *testing.T) {
	bed := startNineHosts(t)
	number := bed.PublishChange(zoneOut(bed, true))
	if err := bed.AwaitNote(number); err != nil {
		t.Fatal(err)
	}
	bed.Nodes[8].Stop()
	bed.SetPlatformCut(8, true)
	n, err := bed.StartNode(8)
	if err != nil {
		t.Fatal(err)
	}
	bed.Nodes[8] = n
	if err := bed.AwaitNote(number); err != nil {
		t.Fatal(err)
	}
}

// TestIsolatedHostReportsIsolation checks that a host that reaches neither the platform nor
// a peer reports that it is isolated, until it reaches a peer again.
func TestIsolatedHostReportsIsolation(t *testing.T) {
	bed := startNineHosts(t)
	bed.SetPlatformCut(4, true)
	bed.SetHostCut(4, true)
	isolated := func(want bool) func() bool {
		return func() bool { return bed.Nodes[4].Status().Isolated == want }
	}
	if err := Await("isolation", isolated(true)); err != nil {
		t.Fatal(err)
	}
	bed.SetHostCut(4, false)
	if err := Await("the end of isolation", isolated(false)); err != nil {
		t.Fatal(err)
	}
}
