package mesh

import (
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/release"
)

// maintainLinks is the duty that dials persistent peers without a link and closes unused
// links. It runs on each wake-up and every redialInterval.
func (m *Mesh) maintainLinks() {
	batch := make([]struct{}, wakeupCapacity)
	for {
		if _, ok := m.wakeups.Take(batch, redialInterval); !ok {
			return
		}
		m.closeUnusedLinks()
		for _, host := range m.peersToDial() {
			if m.linkWorkers.Submit(func() { m.dialPersistent(host) }) != nil {
				m.finishDial(host.Name)
			}
		}
	}
}

// peersToDial returns the persistent peers to dial now and marks them as being dialed. The
// host with the smaller name dials, so that a pair of hosts establishes one link. A host
// without a configuration dials all its seeds, since they may not know that it has started.
func (m *Mesh) peersToDial() []release.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var due []release.Host
	for name := range m.persistent {
		host, ok := m.hosts[name]
		skip := m.links[name] != nil || m.dialing[name] != nil || now.Before(m.nextDialAt[name])
		if !ok || skip || (name <= m.options.Host && !m.bootstrap) {
			continue
		}
		m.dialing[name] = make(chan struct{})
		due = append(due, host)
	}
	return due
}

// finishDial marks the dial of a host as ended and wakes the calls that wait for it.
func (m *Mesh) finishDial(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.dialing[name])
	delete(m.dialing, name)
	m.nextDialAt[name] = time.Now().Add(redialInterval)
}

// dialPersistent establishes a link and serves it until it ends.
func (m *Mesh) dialPersistent(host release.Host) {
	l, err := m.connectThen(host, func(*link, error) { m.finishDial(host.Name) })
	if err != nil {
		m.options.Log.Debug().Str("event", "mesh_dial_failed").Str("peer", host.Name).Err(err).Send()
		return
	}
	l.serve()
}

// closeUnusedLinks closes replaced links after drainTimeout, idle links made on demand, links whose
// peer does not answer a probe, and the unused streams of the others.
func (m *Mesh) closeUnusedLinks() {
	for _, end := range m.ledger.expire(time.Now()) {
		end()
	}
	m.mu.Lock()
	var unused []*link
	var streams []idleStream
	m.draining = slices.DeleteFunc(m.draining, func(r drainingLink) bool {
		expired := time.Since(r.since) > drainTimeout
		if expired {
			unused = append(unused, r.link)
		}
		return expired
	})
	for name, l := range m.links {
		streams = append(streams, l.streams.takeUnused()...)
		if !m.persistent[name] && l.idleFor() > idleTimeout || l.unresponsive() {
			unused = append(unused, l)
		}
	}
	m.mu.Unlock()
	for _, l := range unused {
		l.close()
	}
	for _, s := range streams {
		if m.linkWorkers.Submit(s.close) != nil {
			s.close()
		}
	}
}
