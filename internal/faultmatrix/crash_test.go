package faultmatrix

import (
	"fmt"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/quarantine"
	"pollentack.example/pollentack/internal/core/release"
)

const (
	canaryService = "archive"
	canaryShards  = 2
	canaryPeriod  = 150 * time.Millisecond
	crashBody     = "crash"
	crashResends  = 8
	crashPeriod   = 400 * time.Millisecond
	crashRestart  = 300 * time.Millisecond
	// maxCrashed bounds the targets that one request may crash in a connected fleet; a
	// fleet split in two bears twice as many.
	maxCrashed = 2
)

// checkDamage is judged beside the ten checks: the bound on a request that crashes targets.
const checkDamage check = "crash damage"

// canaryItems is a service whose bodies go to one target first until they run clean.
func (w *world) canaryItems() []release.Item {
	items := []release.Item{{Op: release.Add, Service: &release.Service{
		Name:   canaryService,
		Policy: release.Policy{Deadline: queryDeadline, HedgeBudget: 0.05, Canary: true},
	}}}
	snap := &release.Snapshot{Service: canaryService, Version: 1, Layout: "a", Weight: canaryShards}
	for shard := range canaryShards {
		part := release.Shard{Weight: 1}
		for i, zone := range zones {
			t := &fakeTarget{name: fmt.Sprintf("a-%d-%d", shard, i), zone: zone, shard: int32(shard), held: map[release.Key]bool{snap.Key(): true}}
			w.addTarget(t)
			part.Replicas = append(part.Replicas, t.name)
			items = append(items, release.Item{Op: release.Add, Target: &release.Target{
				Name: t.name, Address: "127.0.0.1:1", Zone: zone, Service: canaryService,
				Slots: targetSlots, Connections: 45, ColdBudget: coldBudget,
			}})
		}
		snap.Shards = append(snap.Shards, part)
	}
	return append(items, release.Item{Op: release.Add, Snapshot: snap})
}

func (w *world) canaryLoad() {
	if w.now > loadEnds {
		return
	}
	if h := w.hosts[w.rng.IntN(len(w.hosts))]; !h.dead && !h.stopping {
		w.submit(h, canaryService)
	}
	w.after(canaryPeriod, w.canaryLoad)
}

// crashRequest has a caller send one body that crashes targets through every host in turn.
func crashRequest(w *world, h *host, _ *fakeTarget) { w.resendCrash(h.index, crashResends) }

func (w *world) resendCrash(index, resends int) {
	h := w.hosts[index%len(w.hosts)]
	if !h.dead && !h.stopping {
		w.nextKey++
		c := &caller{key: w.nextKey, body: crashBody, host: h, submitted: w.now, deadline: w.now + queryDeadline}
		w.after(0, func() { w.resend(c, h, canaryService) })
	}
	if resends > 0 {
		w.after(crashPeriod, func() { w.resendCrash(index+1, resends-1) })
	}
}

// crash ends the target's process in the midst of the request.
func (t *fakeTarget) crash() {
	t.w.observer.crashed(t)
	t.restart()
	t.down = true
	t.w.after(crashRestart, func() { t.down = false })
}

func (o *observer) crashed(t *fakeTarget) {
	o.damage++
	most := maxCrashed
	if o.w.wasSplit {
		most *= 2
	}
	if o.damage > most {
		o.fail(checkDamage, "%s is the target number %d that one request crashes", t.name, o.damage)
	}
}

// canaryCall carries a question or a report to the home of a fingerprint and its answer back.
func (h *host) canaryCall(c engine.CanaryCall) {
	peer := h.w.hostByName(c.Host)
	life := h.life
	done := false
	end := func(a *quarantine.Answer, neverSent bool) {
		if h.life == life && !done {
			done = true
			h.deliver(&engine.CanaryAnswered{Call: c, Answer: a, NeverSent: neverSent})
		}
	}
	if peer.dead || h.w.isCut(h.index, peer.index) {
		h.w.after(networkDelay, func() { end(nil, true) })
		return
	}
	h.w.nextKey++
	key := h.w.nextKey
	h.w.judged[key] = func(a quarantine.Answer) {
		if !h.w.isCut(h.index, peer.index) {
			h.w.after(networkDelay, func() { end(&a, false) })
		}
	}
	h.w.after(networkDelay, func() { peer.deliver(&engine.CanaryServe{Key: key, Call: c}) })
	h.w.after(forwardTimeout, func() { end(nil, false) })
}

func (h *host) carryOutCanary(fx *engine.Effects) {
	for i := range fx.CanaryCalls {
		h.canaryCall(fx.CanaryCalls[i])
	}
	for i := range fx.CanaryReplies {
		r := fx.CanaryReplies[i]
		if answered := h.w.judged[r.Key]; answered != nil {
			delete(h.w.judged, r.Key)
			answered(r.Answer)
		}
	}
}
