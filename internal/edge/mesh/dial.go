package mesh

import (
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/release"
)

// keepLinks is the duty that dials the standing peers that have no link.
func (m *Mesh) keepLinks() {
	batch := make([]struct{}, kickCapacity)
	for {
		if _, ok := m.kicks.Take(batch, redialPause); !ok {
			return
		}
		m.closeIdle()
		for _, host := range m.due() {
			if m.workers.Submit(func() { m.dialStanding(host) }) != nil {
				m.dialed(host.Name)
			}
		}
	}
}

// due returns the standing peers to dial now and marks them as being dialed. The host
// with the smaller name dials, so that a pair makes one link; a host with nothing in
// force dials all its seeds, since they may not know of its start.
func (m *Mesh) due() []release.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var due []release.Host
	for name := range m.standing {
		host, ok := m.published[name]
		waiting := m.links[name] != nil || m.dialing[name] != nil || now.Before(m.nextDial[name])
		if !ok || waiting || (name <= m.options.Host && !m.bootstrap) {
			continue
		}
		m.dialing[name] = make(chan struct{})
		due = append(due, host)
	}
	return due
}

func (m *Mesh) dialed(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.dialing[name])
	delete(m.dialing, name)
	m.nextDial[name] = time.Now().Add(redialPause)
}

// dialStanding makes a link and serves it until it ends.
func (m *Mesh) dialStanding(host release.Host) {
	l, err := m.connect(host)
	m.dialed(host.Name)
	if err != nil {
		m.options.Log.Debug().Str("event", "mesh_dial_failed").Str("peer", host.Name).Err(err).Send()
		return
	}
	l.serve()
}

func (m *Mesh) closeIdle() {
	m.mu.Lock()
	var idle []*link
	m.retired = slices.DeleteFunc(m.retired, func(r retiredLink) bool {
		over := time.Since(r.at) > retireLimit
		if over {
			idle = append(idle, r.link)
		}
		return over
	})
	for name, l := range m.links {
		if !m.standing[name] && l.idleFor() > idleLimit {
			idle = append(idle, l)
		}
	}
	m.mu.Unlock()
	for _, l := range idle {
		l.close()
	}
}
