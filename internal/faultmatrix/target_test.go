package faultmatrix

import (
	"fmt"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/target"
)

const (
	usualWorkTime = 8 * time.Millisecond
	slowWorkTime  = 400 * time.Millisecond
	coldWorkTime  = 100 * time.Millisecond
	healthDelay   = 300 * time.Millisecond
	runsToWarm    = 8
)

// runKey identifies a request that one generation of a host runs at a target.
type runKey struct {
	host, generation int
	attempt          query.AttemptID
	// run is set instead of attempt for a non-idempotent request.
	run uint64
}

func keyOf(h *host, id query.AttemptID) runKey {
	return runKey{host: h.index, generation: h.generation, attempt: id}
}

// fakeTarget simulates a target at the engine's interface.
type fakeTarget struct {
	sim         *simulation
	name        string
	zone        string
	shard       int32
	incarnation uint64
	snapshots   map[release.SnapshotKey]bool
	running     map[runKey]bool
	// completedRuns counts the completed runs since the target turned cold; the target is
	// warm after runsToWarm of them.
	completedRuns int
	cold          bool
	leaving       bool
	down          bool
	shedding      bool
	slow          bool
	falseHealth   bool
	// replyFault turns the next reply into what the host receives; nil alters nothing.
	replyFault func(r *engine.AttemptResult) []delivery
}

// delivery is one message that a reply fault yields, and its extra delay.
type delivery struct {
	reply *engine.AttemptResult
	delay time.Duration
}

// receiveAttempt refuses the request or starts to run it.
func (t *fakeTarget) receiveAttempt(h *host, generation int, s engine.Send) {
	t.sim.inject(stepSend, h, t)
	r := &engine.AttemptResult{Attempt: s.Attempt, Target: s.Target}
	if t.down {
		r.Outcome = engine.Unreachable
		r.Disconnected = true
		t.reply(h, generation, r)
		return
	}
	t.sim.observer.workReceived(h, t)
	t.setTargetState(r)
	switch {
	case !t.snapshots[s.Snapshot.Key()]:
		r.Outcome = engine.SnapshotGone
		t.reply(h, generation, r)
	case t.shedding || len(t.running) >= targetSlots:
		r.Outcome = engine.Shed
		t.reply(h, generation, r)
	default:
		t.startAttempt(h, generation, s, r)
	}
}

func (t *fakeTarget) setTargetState(r *engine.AttemptResult) {
	r.Incarnation = t.incarnation
	r.Cold = t.cold
	r.Leaving = t.leaving
}

func (t *fakeTarget) startAttempt(h *host, generation int, s engine.Send, r *engine.AttemptResult) {
	key := runKey{host: h.index, generation: generation, attempt: s.Attempt}
	t.running[key] = true
	t.sim.observer.attemptStarted(t, &s)
	work := usualWorkTime
	switch {
	case t.slow:
		work = slowWorkTime
	case t.cold:
		work = coldWorkTime
	}
	incarnation := t.incarnation
	t.sim.after(work/2, func() {
		t.sim.inject(stepRunning, h, t)
		if string(s.Request.Body) == crashBody && t.incarnation == incarnation {
			t.crash()
		}
	})
	t.sim.after(work, func() {
		if t.incarnation != incarnation {
			return
		}
		if !t.running[key] {
			r.Outcome = engine.Cancelled
			t.reply(h, generation, r)
			return
		}
		t.endRun(key)
		t.answerAttempt(h, generation, s, r, work)
	})
}

func (t *fakeTarget) endRun(key runKey) {
	delete(t.running, key)
	if !t.cold {
		return
	}
	t.completedRuns++
	if t.completedRuns >= runsToWarm {
		t.cold = false
	}
}

func (t *fakeTarget) answerAttempt(h *host, generation int, s engine.Send, r *engine.AttemptResult, work time.Duration) {
	r.Outcome = engine.Answered
	r.Snapshot = s.Snapshot.Key()
	r.Elapsed = work
	r.Hits = hitsOf(r.Snapshot, s.Attempt.Shard, string(s.Request.Body))
	t.setTargetState(r)
	t.reply(h, generation, r)
}

// hitsOf returns documents that name their origin, for the observer; see parseDoc.
func hitsOf(snap release.SnapshotKey, shard int32, body string) []query.Hit {
	hits := make([]query.Hit, hitsPerShard)
	for i := range hits {
		hits[i] = query.Hit{
			Doc:   fmt.Sprintf("%s %d/%s %d %d", body, snap.Version, snap.Layout, shard, i),
			Score: float64(i),
		}
	}
	return hits
}

// reply delivers the end of an attempt to the host.
func (t *fakeTarget) reply(h *host, generation int, r *engine.AttemptResult) {
	t.sim.inject(stepReply, h, t)
	for _, d := range t.applyReplyFault(r) {
		t.sim.after(networkDelay+d.delay, func() { t.deliverReply(h, generation, d.reply) })
	}
}

// applyReplyFault returns what the host receives for a reply, and clears the pending fault.
func (t *fakeTarget) applyReplyFault(r *engine.AttemptResult) []delivery {
	replyFault := t.replyFault
	t.replyFault = nil
	if replyFault == nil {
		return []delivery{{reply: r}}
	}
	return replyFault(r)
}

func (t *fakeTarget) deliverReply(h *host, generation int, r *engine.AttemptResult) {
	if h.generation != generation {
		return
	}
	h.whenResumed(func() {
		t.sim.observer.replyReceived(h, t, r)
		h.deliver(r)
	})
}

func (t *fakeTarget) cancel(h *host, generation int, id query.AttemptID) {
	delete(t.running, runKey{host: h.index, generation: generation, attempt: id})
}

// restart ends the target's process and starts it cold. Running requests are lost.
func (t *fakeTarget) restart() {
	for key := range t.running {
		if key.run != 0 {
			continue
		}
		h := t.sim.hosts[key.host]
		id := h.engine.Targets().Lookup(t.name)
		r := &engine.AttemptResult{Attempt: key.attempt, Target: id, Outcome: engine.Lost, Disconnected: true}
		t.sim.after(networkDelay, func() { t.deliverReply(h, key.generation, r) })
	}
	t.incarnation++
	t.running = map[runKey]bool{}
	t.turnCold()
}

// turnCold makes the target cold. By itself it stands for a target that loses its caches
// but keeps running.
func (t *fakeTarget) turnCold() {
	t.cold = true
	t.completedRuns = 0
	t.sim.observer.targetTurnedCold(t)
}

func (t *fakeTarget) health(id target.ID) *engine.HealthReport {
	ev := &engine.HealthReport{Target: id, Reachable: true, Incarnation: t.incarnation, Cold: t.cold, Leaving: t.leaving}
	if t.falseHealth {
		ev.Incarnation, ev.Cold, ev.Leaving = 1, false, false
	}
	for key := range t.snapshots {
		ev.Snapshots = append(ev.Snapshots, key)
	}
	return ev
}
