package testbed

import (
	"encoding/json"
	"net/http"
	"testing"

	"pollentack.example/pollentack/internal/edge/admin"
	"pollentack.example/pollentack/internal/node"
)

// TestOperatorListener checks that a host's operator listener serves the metrics of both
// hosts of the process, and that a drain request reaches only that host.
func TestOperatorListener(t *testing.T) {
	bed, err := Start(Layout{Seed: 1, Zones: ThreeZones(), Hosts: 2}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Stop)
	url := "http://" + bed.Nodes[0].AdminAddress()
	resp, err := http.Get(url + admin.PathMetrics)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var vars struct {
		Hosts map[string]node.Status `json:"hosts"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		t.Fatal(err)
	}
	if vars.Hosts["host-1"].Note != 1 || vars.Hosts["host-2"].Note != 1 {
		t.Errorf("want note 1 on both hosts, got metrics %+v", vars.Hosts)
	}

	drained, err := http.Post(url+admin.PathDrain, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer drained.Body.Close()
	if drained.StatusCode != http.StatusAccepted {
		t.Errorf("drain answered %s", drained.Status)
	}
	<-bed.Nodes[0].DrainRequested()
	select {
	case <-bed.Nodes[1].DrainRequested():
		t.Error("the drain request also reached the other host")
	default:
	}
}
