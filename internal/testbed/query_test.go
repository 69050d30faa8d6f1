package testbed_test

import (
	"fmt"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/callerapi"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/targetapi"
	"pollentack.example/pollentack/internal/testbed"
)

const queryShards = 4

func startQueryTestbed(t *testing.T) *testbed.Testbed {
	t.Helper()
	bed, err := testbed.Start(testbed.Layout{
		Seed:  1,
		Zones: testbed.ThreeZones(),
		Hosts: 1,
		Services: []testbed.ServiceLayout{{
			Name: "portal", Shards: queryShards, Replicas: 2, MaxConnections: 100,
			Policy:   release.Policy{Deadline: 5 * time.Second, MinCoverage: 1, HedgeBudget: 0.05},
			Behavior: standin.Behavior{Latency: time.Millisecond, Slots: 8, ColdBudget: 4},
		}},
		Callers: 1, CallerRate: 1e6,
	}, testbed.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Stop)
	return bed
}

// sendQueries sends n queries one after the other and returns the answers. It fails the
// test unless every answer is complete.
func sendQueries(t *testing.T, bed *testbed.Testbed, n int) []*callerapi.QueryResponse {
	t.Helper()
	client, err := callerclient.New()
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	answers := make([]*callerapi.QueryResponse, n)
	for i := range answers {
		a, _, err := client.Query(bed.FrontAddresses()[0], testbed.CallerKey(0), "portal", &callerapi.QueryRequest{Query: "q", Limit: 5})
		if err != nil {
			t.Fatal(err)
		}
		if a.Code != result.OK || a.Coverage != 1 || len(a.Missing) != 0 {
			t.Fatalf("answer %d is %+v", i, a)
		}
		answers[i] = a
	}
	return answers
}

func counters(bed *testbed.Testbed) engine.Counters { return bed.Nodes[0].Status().Counters }

// faultyShare is the share of faulty replies of a faulty target.
const faultyShare = 0.05

// addedLatency is the additional latency of the targets without faults.
const addedLatency = 10 * time.Millisecond

// TestFaultyRepliesAreNotCounted checks that answers stay complete and correct while one
// replica truncates replies, one crosses them and one answers from another snapshot.
func TestFaultyRepliesAreNotCounted(t *testing.T) {
	bed := startQueryTestbed(t)
	sendQueries(t, bed, 100)
	faultsByTarget := map[string]standin.Faults{
		"portal-0-0": {TruncatedShare: faultyShare},
		"portal-1-0": {CrossedShare: faultyShare},
		"portal-2-0": {WrongSnapshotShare: faultyShare},
	}
	for name, target := range bed.Targets {
		faults, faulty := faultsByTarget[name]
		target.UpdateBehavior(func(b *standin.Behavior) {
			b.Faults = faults
			// Targets without faults are slower, so that the faulty ones are selected.
			if !faulty {
				b.Latency += addedLatency
			}
		})
	}
	allSeen := func() bool {
		c := counters(bed)
		return c.TruncatedReplies > 0 && c.CrossedReplies > 0 && c.WrongSnapshots > 0
	}
	// Faults are random, so queries continue until each kind has occurred.
	const maxRounds = 30
	for round := 0; round < maxRounds && !allSeen(); round++ {
		for _, a := range sendQueries(t, bed, 60) {
			if a.Version != 1 || len(a.Hits) != 5 {
				t.Fatalf("want 5 hits of version 1, got %+v", a)
			}
		}
	}
	if !allSeen() {
		t.Errorf("not every kind of fault occurred: %+v", counters(bed))
	}
}

// TestFalseHealthReportsAreHarmless checks that queries are answered in full while the
// health endpoint of every target falsely reports that the target is leaving and holds
// another snapshot.
func TestFalseHealthReportsAreHarmless(t *testing.T) {
	bed := startQueryTestbed(t)
	for _, target := range bed.Targets {
		target.UpdateBehavior(func(b *standin.Behavior) {
			b.Faults.HealthOverride = &targetapi.HealthReply{Incarnation: 1, Leaving: true, Snapshots: []targetapi.SnapshotRef{{Version: 9, Layout: "z"}}}
		})
	}
	sendQueries(t, bed, 50)
	time.Sleep(time.Second)
	sendQueries(t, bed, 50)
}

// TestSnapshotRollOverUnderLoad checks that answers stay on the old version while no target
// holds the published new one, and move to it once targets hold it.
func TestSnapshotRollOverUnderLoad(t *testing.T) {
	bed := startQueryTestbed(t)
	sendQueries(t, bed, 20)
	next := &release.Snapshot{Service: "portal", Version: 2, Layout: "b"}
	held := []targetapi.SnapshotRef{{Version: 1, Layout: "a"}}
	for shard := range queryShards - 1 {
		next.Shards = append(next.Shards, release.Shard{Weight: 1, Replicas: []string{fmt.Sprintf("portal-%d-0", shard), fmt.Sprintf("portal-%d-1", shard)}})
		next.Weight++
	}
	for _, target := range bed.Targets {
		target.UpdateBehavior(func(b *standin.Behavior) { b.Faults.Snapshots = held })
	}
	if err := bed.AwaitNote(bed.PublishChange(release.Item{Op: release.Add, Snapshot: next})); err != nil {
		t.Fatal(err)
	}
	for _, a := range sendQueries(t, bed, 20) {
		if a.Version != 1 || a.Shards != queryShards {
			t.Fatalf("no target holds version 2, but the answer is %+v", a)
		}
	}
	if c := counters(bed); c.SnapshotsDenied == 0 || c.Restarts == 0 {
		t.Errorf("no query was restarted on the old version: %+v", c)
	}
	for _, target := range bed.Targets {
		target.UpdateBehavior(func(b *standin.Behavior) { b.Faults.Snapshots = nil })
	}
	err := testbed.Await("an answer of version 2", func() bool {
		a := sendQueries(t, bed, 1)[0]
		return a.Version == 2 && a.Shards == queryShards-1
	})
	if err != nil {
		t.Fatal(err)
	}
}
