package engine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

// overloadShape describes the simulated fleet and its service.
type overloadShape struct {
	hosts, shards, replicas int
	slots, connections      int
	latency, jitter         time.Duration
}

const (
	overloadNetworkDelay = 200 * time.Microsecond
	overloadDeadline     = 500 * time.Millisecond
)

// capacity returns the number of queries per second that the slots can serve.
func (s *overloadShape) capacity() float64 {
	return float64(s.replicas*s.slots) * float64(time.Second) / float64(s.latency+s.jitter/2)
}

// overloadSim simulates hosts and targets with a limited number of slots on a virtual clock.
type overloadSim struct {
	overloadShape
	rng       *rand.Rand
	now       time.Duration
	due       overloadEventQueue
	serial    int
	engines   []*Engine
	wakes     []time.Duration
	running   map[string]int
	jobs      map[overloadJob]bool
	key       uint64
	succeeded int
	ended     int
}

type overloadJob struct {
	host    int
	attempt query.AttemptID
}

type overloadEvent struct {
	at     time.Duration
	serial int
	do     func()
}

type overloadEventQueue []overloadEvent

func (h overloadEventQueue) Len() int { return len(h) }
func (h overloadEventQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}
func (h overloadEventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *overloadEventQueue) Push(x any)   { *h = append(*h, x.(overloadEvent)) }
func (h *overloadEventQueue) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newOverloadSim(shape overloadShape, cfg Config) *overloadSim {
	f := &overloadSim{overloadShape: shape, rng: rand.New(rand.NewPCG(1, 2)), running: map[string]int{}, jobs: map[overloadJob]bool{}}
	n := &release.Note{Number: 1, Baseline: true, Items: []release.Item{
		{Op: release.Add, Zone: &release.Zone{Name: "z"}},
		{Op: release.Add, Service: &release.Service{Name: "licences", Policy: release.Policy{Deadline: overloadDeadline, RequireAllShards: true, HedgeBudget: 0.05}}},
	}}
	snap := &release.Snapshot{Service: "licences", Version: 1, Layout: "a", Weight: float64(shape.shards)}
	for i := range shape.shards {
		shard := release.Shard{Weight: 1}
		for j := range shape.replicas {
			name := fmt.Sprintf("t-%d-%d", i, j)
			shard.Replicas = append(shard.Replicas, name)
			n.Items = append(n.Items, release.Item{Op: release.Add, Target: &release.Target{Name: name, Zone: "z", Service: "licences", Slots: shape.slots, MaxConnections: shape.connections, MaxColdRequests: 1}})
		}
		snap.Shards = append(snap.Shards, shard)
	}
	n.Items = append(n.Items, release.Item{Op: release.Add, Snapshot: snap})
	for i := range shape.hosts {
		n.Items = append(n.Items, release.Item{Op: release.Add, Host: &release.Host{Name: fmt.Sprintf("host-%d", i), Zone: "z"}})
	}
	for i := range 10 {
		name := fmt.Sprintf("caller-%d", i)
		n.Items = append(n.Items, release.Item{Op: release.Add, Caller: &release.Caller{Name: name, KeyHash: hashOf(name), Services: map[string]bool{"licences": true}}})
	}
	state, faults := release.Apply(nil, n)
	if len(faults) > 0 {
		panic(fmt.Sprint(faults))
	}
	for i := range shape.hosts {
		cfg.Host, cfg.Seed, cfg.Targets.Host = fmt.Sprintf("host-%d", i), uint64(i), fmt.Sprintf("host-%d", i)
		f.engines = append(f.engines, New(cfg))
		f.wakes = append(f.wakes, 0)
		f.step(i, &Release{State: state})
	}
	return f
}

func (f *overloadSim) after(d time.Duration, do func()) {
	f.serial++
	heap.Push(&f.due, overloadEvent{at: f.now + d, serial: f.serial, do: do})
}

func (f *overloadSim) step(host int, ev Event) {
	var fx Effects
	now := clock.Instant{Mono: f.now, Wall: time.Hour + f.now}
	if ev == nil {
		f.engines[host].Advance(now, &fx)
	} else {
		f.engines[host].Step(now, ev, &fx)
	}
	for _, a := range fx.Answers {
		f.ended++
		if a.Code == result.OK {
			f.succeeded++
		}
	}
	for _, s := range fx.Sends {
		f.after(overloadNetworkDelay, func() { f.begin(host, s) })
	}
	for _, c := range fx.Cancels {
		f.after(overloadNetworkDelay, func() { f.end(overloadJob{host, c.Attempt}, c.Spec.Name, nil) })
	}
	if due, ok := f.engines[host].NextWake(); ok && (f.wakes[host] == 0 || due < f.wakes[host]) {
		f.wakes[host] = due
		f.after(max(0, due-f.now), func() {
			f.wakes[host] = 0
			f.step(host, nil)
		})
	}
}

// begin simulates the arrival of a request at a target.
func (f *overloadSim) begin(host int, s Send) {
	name := s.Spec.Name
	reply := &AttemptResult{Attempt: s.Attempt, Target: s.Target, Incarnation: 1, Elapsed: 2 * overloadNetworkDelay, Outcome: Shed}
	if f.running[name] >= f.slots {
		f.after(overloadNetworkDelay, func() { f.step(host, reply) })
		return
	}
	f.running[name]++
	job := overloadJob{host, s.Attempt}
	f.jobs[job] = true
	work := f.latency + time.Duration(f.rng.Int64N(int64(f.jitter)))
	reply.Outcome = Answered
	if left := s.Deadline - f.now; work > left {
		work, reply.Outcome = max(0, left), Lost
	}
	reply.Elapsed += work
	reply.Snapshot = s.Snapshot.Key()
	f.after(work, func() { f.end(job, name, reply) })
}

func (f *overloadSim) end(job overloadJob, name string, reply *AttemptResult) {
	if !f.jobs[job] {
		return
	}
	if reply == nil {
		reply = &AttemptResult{Attempt: job.attempt, Target: f.engines[job.host].Targets().Lookup(name), Incarnation: 1, Outcome: Cancelled}
	}
	delete(f.jobs, job)
	f.running[name]--
	f.after(overloadNetworkDelay, func() { f.step(job.host, reply) })
}

// phase submits rate queries per second for d, and returns the goodput and the share of
// queries that succeeded.
func (f *overloadSim) phase(rate float64, d time.Duration) (perSecond, share float64) {
	end := f.now + d
	submitted, succeededBefore := 0, f.succeeded
	var arrive func()
	arrive = func() {
		if f.now >= end {
			return
		}
		submitted++
		f.key++
		name := fmt.Sprintf("caller-%d", f.rng.IntN(10))
		f.step(f.rng.IntN(f.hosts), &Submit{Request: &query.Request{Key: f.key, KeyHash: hashOf(name), Service: "licences", Limit: 1}})
		f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	f.after(0, arrive)
	f.runUntil(end)
	perSecond = float64(f.succeeded-succeededBefore) / d.Seconds()
	f.runUntil(end + overloadDeadline)
	return perSecond, float64(f.succeeded-succeededBefore) / float64(submitted)
}

func (f *overloadSim) runUntil(end time.Duration) {
	for len(f.due) > 0 && f.due[0].at < end {
		ev := heap.Pop(&f.due).(overloadEvent)
		f.now = ev.at
		ev.do()
	}
	f.now = end
}

// TestGoodputHoldsAtThreeTimesCapacity checks the goodput under overload and the recovery
// after it. It also checks that the baseline, with static limits and no queue, does not
// reach the required goodput; otherwise the test would prove nothing.
func TestGoodputHoldsAtThreeTimesCapacity(t *testing.T) {
	const length = 3 * time.Second
	shape := overloadShape{hosts: 3, shards: 4, replicas: 2, slots: 6, connections: 90, latency: 40 * time.Millisecond, jitter: 10 * time.Millisecond}
	run := func(cfg Config) (ratio, recovered float64) {
		f := newOverloadSim(shape, cfg)
		half, _ := f.phase(f.capacity()/2, length)
		whole, _ := f.phase(f.capacity(), length)
		over, _ := f.phase(3*f.capacity(), length)
		_, recovered = f.phase(f.capacity()/2, length)
		t.Logf("goodput per second %.0f at half, %.0f at full and %.0f at three times the capacity of %.0f; success ratio after the overload %.3f", half, whole, over, f.capacity(), recovered)
		return over / max(half, whole, over), recovered
	}
	ratio, recovered := run(Config{MaxQueries: 4096, MaxQueued: 1024, Hedge: true})
	if ratio < 0.9 || recovered < 0.95 {
		t.Errorf("goodput under overload is %.2f of the peak (want at least 0.9), success ratio after it %.3f (want at least 0.95)", ratio, recovered)
	}
	baseline, _ := run(Config{MaxQueries: 4096, Hedge: true, Targets: target.Options{StaticLimit: true}})
	if baseline >= 0.9 {
		t.Errorf("goodput of the baseline under overload is %.2f of the peak, want less than 0.9", baseline)
	}
}

// TestNineHostsShareTwoSlots simulates a service that has lost one of its two targets. At
// 70% of the remaining slots no query may be refused, although nine hosts with a limit of
// at least one request each share two slots.
func TestNineHostsShareTwoSlots(t *testing.T) {
	const length = 30 * time.Second
	shape := overloadShape{hosts: 9, shards: 1, replicas: 1, slots: 2, connections: 25, latency: 10 * time.Millisecond, jitter: 4 * time.Millisecond}
	f := newOverloadSim(shape, Config{MaxQueries: 4096, MaxQueued: 1024, Hedge: true})
	if _, share := f.phase(0.7*f.capacity(), length); share != 1 {
		t.Errorf("%.5f of the queries succeeded, want all", share)
	}
}
