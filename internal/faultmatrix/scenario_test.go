package faultmatrix

import (
	"crypto/sha256"
	"fmt"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
)

// The scenario that every cell runs.
const (
	callerKey     = "key"
	serviceName   = "licences"
	shardCount    = 4
	hostCount     = 3
	targetSlots   = 4
	coldBudget    = 1
	hitsWanted    = 3
	queryDeadline = 300 * time.Millisecond
	queryPeriod   = 25 * time.Millisecond
	queriesAtStop = 3
	stopLimit     = 6 * time.Second
	loadBegins    = time.Second
	loadEnds      = 8 * time.Second
	scenarioEnds  = 14 * time.Second
	// faultAfter is when a step counts as reached: the first occurrence after it.
	faultAfter = 2 * time.Second
)

var zones = []string{"dakar-a", "thies-a", "saint-louis-a"}

// step is where in a request's life a fault strikes.
type step string

// Steps, in the order of a request's life and then a host's.
const (
	stepAdmission step = "admission"
	stepTicket    step = "ticket"
	stepChoice    step = "snapshot choice"
	stepPlan      step = "plan"
	stepConnect   step = "connect"
	stepSend      step = "send"
	stepRunning   step = "running at the target"
	stepReply     step = "reply"
	stepMerge     step = "merge"
	stepAnswer    step = "answer"
	stepHedge     step = "hedge"
	stepRetry     step = "retry"
	stepForward   step = "forward to a home"
	stepHandover  step = "handover"
	stepFold      step = "note fold"
	stepStart     step = "start"
	stepStop      step = "stop"
)

var steps = []step{
	stepAdmission, stepTicket, stepChoice, stepPlan, stepConnect, stepSend, stepRunning, stepReply, stepMerge,
	stepAnswer, stepHedge, stepRetry, stepForward, stepHandover, stepFold, stepStart, stepStop,
}

// injection is a fault that waits for its step.
type injection struct {
	step  step
	fault *fault
	after time.Duration
	done  bool
}

// inject strikes with what waits for the step. h and t are those of the occurrence.
func (w *world) inject(s step, h *host, t *fakeTarget) {
	for _, in := range w.plan {
		if in.done || in.step != s || w.now < in.after {
			continue
		}
		in.done = true
		if t == nil {
			t = w.targets[w.names[w.rng.IntN(len(w.names))]]
		}
		in.fault.strike(w, h, t)
	}
}

// runScenario runs the load with the planned faults and returns the finished observer.
func runScenario(seed uint64, plan []*injection, m mutation) *observer {
	w := newWorld(seed)
	w.plan = plan
	w.mutate = m
	w.build()
	for i := range hostCount {
		w.startHost(i)
	}
	w.after(loadBegins, w.load)
	w.after(loadBegins, w.feeLoad)
	w.after(loadBegins, w.canaryLoad)
	w.after(faultAfter, w.lifeSteps)
	w.run(scenarioEnds)
	w.observer.finish()
	return w.observer
}

// lifeSteps makes a note, declined attempts, a stop and a start happen in every scenario.
func (w *world) lifeSteps() {
	w.after(400*time.Millisecond, func() {
		for replica := range zones {
			shedBriefly(w, nil, w.targets[targetName(0, replica)])
		}
	})
	w.after(200*time.Millisecond, func() { w.change(callerItem("caller-2", "second")) })
	w.after(time.Second, func() { w.stopHost(w.hosts[hostCount-1]) })
}

// stopHost is a graceful shutdown in the midst of queries and, once all is answered, a
// new start.
func (w *world) stopHost(h *host) {
	if h.dead {
		return
	}
	for range queriesAtStop {
		w.submit(h, serviceName)
	}
	w.inject(stepStop, h, nil)
	h.stopping = true
	h.deliver(&engine.Drain{})
	h.deliver(&engine.HandOver{})
	w.awaitIdle(h, h.life, w.now+stopLimit)
}

// awaitIdle ends a draining host once its engine has nothing in progress, or at the limit.
func (w *world) awaitIdle(h *host, life int, limit time.Duration) {
	w.after(tickPeriod, func() {
		if h.life != life {
			return
		}
		idle := h.engine.Draining() && h.engine.InProgress() == 0 && h.engine.HandedOver()
		if !idle && w.now < limit {
			w.awaitIdle(h, life, limit)
			return
		}
		h.whenAwake(func() { w.endHost(h) })
	})
}

func (w *world) endHost(h *host) {
	for _, r := range w.observer.requests {
		if r.caller.host == h && r.life == h.life && r.answers == 0 && !r.caller.gone {
			w.observer.fail(checkStop, "request %s is cut by the stop of %s", r.caller.body, hostName(h.index))
		}
	}
	h.kill()
	w.after(restartDelay+networkDelay, func() { w.inject(stepStart, h, nil) })
}

func (w *world) load() {
	if w.now > loadEnds {
		return
	}
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	if !h.dead && !h.stopping {
		w.submit(h, serviceName)
	}
	w.after(queryPeriod, w.load)
}

// build makes the targets, one replica of each shard in each zone, and the first note.
func (w *world) build() {
	n := &release.Note{Number: 1, Baseline: true}
	for _, zone := range zones {
		n.Items = append(n.Items, release.Item{Op: release.Add, Zone: &release.Zone{Name: zone, Region: zone}})
	}
	for i := range hostCount {
		n.Items = append(n.Items, release.Item{Op: release.Add, Host: &release.Host{Name: hostName(i), Zone: zoneOf(i), Mesh: "127.0.0.1:1"}})
	}
	n.Items = append(n.Items, release.Item{Op: release.Add, Service: &release.Service{
		Name:   serviceName,
		Policy: release.Policy{Deadline: queryDeadline, HedgeBudget: 0.05},
	}})
	first := snapshotOf(1, "a", shardCount)
	for shard := range shardCount {
		for i, zone := range zones {
			t := &fakeTarget{name: targetName(shard, i), zone: zone, shard: int32(shard), held: map[release.Key]bool{first.Key(): true}}
			w.addTarget(t)
			n.Items = append(n.Items, release.Item{Op: release.Add, Target: &release.Target{
				Name: t.name, Address: "127.0.0.1:1", Zone: zone, Service: serviceName,
				Slots: targetSlots, Connections: 45, ColdBudget: coldBudget,
			}})
		}
	}
	for i, zone := range zones {
		w.addTarget(&fakeTarget{name: feeTarget(i), zone: zone})
	}
	n.Items = append(n.Items, feeItems()...)
	n.Items = append(n.Items, w.canaryItems()...)
	n.Items = append(n.Items, release.Item{Op: release.Add, Snapshot: first}, callerItem("caller-1", callerKey))
	w.publish(n)
}

func (w *world) addTarget(t *fakeTarget) {
	t.w = w
	t.incarnation = 1
	if t.held == nil {
		t.held = map[release.Key]bool{}
	}
	t.running = map[runKey]bool{}
	w.targets[t.name] = t
	w.names = append(w.names, t.name)
}

func targetName(shard, replica int) string { return fmt.Sprintf("t-%d-%d", shard, replica) }

// snapshotOf spreads the targets over a number of shards: a layout of fewer shards puts
// several old shards' targets into one.
func snapshotOf(version uint64, layout string, shards int) *release.Snapshot {
	snap := &release.Snapshot{Service: serviceName, Version: version, Layout: layout, Shards: make([]release.Shard, shards)}
	for i := range snap.Shards {
		snap.Shards[i].Weight = 1
		snap.Weight++
	}
	for shard := range shardCount {
		for replica := range zones {
			at := &snap.Shards[shard%shards]
			at.Replicas = append(at.Replicas, targetName(shard, replica))
		}
	}
	return snap
}

func callerItem(name, key string) release.Item {
	return release.Item{Op: release.Add, Caller: &release.Caller{
		Name:     name,
		KeyHash:  sha256.Sum256([]byte(key)),
		Services: map[string]bool{serviceName: true, feeService: true, canaryService: true},
		Rate:     10_000,
	}}
}

// publish puts a note on the platform that every host must accept.
func (w *world) publish(n *release.Note) {
	w.observer.published[n.Number] = w.now
	w.platform.notes = append(w.platform.notes, n)
}

// change publishes items as the next note.
func (w *world) change(items ...release.Item) {
	last := uint64(0)
	for number := range w.observer.published {
		last = max(last, number)
	}
	next := w.platform.notes[len(w.platform.notes)-1].Number + 1
	w.publish(&release.Note{Number: next, Follows: last, Items: items})
}
