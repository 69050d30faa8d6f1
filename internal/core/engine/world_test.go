package engine

import (
	"flag"
	"fmt"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
)

const (
	worldService = "portal"
	worldLimit   = 1000
)

var worldKey = [32]byte{1}

// Makes the property tests draw the same cases in every run.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// sentAttempt records an attempt as observed outside the engine.
type sentAttempt struct {
	Send
	key    uint64
	ended  bool
	notRun bool
}

// world steps an engine against simulated targets, and independently records which
// replies each answer may contain.
type world struct {
	engine *Engine
	now    clock.Instant
	fx     Effects
	number uint64
	state  *release.State

	sends          map[query.AttemptID]*sentAttempt
	order          []query.AttemptID
	currentQuery   map[uint64]query.ID
	answeredShards map[query.ID]map[int32]bool
	incarnations   map[string]uint64
	answers        map[uint64]Answer
	cancels        int
	// check is called with each answer when it is given.
	check func(Answer)
}

func newWorld(policy release.Policy, targets int) *world {
	w := &world{
		engine:         New(Config{Host: "host-1", Zone: "a", Seed: 1, MaxQueries: 1000, Hedge: true}),
		sends:          map[query.AttemptID]*sentAttempt{},
		currentQuery:   map[uint64]query.ID{},
		answeredShards: map[query.ID]map[int32]bool{},
		incarnations:   map[string]uint64{},
		answers:        map[uint64]Answer{},
		check:          func(Answer) {},
	}
	n := &release.Note{Number: 1, Baseline: true}
	n.Items = append(n.Items,
		release.Item{Op: release.Add, Zone: &release.Zone{Name: "a", Region: "r"}},
		release.Item{Op: release.Add, Service: &release.Service{Name: worldService, Policy: policy}},
		release.Item{Op: release.Add, Caller: &release.Caller{Name: "c", KeyHash: worldKey, Services: map[string]bool{worldService: true}, Rate: 1e9}})
	for i := range targets {
		n.Items = append(n.Items, release.Item{Op: release.Add, Target: &release.Target{
			Name: worldTarget(i), Zone: "a", Service: worldService, Slots: 64, MaxConnections: 1000, MaxColdRequests: 64,
		}})
	}
	w.publish(n)
	return w
}

func worldTarget(i int) string { return fmt.Sprintf("t%d", i) }

// snapshot returns a snapshot whose shards have the weights 1, 2, 3 and so on. replicas
// lists the targets of each shard.
func snapshot(version uint64, layout string, replicas ...[]int) *release.Snapshot {
	s := &release.Snapshot{Service: worldService, Version: version, Layout: layout}
	for i, targets := range replicas {
		shard := release.Shard{Weight: float64(i + 1)}
		for _, t := range targets {
			shard.Replicas = append(shard.Replicas, worldTarget(t))
		}
		s.Shards = append(s.Shards, shard)
		s.Weight += shard.Weight
	}
	return s
}

func (w *world) publish(n *release.Note) {
	next, faults := release.Apply(w.state, n)
	if len(faults) > 0 {
		panic(fmt.Sprint(faults))
	}
	w.state = next
	w.number = n.Number
	w.step(&Release{State: next})
}

func (w *world) change(op release.Op, snap *release.Snapshot) {
	w.publish(&release.Note{Number: w.number + 1, Follows: w.number, Items: []release.Item{{Op: op, Snapshot: snap}}})
}

func (w *world) submit(key uint64) {
	w.step(&Submit{Request: &query.Request{Key: key, KeyHash: worldKey, Service: worldService, Limit: worldLimit}})
}

// advance moves the clock by d and calls the engine at each timer on the way.
func (w *world) advance(d time.Duration) {
	end := w.now.Mono + d
	for {
		due, ok := w.engine.NextWake()
		if !ok || due > end {
			break
		}
		w.now = w.now.Add(max(0, due-w.now.Mono))
		w.engine.Advance(w.now, &w.fx)
		w.collect()
	}
	w.now = w.now.Add(end - w.now.Mono)
}

func (w *world) step(ev Event) {
	w.engine.Step(w.now, ev, &w.fx)
	w.collect()
}

func (w *world) collect() {
	for _, s := range w.fx.Sends {
		w.sends[s.Attempt] = &sentAttempt{Send: s, key: s.Request.Key}
		w.order = append(w.order, s.Attempt)
		w.currentQuery[s.Request.Key] = s.Attempt.Query
	}
	w.cancels += len(w.fx.Cancels)
	for _, a := range w.fx.Answers {
		if _, twice := w.answers[a.Key]; twice {
			panic(fmt.Sprintf("request %d was answered twice", a.Key))
		}
		w.answers[a.Key] = a
		w.check(a)
	}
	w.fx.Reset()
	// A restarted query may have sent nothing yet because its targets are cold.
	for key, id := range w.engine.byKey {
		w.currentQuery[key] = id
	}
}

// open lists the open attempts, oldest first.
func (w *world) open() []query.AttemptID {
	var ids []query.AttemptID
	for _, id := range w.order {
		if !w.sends[id].ended {
			ids = append(ids, id)
		}
	}
	return ids
}

// end delivers a reply and records whether it answers its shard: it must be the first end
// of a known attempt, complete, from the requested snapshot, and from the target of the
// attempt in an incarnation no older than the newest one observed.
func (w *world) end(r *AttemptResult) {
	s := w.sends[r.Attempt]
	if s != nil && !s.ended && s.Target == r.Target {
		s.ended = true
		s.notRun = r.Outcome.NotRun()
		stale := r.Incarnation < w.incarnations[s.Spec.Name]
		w.incarnations[s.Spec.Name] = max(r.Incarnation, w.incarnations[s.Spec.Name])
		if r.Outcome == Answered && r.Snapshot == s.Snapshot.Key() && !stale {
			if w.answeredShards[r.Attempt.Query] == nil {
				w.answeredShards[r.Attempt.Query] = map[int32]bool{}
			}
			w.answeredShards[r.Attempt.Query][r.Attempt.Shard] = true
		}
	}
	w.step(r)
}

// reply returns the correct reply of a target, or one with another outcome.
func (w *world) reply(id query.AttemptID, outcome Outcome) *AttemptResult {
	s := w.sends[id]
	r := &AttemptResult{Attempt: id, Target: s.Target, Outcome: outcome, Incarnation: max(1, w.incarnations[s.Spec.Name]), Elapsed: time.Millisecond}
	if outcome == Answered || outcome == Truncated || outcome == Crossed {
		r.Snapshot = s.Snapshot.Key()
		r.Hits = []query.Hit{hitOf(r.Snapshot, id.Shard)}
	}
	return r
}

func hitOf(key release.SnapshotKey, shard int32) query.Hit {
	return query.Hit{Doc: fmt.Sprintf("%d/%s/%d", key.Version, key.Layout, shard), Score: float64(shard)}
}
