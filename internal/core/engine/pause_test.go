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

// pauseBench steps one engine with pause detection on a virtual clock.
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
			"t-1": {Name: "t-1", Zone: "z", Service: "board", Slots: 8, MaxConnections: 90, MaxColdRequests: 8},
			"t-2": {Name: "t-2", Zone: "z", Service: "board", Slots: 8, MaxConnections: 90, MaxColdRequests: 8},
		},
	}
	b := &pauseBench{t: t, now: clock.Instant{Mono: time.Second, Wall: time.Hour}}
	b.engine = New(Config{Host: "host-1", Zone: "z", Seed: 1, MaxQueries: 10, MaxStepGap: 500 * time.Millisecond})
	b.step(&Release{State: state})
	b.tick(time.Second)
	return b
}

// step handles one event and keeps only its effects.
func (b *pauseBench) step(ev Event) {
	b.fx = Effects{}
	b.engine.Step(b.now, ev, &b.fx)
}

// tick advances the clock by d in steps of pauseTick and keeps all their effects.
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

// TestPauseHoldsNewRequestsUntilContact checks that after a process pause no new request
// is sent until contact is confirmed for a time that is not before the end of the pause.
func TestPauseHoldsNewRequestsUntilContact(t *testing.T) {
	b := newPauseBench(t)
	b.submit(1)
	if len(b.fx.Sends) != 1 {
		t.Fatalf("%d sends before the pause, want 1", len(b.fx.Sends))
	}
	b.tick(time.Second)
	b.now = b.now.Add(2 * time.Second)
	resumedAt := b.now.Mono
	b.submit(2)
	if len(b.fx.Sends) != 0 || b.fx.ContactRequiredSince != resumedAt {
		t.Fatalf("%d sends after the pause, want 0; contact requested since %s, want %s", len(b.fx.Sends), b.fx.ContactRequiredSince, resumedAt)
	}
	b.step(&ContactConfirmed{Since: resumedAt - 1})
	if len(b.fx.Sends) != 0 {
		t.Fatal("a contact before the end of the pause released held requests")
	}
	b.step(&ContactConfirmed{Since: resumedAt})
	if len(b.fx.Sends) != 1 || len(b.fx.Answers) != 0 {
		t.Fatalf("%d sends and %d answers after the contact, want 1 and 0", len(b.fx.Sends), len(b.fx.Answers))
	}
}

// TestPauseEndsExpiredQueriesFirst checks that a query whose deadline passed during a
// process pause is answered before a new event is handled.
func TestPauseEndsExpiredQueriesFirst(t *testing.T) {
	b := newPauseBench(t)
	b.submit(1)
	b.now = b.now.Add(20 * time.Second)
	b.submit(2)
	if len(b.fx.Answers) != 1 || b.fx.Answers[0].Key != 1 || len(b.fx.Sends) != 0 {
		t.Fatalf("answers %+v, %d sends", b.fx.Answers, len(b.fx.Sends))
	}
}

// TestPauseWithoutContactRefusesHeldRequests checks that held requests are refused as not
// run if no contact is confirmed, and were sent to no target.
func TestPauseWithoutContactRefusesHeldRequests(t *testing.T) {
	b := newPauseBench(t)
	b.now = b.now.Add(2 * time.Second)
	b.submit(1)
	b.tick(time.Second)
	if len(b.fx.Answers) != 1 || b.fx.Answers[0].Code != result.Isolated || len(b.fx.Sends) != 0 {
		t.Fatalf("answers %+v, %d sends", b.fx.Answers, len(b.fx.Sends))
	}
	if b.engine.InProgress() != 0 {
		t.Errorf("%d requests are still in progress, want 0", b.engine.InProgress())
	}
}

// TestIsolatedHostRefusesAsNotRun checks that an isolated host refuses requests, and
// accepts them again after the isolation.
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
		t.Errorf("%d sends after the isolation, want 1", len(b.fx.Sends))
	}
}

// TestPauseSendsNothingForQueriesInProgress checks that a query whose attempt failed
// during a process pause is not sent to another target before contact is confirmed.
func TestPauseSendsNothingForQueriesInProgress(t *testing.T) {
	b := newPauseBench(t)
	b.submit(1)
	sent := b.fx.Sends[0]
	b.now = b.now.Add(2 * time.Second)
	resumedAt := b.now.Mono
	b.step(&AttemptResult{Attempt: sent.Attempt, Target: sent.Target, Outcome: Unreachable})
	if len(b.fx.Sends) != 0 {
		t.Fatal("sent after the pause without confirmed contact")
	}
	b.tick(time.Second)
	if len(b.fx.Sends) != 0 {
		t.Fatal("sent one second after the pause without confirmed contact")
	}
	b.step(&ContactConfirmed{Since: resumedAt})
	b.tick(time.Second)
	if len(b.fx.Sends) != 1 || b.fx.Sends[0].Target == sent.Target {
		t.Errorf("sends after the contact: %+v, want one to another target", b.fx.Sends)
	}
}

// TestPauseEarnsNoRateTokens checks that a caller earns no rate tokens during a process
// pause.
func TestPauseEarnsNoRateTokens(t *testing.T) {
	b := newPauseBench(t)
	b.engine.state.Callers["c"].Rate = 1
	key, limited := uint64(0), func() uint64 { return b.engine.gate.counters.RateLimited }
	for limited() == 0 {
		key++
		b.submit(key)
	}
	b.now = b.now.Add(time.Hour)
	b.step(&CallerGone{})
	b.step(&ContactConfirmed{Since: b.now.Mono})
	before := limited()
	b.submit(key + 1)
	if limited() != before+1 {
		t.Error("the caller earned a token during a pause of one hour")
	}
}
