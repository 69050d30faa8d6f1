package faultmatrix

import (
	"crypto/sha256"
	"fmt"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
)

// Parameters of the scenario that every cell runs.
const (
	callerKey         = "key"
	queryService      = "licences"
	shardCount        = 4
	hostCount         = 3
	targetSlots       = 4
	coldBudget        = 1
	hitsPerShard      = 3
	queryDeadline     = 300 * time.Millisecond
	queryPeriod       = 25 * time.Millisecond
	queriesDuringStop = 3
	stopLimit         = 6 * time.Second
	loadStart         = time.Second
	loadEnd           = 8 * time.Second
	scenarioEnd       = 14 * time.Second
	// faultStart is the earliest time of an injection: a fault is injected at the first
	// occurrence of its step from then on.
	faultStart = 2 * time.Second
)

var zones = []string{"dakar-a", "thies-a", "saint-louis-a"}

// step is the point in the processing of a request, or in the lifecycle of a host, at which a
// fault is injected. The values appear in docs/FAULT-MATRIX.md.
type step string

// Steps of a request, then of a host, in their order.
const (
	stepAdmission      step = "admission"
	stepTicket         step = "ticket"
	stepSnapshotChoice step = "snapshot choice"
	stepPlan           step = "plan"
	stepConnect        step = "connect"
	stepSend           step = "send"
	stepRunning        step = "running at the target"
	stepReply          step = "reply"
	stepMerge          step = "merge"
	stepAnswer         step = "answer"
	stepHedge          step = "hedge"
	stepRetry          step = "retry"
	stepForward        step = "forward to a home"
	stepHandover       step = "handover"
	stepNote           step = "note fold"
	stepStart          step = "start"
	stepStop           step = "stop"
)

var steps = []step{
	stepAdmission, stepTicket, stepSnapshotChoice, stepPlan, stepConnect, stepSend, stepRunning, stepReply, stepMerge,
	stepAnswer, stepHedge, stepRetry, stepForward, stepHandover, stepNote, stepStart, stepStop,
}

// injection is a fault to inject at the first occurrence of a step from a time on.
type injection struct {
	step  step
	fault *fault
	after time.Duration
	done  bool
}

// inject applies the pending faults of the step. h and t are the host and the target of
// this occurrence; a nil t stands for a random target.
func (sim *simulation) inject(s step, h *host, t *fakeTarget) {
	for _, in := range sim.plan {
		if in.done || in.step != s || sim.now < in.after {
			continue
		}
		in.done = true
		if t == nil {
			t = sim.targets[sim.targetNames[sim.rng.IntN(len(sim.targetNames))]]
		}
		in.fault.apply(sim, h, t)
	}
}

// runScenario runs the load with the planned faults and returns the finished observer.
func runScenario(seed uint64, plan []*injection, m mutation) *observer {
	sim := newSimulation(seed)
	sim.plan = plan
	sim.mutation = m
	sim.setUp()
	for i := range hostCount {
		sim.startHost(i)
	}
	sim.after(loadStart, sim.queryLoad)
	sim.after(loadStart, sim.onceLoad)
	sim.after(loadStart, sim.canaryLoad)
	sim.after(faultStart, sim.scheduleLifecycle)
	sim.run(scenarioEnd)
	sim.observer.finish()
	return sim.observer
}

// scheduleLifecycle schedules what every scenario contains: a change note, a shard whose
// replicas shed, and a graceful stop and restart of a host.
func (sim *simulation) scheduleLifecycle() {
	sim.after(400*time.Millisecond, func() {
		for replica := range zones {
			shedTemporarily(sim, nil, sim.targets[targetName(0, replica)])
		}
	})
	sim.after(200*time.Millisecond, func() { sim.publishChange(callerItem("caller-2", "second")) })
	sim.after(time.Second, func() { sim.stopHost(sim.hosts[hostCount-1]) })
}

// stopHost drains a host that has queries in progress. The host ends once it is idle, or
// after stopLimit, and then restarts.
func (sim *simulation) stopHost(h *host) {
	if h.dead {
		return
	}
	for range queriesDuringStop {
		sim.submit(h, queryService)
	}
	sim.inject(stepStop, h, nil)
	h.stopping = true
	h.deliver(&engine.Drain{})
	h.deliver(&engine.StartHandover{})
	sim.awaitIdle(h, h.generation, sim.now+stopLimit)
}

// awaitIdle ends a draining host once its engine has nothing in progress and has handed
// over its tickets, or at the time limit.
func (sim *simulation) awaitIdle(h *host, generation int, limit time.Duration) {
	sim.after(tickPeriod, func() {
		if h.generation != generation {
			return
		}
		idle := h.engine.Draining() && h.engine.InProgress() == 0 && h.engine.HandoverEnded()
		if !idle && sim.now < limit {
			sim.awaitIdle(h, generation, limit)
			return
		}
		h.whenResumed(func() { sim.endHost(h) })
	})
}

func (sim *simulation) endHost(h *host) {
	for _, r := range sim.observer.requests {
		if r.caller.host == h && r.generation == h.generation && r.answers == 0 && !r.caller.gone {
			sim.observer.fail(checkStop, "request %s was dropped by the stop of %s", r.caller.body, hostName(h.index))
		}
	}
	h.kill()
	sim.after(restartDelay+networkDelay, func() { sim.inject(stepStart, h, nil) })
}

func (sim *simulation) queryLoad() {
	if sim.now > loadEnd {
		return
	}
	h := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	if !h.dead && !h.stopping {
		sim.submit(h, queryService)
	}
	sim.after(queryPeriod, sim.queryLoad)
}

// setUp creates the targets, with one replica of each shard in each zone, and publishes
// the first note.
func (sim *simulation) setUp() {
	n := &release.Note{Number: 1, Baseline: true}
	for _, zone := range zones {
		n.Items = append(n.Items, release.Item{Op: release.Add, Zone: &release.Zone{Name: zone, Region: zone}})
	}
	for i := range hostCount {
		n.Items = append(n.Items, release.Item{Op: release.Add, Host: &release.Host{Name: hostName(i), Zone: zoneOf(i), MeshAddress: "127.0.0.1:1"}})
	}
	n.Items = append(n.Items, release.Item{Op: release.Add, Service: &release.Service{
		Name:   queryService,
		Policy: release.Policy{Deadline: queryDeadline, HedgeBudget: 0.05},
	}})
	first := snapshotOf(1, "a", shardCount)
	for shard := range shardCount {
		for i, zone := range zones {
			t := &fakeTarget{name: targetName(shard, i), zone: zone, shard: int32(shard), snapshots: map[release.SnapshotKey]bool{first.Key(): true}}
			sim.addTarget(t)
			n.Items = append(n.Items, release.Item{Op: release.Add, Target: &release.Target{
				Name: t.name, Address: "127.0.0.1:1", Zone: zone, Service: queryService,
				Slots: targetSlots, MaxConnections: 45, MaxColdRequests: coldBudget,
			}})
		}
	}
	for i, zone := range zones {
		sim.addTarget(&fakeTarget{name: onceTarget(i), zone: zone})
	}
	n.Items = append(n.Items, onceItems()...)
	n.Items = append(n.Items, sim.canaryItems()...)
	n.Items = append(n.Items, release.Item{Op: release.Add, Snapshot: first}, callerItem("caller-1", callerKey))
	sim.publish(n)
}

func (sim *simulation) addTarget(t *fakeTarget) {
	t.sim = sim
	t.incarnation = 1
	if t.snapshots == nil {
		t.snapshots = map[release.SnapshotKey]bool{}
	}
	t.running = map[runKey]bool{}
	sim.targets[t.name] = t
	sim.targetNames = append(sim.targetNames, t.name)
}

func targetName(shard, replica int) string { return fmt.Sprintf("t-%d-%d", shard, replica) }

// snapshotOf returns a snapshot of the query service with the given number of shards. With
// fewer than shardCount shards, a shard has the targets of several original shards.
func snapshotOf(version uint64, layout string, shards int) *release.Snapshot {
	snap := &release.Snapshot{Service: queryService, Version: version, Layout: layout, Shards: make([]release.Shard, shards)}
	for i := range snap.Shards {
		snap.Shards[i].Weight = 1
		snap.Weight++
	}
	for shard := range shardCount {
		for replica := range zones {
			part := &snap.Shards[shard%shards]
			part.Replicas = append(part.Replicas, targetName(shard, replica))
		}
	}
	return snap
}

func callerItem(name, key string) release.Item {
	return release.Item{Op: release.Add, Caller: &release.Caller{
		Name:     name,
		KeyHash:  sha256.Sum256([]byte(key)),
		Services: map[string]bool{queryService: true, onceService: true, canaryService: true},
		Rate:     10_000,
	}}
}

// publish publishes a valid note, which the observer requires every host to accept.
func (sim *simulation) publish(n *release.Note) {
	sim.observer.publishedAt[n.Number] = sim.now
	sim.platform.notes = append(sim.platform.notes, n)
}

// publishChange publishes items as the next note, which follows the last valid one.
func (sim *simulation) publishChange(items ...release.Item) {
	last := uint64(0)
	for number := range sim.observer.publishedAt {
		last = max(last, number)
	}
	next := sim.platform.notes[len(sim.platform.notes)-1].Number + 1
	sim.publish(&release.Note{Number: next, Follows: last, Items: items})
}
