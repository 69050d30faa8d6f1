package faultmatrix

import (
	"maps"
	"slices"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/membership"
)

// spread relays first-hand facts to the peers that are reached.
func (h *host) spread(fx *engine.Effects) {
	if len(fx.Facts) == 0 && len(fx.Convictions) == 0 {
		return
	}
	facts := &engine.PeerFacts{
		Targets:     append([]engine.TargetFact(nil), fx.Facts...),
		Convictions: append([]engine.Conviction(nil), fx.Convictions...),
	}
	h.keep(facts)
	for _, peer := range h.w.hosts {
		if peer != h && !h.w.isCut(h.index, peer.index) {
			h.w.after(networkDelay, func() { peer.hear(facts) })
		}
	}
}

// catchUp gives a host that has started the facts of the peers that it reaches, as the
// first heartbeats do.
func (h *host) catchUp(life int) {
	if h.life != life || h.dead {
		return
	}
	for _, peer := range h.w.hosts {
		if peer == h || peer.dead || h.w.isCut(h.index, peer.index) {
			continue
		}
		facts := &engine.PeerFacts{}
		for _, name := range slices.Sorted(maps.Keys(peer.heard)) {
			facts.Targets = append(facts.Targets, peer.heard[name])
		}
		for _, fingerprint := range slices.Sorted(maps.Keys(peer.convicted)) {
			facts.Convictions = append(facts.Convictions, peer.convicted[fingerprint])
		}
		h.hear(facts)
	}
}

// hear delivers facts of a peer and keeps them for hosts that start later.
func (h *host) hear(facts *engine.PeerFacts) {
	h.keep(facts)
	h.deliver(facts)
}

func (h *host) keep(facts *engine.PeerFacts) {
	for _, c := range facts.Convictions {
		h.convicted[c.Fingerprint] = membership.MergeConviction(c, h.convicted[c.Fingerprint])
	}
	for _, f := range facts.Targets {
		if old, ok := h.heard[f.Target]; !ok || f.Incarnation >= old.Incarnation {
			f.Leaving = f.Leaving || (ok && old.Leaving && old.Incarnation == f.Incarnation)
			h.heard[f.Target] = f
		}
	}
}
