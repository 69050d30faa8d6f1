package faultmatrix

import (
	"fmt"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/quarantine"
	"pollentack.example/pollentack/internal/core/release"
)

const (
	canaryService     = "archive"
	canaryShards      = 2
	canaryPeriod      = 150 * time.Millisecond
	crashBody         = "crash"
	crashResends      = 8
	crashResendPeriod = 400 * time.Millisecond
	crashRestartDelay = 300 * time.Millisecond
	// maxCrashedTargets is the number of targets that one request body may crash in a
	// connected fleet. The limit is twice as high in a fleet partitioned in two, since
	// the parts cannot exchange reports.
	maxCrashedTargets = 2
)

// checkCrashDamage bounds the number of targets that one request body crashes. It is made in
// addition to the ten checks.
const checkCrashDamage check = "crash damage"

// canaryItems returns the note items of a service with the canary policy: an unknown body
// goes to one target first, until it has completed without a crash.
func (sim *simulation) canaryItems() []release.Item {
	items := []release.Item{{Op: release.Add, Service: &release.Service{
		Name:   canaryService,
		Policy: release.Policy{Deadline: queryDeadline, HedgeBudget: 0.05, Canary: true},
	}}}
	snap := &release.Snapshot{Service: canaryService, Version: 1, Layout: "a", Weight: canaryShards}
	for shard := range canaryShards {
		part := release.Shard{Weight: 1}
		for i, zone := range zones {
			t := &fakeTarget{name: fmt.Sprintf("a-%d-%d", shard, i), zone: zone, shard: int32(shard), snapshots: map[release.SnapshotKey]bool{snap.Key(): true}}
			sim.addTarget(t)
			part.Replicas = append(part.Replicas, t.name)
			items = append(items, release.Item{Op: release.Add, Target: &release.Target{
				Name: t.name, Address: "127.0.0.1:1", Zone: zone, Service: canaryService,
				Slots: targetSlots, MaxConnections: 45, MaxColdRequests: coldBudget,
			}})
		}
		snap.Shards = append(snap.Shards, part)
	}
	return append(items, release.Item{Op: release.Add, Snapshot: snap})
}

func (sim *simulation) canaryLoad() {
	if sim.now > loadEnd {
		return
	}
	if h := sim.hosts[sim.rng.IntN(len(sim.hosts))]; !h.dead && !h.stopping {
		sim.submit(h, canaryService)
	}
	sim.after(canaryPeriod, sim.canaryLoad)
}

// crashRequest has a caller send a body that crashes targets, and resend it through every
// host in turn.
func crashRequest(sim *simulation, h *host, _ *fakeTarget) { sim.resendCrash(h.index, crashResends) }

func (sim *simulation) resendCrash(index, resends int) {
	h := sim.hosts[index%len(sim.hosts)]
	if !h.dead && !h.stopping {
		sim.nextKey++
		c := &caller{key: sim.nextKey, body: crashBody, host: h, submitted: sim.now, deadline: sim.now + queryDeadline}
		sim.after(0, func() { sim.deliverRequest(c, h, canaryService) })
	}
	if resends > 0 {
		sim.after(crashResendPeriod, func() { sim.resendCrash(index+1, resends-1) })
	}
}

// crash ends the target's process while it runs a request.
func (t *fakeTarget) crash() {
	t.sim.observer.targetCrashed(t)
	t.restart()
	t.down = true
	t.sim.after(crashRestartDelay, func() { t.down = false })
}

func (o *observer) targetCrashed(t *fakeTarget) {
	o.crashedTargets++
	limit := maxCrashedTargets
	if o.sim.wasPartitioned {
		limit *= 2
	}
	if o.crashedTargets > limit {
		o.fail(checkCrashDamage, "one body has crashed %d targets, the last is %s; the limit is %d", o.crashedTargets, t.name, limit)
	}
}

// sendCanaryCall delivers a canary query or report to the home host of a fingerprint, and
// the answer to the sender.
func (h *host) sendCanaryCall(c engine.CanaryCall) {
	peer := h.sim.hostByName(c.Host)
	generation := h.generation
	done := false
	end := func(a *quarantine.LeaseAnswer, neverSent bool) {
		if h.generation == generation && !done {
			done = true
			h.deliver(&engine.CanaryCallDone{Call: c, Answer: a, NeverSent: neverSent})
		}
	}
	if peer.dead || h.sim.isCut(h.index, peer.index) {
		h.sim.after(networkDelay, func() { end(nil, true) })
		return
	}
	h.sim.nextKey++
	key := h.sim.nextKey
	h.sim.canaryWaiters[key] = func(a quarantine.LeaseAnswer) {
		if !h.sim.isCut(h.index, peer.index) {
			h.sim.after(networkDelay, func() { end(&a, false) })
		}
	}
	h.sim.after(networkDelay, func() { peer.deliver(&engine.PeerCanaryCall{Key: key, Call: c}) })
	h.sim.after(forwardTimeout, func() { end(nil, false) })
}

func (h *host) applyCanaryEffects(fx *engine.Effects) {
	for i := range fx.CanaryCalls {
		h.sendCanaryCall(fx.CanaryCalls[i])
	}
	for i := range fx.CanaryReplies {
		r := fx.CanaryReplies[i]
		if answered := h.sim.canaryWaiters[r.Key]; answered != nil {
			delete(h.sim.canaryWaiters, r.Key)
			answered(r.Answer)
		}
	}
}
