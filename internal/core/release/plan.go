package release

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Plan lists the effects that a new state would have on targets, callers and shards.
type Plan struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// TargetsGaining and TargetsLosing list the targets that would start or stop receiving
	// requests.
	TargetsGaining []PlanEntry `json:"targets_gaining"`
	TargetsLosing  []PlanEntry `json:"targets_losing"`
	// CallersGaining and CallersLosing list the access that callers would gain or lose.
	CallersGaining []PlanEntry `json:"callers_gaining"`
	CallersLosing  []PlanEntry `json:"callers_losing"`
	// ShardsUnserved lists the shards that would newly have no replica that receives requests.
	ShardsUnserved []PlanEntry `json:"shards_unserved"`
}

// PlanEntry is one entry of a Plan.
type PlanEntry struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
}

// NewPlan compares two states and returns the effects of replacing before with after.
// before may be nil.
func NewPlan(before, after *State) *Plan {
	if before == nil {
		before = emptyState()
	}
	p := &Plan{
		From:           before.Number,
		To:             after.Number,
		TargetsGaining: []PlanEntry{},
		TargetsLosing:  []PlanEntry{},
		CallersGaining: []PlanEntry{},
		CallersLosing:  []PlanEntry{},
		ShardsUnserved: []PlanEntry{},
	}
	p.planTargets(before, after)
	p.planCallers(before, after)
	p.planShards(before, after)
	return p
}

// idleReason returns the reason for which a target receives no requests, or "" if it
// receives them.
func idleReason(s *State, assigned map[string]bool, name string) string {
	t := s.Targets[name]
	switch {
	case t == nil:
		return "is not in force"
	case t.Leaving:
		return "is leaving"
	case s.ZoneOutOfService(t.Zone):
		return fmt.Sprintf("availability zone %s is out", t.Zone)
	case !assigned[name]:
		return "holds no shard of any snapshot"
	}
	return ""
}

// assignedTargets returns the targets that hold a shard of a snapshot in force.
func assignedTargets(s *State) map[string]bool {
	assigned := map[string]bool{}
	for _, svc := range s.Services {
		for _, snap := range svc.Snapshots {
			for _, shard := range snap.Shards {
				for _, name := range shard.Replicas {
					assigned[name] = true
				}
			}
		}
	}
	return assigned
}

func (p *Plan) planTargets(before, after *State) {
	names := map[string]bool{}
	for name := range before.Targets {
		names[name] = true
	}
	for name := range after.Targets {
		names[name] = true
	}
	assignedBefore, assignedAfter := assignedTargets(before), assignedTargets(after)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		oldReason, newReason := idleReason(before, assignedBefore, name), idleReason(after, assignedAfter, name)
		switch {
		case oldReason != "" && newReason == "":
			p.TargetsGaining = append(p.TargetsGaining, PlanEntry{Name: name, Reason: "before: " + oldReason})
		case oldReason == "" && newReason != "":
			p.TargetsLosing = append(p.TargetsLosing, PlanEntry{Name: name, Reason: newReason})
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
			p.CallersLosing = append(p.CallersLosing, PlanEntry{Name: name, Reason: "access to " + strings.Join(lost, ", ")})
		}
		if gained := missingServices(next, old); len(gained) > 0 {
			p.CallersGaining = append(p.CallersGaining, PlanEntry{Name: name, Reason: "access to " + strings.Join(gained, ", ")})
		}
		if old != nil && next != nil && old.KeyHash != next.KeyHash {
			p.CallersLosing = append(p.CallersLosing, PlanEntry{Name: name, Reason: "access with its old key"})
		}
	}
}

// missingServices returns the services that a may use and b may not. Both may be nil.
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
	old := unservedShards(before)
	for _, e := range unservedShards(after) {
		if !slices.Contains(old, e) {
			p.ShardsUnserved = append(p.ShardsUnserved, e)
		}
	}
}

// unservedShards returns the shards of s without a replica that receives requests.
func unservedShards(s *State) []PlanEntry {
	assigned := assignedTargets(s)
	var list []PlanEntry
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		for _, snap := range s.Services[name].Snapshots {
			for i, shard := range snap.Shards {
				idle := func(r string) bool { return idleReason(s, assigned, r) != "" }
				if !slices.ContainsFunc(shard.Replicas, func(r string) bool { return !idle(r) }) {
					list = append(list, PlanEntry{Name: snap.label() + " shard " + strconv.Itoa(i), Reason: "no replica gets work"})
				}
			}
		}
	}
	return list
}
