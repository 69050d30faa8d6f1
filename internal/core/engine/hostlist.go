package engine

import "pollentack.example/pollentack/internal/core/target"

// HostList names what the platform's list of hosts has newly called leaving.
type HostList struct{ Leaving []string }

func (*HostList) event() {}

// hostList stops new work to the targets that leave; other names are not targets.
func (e *Engine) hostList(ev *HostList) {
	for _, name := range ev.Leaving {
		if id := e.targets.Lookup(name); id != target.None {
			e.targets.Entry(id).Leaving = true
		}
	}
}
