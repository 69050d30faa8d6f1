package engine

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

// checkAnswer compares an answer with the replies that the test has counted so far.
func checkAnswer(t *rapid.T, w *world, policy release.Policy, a Answer) {
	if a.Code.Kind() == result.NotRun {
		checkNotRun(t, w, a)
		return
	}
	answered := w.answeredShards[w.currentQuery[a.Key]]
	weight, total := 0.0, 0.0
	var missing []int32
	for shard := range int32(a.Shards) {
		total += float64(shard + 1)
		if answered[shard] {
			weight += float64(shard + 1)
		} else {
			missing = append(missing, shard)
		}
	}
	if got, want := a.Coverage, weight/total; got != want {
		t.Fatalf("request %d reports coverage %v, want %v", a.Key, got, want)
	}
	if !slices.Equal(a.Missing, missing) {
		t.Fatalf("request %d reports missing shards %v, want %v", a.Key, a.Missing, missing)
	}
	if a.Code == result.OK {
		checkHits(t, policy, a, answered)
	}
}

func checkNotRun(t *rapid.T, w *world, a Answer) {
	for _, s := range w.sends {
		if s.key == a.Key && !s.notRun {
			t.Fatalf("request %d was refused as not run (%s), but attempt %v may have run", a.Key, a.Code, s.Attempt)
		}
	}
}

func checkHits(t *rapid.T, policy release.Policy, a Answer, answered map[int32]bool) {
	if policy.RequireAllShards && len(a.Missing) > 0 {
		t.Fatalf("a request that requires all shards was answered without shards %v", a.Missing)
	}
	if len(a.Hits) != len(answered) {
		t.Fatalf("request %d has %d hits, want one for each of %d complete replies", a.Key, len(a.Hits), len(answered))
	}
	for _, h := range a.Hits {
		if shard := int32(h.Score); !answered[shard] || h != hitOf(a.Snapshot, shard) {
			t.Fatalf("answer of snapshot %v has the wrong hit %v", a.Snapshot, h)
		}
	}
}

// TestAnswersComeFromOneSnapshotWithTrueCoverage ends attempts with every kind of reply,
// including duplicates and replies to other attempts, during version rollovers and
// changes of the index partitioning. No answer may mix snapshots or report a wrong
// coverage.
func TestAnswersComeFromOneSnapshotWithTrueCoverage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := release.Policy{Deadline: 200 * time.Millisecond, MinCoverage: 0.3, HedgeBudget: 0.05, RequireAllShards: rapid.Bool().Draw(t, "whole")}
		w := newWorld(policy, 4)
		w.check = func(a Answer) { checkAnswer(t, w, policy, a) }
		live := []*release.Snapshot{snapshot(1, "a", []int{0, 1}, []int{1, 2}, []int{2, 3})}
		w.change(release.Add, live[0])
		var submitted uint64
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) {
				submitted++
				w.submit(submitted)
			},
			"roll over": func(t *rapid.T) {
				next := snapshot(live[len(live)-1].Version+1, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "layout"), []int{3, 0}, []int{0, 1}, []int{1, 2}, []int{2})
				next.Shards = next.Shards[:rapid.IntRange(1, 4).Draw(t, "shards")]
				next.Weight = 0
				for _, s := range next.Shards {
					next.Weight += s.Weight
				}
				live = append(live, next)
				w.change(release.Add, next)
			},
			"withdraw": func(*rapid.T) {
				if len(live) > 1 {
					w.change(release.Withdraw, live[0])
					live = live[1:]
				}
			},
			"end": func(t *rapid.T) { endRandomAttempt(t, w) },
			"duplicate": func(t *rapid.T) {
				if len(w.order) > 0 {
					w.end(w.reply(rapid.SampledFrom(w.order).Draw(t, "attempt"), Answered))
				}
			},
			"wait": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			},
		})
		for _, id := range w.open() {
			w.end(w.reply(id, Lost))
		}
		w.advance(time.Second)
		for _, id := range w.open() {
			w.end(w.reply(id, Lost))
		}
		if len(w.answers) != int(submitted) {
			t.Fatalf("%d of %d requests were answered", len(w.answers), submitted)
		}
		for i := range w.engine.targets.Len() {
			if n := w.engine.targets.Entry(target.ID(i)).InFlight; n != 0 {
				t.Fatalf("target %d counts %d requests in progress, want 0", i, n)
			}
		}
	})
}

func endRandomAttempt(t *rapid.T, w *world) {
	open := w.open()
	if len(open) == 0 {
		return
	}
	id := rapid.SampledFrom(open).Draw(t, "attempt")
	outcome := rapid.SampledFrom([]Outcome{Answered, Answered, Answered, Shed, Unreachable, SnapshotGone, Lost, Cancelled, Unsent, Truncated, Crossed}).Draw(t, "outcome")
	r := w.reply(id, outcome)
	switch rapid.IntRange(0, 9).Draw(t, "twist") {
	case 0:
		r.Snapshot.Version++
	case 1:
		r.Target = (r.Target + 1) % 4
	case 2:
		r.Incarnation++
	case 3:
		r.Incarnation = 1
	case 4:
		r.Attempt.Try++
	case 5:
		r.Attempt.Shard += 4
	}
	w.end(r)
}
