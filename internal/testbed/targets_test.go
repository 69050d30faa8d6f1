package testbed_test

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/target"
	"pollentack.example/pollentack/internal/loadgen"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

// TestConnectionsStayWithinThePublishedLimit checks at the targets that the connections of
// all hosts together, with hedges, cancellations and health checks, stay within the limit.
func TestConnectionsStayWithinThePublishedLimit(t *testing.T) {
	const (
		hosts   = 3
		limit   = 12
		queries = 400
	)
	bed, err := testbed.Start(testbed.Layout{
		Seed:  1,
		Zones: testbed.ThreeZones(),
		Hosts: hosts,
		Services: []testbed.ServiceLayout{{
			Name:           "licences",
			Shards:         2,
			Replicas:       2,
			MaxConnections: limit,
			Policy:         release.Policy{Deadline: time.Second, MinCoverage: 1, HedgeBudget: 0.05},
			Behavior:       standin.Behavior{Latency: 5 * time.Millisecond, Jitter: 2 * time.Millisecond, SlowShare: 0.05, SlowFactor: 10, Slots: 8, ColdBudget: 1},
		}},
		Callers: 1,
	}, testbed.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer bed.Stop()
	report, err := loadgen.Run(&loadgen.Config{
		Fronts:           bed.FrontAddresses(),
		Mix:              []loadgen.MixEntry{{Service: "licences", Keys: []string{testbed.CallerKey(0)}, Weight: 1}},
		QueriesPerSecond: 400,
		Queries:          queries,
		Seed:             1,
		MaxHits:          1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Answered == 0 {
		t.Fatalf("no query was answered: %+v", report)
	}
	// A target counts a closed connection until it notices the close. The part of the
	// limit that is not assigned to hosts leaves room for these connections.
	for name, s := range bed.Targets {
		if n := s.Report().PeakConnections; n == 0 || n > limit {
			t.Errorf("%s had %d connections open at a time, the limit is %d", name, n, limit)
		}
	}
	for _, n := range bed.Nodes {
		for _, s := range n.Status().Targets {
			if s.Connections > target.Quota(limit, hosts) {
				t.Errorf("%s has %d connections to %s, its quota is %d", n.Status().Host, s.Connections, s.Target, s.Quota)
			}
		}
	}
}
