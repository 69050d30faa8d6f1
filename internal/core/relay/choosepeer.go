package relay

import "pollentack.example/pollentack/internal/core/clock"

// forwarder returns the peer that forwards an attempt to a target in another region, or to any target
// while this host is cut off, and nil if this host sends the attempt itself. Only hosts in the
// target's region connect to it: this limits the connections per target, and the links between
// hosts are already established.
func (e *Engine) forwarder(now clock.Instant, r *request, t *target) *peer {
	if e.reach.cutOff {
		return e.relayPeer(now, r, t)
	}
	if !r.isGather() || t.distance != otherRegion {
		return nil
	}
	var best *peer
	for _, p := range e.remoteHubs[t.region] {
		if now.Mono < p.backoffUntil || p.stalled(now.Mono) {
			continue
		}
		if best == nil || p.load() < best.load() {
			best = p
		}
	}
	return best
}

// forwardedGather returns the GatherSpec for a peer that forwards a single attempt.
func (e *Engine) forwardedGather(now clock.Instant, r *request, sh *shard, p *peer) GatherSpec {
	return GatherSpec{
		Route: r.route.Name, Services: []string{sh.service.name}, Whole: !r.isGather(), TopK: r.route.TopK, MaxAttempts: 1,
		Objective: r.route.LatencyObjective, Timeout: r.deadline - r.started, Regions: r.route.Regions,
		Age: now.Mono - r.started + e.peerRTT(p), Direct: true,
	}
}

// choosePeer returns the hub that can take the most shards, and the indexes of these
// shards. If this host is not a hub, a hub in its region takes all shards; any other hub
// takes those with targets in its own region. Ties are broken by distance, then by the lower
// load of two hubs chosen at random.
func (e *Engine) choosePeer(now clock.Instant, r *request, shards []int) (*peer, []int) {
	best := make([]*peer, 0, len(e.peers))
	var covered []int
	var bestRank rank
	byRegion := map[string][]int{}
	for _, name := range sortedKeys(e.peers) {
		p := e.peers[name]
		if !e.isHub(name) || now.Mono < p.backoffUntil || p.stalled(now.Mono) {
			continue
		}
		if e.gathersItself() && p.Region == e.cfg.Region {
			continue // this host has the same targets
		}
		local, ok := byRegion[p.Region]
		if !ok {
			local = e.shardsInRegion(r, shards, p.Region)
			byRegion[p.Region] = local
		}
		taken := local
		if !e.isHub(e.cfg.Host) && p.Region == e.cfg.Region {
			taken = shards
		}
		rk := rank{tier: len(shards) - len(taken), cost: float64(p.distance)}
		switch {
		case len(best) == 0 || rk.less(bestRank):
			best, covered, bestRank = append(best[:0], p), taken, rk
		case !bestRank.less(rk):
			best = append(best, p)
		}
	}
	if len(best) == 0 {
		return nil, nil
	}
	a, b := best[e.rng.IntN(len(best))], best[e.rng.IntN(len(best))]
	if b.load() < a.load() {
		a = b
	}
	return a, covered
}

// anyHub returns the nearest hub that may take the request, the least loaded of several, or nil.
func (e *Engine) anyHub(now clock.Instant, r *request) *peer {
	var best *peer
	var bestRank rank
	for i := range e.members {
		p := e.peers[e.members[i].Host]
		if p == nil || !e.mayRelay(now, r, p) {
			continue
		}
		if rk := (rank{tier: int(p.distance), cost: p.load()}); best == nil || rk.less(bestRank) {
			best, bestRank = p, rk
		}
	}
	return best
}

// shardsInRegion returns those of the given shards that have a target in the region.
func (e *Engine) shardsInRegion(r *request, shards []int, region string) []int {
	if !r.route.AllowsRegion(region) {
		return nil
	}
	var list []int
	for _, i := range shards {
		if e.hasTargetInRegion(r.shards[i].service, region) {
			list = append(list, i)
		}
	}
	return list
}

func without(shards, remove []int) []int {
	excluded := make(map[int]bool, len(remove))
	for _, i := range remove {
		excluded[i] = true
	}
	var rest []int
	for _, i := range shards {
		if !excluded[i] {
			rest = append(rest, i)
		}
	}
	return rest
}
