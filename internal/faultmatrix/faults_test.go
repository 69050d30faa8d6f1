package faultmatrix

import (
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
)

// Durations of faults that end by themselves.
const (
	briefFault  = 500 * time.Millisecond
	pauseLength = 3 * time.Second
	partition   = 4 * time.Second
	zoneAway    = 4 * time.Second
	clockStep   = 10 * time.Second
	// dropAfter is how long targets keep a snapshot that a note has withdrawn.
	dropAfter = 50 * time.Millisecond
)

// fault is one row of the matrix.
type fault struct {
	name   string
	strike func(w *world, h *host, t *fakeTarget)
}

var faults = []*fault{
	{"straggler", func(_ *world, _ *host, t *fakeTarget) { t.slow = true }},
	{"replica lost", func(_ *world, _ *host, t *fakeTarget) { t.restart(); t.down = true }},
	{"index version retired", retireVersion},
	{"repartition", repartition},
	{"target cold unannounced", func(_ *world, _ *host, t *fakeTarget) { t.incarnation++; t.turnCold() }},
	{"target shedding", shedBriefly},
	{"target leaving", leave},
	{"connection refused", refuseBriefly},
	{"connection lost after the send", func(_ *world, _ *host, t *fakeTarget) { t.spoil = loseReply }},
	{"reply late", func(_ *world, _ *host, t *fakeTarget) { t.spoil = delayReply }},
	{"reply duplicated", func(_ *world, _ *host, t *fakeTarget) { t.spoil = duplicateReply }},
	{"reply crossed", func(_ *world, _ *host, t *fakeTarget) { t.spoil = crossReply }},
	{"reply truncated", func(_ *world, _ *host, t *fakeTarget) { t.spoil = truncateReply }},
	{"reply of another snapshot", func(_ *world, _ *host, t *fakeTarget) { t.spoil = otherSnapshot }},
	{"health endpoint lying", func(_ *world, _ *host, t *fakeTarget) { t.lying = true; t.restart() }},
	{"platform down", func(w *world, _ *host, _ *fakeTarget) { w.platform.down = true }},
	{"platform stale", func(w *world, _ *host, _ *fakeTarget) { w.platform.stale = true }},
	{"host paused", func(w *world, h *host, _ *fakeTarget) { h.pausedUntil = w.now + pauseLength }},
	{"host killed", func(w *world, h *host, _ *fakeTarget) { w.after(0, h.killIfAlive) }},
	{"partition", splitFleet},
	{"zone out", zoneOut},
	{"zone back", zoneOutAndBack},
	{"crashing request", crashRequest},
	{"caller gone", callerGone},
	{"caller resends elsewhere", resendElsewhere},
	{"note rejected", rejectNote},
	{"clock stepped", func(_ *world, h *host, _ *fakeTarget) { h.wallStep += clockStep }},
}

func (h *host) killIfAlive() {
	if !h.dead {
		h.kill()
	}
}

// retireVersion rolls the index over: targets hold both, then only the new one.
func retireVersion(w *world, _ *host, _ *fakeTarget) { w.rollOver(snapshotOf(2, "a", shardCount)) }

// repartition rolls over to a layout of fewer shards.
func repartition(w *world, _ *host, _ *fakeTarget) { w.rollOver(snapshotOf(3, "b", shardCount/2)) }

func (w *world) rollOver(next *release.Snapshot) {
	old := snapshotOf(1, "a", shardCount)
	if w.platform.hasSnapshot(next.Key()) {
		return
	}
	for _, t := range w.targets {
		t.held[next.Key()] = true
	}
	w.change(release.Item{Op: release.Add, Snapshot: next})
	w.after(briefFault, func() {
		if !w.platform.hasSnapshot(old.Key()) {
			return
		}
		w.change(release.Item{Op: release.Withdraw, Snapshot: old})
		w.after(dropAfter, func() { w.drop(old.Key()) })
	})
}

func (w *world) drop(key release.Key) {
	for _, name := range w.names {
		delete(w.targets[name].held, key)
	}
}

// hasSnapshot reports whether the notes so far leave the snapshot in force.
func (p *fakePlatform) hasSnapshot(key release.Key) bool {
	has := false
	for _, n := range p.notes {
		for i := range n.Items {
			if s := n.Items[i].Snapshot; s != nil && s.Key() == key {
				has = n.Items[i].Op != release.Withdraw
			}
		}
	}
	return has
}

func shedBriefly(w *world, _ *host, t *fakeTarget) {
	t.shedding = true
	w.after(briefFault, func() { t.shedding = false })
}

func leave(w *world, _ *host, t *fakeTarget) {
	t.leaving = true
	w.observer.leavingAt[t.name] = w.now
	w.after(2*stopNewWorkWithin, func() { t.down = true })
}

// refuseBriefly restarts a target that refuses connections until it is back.
func refuseBriefly(w *world, _ *host, t *fakeTarget) {
	t.restart()
	t.down = true
	w.after(briefFault, func() { t.down = false })
}

func loseReply(r *engine.Reply) []part {
	return []part{{reply: &engine.Reply{Attempt: r.Attempt, Target: r.Target, Outcome: engine.Lost, Elapsed: r.Elapsed, Disconnected: true}}}
}

// truncateReply is what the target client makes of a body that ends too soon.
func truncateReply(r *engine.Reply) []part {
	cut := *r
	if r.Outcome == engine.Answered {
		cut.Outcome = engine.Truncated
		cut.Hits = nil
	}
	return []part{{reply: &cut}}
}

func delayReply(r *engine.Reply) []part { return []part{{reply: r, delay: 2 * queryDeadline}} }

func duplicateReply(r *engine.Reply) []part {
	second := *r
	return []part{{reply: r}, {reply: &second}}
}

// crossReply gives one attempt's reply to an attempt at another shard; its own
// connection ends without one.
func crossReply(r *engine.Reply) []part {
	crossed := *r
	crossed.Attempt.Shard = (r.Attempt.Shard + 1) % 2
	return append([]part{{reply: &crossed}}, loseReply(r)...)
}

func otherSnapshot(r *engine.Reply) []part {
	if r.Outcome != engine.Answered || len(r.Hits) == 0 {
		return []part{{reply: r}}
	}
	other := *r
	body, _ := parseDoc(r.Hits[0].Doc)
	other.Snapshot.Version += 7
	other.Hits = hitsOf(other.Snapshot, r.Attempt.Shard, body.body)
	return []part{{reply: &other}}
}

// splitFleet cuts the first host off from the others for a while.
func splitFleet(w *world, _ *host, _ *fakeTarget) {
	w.wasSplit = true
	for i := 1; i < hostCount; i++ {
		w.cut[[2]int{0, i}] = true
	}
	w.after(partition, func() { clear(w.cut) })
}

func zoneOut(w *world, _ *host, t *fakeTarget) {
	w.observer.zoneOutAt[t.zone] = w.now
	w.change(release.Item{Op: release.Change, Zone: &release.Zone{Name: t.zone, Region: t.zone, Out: true}})
}

// zoneOutAndBack brings the zone back with all its targets cold together.
func zoneOutAndBack(w *world, h *host, t *fakeTarget) {
	zoneOut(w, h, t)
	w.after(zoneAway, func() {
		for _, name := range w.names {
			if other := w.targets[name]; other.zone == t.zone {
				other.restart()
			}
		}
		delete(w.observer.zoneOutAt, t.zone)
		w.change(release.Item{Op: release.Change, Zone: &release.Zone{Name: t.zone, Region: t.zone}})
	})
}

// callerGone ends the wait of a caller of the host.
func callerGone(w *world, h *host, _ *fakeTarget) {
	if c := w.waitingAt(h); c != nil {
		c.gone = true
		w.after(0, func() { h.deliver(&engine.CallerGone{Key: c.key}) })
	}
}

// resendElsewhere sends a waiting caller's query through another host as well.
func resendElsewhere(w *world, h *host, _ *fakeTarget) {
	other := w.hosts[(h.index+1)%len(w.hosts)]
	w.after(0, func() {
		if !other.dead && !other.stopping {
			w.submit(other, serviceName)
		}
	})
}

// waitingAt returns the caller of the host that has waited longest.
func (w *world) waitingAt(h *host) *caller {
	for key := uint64(1); key <= w.nextKey; key++ {
		r := w.observer.requests[key]
		if r != nil && r.caller.host == h && !r.caller.gone && r.answers == 0 {
			return r.caller
		}
	}
	return nil
}

// rejectNote publishes a note that every host must refuse.
func rejectNote(w *world, _ *host, _ *fakeTarget) {
	last := w.platform.notes[len(w.platform.notes)-1].Number
	w.platform.notes = append(w.platform.notes, &release.Note{
		Number:  last + 1,
		Follows: last,
		Items:   []release.Item{{Op: release.Withdraw, Target: &release.Target{Name: "nobody"}}},
	})
}
