package faultmatrix

import (
	"slices"
	"testing"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

// mutationFuncs implements mutation with functions; a nil function changes nothing.
type mutationFuncs struct {
	onEffects func(h *host, fx *engine.Effects)
	onEvent   func(h *host, ev engine.Event) engine.Event
}

func (m *mutationFuncs) mutateEffects(h *host, fx *engine.Effects) {
	if m.onEffects != nil {
		m.onEffects(h, fx)
	}
}

func (m *mutationFuncs) mutateEvent(h *host, ev engine.Event) engine.Event {
	if m.onEvent != nil {
		return m.onEvent(h, ev)
	}
	return ev
}

// mutant is a mutated decision, the fault that it requires and the check that must detect
// it.
type mutant struct {
	name     string
	check    check
	fault    string
	mutation *mutationFuncs
}

var mutants = []mutant{
	{"merges a reply from another snapshot", checkSnapshot, "reply of another snapshot", &mutationFuncs{onEvent: forgeSnapshot}},
	{"counts a missing shard as covered", checkCoverage, "replica lost", &mutationFuncs{onEffects: inflateCoverage}},
	{"sends to a cold target", checkCold, "target cold unannounced", redirectTo(func(t *fakeTarget) bool { return t.cold })},
	{"sends to a zone that is out", checkZone, "zone out", redirectTo(func(t *fakeTarget) bool {
		_, out := t.sim.observer.zoneOutSince[t.zone]
		return out
	})},
	{"drops an answer", checkAnswer, "straggler", &mutationFuncs{onEffects: dropAnswers(func(h *host) bool { return !h.stopping })}},
	{"reports a started request as not run", checkNotRun, "straggler", &mutationFuncs{onEffects: forgeQueueFull}},
	{"retries a run that has completed", checkOnce, "straggler", &mutationFuncs{onEvent: forgeShed}},
	{"sends to a leaving target", checkLeaving, "target leaving", redirectTo(func(t *fakeTarget) bool { return t.leaving })},
	{"drops requests in progress at a stop", checkStop, "straggler", &mutationFuncs{onEffects: dropAnswers(func(h *host) bool { return h.stopping })}},
	{"reverts to an older note", checkConfig, "straggler", &mutationFuncs{onEvent: revertNote()}},
}

// forgeSnapshot labels every reply with the first snapshot, so that the engine merges
// replies from any snapshot.
func forgeSnapshot(_ *host, ev engine.Event) engine.Event {
	if r, ok := ev.(*engine.AttemptResult); ok && r.Outcome == engine.Answered {
		altered := *r
		altered.Snapshot = release.SnapshotKey{Version: 1, Layout: "a"}
		return &altered
	}
	return ev
}

// forgeShed reports a completed run to the engine as shed by the target.
func forgeShed(_ *host, ev engine.Event) engine.Event {
	if r, ok := ev.(*engine.RunResult); ok && r.Outcome == engine.Answered {
		altered := *r
		altered.Outcome = engine.Shed
		return &altered
	}
	return ev
}

func inflateCoverage(_ *host, fx *engine.Effects) {
	for i := range fx.Answers {
		fx.Answers[i].Coverage = min(1, fx.Answers[i].Coverage) + 1/float64(shardCount)
	}
}

// redirectTo sends each attempt to a replica that matches, if the shard has one. The
// engine receives the reply as if it came from the target that it chose, warm and not
// leaving.
func redirectTo(matches func(*fakeTarget) bool) *mutationFuncs {
	chosen := map[runKey]target.ID{}
	return &mutationFuncs{
		onEffects: func(h *host, fx *engine.Effects) {
			for i := range fx.Sends {
				s := &fx.Sends[i]
				chosen[keyOf(h, s.Attempt)] = s.Target
				for _, name := range s.Snapshot.Shards[s.Attempt.Shard].Replicas {
					if t := h.sim.targets[name]; matches(t) {
						s.Target = h.engine.Targets().Lookup(name)
						s.Spec = h.engine.State().Targets[name]
					}
				}
			}
		},
		onEvent: func(h *host, ev engine.Event) engine.Event {
			r, ok := ev.(*engine.AttemptResult)
			if !ok {
				return ev
			}
			restored := *r
			restored.Target = chosen[keyOf(h, r.Attempt)]
			restored.Leaving, restored.Cold, restored.Incarnation = false, false, 1
			return &restored
		},
	}
}

func dropAnswers(onHost func(*host) bool) func(*host, *engine.Effects) {
	return func(h *host, fx *engine.Effects) {
		if onHost(h) {
			fx.Answers = slices.DeleteFunc(fx.Answers, func(a engine.Answer) bool { return a.Code == result.OK })
		}
	}
}

func forgeQueueFull(_ *host, fx *engine.Effects) {
	for i := range fx.Answers {
		fx.Answers[i].Code = result.QueueFull
	}
}

// revertNote replaces the state of each later note with that of the first.
func revertNote() func(*host, engine.Event) engine.Event {
	first := map[*host]*release.State{}
	return func(h *host, ev engine.Event) engine.Event {
		r, ok := ev.(*engine.Release)
		if !ok {
			return ev
		}
		if first[h] == nil {
			first[h] = r.State
			return ev
		}
		return &engine.Release{State: first[h]}
	}
}

// TestEachCheckCanFail mutates one decision at a time and requires that the check for it
// fails.
func TestEachCheckCanFail(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			f := faults[slices.IndexFunc(faults, func(f *fault) bool { return f.name == m.fault })]
			plan := []*injection{{step: stepConnect, fault: f, after: faultStart}}
			o := runScenario(1, plan, m.mutation)
			if !slices.ContainsFunc(o.violations, func(v violation) bool { return v.check == m.check }) {
				t.Errorf("check %q did not fail; violations: %v", m.check, o.violations)
			}
		})
	}
}
