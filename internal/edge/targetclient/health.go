package targetclient

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/targetapi"
)

// healthTimeout bounds one health check.
const healthTimeout = 500 * time.Millisecond

// CheckHealth calls the health endpoint of a target. Reachable is false if the call failed, or
// was not made because no reserved connection is free. The reported state lags and may be
// wrong, so the engine decides how to use it.
func (c *Client) CheckHealth(spec *release.Target) *engine.HealthReport {
	h := &engine.HealthReport{Name: spec.Name}
	if !c.conns.acquireReserved(spec.Address) {
		return h
	}
	defer c.conns.releaseReserved(spec.Address)
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod("GET")
	req.SetRequestURI("http://" + spec.Address + targetapi.PathHealth)
	if err := c.http.DoTimeout(context.Background(), req, resp, healthTimeout); err != nil {
		return h
	}
	var reply targetapi.HealthReply
	if err := json.Unmarshal(resp.Body(), &reply); err != nil {
		return h
	}
	h.Reachable = true
	h.Incarnation = reply.Incarnation
	h.Cold = reply.Cold
	h.Leaving = reply.Leaving
	for _, s := range reply.Snapshots {
		h.Snapshots = append(h.Snapshots, release.SnapshotKey{Version: s.Version, Layout: s.Layout})
	}
	return h
}
