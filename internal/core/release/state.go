// Package release holds the typed form of release notes and the state they fold into.
//
// Operators publish numbered notes. Each note names its predecessor and lists what
// is added, changed and withdrawn; a baseline note carries the whole state. A State
// is immutable once folded: readers share it without a lock. Folding and validation
// are pure, so every host gives the same verdict on the same note.
package release

import (
	"crypto/sha256"
	"crypto/subtle"
	"time"
)

// Criticality orders services under pressure: the lower is shed first.
type Criticality int

// Criticalities from the first shed to the last.
const (
	Sheddable Criticality = iota
	Standard
	Critical
)

// Policy tells how a service trades time against coverage.
type Policy struct {
	// Deadline bounds a whole query when its caller names none.
	Deadline time.Duration
	// MinCoverage is the least weighted share of shards, 0 to 1, of an answer.
	MinCoverage float64
	// Whole refuses any answer that lacks a shard.
	Whole bool
	// HedgeBudget is the share of first attempts that hedges and retries may add.
	HedgeBudget float64
	// Canary sends a body not lately seen to run clean to one target first.
	Canary bool
	// Criticality decides what is shed first.
	Criticality Criticality
}

// Service is one searchable service.
type Service struct {
	Name   string
	Policy Policy
	// Snapshots are the servable index versions, newest first.
	Snapshots []*Snapshot
	// Once tells whether the service takes requests that may not be repeated.
	Once bool
}

// Snapshot is one index version with its shard layout. An answer comes from one only.
type Snapshot struct {
	Service string
	Version uint64
	Layout  string
	Shards  []Shard
	// Weight is the sum of the shards' weights.
	Weight float64
}

// Key identifies a snapshot within its service.
type Key struct {
	Version uint64
	Layout  string
}

// Key returns the snapshot's identity.
func (s *Snapshot) Key() Key { return Key{Version: s.Version, Layout: s.Layout} }

// Shard is one part of a snapshot and the targets that hold it.
type Shard struct {
	Weight   float64
	Replicas []string
}

// Caller is one customer of the reseller.
type Caller struct {
	Name string
	// KeyHash is the SHA-256 of the caller's key; the key itself is never published.
	KeyHash [32]byte
	// Services maps the names of the services that the caller may use.
	Services map[string]bool
	// Rate is the sustained number of requests a second, over all hosts.
	Rate float64
}

// Target is one back end.
type Target struct {
	Name    string
	Address string
	Zone    string
	Service string
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Connections is the published limit over all hosts.
	Connections int
	// ColdBudget is the number of requests it bears at a time while cold, over all hosts.
	ColdBudget int
	Leaving    bool
}

// Zone is an availability zone.
type Zone struct {
	Name   string
	Region string
	// Out tells that operators have taken the zone out.
	Out bool
}

// Host is an entry host of the system.
type Host struct {
	Name string
	// Mesh is the address on which the host takes links from its peers.
	Mesh string
	Zone string
}

// State is what the accepted notes up to Number add up to.
type State struct {
	Number   uint64
	Services map[string]*Service
	Callers  map[string]*Caller
	Targets  map[string]*Target
	Zones    map[string]*Zone
	// Hosts are sorted by name.
	Hosts []Host

	// byKeyHash indexes the callers of a folded state.
	byKeyHash map[[sha256.Size]byte]*Caller
}

// indexCallers makes CallerByKeyHash independent of the number of callers. Of two callers
// with the same key the one whose name sorts first has it on every host.
func (s *State) indexCallers() {
	s.byKeyHash = s.callersByKeyHash()
}

func (s *State) callersByKeyHash() map[[sha256.Size]byte]*Caller {
	index := make(map[[sha256.Size]byte]*Caller, len(s.Callers))
	for _, c := range s.Callers {
		if other, ok := index[c.KeyHash]; !ok || c.Name < other.Name {
			index[c.KeyHash] = c
		}
	}
	return index
}

// CallerByKeyHash returns the caller with this key hash, or nil. The last comparison
// takes the same time whether the hashes are equal or not.
func (s *State) CallerByKeyHash(hash [sha256.Size]byte) *Caller {
	index := s.byKeyHash
	if index == nil {
		// The state was not folded, and a reader may not change it.
		index = s.callersByKeyHash()
	}
	c, ok := index[hash]
	if !ok || subtle.ConstantTimeCompare(c.KeyHash[:], hash[:]) != 1 {
		return nil
	}
	return c
}

// ZoneOut reports whether the named zone has been taken out or is unknown.
func (s *State) ZoneOut(name string) bool {
	z, ok := s.Zones[name]
	return !ok || z.Out
}
