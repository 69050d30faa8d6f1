package faultmatrix

import (
	"maps"
	"slices"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/membership"
)

// broadcastFacts sends first-hand facts to the reachable peers.
func (h *host) broadcastFacts(fx *engine.Effects) {
	if len(fx.TargetFacts) == 0 && len(fx.QuarantineFacts) == 0 {
		return
	}
	facts := &engine.PeerFacts{
		TargetFacts:     append([]engine.TargetFact(nil), fx.TargetFacts...),
		QuarantineFacts: append([]engine.QuarantineFact(nil), fx.QuarantineFacts...),
	}
	h.mergeFacts(facts)
	for _, peer := range h.sim.hosts {
		if peer != h && !h.sim.isCut(h.index, peer.index) {
			h.sim.after(networkDelay, func() { peer.receiveFacts(facts) })
		}
	}
}

// loadPeerFacts delivers the facts of the reachable peers to a host that has started, as
// the first heartbeats do.
func (h *host) loadPeerFacts(generation int) {
	if h.generation != generation || h.dead {
		return
	}
	for _, peer := range h.sim.hosts {
		if peer == h || peer.dead || h.sim.isCut(h.index, peer.index) {
			continue
		}
		facts := &engine.PeerFacts{}
		for _, name := range slices.Sorted(maps.Keys(peer.targetFacts)) {
			facts.TargetFacts = append(facts.TargetFacts, peer.targetFacts[name])
		}
		for _, fingerprint := range slices.Sorted(maps.Keys(peer.convictions)) {
			facts.QuarantineFacts = append(facts.QuarantineFacts, peer.convictions[fingerprint])
		}
		h.receiveFacts(facts)
	}
}

// receiveFacts delivers facts of a peer to the engine and stores them for hosts that start
// later.
func (h *host) receiveFacts(facts *engine.PeerFacts) {
	h.mergeFacts(facts)
	h.deliver(facts)
}

func (h *host) mergeFacts(facts *engine.PeerFacts) {
	for _, c := range facts.QuarantineFacts {
		h.convictions[c.Fingerprint] = membership.MergeQuarantine(c, h.convictions[c.Fingerprint])
	}
	for _, f := range facts.TargetFacts {
		if old, ok := h.targetFacts[f.Target]; !ok || f.Incarnation >= old.Incarnation {
			f.Leaving = f.Leaving || (ok && old.Leaving && old.Incarnation == f.Incarnation)
			h.targetFacts[f.Target] = f
		}
	}
}
