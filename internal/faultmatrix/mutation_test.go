package faultmatrix

import (
	"slices"
	"testing"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

// spoiler is a mutation made of functions; nil ones leave things as they are.
type spoiler struct {
	onEffects func(h *host, fx *engine.Effects)
	onEvent   func(h *host, ev engine.Event) engine.Event
}

func (s *spoiler) effects(h *host, fx *engine.Effects) {
	if s.onEffects != nil {
		s.onEffects(h, fx)
	}
}

func (s *spoiler) event(h *host, ev engine.Event) engine.Event {
	if s.onEvent != nil {
		return s.onEvent(h, ev)
	}
	return ev
}

// mutant is a spoiled decision, the fault that it needs and the check that must see it.
type mutant struct {
	name  string
	check check
	fault string
	spoil *spoiler
}

var mutants = []mutant{
	{"merges a reply of another snapshot", checkSnapshot, "reply of another snapshot", &spoiler{onEvent: acceptSnapshot}},
	{"counts a shard that is missing", checkCoverage, "replica lost", &spoiler{onEffects: inflateCoverage}},
	{"sends to a cold target", checkCold, "target cold unannounced", redirect(func(t *fakeTarget) bool { return t.cold })},
	{"sends into a zone that is out", checkZone, "zone out", redirect(func(t *fakeTarget) bool {
		_, out := t.w.observer.zoneOutAt[t.zone]
		return out
	})},
	{"loses an answer", checkWhole, "straggler", &spoiler{onEffects: loseAnswers(func(h *host) bool { return !h.stopping })}},
	{"calls what ran not run", checkNotRun, "straggler", &spoiler{onEffects: denyRun}},
	{"runs again what has run", checkOnce, "straggler", &spoiler{onEvent: denyRunReply}},
	{"sends to a target that leaves", checkLeaving, "target leaving", redirect(func(t *fakeTarget) bool { return t.leaving })},
	{"cuts requests at a stop", checkStop, "straggler", &spoiler{onEffects: loseAnswers(func(h *host) bool { return h.stopping })}},
	{"goes back to an older note", checkConfig, "straggler", &spoiler{onEvent: revert()}},
}

// acceptSnapshot makes the engine take any snapshot for the query's own.
func acceptSnapshot(_ *host, ev engine.Event) engine.Event {
	if r, ok := ev.(*engine.Reply); ok && r.Outcome == engine.Answered {
		spoiled := *r
		spoiled.Snapshot = release.Key{Version: 1, Layout: "a"}
		return &spoiled
	}
	return ev
}

// denyRunReply makes the engine take a run for one that the target declined.
func denyRunReply(_ *host, ev engine.Event) engine.Event {
	if r, ok := ev.(*engine.RunReply); ok && r.Outcome == engine.Answered {
		spoiled := *r
		spoiled.Outcome = engine.Shed
		return &spoiled
	}
	return ev
}

func inflateCoverage(_ *host, fx *engine.Effects) {
	for i := range fx.Answers {
		fx.Answers[i].Coverage = min(1, fx.Answers[i].Coverage) + 1/float64(shardCount)
	}
}

// redirect sends every attempt to a target of the kind, if the shard has one. The
// engine is told that the target it chose has replied, in its usual state.
func redirect(kind func(*fakeTarget) bool) *spoiler {
	chosen := map[runKey]target.ID{}
	return &spoiler{
		onEffects: func(h *host, fx *engine.Effects) {
			for i := range fx.Sends {
				s := &fx.Sends[i]
				chosen[keyOf(h, s.Attempt)] = s.Target
				for _, name := range s.Snapshot.Shards[s.Attempt.Shard].Replicas {
					if t := h.w.targets[name]; kind(t) {
						s.Target = h.engine.Targets().Lookup(name)
						s.Spec = h.engine.State().Targets[name]
					}
				}
			}
		},
		onEvent: func(h *host, ev engine.Event) engine.Event {
			r, ok := ev.(*engine.Reply)
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

func loseAnswers(of func(*host) bool) func(*host, *engine.Effects) {
	return func(h *host, fx *engine.Effects) {
		if of(h) {
			fx.Answers = slices.DeleteFunc(fx.Answers, func(a engine.Answer) bool { return a.Code == result.OK })
		}
	}
}

func denyRun(_ *host, fx *engine.Effects) {
	for i := range fx.Answers {
		fx.Answers[i].Code = result.QueueFull
	}
}

// revert puts the first note in force again after a later one.
func revert() func(*host, engine.Event) engine.Event {
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

// TestEachCheckCanFail spoils one decision at a time and expects its check to see it.
func TestEachCheckCanFail(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			f := faults[slices.IndexFunc(faults, func(f *fault) bool { return f.name == m.fault })]
			plan := []*injection{{step: stepConnect, fault: f, after: faultAfter}}
			o := runScenario(1, plan, m.spoil)
			if !slices.ContainsFunc(o.violations, func(v violation) bool { return v.check == m.check }) {
				t.Errorf("check %q did not see it; seen: %v", m.check, o.violations)
			}
		})
	}
}
