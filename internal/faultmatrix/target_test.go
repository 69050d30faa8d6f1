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
	usualWork = 8 * time.Millisecond
	slowWork  = 400 * time.Millisecond
	coldWork  = 100 * time.Millisecond
	healthLag = 300 * time.Millisecond
	warmAfter = 8
)

// runKey names one attempt of one host's life at a target.
type runKey struct {
	host, life int
	attempt    query.AttemptID
	// run is set instead of attempt for a request that may not be repeated.
	run uint64
}

func keyOf(h *host, id query.AttemptID) runKey {
	return runKey{host: h.index, life: h.life, attempt: id}
}

// fakeTarget is a target at the engine's interface.
type fakeTarget struct {
	w           *world
	name        string
	zone        string
	shard       int32
	incarnation uint64
	held        map[release.Key]bool
	running     map[runKey]bool
	// cleanRuns counts what a cold target has run to its end; enough of it warms.
	cleanRuns int
	cold      bool
	leaving   bool
	down      bool
	shedding  bool
	slow      bool
	lying     bool
	// spoil changes the next reply; nil leaves it.
	spoil func(r *engine.Reply) []part
}

// part is one message that a spoiled reply becomes.
type part struct {
	reply *engine.Reply
	delay time.Duration
}

// arrive is the request reaching the target.
func (t *fakeTarget) arrive(h *host, life int, s engine.Send) {
	t.w.inject(stepSend, h, t)
	r := &engine.Reply{Attempt: s.Attempt, Target: s.Target}
	if t.down {
		r.Outcome = engine.Unreachable
		r.Disconnected = true
		t.reply(h, life, r)
		return
	}
	t.w.observer.received(h, t)
	t.sign(r)
	switch {
	case !t.held[s.Snapshot.Key()]:
		r.Outcome = engine.SnapshotGone
		t.reply(h, life, r)
	case t.shedding || len(t.running) >= targetSlots:
		r.Outcome = engine.Shed
		t.reply(h, life, r)
	default:
		t.begin(h, life, s, r)
	}
}

func (t *fakeTarget) sign(r *engine.Reply) {
	r.Incarnation = t.incarnation
	r.Cold = t.cold
	r.Leaving = t.leaving
}

func (t *fakeTarget) begin(h *host, life int, s engine.Send, r *engine.Reply) {
	key := runKey{host: h.index, life: life, attempt: s.Attempt}
	t.running[key] = true
	t.w.observer.began(t, &s)
	work := usualWork
	switch {
	case t.slow:
		work = slowWork
	case t.cold:
		work = coldWork
	}
	incarnation := t.incarnation
	t.w.after(work/2, func() {
		t.w.inject(stepRunning, h, t)
		if string(s.Request.Body) == crashBody && t.incarnation == incarnation {
			t.crash()
		}
	})
	t.w.after(work, func() {
		if t.incarnation != incarnation {
			return
		}
		if !t.running[key] {
			r.Outcome = engine.Cancelled
			t.reply(h, life, r)
			return
		}
		t.end(key)
		t.finish(h, life, s, r, work)
	})
}

func (t *fakeTarget) end(key runKey) {
	delete(t.running, key)
	if !t.cold {
		return
	}
	t.cleanRuns++
	if t.cleanRuns >= warmAfter {
		t.cold = false
	}
}

func (t *fakeTarget) finish(h *host, life int, s engine.Send, r *engine.Reply, work time.Duration) {
	r.Outcome = engine.Answered
	r.Snapshot = s.Snapshot.Key()
	r.Elapsed = work
	r.Hits = hitsOf(r.Snapshot, s.Attempt.Shard, string(s.Request.Body))
	t.sign(r)
	t.reply(h, life, r)
}

// hitsOf makes documents that name where they come from, for the observer.
func hitsOf(snap release.Key, shard int32, body string) []query.Hit {
	hits := make([]query.Hit, hitsWanted)
	for i := range hits {
		hits[i] = query.Hit{
			Doc:   fmt.Sprintf("%s %d/%s %d %d", body, snap.Version, snap.Layout, shard, i),
			Score: float64(i),
		}
	}
	return hits
}

// reply carries the end of an attempt back to the host.
func (t *fakeTarget) reply(h *host, life int, r *engine.Reply) {
	t.w.inject(stepReply, h, t)
	for _, p := range t.spoiled(r) {
		t.w.after(networkDelay+p.delay, func() { t.handOver(h, life, p.reply) })
	}
}

// spoiled returns what becomes of a reply, once for each fault that struck.
func (t *fakeTarget) spoiled(r *engine.Reply) []part {
	spoil := t.spoil
	t.spoil = nil
	if spoil == nil {
		return []part{{reply: r}}
	}
	return spoil(r)
}

func (t *fakeTarget) handOver(h *host, life int, r *engine.Reply) {
	if h.life != life {
		return
	}
	h.whenAwake(func() {
		t.w.observer.replied(h, t, r)
		h.deliver(r)
	})
}

func (t *fakeTarget) cancel(h *host, life int, id query.AttemptID) {
	delete(t.running, runKey{host: h.index, life: life, attempt: id})
}

// restart is the target's process dying and starting cold; what ran is lost.
func (t *fakeTarget) restart() {
	for key := range t.running {
		if key.run != 0 {
			continue
		}
		h := t.w.hosts[key.host]
		id := h.engine.Targets().Lookup(t.name)
		r := &engine.Reply{Attempt: key.attempt, Target: id, Outcome: engine.Lost, Disconnected: true}
		t.w.after(networkDelay, func() { t.handOver(h, key.life, r) })
	}
	t.incarnation++
	t.running = map[runKey]bool{}
	t.turnCold()
}

// turnCold empties the caches of a target that goes on running.
func (t *fakeTarget) turnCold() {
	t.cold = true
	t.cleanRuns = 0
	t.w.observer.turnedCold(t)
}

func (t *fakeTarget) health(id target.ID) *engine.Health {
	ev := &engine.Health{Target: id, Reachable: true, Incarnation: t.incarnation, Cold: t.cold, Leaving: t.leaving}
	if t.lying {
		ev.Incarnation, ev.Cold, ev.Leaving = 1, false, false
	}
	for key := range t.held {
		ev.Snapshots = append(ev.Snapshots, key)
	}
	return ev
}
