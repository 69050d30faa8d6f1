package node

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/duty"
)

// pollInterval is the time between two health polls by this host. It does not depend on
// the number of targets, so that the load of health checks does not grow with the fleet.
const pollInterval = 50 * time.Millisecond

// health is the duty that polls the health endpoints of the targets in round-robin order.
type health struct {
	poll  func(*release.Target) *engine.HealthReport
	emit  func(engine.Event) bool
	state atomic.Pointer[release.State]
	stop  chan struct{}
}

func newHealth(poll func(*release.Target) *engine.HealthReport, emit func(engine.Event) bool) *health {
	return &health{poll: poll, emit: emit, stop: make(chan struct{})}
}

// setState replaces the set of targets to poll.
func (h *health) setState(s *release.State) { h.state.Store(s) }

func (h *health) duty() duty.Duty {
	return duty.Duty{Name: "health", Run: h.run, Stop: func() { close(h.stop) }}
}

func (h *health) run() {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	var state *release.State
	var names []string
	for next := 0; ; next++ {
		select {
		case <-h.stop:
			return
		case <-tick.C:
		}
		if s := h.state.Load(); s != state {
			state = s
			names = slices.Sorted(maps.Keys(s.Targets))
		}
		if len(names) == 0 {
			continue
		}
		// A full ring drops the report; the next poll of the target sends a newer one.
		h.emit(h.poll(state.Targets[names[next%len(names)]]))
	}
}
