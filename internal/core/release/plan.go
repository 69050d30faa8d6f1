package release

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Plan is what a new state would do to those who are served.
type Plan struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Gaining and Losing are targets that begin or cease to get work, with the reason.
	Gaining []PlanLine `json:"targets_gaining"`
	Losing  []PlanLine `json:"targets_losing"`
	// CallersGaining and CallersLosing are rights of callers that begin or end.
	CallersGaining []PlanLine `json:"callers_gaining"`
	CallersLosing  []PlanLine `json:"callers_losing"`
	// Unserved are shards that would have no target left to work.
	Unserved []PlanLine `json:"shards_unserved"`
}

// PlanLine is one line of a Plan.
type PlanLine struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
}

// MakePlan returns what changes for targets and callers if after takes the place of
// before, which may be nil.
func MakePlan(before, after *State) *Plan {
	if before == nil {
		before = emptyState()
	}
	p := &Plan{
		From:           before.Number,
		To:             after.Number,
		Gaining:        []PlanLine{},
		Losing:         []PlanLine{},
		CallersGaining: []PlanLine{},
		CallersLosing:  []PlanLine{},
		Unserved:       []PlanLine{},
	}
	p.planTargets(before, after)
	p.planCallers(before, after)
	p.planShards(before, after)
	return p
}

// idleReason tells why a target gets no work, or "" for one that does.
func idleReason(s *State, held map[string]bool, name string) string {
	t := s.Targets[name]
	switch {
	case t == nil:
		return "is not in force"
	case t.Leaving:
		return "is leaving"
	case s.ZoneOut(t.Zone):
		return fmt.Sprintf("availability zone %s is out", t.Zone)
	case !held[name]:
		return "holds no shard of any snapshot"
	}
	return ""
}

// holders returns the targets that hold a shard of a snapshot in force.
func holders(s *State) map[string]bool {
	held := map[string]bool{}
	for _, svc := range s.Services {
		for _, snap := range svc.Snapshots {
			for _, shard := range snap.Shards {
				for _, name := range shard.Replicas {
					held[name] = true
				}
			}
		}
	}
	return held
}

func (p *Plan) planTargets(before, after *State) {
	names := map[string]bool{}
	for name := range before.Targets {
		names[name] = true
	}
	for name := range after.Targets {
		names[name] = true
	}
	heldBefore, heldAfter := holders(before), holders(after)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, next := idleReason(before, heldBefore, name), idleReason(after, heldAfter, name)
		switch {
		case old != "" && next == "":
			p.Gaining = append(p.Gaining, PlanLine{Name: name, Reason: "before: " + old})
		case old == "" && next != "":
			p.Losing = append(p.Losing, PlanLine{Name: name, Reason: next})
		}
	}
}

func (p *Plan) planCallers(before, after *State) {
	names := map[string]bool{}
	for name := range before.Callers {
		names[name] = true
	}
	for name := range after.Callers {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, next := before.Callers[name], after.Callers[name]
		if lost := missingServices(old, next); len(lost) > 0 {
			p.CallersLosing = append(p.CallersLosing, PlanLine{Name: name, Reason: "access to " + strings.Join(lost, ", ")})
		}
		if gained := missingServices(next, old); len(gained) > 0 {
			p.CallersGaining = append(p.CallersGaining, PlanLine{Name: name, Reason: "access to " + strings.Join(gained, ", ")})
		}
		if old != nil && next != nil && old.KeyHash != next.KeyHash {
			p.CallersLosing = append(p.CallersLosing, PlanLine{Name: name, Reason: "access with its old key"})
		}
	}
}

// missingServices returns the services that a may use and b may not.
func missingServices(a, b *Caller) []string {
	if a == nil {
		return nil
	}
	var names []string
	for _, service := range slices.Sorted(maps.Keys(a.Services)) {
		if b == nil || !b.Services[service] {
			names = append(names, service)
		}
	}
	return names
}

func (p *Plan) planShards(before, after *State) {
	old := unserved(before)
	for _, e := range unserved(after) {
		if !slices.Contains(old, e) {
			p.Unserved = append(p.Unserved, e)
		}
	}
}

func unserved(s *State) []PlanLine {
	held := holders(s)
	var list []PlanLine
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		for _, snap := range s.Services[name].Snapshots {
			for i, shard := range snap.Shards {
				idle := func(r string) bool { return idleReason(s, held, r) != "" }
				if !slices.ContainsFunc(shard.Replicas, func(r string) bool { return !idle(r) }) {
					list = append(list, PlanLine{Name: snap.label() + " shard " + strconv.Itoa(i), Reason: "no replica gets work"})
				}
			}
		}
	}
	return list
}
