package membership

import (
	"maps"
	"slices"

	"pollentack.example/pollentack/internal/core/clock"
)

const (
	// factBytesPerStep is the limit on the bytes of facts sent in one step, over all peers.
	factBytesPerStep = 4096
	// ackTimeout is the time after which unacknowledged facts are sent again.
	ackTimeout = 4 * heartbeatInterval
	// maxSentTimes is the number of sequence numbers, most recent first, whose send times
	// are kept.
	maxSentTimes = 128
)

// sendDueHeartbeats sends the heartbeats that are due. Heartbeats sent in the same step
// share a sequence number.
func (m *Membership) sendDueHeartbeats(now clock.Instant, fx *Effects) {
	budget := factBytesPerStep
	sequence := uint64(0)
	for _, name := range m.rotatedPeerNames() {
		p := m.peers[name]
		expedite := p.expedited && now.Mono >= m.lastSentAt+minHeartbeatGap
		if !expedite && now.Mono < p.nextHeartbeatAt {
			continue
		}
		if sequence == 0 {
			m.sequence++
			sequence = m.sequence
			m.contact.recordSent(sequence, now.Mono)
		}
		h := &Heartbeat{Sequence: sequence}
		budget -= m.fillHeartbeat(now, h, p, budget)
		fx.Sends = append(fx.Sends, SendHeartbeat{Peer: name, Heartbeat: h})
		p.expedited, p.requestReply = false, false
		p.nextHeartbeatAt = now.Mono + OnDemandHeartbeatInterval
		if m.persistentPeers[name] || m.state == nil {
			p.nextHeartbeatAt = now.Mono + heartbeatInterval
		}
	}
	if sequence != 0 {
		m.lastSentAt = now.Mono
	}
}

// rotatedPeerNames returns the sorted peer names, rotated by the current sequence number
// so that each peer in turn is the first to use the byte budget for facts.
func (m *Membership) rotatedPeerNames() []string {
	names := slices.Sorted(maps.Keys(m.peers))
	if len(names) < 2 {
		return names
	}
	offset := int(m.sequence % uint64(len(names)))
	return append(names[offset:len(names):len(names)], names[:offset]...)
}

// fillHeartbeat sets the fields of h, adds the facts that the peer lacks and returns the
// bytes of facts used. A peer with the same hash holds the same facts and is sent none.
// Facts that the peer does not acknowledge within ackTimeout are sent again, because
// full queues drop heartbeats.
func (m *Membership) fillHeartbeat(now clock.Instant, h *Heartbeat, p *peer, budget int) int {
	h.EchoedSequence = p.lastSequence
	h.NoteNumber = m.Note()
	h.Hash = m.facts.hash
	h.MergedUpTo = p.mergedUpTo
	h.Leaving = m.draining
	h.RequestReply = p.requestReply
	if p.lastSequence > 0 && p.hash == m.facts.hash {
		p.sentUpTo, p.ackedUpTo = m.facts.lastPosition, m.facts.lastPosition
		h.UpTo = p.sentUpTo
		return 0
	}
	if p.sentUpTo > p.ackedUpTo && now.Mono-p.factsSentAt > ackTimeout {
		p.sentUpTo = p.ackedUpTo
	}
	h.From = p.sentUpTo
	used := m.facts.appendSince(p.sentUpTo, budget, h)
	if h.UpTo > p.sentUpTo {
		p.factsSentAt = now.Mono
	}
	p.sentUpTo = h.UpTo
	return used
}
