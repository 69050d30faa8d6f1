package engine

import (
	"crypto/sha256"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
)

const pauseTick = 100 * time.Millisecond

// pauseBench steps one engine that looks for gaps, on a virtual clock.
type pauseBench struct {
	t      *testing.T
	now    clock.Instant
	engine *Engine
	fx     Effects
}

func newPauseBench(t *testing.T) *pauseBench {
	snap := &release.Snapshot{Service: "board", Version: 1, Layout: "a", Weight: 1, Shards: []release.Shard{{Weight: 1, Replicas: []string{"t-1", "t-2"}}}}
	state := &release.State{
		Number: 1,
		Zones:  map[string]*release.Zone{"z": {Name: "z"}},
		Hosts:  []release.Host{{Name: "host-1", Zone: "z"}},
		Services: map[string]*release.Service{"board": {
			Name: "board", Snapshots: []*release.Snapshot{snap},
			Policy: release.Policy{Deadline: 5 * time.Second, Criticality: release.Standard},
		}},
		Callers: map[string]*release.Caller{"c": {Name: "c", KeyHash: sha256.Sum256([]byte("k")), Services: map[string]bool{"board": true}, Rate: 1000}},
		Targets: map[string]*release.Target{
			"t-1": {Name: "t-1", Zone: "z", Service: "board", Slots: 8, Connections: 90, ColdBudget: 8},
			"t-2": {Name: "t-2", Zone: "z", Service: "board", Slots: 8, Connections: 90, ColdBudget: 8},
		},
	}
	b := &pauseBench{t: t, now: clock.Instant{Mono: time.Second, Wall: time.Hour}}
	b.engine = New(Config{Host: "host-1", Zone: "z", Seed: 1, MaxQueries: 10, MaxGap: 500 * time.Millisecond})
	b.step(&Release{State: state})
	b.tick(time.Second)
	return b
}

// step steps the engine and keeps only this step's effects.
func (b *pauseBench) step(ev Event) {
	b.fx = Effects{}
	b.engine.Step(b.now, ev, &b.fx)
}

// tick passes time with the steps that the engine asks for, and keeps their effects.
func (b *pauseBench) tick(d time.Duration) {
	b.fx = Effects{}
	for range d / pauseTick {
		b.now = b.now.Add(pauseTick)
		b.engine.Advance(b.now, &b.fx)
	}
}

func (b *pauseBench) submit(key uint64) {
	b.step(&Submit{Request: &query.Request{Key: key, KeyHash: sha256.Sum256([]byte("k")), Service: "board", Body: []byte("q"), Limit: 1}})
}

// TestLateWakeHoldsNewWork checks that after a gap new work reaches no target until a
// word that is not older than the wake.
func TestLateWakeHoldsNewWork(t *testing.T) {
	b := newPauseBench(t)
	b.submit(1)
	if len(b.fx.Sends) != 1 {
		t.Fatalf("%d sends without a pause, want 1", len(b.fx.Sends))
	}
	b.tick(time.Second)
	b.now = b.now.Add(2 * time.Second)
	woken := b.now.Mono
	b.submit(2)
	if len(b.fx.Sends) != 0 || b.fx.WordWanted != woken {
		t.Fatalf("%d sends on waking; word wanted since %s, want %s", len(b.fx.Sends), b.fx.WordWanted, woken)
	}
	b.step(&Word{Since: woken - 1})
	if len(b.fx.Sends) != 0 {
		t.Fatal("a word from before the wake starts new work")
	}
	b.step(&Word{Since: woken})
	if len(b.fx.Sends) != 1 || len(b.fx.Answers) != 0 {
		t.Fatalf("%d sends and %d answers after the word", len(b.fx.Sends), len(b.fx.Answers))
	}
}

// TestLateWakeEndsExpiredWorkFirst checks that a query whose deadline passed during a
// pause is answered before anything else happens.
func TestLateWakeEndsExpiredWorkFirst(t *testing.T) {
	b := newPauseBench(t)
	b.submit(1)
	b.now = b.now.Add(20 * time.Second)
	b.submit(2)
	if len(b.fx.Answers) != 1 || b.fx.Answers[0].Key != 1 || len(b.fx.Sends) != 0 {
		t.Fatalf("answers %+v, %d sends", b.fx.Answers, len(b.fx.Sends))
	}
}

// TestLateWakeWithoutAWordRefuses checks that held work is refused as not run where no
// word comes, and that no target has seen it.
func TestLateWakeWithoutAWordRefuses(t *testing.T) {
	b := newPauseBench(t)
	b.now = b.now.Add(2 * time.Second)
	b.submit(1)
	b.tick(time.Second)
	if len(b.fx.Answers) != 1 || b.fx.Answers[0].Code != result.Isolated || len(b.fx.Sends) != 0 {
		t.Fatalf("answers %+v, %d sends", b.fx.Answers, len(b.fx.Sends))
	}
	if b.engine.InProgress() != 0 {
		t.Errorf("%d requests are still in progress", b.engine.InProgress())
	}
}

// TestIsolatedHostRefusesAsNotRun checks the refusal of an isolated host, and that it
// ends with the isolation.
func TestIsolatedHostRefusesAsNotRun(t *testing.T) {
	b := newPauseBench(t)
	b.step(&Isolation{Isolated: true})
	b.submit(1)
	if len(b.fx.Answers) != 1 || b.fx.Answers[0].Code != result.Isolated || b.fx.Answers[0].Code.Kind() != result.NotRun || len(b.fx.Sends) != 0 {
		t.Fatalf("answers %+v, %d sends", b.fx.Answers, len(b.fx.Sends))
	}
	b.step(&Isolation{Isolated: false})
	b.submit(2)
	if len(b.fx.Sends) != 1 {
		t.Errorf("%d sends after the isolation", len(b.fx.Sends))
	}
}

// TestLateWakeSendsNothingForWorkInProgress checks that an attempt that was declined
// during the pause goes to no other target before the word.
func TestLateWakeSendsNothingForWorkInProgress(t *testing.T) {
	b := newPauseBench(t)
	b.submit(1)
	sent := b.fx.Sends[0]
	b.now = b.now.Add(2 * time.Second)
	woken := b.now.Mono
	b.step(&Reply{Attempt: sent.Attempt, Target: sent.Target, Outcome: Unreachable})
	if len(b.fx.Sends) != 0 {
		t.Fatal("sent on an old view")
	}
	b.tick(time.Second)
	if len(b.fx.Sends) != 0 {
		t.Fatal("sent on an old view after a second")
	}
	b.step(&Word{Since: woken})
	b.tick(time.Second)
	if len(b.fx.Sends) != 1 || b.fx.Sends[0].Target == sent.Target {
		t.Errorf("sends after the word: %+v", b.fx.Sends)
	}
}

// TestLateWakeCreditsNoTokens checks that a caller's share does not grow for the gap.
func TestLateWakeCreditsNoTokens(t *testing.T) {
	b := newPauseBench(t)
	b.engine.state.Callers["c"].Rate = 1
	key, limited := uint64(0), func() uint64 { return b.engine.gate.counters.RateLimited }
	for limited() == 0 {
		key++
		b.submit(key)
	}
	b.now = b.now.Add(time.Hour)
	b.step(&CallerGone{})
	b.step(&Word{Since: b.now.Mono})
	before := limited()
	b.submit(key + 1)
	if limited() != before+1 {
		t.Error("an hour's pause gave the caller a token")
	}
}
