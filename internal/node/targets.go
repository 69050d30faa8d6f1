package node

import (
	"time"

	"pollentack.example/pollentack/internal/core/target"
	"pollentack.example/pollentack/internal/settings"
)

// maxTargetStatusAge is the time for which the status of the targets is cached.
const maxTargetStatusAge = 250 * time.Millisecond

// TargetStatus is the status of one target in the report for operators.
type TargetStatus struct {
	Target      string `json:"target"`
	Incarnation uint64 `json:"incarnation"`
	Cold        bool   `json:"cold"`
	Level       int32  `json:"level"`
	Leaving     bool   `json:"leaving"`
	ZoneOut     bool   `json:"availability_zone_out"`
	InFlight    int    `json:"in_flight"`
	Limit       int    `json:"limit"`
	Quota       int    `json:"connection_quota"`
	Connections int    `json:"connections"`
	LatencyUS   int64  `json:"latency_us"`
}

func targetOptions(s *settings.Settings) target.Options {
	return target.Options{
		Host:        s.Host.Name,
		StaticLimit: s.Policy.StaticLimit,
		NoWarmUp:    s.Policy.NoWarmUp,
		RoundRobin:  s.Policy.RoundRobin,
	}
}

// targetStatuses returns the status of the targets in force, which may be cached.
func (q *queries) targetStatuses() []TargetStatus {
	now := q.clock.Now().Mono
	if q.cachedTargets != nil && now-q.cachedTargetsAt < maxTargetStatusAge {
		return q.cachedTargets
	}
	q.cachedTargetsAt = now
	table := q.engine.Targets()
	q.cachedTargets = make([]TargetStatus, 0, table.Len())
	for id := range target.ID(table.Len()) {
		e := table.Entry(id)
		if table.Lookup(e.Spec.Name) != id {
			continue
		}
		q.cachedTargets = append(q.cachedTargets, TargetStatus{
			Target:      e.Spec.Name,
			Incarnation: e.Incarnation,
			Cold:        e.Cold,
			Level:       int32(e.Level),
			Leaving:     e.Leaving,
			ZoneOut:     e.ZoneOut,
			InFlight:    e.InFlight,
			Limit:       e.Limiter.Limit(),
			Quota:       e.Quota,
			Connections: q.connections(e.Spec.Address),
			LatencyUS:   e.Latency.Microseconds(),
		})
	}
	return q.cachedTargets
}
