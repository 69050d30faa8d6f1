package faultmatrix

import (
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
)

// Durations of the temporary faults.
const (
	shortFaultDuration = 500 * time.Millisecond
	pauseDuration      = 3 * time.Second
	partitionDuration  = 4 * time.Second
	zoneOutDuration    = 4 * time.Second
	clockStep          = 10 * time.Second
	// dropDelay is how long targets hold a snapshot after a note has withdrawn it.
	dropDelay = 50 * time.Millisecond
)

// fault is one row of the matrix.
type fault struct {
	name  string
	apply func(sim *simulation, h *host, t *fakeTarget)
}

var faults = []*fault{
	{"straggler", func(_ *simulation, _ *host, t *fakeTarget) { t.slow = true }},
	{"replica lost", func(_ *simulation, _ *host, t *fakeTarget) { t.restart(); t.down = true }},
	{"index version retired", retireVersion},
	{"repartition", repartition},
	{"target cold unannounced", func(_ *simulation, _ *host, t *fakeTarget) { t.incarnation++; t.turnCold() }},
	{"target shedding", shedTemporarily},
	{"target leaving", announceLeaving},
	{"connection refused", refuseConnections},
	{"connection lost after the send", func(_ *simulation, _ *host, t *fakeTarget) { t.replyFault = loseReply }},
	{"reply late", func(_ *simulation, _ *host, t *fakeTarget) { t.replyFault = delayReply }},
	{"reply duplicated", func(_ *simulation, _ *host, t *fakeTarget) { t.replyFault = duplicateReply }},
	{"reply crossed", func(_ *simulation, _ *host, t *fakeTarget) { t.replyFault = crossReply }},
	{"reply truncated", func(_ *simulation, _ *host, t *fakeTarget) { t.replyFault = truncateReply }},
	{"reply of another snapshot", func(_ *simulation, _ *host, t *fakeTarget) { t.replyFault = changeSnapshot }},
	{"health endpoint lying", func(_ *simulation, _ *host, t *fakeTarget) { t.falseHealth = true; t.restart() }},
	{"platform down", func(sim *simulation, _ *host, _ *fakeTarget) { sim.platform.down = true }},
	{"platform stale", func(sim *simulation, _ *host, _ *fakeTarget) { sim.platform.stale = true }},
	{"host paused", func(sim *simulation, h *host, _ *fakeTarget) { h.pausedUntil = sim.now + pauseDuration }},
	{"host killed", func(sim *simulation, h *host, _ *fakeTarget) { sim.after(0, h.killIfAlive) }},
	{"partition", partitionFleet},
	{"zone out", zoneOut},
	{"zone back", zoneOutAndBack},
	{"crashing request", crashRequest},
	{"caller gone", callerGone},
	{"caller resends elsewhere", resendElsewhere},
	{"note rejected", rejectNote},
	{"clock stepped", func(_ *simulation, h *host, _ *fakeTarget) { h.wallOffset += clockStep }},
}

func (h *host) killIfAlive() {
	if !h.dead {
		h.kill()
	}
}

// retireVersion rolls over to a new index version: targets hold both versions, then only
// the new one.
func retireVersion(sim *simulation, _ *host, _ *fakeTarget) {
	sim.rollOver(snapshotOf(2, "a", shardCount))
}

// repartition rolls over to a layout of fewer shards.
func repartition(sim *simulation, _ *host, _ *fakeTarget) {
	sim.rollOver(snapshotOf(3, "b", shardCount/2))
}

func (sim *simulation) rollOver(next *release.Snapshot) {
	old := snapshotOf(1, "a", shardCount)
	if sim.platform.hasSnapshot(next.Key()) {
		return
	}
	for _, t := range sim.targets {
		t.snapshots[next.Key()] = true
	}
	sim.publishChange(release.Item{Op: release.Add, Snapshot: next})
	sim.after(shortFaultDuration, func() {
		if !sim.platform.hasSnapshot(old.Key()) {
			return
		}
		sim.publishChange(release.Item{Op: release.Withdraw, Snapshot: old})
		sim.after(dropDelay, func() { sim.dropSnapshot(old.Key()) })
	})
}

func (sim *simulation) dropSnapshot(key release.SnapshotKey) {
	for _, name := range sim.targetNames {
		delete(sim.targets[name].snapshots, key)
	}
}

// hasSnapshot reports whether the snapshot is published and not withdrawn.
func (p *fakePlatform) hasSnapshot(key release.SnapshotKey) bool {
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

func shedTemporarily(sim *simulation, _ *host, t *fakeTarget) {
	t.shedding = true
	sim.after(shortFaultDuration, func() { t.shedding = false })
}

func announceLeaving(sim *simulation, _ *host, t *fakeTarget) {
	t.leaving = true
	sim.observer.leavingSince[t.name] = sim.now
	sim.after(2*stopNewWorkLimit, func() { t.down = true })
}

// refuseConnections restarts a target, which refuses connections for shortFaultDuration.
func refuseConnections(sim *simulation, _ *host, t *fakeTarget) {
	t.restart()
	t.down = true
	sim.after(shortFaultDuration, func() { t.down = false })
}

func loseReply(r *engine.AttemptResult) []delivery {
	return []delivery{{reply: &engine.AttemptResult{Attempt: r.Attempt, Target: r.Target, Outcome: engine.Lost, Elapsed: r.Elapsed, Disconnected: true}}}
}

// truncateReply returns the outcome that the target client reports for a truncated body.
func truncateReply(r *engine.AttemptResult) []delivery {
	cut := *r
	if r.Outcome == engine.Answered {
		cut.Outcome = engine.Truncated
		cut.Hits = nil
	}
	return []delivery{{reply: &cut}}
}

func delayReply(r *engine.AttemptResult) []delivery {
	return []delivery{{reply: r, delay: 2 * queryDeadline}}
}

func duplicateReply(r *engine.AttemptResult) []delivery {
	second := *r
	return []delivery{{reply: r}, {reply: &second}}
}

// crossReply delivers the reply to an attempt at another shard. The attempt that it
// belongs to loses its connection.
func crossReply(r *engine.AttemptResult) []delivery {
	crossed := *r
	crossed.Attempt.Shard = (r.Attempt.Shard + 1) % 2
	return append([]delivery{{reply: &crossed}}, loseReply(r)...)
}

func changeSnapshot(r *engine.AttemptResult) []delivery {
	if r.Outcome != engine.Answered || len(r.Hits) == 0 {
		return []delivery{{reply: r}}
	}
	other := *r
	origin, _ := parseDoc(r.Hits[0].Doc)
	other.Snapshot.Version += 7
	other.Hits = hitsOf(other.Snapshot, r.Attempt.Shard, origin.body)
	return []delivery{{reply: &other}}
}

// partitionFleet cuts the links between the first host and the others for
// partitionDuration.
func partitionFleet(sim *simulation, _ *host, _ *fakeTarget) {
	sim.wasPartitioned = true
	for i := 1; i < hostCount; i++ {
		sim.cutLinks[[2]int{0, i}] = true
	}
	sim.after(partitionDuration, func() { clear(sim.cutLinks) })
}

func zoneOut(sim *simulation, _ *host, t *fakeTarget) {
	sim.observer.zoneOutSince[t.zone] = sim.now
	sim.publishChange(release.Item{Op: release.Change, Zone: &release.Zone{Name: t.zone, Region: t.zone, OutOfService: true}})
}

// zoneOutAndBack takes the zone out and brings it back with all its targets cold at the
// same time.
func zoneOutAndBack(sim *simulation, h *host, t *fakeTarget) {
	zoneOut(sim, h, t)
	sim.after(zoneOutDuration, func() {
		for _, name := range sim.targetNames {
			if other := sim.targets[name]; other.zone == t.zone {
				other.restart()
			}
		}
		delete(sim.observer.zoneOutSince, t.zone)
		sim.publishChange(release.Item{Op: release.Change, Zone: &release.Zone{Name: t.zone, Region: t.zone}})
	})
}

// callerGone disconnects the host's longest waiting caller.
func callerGone(sim *simulation, h *host, _ *fakeTarget) {
	if c := sim.longestWaiting(h); c != nil {
		c.gone = true
		sim.after(0, func() { h.deliver(&engine.CallerGone{Key: c.key}) })
	}
}

// resendElsewhere submits a query through another host, in place of a caller that resends.
// The query has a key and a body of its own.
func resendElsewhere(sim *simulation, h *host, _ *fakeTarget) {
	other := sim.hosts[(h.index+1)%len(sim.hosts)]
	sim.after(0, func() {
		if !other.dead && !other.stopping {
			sim.submit(other, queryService)
		}
	})
}

// longestWaiting returns the host's caller that has waited longest, or nil.
func (sim *simulation) longestWaiting(h *host) *caller {
	for key := uint64(1); key <= sim.nextKey; key++ {
		r := sim.observer.requests[key]
		if r != nil && r.caller.host == h && !r.caller.gone && r.answers == 0 {
			return r.caller
		}
	}
	return nil
}

// rejectNote publishes a note that every host must refuse.
func rejectNote(sim *simulation, _ *host, _ *fakeTarget) {
	last := sim.platform.notes[len(sim.platform.notes)-1].Number
	sim.platform.notes = append(sim.platform.notes, &release.Note{
		Number:  last + 1,
		Follows: last,
		Items:   []release.Item{{Op: release.Withdraw, Target: &release.Target{Name: "nobody"}}},
	})
}
