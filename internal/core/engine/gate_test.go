package engine

import (
	"fmt"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

// gateBench is an engine with services of one shard, each on one target with one slot.
type gateBench struct {
	t      *testing.T
	engine *Engine
	now    clock.Instant
	key    uint64
	caller map[uint64]string
	codes  map[string][]result.Code
	open   []Send
}

const (
	gateDeadline    = 100 * time.Millisecond
	gateServiceTime = 10 * time.Millisecond
)

func hashOf(name string) (h [32]byte) {
	copy(h[:], name)
	return h
}

func newGateBench(t *testing.T, cfg Config, services map[string]release.Criticality, callers int) *gateBench {
	s := &release.State{
		Services: map[string]*release.Service{},
		Callers:  map[string]*release.Caller{},
		Targets:  map[string]*release.Target{},
		Zones:    map[string]*release.Zone{"z": {Name: "z"}},
	}
	all := map[string]bool{}
	for name, criticality := range services {
		all[name] = true
		snap := &release.Snapshot{Service: name, Version: 1, Layout: "a", Weight: 1, Shards: []release.Shard{{Weight: 1, Replicas: []string{name + "-1"}}}}
		s.Services[name] = &release.Service{Name: name, Policy: release.Policy{Deadline: gateDeadline, MinCoverage: 1, Criticality: criticality}, Snapshots: []*release.Snapshot{snap}}
		s.Targets[name+"-1"] = &release.Target{Name: name + "-1", Zone: "z", Service: name, Slots: 1, MaxColdRequests: 1}
	}
	for i := range callers {
		name := fmt.Sprintf("caller-%d", i)
		s.Callers[name] = &release.Caller{Name: name, KeyHash: hashOf(name), Services: all}
	}
	b := &gateBench{t: t, engine: New(cfg), now: clock.Instant{Mono: time.Minute, Wall: time.Hour}, caller: map[uint64]string{}, codes: map[string][]result.Code{}}
	b.step(&Release{State: s})
	return b
}

func (b *gateBench) step(ev Event) {
	var fx Effects
	if ev == nil {
		b.engine.Advance(b.now, &fx)
	} else {
		b.engine.Step(b.now, ev, &fx)
	}
	b.open = append(b.open, fx.Sends...)
	for i := range fx.Answers {
		caller := b.caller[fx.Answers[i].Key]
		b.codes[caller] = append(b.codes[caller], fx.Answers[i].Code)
	}
}

func (b *gateBench) submit(caller int, service string) {
	b.key++
	name := fmt.Sprintf("caller-%d", caller)
	b.caller[b.key] = name
	b.step(&Submit{Request: &query.Request{Key: b.key, KeyHash: hashOf(name), Service: service, Limit: 1}})
}

// serve advances the clock by d. Each target completes one request in each
// gateServiceTime.
func (b *gateBench) serve(d time.Duration) {
	for end := b.now.Mono + d; b.now.Mono < end; {
		b.now = b.now.Add(gateServiceTime)
		open := b.open
		b.open = nil
		for _, s := range open {
			b.step(&AttemptResult{Attempt: s.Attempt, Target: s.Target, Outcome: Answered, Snapshot: s.Snapshot.Key(), Incarnation: 1, Elapsed: gateServiceTime})
		}
		b.step(nil)
	}
}

func (b *gateBench) answered(caller int) int {
	n := 0
	for _, c := range b.codes[fmt.Sprintf("caller-%d", caller)] {
		if c == result.OK {
			n++
		}
	}
	return n
}

func TestOneCallerCannotStarveOthers(t *testing.T) {
	const others = 5
	b := newGateBench(t, Config{MaxQueries: 1000, MaxQueued: 1000}, map[string]release.Criticality{"licences": release.Standard}, others+1)
	b.submit(0, "licences")
	b.serve(gateServiceTime)
	for range 500 {
		b.submit(0, "licences")
	}
	for i := range others {
		b.submit(i+1, "licences")
	}
	b.serve(2 * gateDeadline)
	for i := range others {
		if b.answered(i+1) != 1 {
			t.Errorf("caller %d got result codes %v, want one answer", i+1, b.codes[fmt.Sprintf("caller-%d", i+1)])
		}
	}
}

// TestQueueRefusalsWereNeverSent checks that no request refused as not run was sent to a
// target, and that every request ends by its deadline.
func TestQueueRefusalsWereNeverSent(t *testing.T) {
	b := newGateBench(t, Config{MaxQueries: 1000, MaxQueued: 50}, map[string]release.Criticality{"licences": release.Standard}, 1)
	b.submit(0, "licences")
	b.serve(gateServiceTime)
	const requests = 200
	for range requests {
		b.submit(0, "licences")
	}
	sent := map[uint64]bool{}
	for range 2 * gateDeadline / gateServiceTime {
		for _, s := range b.open {
			sent[s.Request.Key] = true
		}
		b.serve(gateServiceTime)
	}
	codes := b.codes["caller-0"]
	if len(codes) != requests+1 {
		t.Fatalf("%d of %d requests ended", len(codes), requests+1)
	}
	counts := map[result.Code]int{}
	for _, c := range codes {
		counts[c]++
	}
	if counts[result.QueueFull] == 0 || counts[result.DeadlineTooShort] == 0 {
		t.Errorf("result codes %v, want both QueueFull (105) and DeadlineTooShort (106)", counts)
	}
	if notRun := counts[result.QueueFull] + counts[result.DeadlineTooShort]; notRun+len(sent) != requests {
		t.Errorf("%d requests refused as not run and %d sent, want %d in total", notRun, len(sent), requests)
	}
}

func TestLessCriticalServiceIsShedFirst(t *testing.T) {
	b := newGateBench(t, Config{MaxQueries: 1000, MaxQueued: 20}, map[string]release.Criticality{"fees": release.Critical, "reminders": release.Sheddable}, 2)
	b.submit(0, "fees")
	b.submit(1, "reminders")
	b.serve(gateServiceTime)
	for range 20 {
		b.submit(1, "reminders")
	}
	for range 10 {
		b.submit(0, "fees")
	}
	for _, c := range b.codes["caller-0"] {
		if c == result.QueueFull {
			t.Fatalf("the critical service got result codes %v while requests of the sheddable service are queued", b.codes["caller-0"])
		}
	}
	if b.engine.Admission().QueueFull == 0 {
		t.Error("no request was refused, so the order of shedding was not tested")
	}
}

func TestCallerAboveItsRateIsRefused(t *testing.T) {
	b := newGateBench(t, Config{MaxQueries: 1000, MaxQueued: 1000}, map[string]release.Criticality{"licences": release.Standard}, 2)
	s := *b.engine.State()
	s.Callers["caller-0"].Rate = 5
	b.step(&Release{State: &s})
	for range 50 {
		b.submit(0, "licences")
	}
	limited := 0
	for _, c := range b.codes["caller-0"] {
		if c == result.RateLimited {
			limited++
		}
	}
	if limited != 40 {
		t.Errorf("%d of 50 simultaneous requests exceeded a rate of 5 with a burst of 10, want 40", limited)
	}
}

// TestColdOrLeavingSignalStopsNewWork checks that a target gets no new request after the
// first signal that it restarted, is cold, is leaving or lost its connection.
func TestColdOrLeavingSignalStopsNewWork(t *testing.T) {
	for name, reply := range map[string]AttemptResult{
		"new incarnation": {Outcome: Answered, Incarnation: 2},
		"reported cold":   {Outcome: Answered, Incarnation: 1, Cold: true},
		"leaving":         {Outcome: Answered, Incarnation: 1, Leaving: true},
		"connection lost": {Outcome: Lost, Disconnected: true},
	} {
		b := newGateBench(t, Config{MaxQueries: 1000, Targets: target.Options{Host: "host-1"}}, map[string]release.Criticality{"licences": release.Standard}, 1)
		b.submit(0, "licences")
		b.serve(gateServiceTime)
		b.submit(0, "licences")
		if len(b.open) != 1 {
			t.Fatalf("%s: %d sends before the signal, want 1", name, len(b.open))
		}
		r := reply
		r.Attempt, r.Target, r.Snapshot, r.Elapsed = b.open[0].Attempt, b.open[0].Target, b.open[0].Snapshot.Key(), gateServiceTime
		b.open = nil
		b.step(&r)
		b.submit(0, "licences")
		if len(b.open) != 0 {
			t.Errorf("%s: %d sends after the signal, want 0", name, len(b.open))
		}
	}
}
