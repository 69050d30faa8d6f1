package testbed_test

import (
	"fmt"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/edge/front"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/targetapi"
	"pollentack.example/pollentack/internal/testbed"
)

const queryShards = 4

func queryBed(t *testing.T) *testbed.Testbed {
	t.Helper()
	bed, err := testbed.Start(testbed.Layout{
		Seed:  1,
		Zones: testbed.ThreeZones(),
		Hosts: 1,
		Services: []testbed.ServiceLayout{{
			Name: "portal", Shards: queryShards, Replicas: 2, Connections: 100,
			Policy:    release.Policy{Deadline: 5 * time.Second, MinCoverage: 1, HedgeBudget: 0.05},
			Behaviour: standin.Behaviour{Latency: time.Millisecond, Slots: 8, ColdBudget: 4},
		}},
		Callers: 1, CallerRate: 1e6,
	}, testbed.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Stop)
	return bed
}

// ask sends queries one after the other and returns the answers; all must be whole.
func ask(t *testing.T, bed *testbed.Testbed, n int) []*front.AnswerBody {
	t.Helper()
	client, err := callerclient.New()
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	answers := make([]*front.AnswerBody, n)
	for i := range answers {
		a, _, err := client.Query(bed.Fronts()[0], testbed.Key(0), "portal", &front.QueryBody{Query: "q", Limit: 5})
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

// spoiledShare is the share of a spoiling target's replies that it spoils.
const spoiledShare = 0.05

// otherLatency is what the other targets take longer.
const otherLatency = 10 * time.Millisecond

// TestSpoiledRepliesAreNotCounted has one replica of a shard that truncates its replies,
// one that crosses them and one that answers from another snapshot.
func TestSpoiledRepliesAreNotCounted(t *testing.T) {
	bed := queryBed(t)
	ask(t, bed, 100)
	spoiled := map[string]standin.Faults{
		"portal-0-0": {TruncatedShare: spoiledShare},
		"portal-1-0": {CrossedShare: spoiledShare},
		"portal-2-0": {WrongSnapshotShare: spoiledShare},
	}
	for name, target := range bed.Targets {
		faults, spoils := spoiled[name]
		target.Change(func(b *standin.Behaviour) {
			b.Faults = faults
			// The others are slower, so that the spoiling ones are asked.
			if !spoils {
				b.Latency += otherLatency
			}
		})
	}
	came := func() bool {
		c := counters(bed)
		return c.TruncatedReplies > 0 && c.CrossedReplies > 0 && c.WrongSnapshots > 0
	}
	// The shares are drawn, so queries go on until each fault came.
	const maxRounds = 30
	for round := 0; round < maxRounds && !came(); round++ {
		for _, a := range ask(t, bed, 60) {
			if a.Version != 1 || len(a.Hits) != 5 {
				t.Fatalf("the answer is %+v", a)
			}
		}
	}
	if !came() {
		t.Errorf("the faults did not come about: %+v", counters(bed))
	}
}

// TestHealthLiesDoNoHarm has every health endpoint call its target leaving and cold.
func TestHealthLiesDoNoHarm(t *testing.T) {
	bed := queryBed(t)
	for _, target := range bed.Targets {
		target.Change(func(b *standin.Behaviour) {
			b.Faults.HealthLie = &targetapi.HealthReply{Incarnation: 1, Leaving: true, Snapshots: []targetapi.SnapshotRef{{Version: 9, Layout: "z"}}}
		})
	}
	ask(t, bed, 50)
	time.Sleep(time.Second)
	ask(t, bed, 50)
}

// TestRollOverUnderQueries publishes a version that only some replicas hold.
func TestRollOverUnderQueries(t *testing.T) {
	bed := queryBed(t)
	ask(t, bed, 20)
	next := &release.Snapshot{Service: "portal", Version: 2, Layout: "b"}
	held := []targetapi.SnapshotRef{{Version: 1, Layout: "a"}}
	for shard := range queryShards - 1 {
		next.Shards = append(next.Shards, release.Shard{Weight: 1, Replicas: []string{fmt.Sprintf("portal-%d-0", shard), fmt.Sprintf("portal-%d-1", shard)}})
		next.Weight++
	}
	for _, target := range bed.Targets {
		target.Change(func(b *standin.Behaviour) { b.Faults.Holds = held })
	}
	if err := bed.AwaitNote(bed.Change(release.Item{Op: release.Add, Snapshot: next})); err != nil {
		t.Fatal(err)
	}
	for _, a := range ask(t, bed, 20) {
		if a.Version != 1 || a.Shards != queryShards {
			t.Fatalf("no target holds version 2, and the answer is %+v", a)
		}
	}
	if c := counters(bed); c.SnapshotsDenied == 0 || c.Restarts == 0 {
		t.Errorf("no query began again: %+v", c)
	}
	for _, target := range bed.Targets {
		target.Change(func(b *standin.Behaviour) { b.Faults.Holds = nil })
	}
	err := testbed.Await("an answer of version 2", func() bool {
		a := ask(t, bed, 1)[0]
		return a.Version == 2 && a.Shards == queryShards-1
	})
	if err != nil {
		t.Fatal(err)
	}
}
