package testbed

import (
	"encoding/json"
	"net/http"
	"testing"

	"pollentack.example/pollentack/internal/edge/admin"
	"pollentack.example/pollentack/internal/node"
)

// TestOperatorListener reads the metrics of two hosts of one process and drains one.
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
		t.Errorf("metrics are %+v", vars.Hosts)
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
		t.Error("the other host drains too")
	default:
	}
}
