package faultmatrix

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/quarantine"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/watch"
)

// epoch is the wall-clock time at which every world begins.
const epoch = 1_800_000_000 * time.Second

// Delays of the fakes.
const (
	networkDelay  = time.Millisecond
	platformDelay = 20 * time.Millisecond
	platformPoll  = 200 * time.Millisecond
	healthPoll    = 500 * time.Millisecond
	tickPeriod    = 100 * time.Millisecond
	restartDelay  = time.Second
	hostSettle    = 500 * time.Millisecond
)

// item is one thing that will happen; seq keeps equal times in order.
type item struct {
	at  time.Duration
	seq int
	do  func()
}

type itemQueue []item

func (q itemQueue) Len() int { return len(q) }

func (q itemQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q itemQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *itemQueue) Push(x any) { *q = append(*q, x.(item)) }

func (q *itemQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// world is the fakes round a few hosts' cores, under one virtual clock.
type world struct {
	now   time.Duration
	seq   int
	queue itemQueue
	rng   *rand.Rand

	hosts    []*host
	targets  map[string]*fakeTarget
	names    []string
	platform fakePlatform
	observer *observer
	plan     []*injection
	asked    map[uint64]func(*engine.OnceAnswer)
	judged   map[uint64]func(quarantine.Answer)
	nextKey  uint64
	// cut holds the pairs of hosts whose link is down.
	cut map[[2]int]bool
	// wasSplit is set once a link was cut.
	wasSplit bool
	// mutate spoils effects or events in mutation tests; nil leaves them.
	mutate mutation
}

// mutation spoils one decision of a core, to show that a check can fail.
type mutation interface {
	effects(h *host, fx *engine.Effects)
	event(h *host, ev engine.Event) engine.Event
}

// caller is one caller that waits for its answer.
type caller struct {
	key       uint64
	body      string
	host      *host
	submitted time.Duration
	deadline  time.Duration
	gone      bool
}

// host is one entry host: its cores, and what the fakes do to it.
type host struct {
	w       *world
	index   int
	engine  *engine.Engine
	control *control.Control
	// pausedUntil defers all that reaches the host.
	pausedUntil time.Duration
	wallStep    time.Duration
	started     time.Duration
	dead        bool
	stopping    bool
	wakeAt      time.Duration
	life        int
	// heard holds the newest facts that the host told or was told, by target.
	heard map[string]engine.TargetFact
	// convicted holds what counts against each fingerprint, in the same way.
	convicted map[uint64]engine.Conviction
}

func newWorld(seed uint64) *world {
	w := &world{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		targets: map[string]*fakeTarget{},
		asked:   map[uint64]func(*engine.OnceAnswer){},
		judged:  map[uint64]func(quarantine.Answer){},
		cut:     map[[2]int]bool{},
	}
	w.observer = newObserver(w)
	return w
}

func (w *world) after(delay time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, item{at: w.now + delay, seq: w.seq, do: do})
}

// run lets everything happen up to the virtual time end.
func (w *world) run(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(item)
		w.now = next.at
		next.do()
	}
	w.now = end
}

func (w *world) startHost(index int) *host {
	h := &host{w: w, index: index}
	h.boot()
	w.hosts = append(w.hosts, h)
	return h
}

// boot gives the host new cores: nothing of an earlier life is left.
func (h *host) boot() {
	h.life++
	h.dead = false
	h.stopping = false
	h.started = h.w.now
	h.wakeAt = -1
	h.heard = map[string]engine.TargetFact{}
	h.convicted = map[uint64]engine.Conviction{}
	h.engine = engine.New(engine.Config{
		Host:       hostName(h.index),
		Zone:       zoneOf(h.index),
		Seed:       uint64(h.index + 1),
		MaxQueries: 1000,
		Hedge:      true,
		Settle:     hostSettle,
		Once:       onceConfig(h),
	})
	h.control = control.New(watch.Config{Host: hostName(h.index), Zone: zoneOf(h.index)})
	life := h.life
	h.w.after(platformDelay, func() { h.poll(life) })
	h.w.after(tickPeriod, func() { h.tick(life) })
	h.w.after(healthPoll, func() { h.pollHealth(life) })
	h.w.after(platformDelay+tickPeriod, func() { h.catchUp(life) })
}

func hostName(index int) string { return fmt.Sprintf("host-%d", index+1) }

func zoneOf(index int) string { return zones[index%len(zones)] }

func (h *host) instant() clock.Instant {
	mono := h.w.now - h.started
	return clock.Instant{Mono: mono, Wall: epoch + h.w.now + h.wallStep}
}

// whenAwake does f now, or when the host wakes; a dead host or a later life does nothing.
func (h *host) whenAwake(f func()) {
	if wait := h.pausedUntil - h.w.now; wait > 0 {
		life := h.life
		h.w.after(wait, func() {
			if h.life == life {
				h.whenAwake(f)
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
	h.whenAwake(func() {
		if h.w.mutate != nil {
			ev = h.w.mutate.event(h, ev)
		}
		h.w.observer.taken(h, ev)
		var fx engine.Effects
		h.engine.Step(h.instant(), ev, &fx)
		h.carryOut(&fx)
	})
}

// tick is the host's regular wake-up.
func (h *host) tick(life int) {
	if h.life != life || h.dead {
		return
	}
	h.whenAwake(h.advance)
	h.w.after(tickPeriod, func() { h.tick(life) })
}

func (h *host) advance() {
	var fx engine.Effects
	h.engine.Advance(h.instant(), &fx)
	h.carryOut(&fx)
}

// armWake schedules the engine's next timer.
func (h *host) armWake() {
	due, ok := h.engine.NextWake()
	if !ok || (h.wakeAt >= h.w.now && h.wakeAt <= h.started+due) {
		return
	}
	h.wakeAt = h.started + due
	life := h.life
	h.w.after(max(0, h.wakeAt-h.w.now), func() {
		if h.life == life {
			h.whenAwake(h.advance)
		}
	})
}

func (h *host) carryOut(fx *engine.Effects) {
	if h.w.mutate != nil {
		h.w.mutate.effects(h, fx)
	}
	for i := range fx.Answers {
		h.answer(fx.Answers[i])
	}
	for i := range fx.Cancels {
		h.cancel(fx.Cancels[i])
	}
	for i := range fx.Sends {
		h.send(fx.Sends[i])
	}
	h.carryOutOnce(&fx.OnceEffects)
	h.carryOutCanary(fx)
	h.spread(fx)
	h.armWake()
}

func (w *world) isCut(a, b int) bool { return w.cut[[2]int{min(a, b), max(a, b)}] }

// submit sends one query of a caller to the host.
func (w *world) submit(h *host, service string) *caller {
	w.nextKey++
	c := &caller{
		key:       w.nextKey,
		body:      fmt.Sprintf("q%d", w.nextKey),
		host:      h,
		submitted: w.now,
		deadline:  w.now + queryDeadline,
	}
	w.inject(stepAdmission, h, nil)
	w.resend(c, h, service)
	return c
}

// resend hands the caller's request to a host.
func (w *world) resend(c *caller, h *host, service string) {
	w.observer.submitted(c, h)
	h.deliver(&engine.Submit{Request: &query.Request{
		Key:     c.key,
		KeyHash: sha256.Sum256([]byte(callerKey)),
		Service: service,
		Body:    []byte(c.body),
		Limit:   hitsWanted * shardCount,
	}})
}

func (h *host) answer(a engine.Answer) {
	a.Hits = append([]query.Hit(nil), a.Hits...)
	h.w.inject(stepAnswer, h, nil)
	h.w.observer.answered(h, &a)
}

// send carries one attempt to its target and its reply back.
func (h *host) send(s engine.Send) {
	t := h.w.targets[s.Spec.Name]
	h.w.observer.sent(h, t, &s)
	step := stepConnect
	if s.Attempt.Try > 0 {
		step = h.w.observer.tryStep(h, &s)
	}
	h.w.inject(step, h, t)
	life := h.life
	h.w.after(networkDelay, func() { t.arrive(h, life, s) })
}

func (h *host) cancel(x engine.Cancel) {
	t := h.w.targets[x.Spec.Name]
	life := h.life
	h.w.after(networkDelay, func() { t.cancel(h, life, x.Attempt) })
}

// poll reads what the platform publishes above what is in force.
func (h *host) poll(life int) {
	if h.life != life || h.dead {
		return
	}
	h.whenAwake(func() {
		for _, n := range h.w.platform.read(h.control.Number()) {
			h.fold(n)
		}
	})
	h.w.after(platformPoll, func() { h.poll(life) })
}

// fold steps the control core with a note and the engine with what it puts in force.
func (h *host) fold(n *release.Note) {
	h.w.inject(stepFold, h, nil)
	var fx control.Effects
	h.control.Step(h.instant(), &control.NoteRead{Number: n.Number, Note: n}, &fx)
	if fx.InForce == nil {
		return
	}
	h.deliver(&engine.Release{State: fx.InForce})
}

func (h *host) pollHealth(life int) {
	if h.life != life || h.dead {
		return
	}
	for _, name := range h.w.names {
		t := h.w.targets[name]
		id := h.engine.Targets().Lookup(name)
		if id < 0 || t.down {
			continue
		}
		ev := t.health(id)
		h.w.after(healthLag, func() {
			if h.life == life {
				h.deliver(ev)
			}
		})
	}
	h.w.after(healthPoll, func() { h.pollHealth(life) })
}

// kill ends the host at once; it starts again with nothing after a while.
func (h *host) kill() {
	h.dead = true
	h.life++
	h.w.observer.killed(h)
	h.w.after(restartDelay, h.boot)
}
