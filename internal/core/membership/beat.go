package membership

import (
	"maps"
	"slices"

	"pollentack.example/pollentack/internal/core/clock"
)

const (
	// factBudget bounds the bytes of facts in the heartbeats of one step, over all peers.
	factBudget = 4096
	// retellAfter is how long the peer has to acknowledge facts.
	retellAfter = 4 * beatInterval
	// maxSequences is the number of own sequences whose instants are kept.
	maxSequences = 128
)

// sendDue sends the heartbeats that are due. All of one step share a sequence.
func (m *Membership) sendDue(now clock.Instant, fx *Effects) {
	budget := factBudget
	sequence := uint64(0)
	for _, name := range m.order() {
		p := m.peers[name]
		prompt := p.prompt && now.Mono >= m.lastSent+promptGap
		if !prompt && now.Mono < p.nextAt {
			continue
		}
		if sequence == 0 {
			m.sequence++
			sequence = m.sequence
			m.words.sent(sequence, now.Mono)
		}
		h := &Heartbeat{Sequence: sequence}
		budget -= m.fill(now, h, p, budget)
		fx.Sends = append(fx.Sends, Send{Peer: name, Heartbeat: h})
		p.prompt, p.ask = false, false
		p.nextAt = now.Mono + DemandInterval
		if m.standing[name] || m.state == nil {
			p.nextAt = now.Mono + beatInterval
		}
	}
	if sequence != 0 {
		m.lastSent = now.Mono
	}
}

// order returns the peers' names, rotated at each sequence so that the budget of facts
// goes to each in turn.
func (m *Membership) order() []string {
	names := slices.Sorted(maps.Keys(m.peers))
	if len(names) < 2 {
		return names
	}
	at := int(m.sequence % uint64(len(names)))
	return append(names[at:len(names):len(names)], names[:at]...)
}

// fill writes what the peer lacks, and returns the bytes of facts used. A peer with the
// same hash lacks nothing, so it is told nothing. What was told and not acknowledged in
// time is told again: a full queue on the way drops heartbeats.
func (m *Membership) fill(now clock.Instant, h *Heartbeat, p *peer, budget int) int {
	h.Echo = p.heard
	h.Note = m.Note()
	h.Hash = m.facts.hash
	h.Merged = p.merged
	h.Leaving = m.draining
	h.Ask = p.ask
	if p.heard > 0 && p.hash == m.facts.hash {
		p.told, p.acked = m.facts.head, m.facts.head
		h.UpTo = p.told
		return 0
	}
	if p.told > p.acked && now.Mono-p.toldAt > retellAfter {
		p.told = p.acked
	}
	h.From = p.told
	used := m.facts.since(p.told, budget, h)
	if h.UpTo > p.told {
		p.toldAt = now.Mono
	}
	p.told = h.UpTo
	return used
}
