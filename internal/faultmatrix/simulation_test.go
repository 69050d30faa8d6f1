package faultmatrix

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"time"

	"pollentack.example/pollentack/internal/core/callschedule"
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/quarantine"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
)

// wallClockStart is the wall-clock time at which every simulation starts.
const wallClockStart = 1_800_000_000 * time.Second

// Delays and periods of the fakes.
const (
	networkDelay     = time.Millisecond
	platformDelay    = 20 * time.Millisecond
	platformPoll     = 200 * time.Millisecond
	healthPoll       = 500 * time.Millisecond
	tickPeriod       = 100 * time.Millisecond
	restartDelay     = time.Second
	peerStateTimeout = 500 * time.Millisecond
)

// timer is a scheduled call. seq orders timers that are due at the same time.
type timer struct {
	at  time.Duration
	seq int
	run func()
}

type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation runs the cores of a few hosts against fakes under one virtual clock.
type simulation struct {
	now   time.Duration
	seq   int
	queue timerQueue
	rng   *rand.Rand

	hosts         []*host
	targets       map[string]*fakeTarget
	targetNames   []string
	platform      fakePlatform
	observer      *observer
	plan          []*injection
	onceWaiters   map[uint64]func(*engine.OnceAnswer)
	canaryWaiters map[uint64]func(quarantine.LeaseAnswer)
	nextKey       uint64
	// cutLinks holds the pairs of host indexes, the lower first, whose link is down.
	cutLinks map[[2]int]bool
	// wasPartitioned is set when the fleet is first partitioned and is not cleared.
	wasPartitioned bool
	// mutation alters effects or events in mutation tests; nil alters nothing.
	mutation mutation
}

// mutation alters one decision of a core, to show that a check can fail.
type mutation interface {
	mutateEffects(h *host, fx *engine.Effects)
	mutateEvent(h *host, ev engine.Event) engine.Event
}

// caller is a caller with one request.
type caller struct {
	key       uint64
	body      string
	host      *host
	submitted time.Duration
	deadline  time.Duration
	gone      bool
}

// host is one host: its cores and its simulated state.
type host struct {
	sim     *simulation
	index   int
	engine  *engine.Engine
	control *control.Control
	// pausedUntil is the time to which a paused host defers everything delivered to it.
	pausedUntil time.Duration
	wallOffset  time.Duration
	started     time.Duration
	dead        bool
	stopping    bool
	timerDue    time.Duration
	generation  int
	// targetFacts holds the newest facts that the host has sent or received, by target.
	targetFacts map[string]engine.TargetFact
	// convictions holds the merged convictions that the host has sent or received, by
	// fingerprint.
	convictions map[uint64]engine.QuarantineFact
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rng:           rand.New(rand.NewPCG(seed, 1)),
		targets:       map[string]*fakeTarget{},
		onceWaiters:   map[uint64]func(*engine.OnceAnswer){},
		canaryWaiters: map[uint64]func(quarantine.LeaseAnswer){},
		cutLinks:      map[[2]int]bool{},
	}
	sim.observer = newObserver(sim)
	return sim
}

func (sim *simulation) after(delay time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, timer{at: sim.now + delay, seq: sim.seq, run: do})
}

// run runs the timers that are due up to the virtual time end, inclusive.
func (sim *simulation) run(end time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		next := heap.Pop(&sim.queue).(timer)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

func (sim *simulation) startHost(index int) *host {
	h := &host{sim: sim, index: index}
	h.boot()
	sim.hosts = append(sim.hosts, h)
	return h
}

// boot starts the host with new cores and no state of an earlier generation.
func (h *host) boot() {
	h.generation++
	h.dead = false
	h.stopping = false
	h.started = h.sim.now
	h.timerDue = -1
	h.targetFacts = map[string]engine.TargetFact{}
	h.convictions = map[uint64]engine.QuarantineFact{}
	h.engine = engine.New(engine.Config{
		Host:             hostName(h.index),
		Zone:             zoneOf(h.index),
		Seed:             uint64(h.index + 1),
		MaxQueries:       1000,
		Hedge:            true,
		PeerStateTimeout: peerStateTimeout,
		Once:             onceConfig(h),
	})
	h.control = control.New(callschedule.Config{Host: hostName(h.index), Zone: zoneOf(h.index)})
	generation := h.generation
	h.sim.after(platformDelay, func() { h.poll(generation) })
	h.sim.after(tickPeriod, func() { h.tick(generation) })
	h.sim.after(healthPoll, func() { h.pollHealth(generation) })
	h.sim.after(platformDelay+tickPeriod, func() { h.loadPeerFacts(generation) })
}

func hostName(index int) string { return fmt.Sprintf("host-%d", index+1) }

func zoneOf(index int) string { return zones[index%len(zones)] }

func (h *host) instant() clock.Instant {
	mono := h.sim.now - h.started
	return clock.Instant{Mono: mono, Wall: wallClockStart + h.sim.now + h.wallOffset}
}

// whenResumed calls f now, or at the end of a pause. It drops f if the host is dead or has
// restarted by then.
func (h *host) whenResumed(f func()) {
	if wait := h.pausedUntil - h.sim.now; wait > 0 {
		generation := h.generation
		h.sim.after(wait, func() {
			if h.generation == generation {
				h.whenResumed(f)
			}
		})
		return
	}
	if !h.dead {
		f()
	}
}

// deliver steps the engine with an event.
func (h *host) deliver(ev engine.Event) {
	h.whenResumed(func() {
		if h.sim.mutation != nil {
			ev = h.sim.mutation.mutateEvent(h, ev)
		}
		h.sim.observer.eventDelivered(h, ev)
		var fx engine.Effects
		h.engine.Step(h.instant(), ev, &fx)
		h.applyEffects(&fx)
	})
}

// tick advances the engine every tickPeriod.
func (h *host) tick(generation int) {
	if h.generation != generation || h.dead {
		return
	}
	h.whenResumed(h.advance)
	h.sim.after(tickPeriod, func() { h.tick(generation) })
}

func (h *host) advance() {
	var fx engine.Effects
	h.engine.Advance(h.instant(), &fx)
	h.applyEffects(&fx)
}

// armTimer schedules the engine's next timer.
func (h *host) armTimer() {
	due, ok := h.engine.NextWake()
	if !ok || (h.timerDue >= h.sim.now && h.timerDue <= h.started+due) {
		return
	}
	h.timerDue = h.started + due
	generation := h.generation
	h.sim.after(max(0, h.timerDue-h.sim.now), func() {
		if h.generation == generation {
			h.whenResumed(h.advance)
		}
	})
}

func (h *host) applyEffects(fx *engine.Effects) {
	if h.sim.mutation != nil {
		h.sim.mutation.mutateEffects(h, fx)
	}
	for i := range fx.Answers {
		h.returnAnswer(fx.Answers[i])
	}
	for i := range fx.Cancels {
		h.cancelAttempt(fx.Cancels[i])
	}
	for i := range fx.Sends {
		h.sendAttempt(fx.Sends[i])
	}
	h.applyOnceEffects(&fx.OnceEffects)
	h.applyCanaryEffects(fx)
	h.broadcastFacts(fx)
	h.armTimer()
}

func (sim *simulation) isCut(a, b int) bool { return sim.cutLinks[[2]int{min(a, b), max(a, b)}] }

// submit sends a new query to the host and returns its caller.
func (sim *simulation) submit(h *host, service string) *caller {
	sim.nextKey++
	c := &caller{
		key:       sim.nextKey,
		body:      fmt.Sprintf("q%d", sim.nextKey),
		host:      h,
		submitted: sim.now,
		deadline:  sim.now + queryDeadline,
	}
	sim.inject(stepAdmission, h, nil)
	sim.deliverRequest(c, h, service)
	return c
}

// deliverRequest sends the caller's request to a host.
func (sim *simulation) deliverRequest(c *caller, h *host, service string) {
	sim.observer.requestSubmitted(c, h)
	h.deliver(&engine.Submit{Request: &query.Request{
		Key:     c.key,
		KeyHash: sha256.Sum256([]byte(callerKey)),
		Service: service,
		Body:    []byte(c.body),
		Limit:   hitsPerShard * shardCount,
	}})
}

func (h *host) returnAnswer(a engine.Answer) {
	a.Hits = append([]query.Hit(nil), a.Hits...)
	h.sim.inject(stepAnswer, h, nil)
	h.sim.observer.requestAnswered(h, &a)
}

// sendAttempt delivers one attempt to its target.
func (h *host) sendAttempt(s engine.Send) {
	t := h.sim.targets[s.Spec.Name]
	h.sim.observer.attemptSent(h, t, &s)
	step := stepConnect
	if s.Attempt.Try > 0 {
		step = h.sim.observer.tryStep(h, &s)
	}
	h.sim.inject(step, h, t)
	generation := h.generation
	h.sim.after(networkDelay, func() { t.receiveAttempt(h, generation, s) })
}

func (h *host) cancelAttempt(x engine.Cancel) {
	t := h.sim.targets[x.Spec.Name]
	generation := h.generation
	h.sim.after(networkDelay, func() { t.cancel(h, generation, x.Attempt) })
}

// poll applies the platform's notes above the active one, every platformPoll.
func (h *host) poll(generation int) {
	if h.generation != generation || h.dead {
		return
	}
	h.whenResumed(func() {
		for _, n := range h.sim.platform.read(h.control.Number()) {
			h.applyNote(n)
		}
	})
	h.sim.after(platformPoll, func() { h.poll(generation) })
}

// applyNote steps the control core with a note, and the engine with the state that results.
func (h *host) applyNote(n *release.Note) {
	h.sim.inject(stepNote, h, nil)
	var fx control.Effects
	h.control.Step(h.instant(), &control.NoteRead{Number: n.Number, Note: n}, &fx)
	if fx.InForce == nil {
		return
	}
	h.deliver(&engine.Release{State: fx.InForce})
}

func (h *host) pollHealth(generation int) {
	if h.generation != generation || h.dead {
		return
	}
	for _, name := range h.sim.targetNames {
		t := h.sim.targets[name]
		id := h.engine.Targets().Lookup(name)
		if id < 0 || t.down {
			continue
		}
		ev := t.health(id)
		h.sim.after(healthDelay, func() {
			if h.generation == generation {
				h.deliver(ev)
			}
		})
	}
	h.sim.after(healthPoll, func() { h.pollHealth(generation) })
}

// kill ends the host at once; it restarts without state after restartDelay.
func (h *host) kill() {
	h.dead = true
	h.generation++
	h.sim.observer.hostKilled(h)
	h.sim.after(restartDelay, h.boot)
}
