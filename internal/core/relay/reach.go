package relay

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
)

// A host may be cut off from all targets while its callers, the store and the other hosts still reach
// it. Each target then looks as if it had failed. Once a target is silent and none has replied since,
// the host checks others, in the end one of each availability zone. If it reaches none, it is cut off:
// it sends what it is asked through peers, and refuses what peers hand to it.

const (
	// minSilence is the time without a reply after which a host checks its own way to the targets, if
	// one of them is silent. Targets pause for a moment, each at its own time.
	minSilence = 100 * time.Millisecond
	// minSilentTargets is the number of silent targets from which on the host checks targets of all
	// availability zones at once. With fewer it checks one, and the others if that fails.
	minSilentTargets = 4
	// reachProbeInterval is the least time between two rounds of checks while a host is cut off, and
	// suspicionInterval while it is not.
	reachProbeInterval = 250 * time.Millisecond
	suspicionInterval  = 500 * time.Millisecond
	// maxCutOffBackoff bounds how long nothing is sent to a peer that is cut off, which begins with
	// peerBackoff and doubles with each refusal.
	maxCutOffBackoff = 4 * time.Second
	// maxForwardedBody is the largest body that a peer is asked to forward. Messages to peers are
	// bounded.
	maxForwardedBody = 512 << 10
)

// reach is what a host knows of its own way to the targets.
type reach struct {
	// contactAt is when a target last replied or accepted a connection.
	contactAt time.Duration
	// silent holds the targets to which an attempt of this host has failed or been late since. since
	// is when the first of these attempts was sent, contactAt if that is later.
	silent map[*target]bool
	since  time.Duration
	// cutOff is set once no target could be reached, until one is. regainedAt is when that was.
	cutOff     bool
	regainedAt time.Duration
	// probes holds the checks in progress, probesLeft the targets to check if they fail. The next round
	// of checks may begin at probeAt.
	probes     map[CheckID]*target
	probesLeft []*target
	probeAt    time.Duration
	rng        *rand.Rand
}

func newReach(seed uint64) reach {
	return reach{silent: map[*target]bool{}, probes: map[CheckID]*target{}, rng: rand.New(rand.NewPCG(seed, 3))}
}

// observeSilence notes that an attempt of this host to a target failed or is late.
func (e *Engine) observeSilence(a *attempt) {
	if a.via != nil || a.target.removed {
		return
	}
	since := max(a.sent, e.reach.contactAt)
	if len(e.reach.silent) == 0 || since < e.reach.since {
		e.reach.since = since
	}
	e.reach.silent[a.target] = true
}

// observeContact notes that this host has reached a target.
func (e *Engine) observeContact(now clock.Instant, t *target, fx *Effects) {
	if e.reach.cutOff {
		e.reach.cutOff, e.reach.regainedAt = false, now.Mono
		fx.Records = append(fx.Records, decision.New("targets_reached",
			decision.String("target", t.spec.Instance), decision.Millis("cut_off_for", now.Mono-e.reach.since)))
		// What the targets missed is not held against them.
		for s := range e.reach.silent {
			s.consecutiveFailures, s.backoffUntil, s.lastFailureRate = 0, 0, 0
		}
	}
	e.reach.contactAt = now.Mono
	clear(e.reach.silent)
	clear(e.reach.probes)
	e.reach.probesLeft = nil
}

// excused reports whether the failure of an attempt says nothing about its target, since this host is
// or was cut off.
func (e *Engine) excused(a *attempt) bool {
	return a.via == nil && (e.reach.cutOff || a.sent < e.reach.regainedAt)
}

// probeDue returns when the next round of checks is due, false if none is.
func (e *Engine) probeDue() (time.Duration, bool) {
	switch {
	case len(e.reach.probes) > 0:
		return 0, false
	case e.reach.cutOff:
		return e.reach.probeAt, true
	}
	return max(e.reach.probeAt, e.reach.since+minSilence), len(e.reach.silent) > 0
}

// probeReach begins a round of checks if it is due.
func (e *Engine) probeReach(now clock.Instant, fx *Effects) {
	if due, ok := e.probeDue(); !ok || now.Mono < due {
		return
	}
	e.reach.probeAt = now.Mono + suspicionInterval
	if e.reach.cutOff {
		e.reach.probeAt = now.Mono + reachProbeInterval
	}
	targets := e.probeTargets()
	if !e.reach.cutOff && len(e.reach.silent) < minSilentTargets && len(targets) > 1 {
		targets, e.reach.probesLeft = targets[:1], targets[1:]
	}
	e.probe(targets, fx)
}

func (e *Engine) probe(targets []*target, fx *Effects) {
	for _, t := range targets {
		e.crash.lastCheckID++
		e.reach.probes[e.crash.lastCheckID] = t
		fx.Checks = append(fx.Checks, Check{ID: e.crash.lastCheckID, Target: t.spec})
	}
}

// probeTargets returns one target of each availability zone, if possible one that has not failed, the
// nearest first. An entry of a service that the configuration does not name may be another writer's.
func (e *Engine) probeTargets() []*target {
	sound, failed := map[string][]*target{}, map[string][]*target{}
	for _, name := range sortedKeys(e.targets) {
		t := e.targets[name]
		if e.view.Config != nil && e.view.Config.Services[t.spec.Service] == nil {
			continue
		}
		if e.reach.silent[t] || t.consecutiveFailures > 0 {
			failed[t.spec.Zone] = append(failed[t.spec.Zone], t)
		} else {
			sound[t.spec.Zone] = append(sound[t.spec.Zone], t)
		}
	}
	var chosen []*target
	for _, zone := range sortedKeys(e.cfg.Regions) {
		list := sound[zone]
		if len(list) == 0 {
			list = failed[zone]
		}
		if len(list) > 0 {
			chosen = append(chosen, list[e.reach.rng.IntN(len(list))])
		}
	}
	slices.SortStableFunc(chosen, func(a, b *target) int { return cmp.Compare(a.distance, b.distance) })
	return chosen
}

// reachProbed handles the result of a check. The host is cut off once a whole round has failed and no
// target has replied meanwhile.
func (e *Engine) reachProbed(now clock.Instant, ev *TargetChecked, fx *Effects) {
	t := e.reach.probes[ev.ID]
	if t == nil {
		return
	}
	delete(e.reach.probes, ev.ID)
	switch {
	case ev.NotMade: // the round shows nothing
		clear(e.reach.probes)
		e.reach.probesLeft = nil
	case ev.Reached:
		e.observeContact(now, t, fx)
	case len(e.reach.probes) > 0 || e.reach.cutOff:
	case len(e.reach.probesLeft) > 0:
		e.probe(e.reach.probesLeft, fx)
		e.reach.probesLeft = nil
	default:
		e.cutOff(now, fx)
	}
}

func (e *Engine) cutOff(now clock.Instant, fx *Effects) {
	e.reach.cutOff = true
	e.reach.probeAt = now.Mono + reachProbeInterval
	e.counters.CutOffs++
	fx.Records = append(fx.Records, decision.Warning("targets_unreachable",
		decision.Int("silent", len(e.reach.silent)), decision.Int("targets", len(e.targets)), decision.Millis("silent_for", now.Mono-e.reach.since)))
	for _, key := range slices.Sorted(maps.Keys(e.requests)) {
		e.arm(e.requests[key], now.Mono)
	}
}

// mayRelay reports whether a peer may take requests on a route in place of this host, which is cut
// off.
func (e *Engine) mayRelay(now clock.Instant, r *request, p *peer) bool {
	return now.Mono >= p.backoffUntil && !p.stalled(now.Mono) && r.route.AllowsRegion(p.Region) &&
		len(r.Body) <= maxForwardedBody && (!r.isGather() || e.isHub(p.Host))
}

// relayPeer returns the peer through which this host, which is cut off, sends a request to a target,
// or nil if there is none: one in the target's region, or for a request to a single service any, the
// nearest first and then the least loaded.
func (e *Engine) relayPeer(now clock.Instant, r *request, t *target) *peer {
	var best *peer
	var bestRank rank
	for i := range e.members {
		p := e.peers[e.members[i].Host]
		if p == nil || !e.mayRelay(now, r, p) || r.isGather() && p.Region != t.region {
			continue
		}
		rk := rank{tier: int(p.distance), cost: p.load()}
		if p.Region != t.region {
			rk.tier += int(distanceCount)
		}
		if best == nil || rk.less(bestRank) {
			best, bestRank = p, rk
		}
	}
	return best
}

// isStuck reports whether no peer may take the request in place of this host, which is cut off.
func (e *Engine) isStuck(now clock.Instant, r *request) bool {
	if !e.reach.cutOff {
		return false
	}
	for _, p := range e.peers {
		if e.mayRelay(now, r, p) {
			return false
		}
	}
	return true
}

// backOffCutOff starts the backoff of a peer that is cut off from all targets.
func (p *peer) backOffCutOff(now time.Duration) {
	p.backoffUntil = now + min(peerBackoff<<min(p.cutOffs, 4), maxCutOffBackoff)
	p.cutOffs++
}
