// Package release defines release notes and the configuration state that results from
// applying them.
//
// Operators publish numbered notes. Each note names its predecessor and lists the items
// that are added, changed and withdrawn; a baseline note contains the whole state. A State
// returned by Apply is immutable, so readers share it without a lock. Applying and
// validating a note are pure functions, so all hosts accept or refuse the same notes.
package release

import (
	"crypto/sha256"
	"crypto/subtle"
	"time"
)

// Criticality orders services for load shedding. Lower values are shed first.
type Criticality int

// Criticalities in shedding order, the first to be shed first.
const (
	Sheddable Criticality = iota
	Standard
	Critical
)

// Policy sets the deadline, coverage, hedging and shedding of a service's queries.
type Policy struct {
	// Deadline is the time limit of a query for which its caller sets none.
	Deadline time.Duration
	// MinCoverage is the minimum weighted share of shards, 0 to 1, that an answer covers.
	MinCoverage float64
	// RequireAllShards requires that an answer covers all shards.
	RequireAllShards bool
	// HedgeBudget limits hedges and retries, as a share of the number of first attempts.
	HedgeBudget float64
	// Canary sends a request body to a single target first, unless that body recently ran
	// without harming a target.
	Canary bool
	// Criticality is the position of the service in the shedding order.
	Criticality Criticality
}

// Service is a service that targets provide.
type Service struct {
	Name   string
	Policy Policy
	// Snapshots holds the index versions that may be queried, newest first.
	Snapshots []*Snapshot
	// AtMostOnce reports whether the service accepts requests that must run at most once.
	AtMostOnce bool
}

// Snapshot is one index version with its shard layout. An answer never combines
// snapshots.
type Snapshot struct {
	Service string
	Version uint64
	Layout  string
	Shards  []Shard
	// Weight is the sum of the weights of Shards.
	Weight float64
}

// SnapshotKey identifies a snapshot within its service.
type SnapshotKey struct {
	Version uint64
	Layout  string
}

// Key returns the key that identifies the snapshot within its service.
func (s *Snapshot) Key() SnapshotKey { return SnapshotKey{Version: s.Version, Layout: s.Layout} }

// Shard is one part of a snapshot, with the names of the targets that hold it.
type Shard struct {
	Weight   float64
	Replicas []string
}

// Caller is one customer of the reseller.
type Caller struct {
	Name string
	// KeyHash is the SHA-256 of the caller's key; the key itself is never published.
	KeyHash [32]byte
	// Services is the set of the names of the services that the caller may use.
	Services map[string]bool
	// Rate is the sustained limit in requests per second, over all hosts.
	Rate float64
}

// Target is a back-end server.
type Target struct {
	Name    string
	Address string
	Zone    string
	Service string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// MaxConnections is the limit on connections to the target, over all hosts.
	MaxConnections int
	// MaxColdRequests is the limit on concurrent requests while the target is cold, over all
	// hosts.
	MaxColdRequests int
	Leaving         bool
}

// Zone is an availability zone.
type Zone struct {
	Name   string
	Region string
	// OutOfService reports that operators have taken the zone out of service.
	OutOfService bool
}

// Host is a host of the system, which receives requests from callers.
type Host struct {
	Name string
	// MeshAddress is the address on which the host accepts links from its peers.
	MeshAddress string
	Zone        string
}

// State is the configuration that results from the accepted notes up to Number.
type State struct {
	Number   uint64
	Services map[string]*Service
	Callers  map[string]*Caller
	Targets  map[string]*Target
	Zones    map[string]*Zone
	// Hosts are sorted by name.
	Hosts []Host

	// byKeyHash indexes Callers. It is nil in a State that Apply did not return.
	byKeyHash map[[sha256.Size]byte]*Caller
}

// indexCallers builds the index with which CallerByKeyHash takes time independent of the
// number of callers. Of two callers with the same key the index holds the one whose name
// sorts first, so that all hosts resolve the key alike.
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

// CallerByKeyHash returns the caller with this key hash, or nil. The final comparison of
// the hashes takes constant time.
func (s *State) CallerByKeyHash(hash [sha256.Size]byte) *Caller {
	index := s.byKeyHash
	if index == nil {
		// Apply did not return this state, and readers must not change it.
		index = s.callersByKeyHash()
	}
	c, ok := index[hash]
	if !ok || subtle.ConstantTimeCompare(c.KeyHash[:], hash[:]) != 1 {
		return nil
	}
	return c
}

// ZoneOutOfService reports whether the named zone is out of service or unknown.
func (s *State) ZoneOutOfService(name string) bool {
	z, ok := s.Zones[name]
	return !ok || z.OutOfService
}
