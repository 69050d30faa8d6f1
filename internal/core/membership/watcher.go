package membership

import "pollentack.example/pollentack/internal/core/clock"

// maxWatchDistance bounds how far the word of a watching host is passed on. A host that
// stops watching is forgotten within as many heartbeats.
const maxWatchDistance = 8

// hearWatcher reports a peer that hears the platform, by itself or through others. A
// host that hears none must read for itself.
func (m *Membership) hearWatcher(p *peer, h *Heartbeat, fx *Effects) {
	p.distance = h.WatchDistance
	if p.distance == 0 || p.distance > m.distanceLimit() {
		return
	}
	note := p.note
	if fx.PeerHeard == nil || note > *fx.PeerHeard {
		fx.PeerHeard = &note
	}
}

// distanceLimit is the greatest distance that counts. In a full mesh every watcher is
// heard directly, so what others heard of it is only older.
func (m *Membership) distanceLimit() uint32 {
	if m.fullMesh {
		return 1
	}
	return maxWatchDistance
}

// watchDistance returns what this host tells of its own distance.
func (m *Membership) watchDistance(now clock.Instant) uint32 {
	if m.watching {
		return 1
	}
	if m.fullMesh {
		return 0
	}
	nearest := uint32(0)
	for _, p := range m.peers {
		if p.distance > 0 && now.Mono-p.heardAt <= suspectAfter && (nearest == 0 || p.distance < nearest) {
			nearest = p.distance
		}
	}
	if nearest == 0 || nearest >= maxWatchDistance {
		return 0
	}
	return nearest + 1
}
