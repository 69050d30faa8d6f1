package testbed

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/callerapi"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
)

// sendToEveryHost sends a body to every host in turn, three times, and returns the last
// code of each host.
func sendToEveryHost(t *testing.T, bed *Testbed, client *callerclient.Client, body string) []result.Code {
	t.Helper()
	codes := make([]result.Code, len(bed.Nodes))
	for range 3 {
		for i, n := range bed.Nodes {
			answer, _, err := client.Query(n.FrontAddress(), CallerKey(0), "portal", &callerapi.QueryRequest{Query: body, Limit: 1})
			if err != nil {
				t.Fatal(err)
			}
			codes[i] = answer.Code
		}
	}
	return codes
}

func crashCount(bed *Testbed) int {
	n := 0
	for _, target := range bed.Targets {
		n += target.CrashCount()
	}
	return n
}

// TestCrashingBody checks that a body that crashes the targets that run it crashes at most
// two in a connected fleet, and at most two in each part of a partitioned one.
func TestCrashingBody(t *testing.T) {
	bed, err := Start(Layout{
		Seed: 1, Zones: ThreeZones(), Hosts: 4, Callers: 1, CallerRate: 1000,
		Services: []ServiceLayout{{
			Name: "portal", Shards: 8, Replicas: 2, MaxConnections: 90,
			Policy: release.Policy{Deadline: 500 * time.Millisecond, MinCoverage: 1, Canary: true},
			Behavior: standin.Behavior{
				Latency: time.Millisecond, Slots: 16, ColdBudget: 16,
				Crash: standin.Crash{Marker: "boom", Downtime: 20 * time.Millisecond},
			},
		}},
	}, Options{AdjustSettings: func(_ int, s *settings.Settings) { s.Platform.MaxWait = 100 * time.Millisecond }})
	if err != nil {
		t.Fatal(err)
	}
	defer bed.Stop()
	client, err := callerclient.New()
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()

	for i, code := range sendToEveryHost(t, bed, client, "boom") {
		if code != result.Quarantined {
			t.Errorf("host %d answered with code %s, want quarantined", i, code)
		}
	}
	connected := crashCount(bed)
	if connected == 0 || connected > 2 {
		t.Fatalf("%d targets crashed in a connected fleet, want 1 or 2", connected)
	}
	bed.SetPartitioned(2, true)
	sendToEveryHost(t, bed, client, "boom again")
	if n := crashCount(bed) - connected; n == 0 || n > 4 {
		t.Fatalf("%d targets crashed in a fleet of two parts, want 1 to 4", n)
	}
}
