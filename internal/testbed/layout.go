// Package testbed runs stand-ins and hosts in one process over loopback, for the demo,
// the experiments and the end-to-end tests.
package testbed

import (
	"crypto/sha256"
	"fmt"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/standin"
)

// ServiceLayout describes one service of the testbed. Every shard has the same number of
// replicas, and each target serves one replica of one shard unless AllShardsPerTarget is
// set.
type ServiceLayout struct {
	Name     string
	Shards   int
	Replicas int
	Policy   release.Policy
	// AtMostOnce makes it a service of requests that run at most once.
	AtMostOnce bool
	// AllShardsPerTarget makes every target hold all shards, so that the service has
	// Replicas targets in all.
	AllShardsPerTarget bool
	// MaxConnections is the published connection limit of each target.
	MaxConnections int
	Behavior       standin.Behavior
}

// Layout describes what a testbed runs.
type Layout struct {
	Seed     uint64
	Zones    []release.Zone
	Hosts    int
	Services []ServiceLayout
	// Callers is the number of callers; caller i has the key CallerKey(i).
	Callers int
	// CallerRate is each caller's published rate limit, in requests per second.
	CallerRate float64
}

// CallerKey returns the key of caller i.
func CallerKey(i int) string { return fmt.Sprintf("key-%d", i) }

// ThreeZones returns three availability zones, each in a region of its own.
func ThreeZones() []release.Zone {
	return []release.Zone{{Name: "dakar-a", Region: "dakar"}, {Name: "thies-a", Region: "thies"}, {Name: "saint-louis-a", Region: "saint-louis"}}
}

// targetNames returns the names of the targets, by shard and replica.
func (s *ServiceLayout) targetNames() [][]string {
	names := make([][]string, s.Shards)
	for shard := range s.Shards {
		for replica := range s.Replicas {
			name := fmt.Sprintf("%s-%d-%d", s.Name, shard, replica)
			if s.AllShardsPerTarget {
				name = fmt.Sprintf("%s-%d", s.Name, replica)
			}
			names[shard] = append(names[shard], name)
		}
	}
	return names
}

func (s *ServiceLayout) items(zones []release.Zone, addresses map[string]string) []release.Item {
	names := s.targetNames()
	items := []release.Item{{Op: release.Add, Service: &release.Service{Name: s.Name, Policy: s.Policy, AtMostOnce: s.AtMostOnce}}}
	seen := map[string]bool{}
	snap := &release.Snapshot{Service: s.Name, Version: 1, Layout: "a"}
	for shard := range names {
		for replica, name := range names[shard] {
			if seen[name] {
				continue
			}
			seen[name] = true
			items = append(items, release.Item{Op: release.Add, Target: &release.Target{
				Name:            name,
				Address:         addresses[name],
				Zone:            zones[(shard+replica)%len(zones)].Name,
				Service:         s.Name,
				Slots:           s.Behavior.Slots,
				MaxConnections:  s.MaxConnections,
				MaxColdRequests: s.Behavior.ColdBudget,
			}})
		}
		snap.Shards = append(snap.Shards, release.Shard{Weight: 1, Replicas: names[shard]})
		snap.Weight++
	}
	return append(items, release.Item{Op: release.Add, Snapshot: snap})
}

func (l *Layout) callerItems() []release.Item {
	services := map[string]bool{}
	for i := range l.Services {
		services[l.Services[i].Name] = true
	}
	items := make([]release.Item, l.Callers)
	for i := range items {
		items[i] = release.Item{Op: release.Add, Caller: &release.Caller{
			Name:     fmt.Sprintf("caller-%d", i),
			KeyHash:  sha256.Sum256([]byte(CallerKey(i))),
			Services: services,
			Rate:     l.CallerRate,
		}}
	}
	return items
}
