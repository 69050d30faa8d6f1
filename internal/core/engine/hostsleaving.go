package engine

import "pollentack.example/pollentack/internal/core/target"

// HostsLeaving names the hosts that the platform's host list newly reports as leaving.
type HostsLeaving struct{ Names []string }

func (*HostsLeaving) event() {}

// markHostsLeaving marks the named targets as leaving, so that they receive no new
// requests. Names of hosts that are not targets are ignored.
func (e *Engine) markHostsLeaving(ev *HostsLeaving) {
	for _, name := range ev.Names {
		if id := e.targets.Lookup(name); id != target.None {
			e.targets.Entry(id).Leaving = true
		}
	}
}
