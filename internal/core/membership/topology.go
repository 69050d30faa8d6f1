package membership

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pollentack.example/pollentack/internal/core/release"
)

const (
	// fullMeshHosts is the largest fleet in which every host links to every other.
	fullMeshHosts = 16
	// cyclesWithinZone and cyclesAcross are the numbers of cycles in the graph of each
	// zone and in the graph of all hosts. A host has two neighbours in each cycle.
	cyclesWithinZone = 2
	cyclesAcross     = 2
	// MaxPersistentPeers is the maximum number of persistent links of a host.
	MaxPersistentPeers = max(fullMeshHosts-1, 2*(cyclesWithinZone+cyclesAcross))
)

// PersistentPeers returns the sorted names of the hosts to which self keeps persistent
// links, or nil if self is not in hosts.
//
// A fleet of up to fullMeshHosts hosts is a full mesh. A larger fleet is the union of one
// graph for each zone and one graph over all zones. Each graph is a union of cycles, in
// which hosts are ordered by a hash of their names. Every host thus computes the same
// graph from the published list without exchanging messages, and adding or removing one
// host changes only the links of its two neighbours in each cycle.
func PersistentPeers(hosts []release.Host, self string) []string {
	selfIndex := slices.IndexFunc(hosts, func(h release.Host) bool { return h.Name == self })
	if selfIndex < 0 {
		return nil
	}
	names := map[string]bool{}
	if len(hosts) <= fullMeshHosts {
		for _, h := range hosts {
			names[h.Name] = true
		}
	} else {
		zone := hosts[selfIndex].Zone
		inZone := slices.DeleteFunc(slices.Clone(hosts), func(h release.Host) bool { return h.Zone != zone })
		addNeighbours(names, inZone, self, "zone "+zone, cyclesWithinZone)
		addNeighbours(names, hosts, self, "across", cyclesAcross)
	}
	delete(names, self)
	peers := make([]string, 0, len(names))
	for name := range names {
		peers = append(peers, name)
	}
	slices.Sort(peers)
	return peers
}

// rankedHost is a host's position in one cycle.
type rankedHost struct {
	rank uint64
	name string
}

func (r rankedHost) compare(o rankedHost) int {
	if r.rank != o.rank {
		if r.rank < o.rank {
			return -1
		}
		return 1
	}
	return strings.Compare(r.name, o.name)
}

// addNeighbours adds self's neighbours in each cycle of a graph to names. The neighbours
// are the hosts with the next higher and next lower rank, with wrap-around. They are found
// in one pass, without sorting the cycle.
func addNeighbours(names map[string]bool, hosts []release.Host, self, graph string, cycles int) {
	for cycle := range cycles {
		salt := xxhash.Sum64String(graph + " " + strconv.Itoa(cycle))
		own := rankedHost{rank: rankInCycle(salt, self), name: self}
		above, below := own, own
		lowest, highest := own, own
		for i := range hosts {
			r := rankedHost{rank: rankInCycle(salt, hosts[i].Name), name: hosts[i].Name}
			if r.compare(own) > 0 && (above == own || r.compare(above) < 0) {
				above = r
			}
			if r.compare(own) < 0 && (below == own || r.compare(below) > 0) {
				below = r
			}
			if r.compare(lowest) < 0 {
				lowest = r
			}
			if r.compare(highest) > 0 {
				highest = r
			}
		}
		if above == own {
			above = lowest
		}
		if below == own {
			below = highest
		}
		names[above.name] = true
		names[below.name] = true
	}
}

// rankInCycle mixes the hash of a name with the salt of a cycle, using the finalizer of
// SplitMix64.
func rankInCycle(salt uint64, name string) uint64 {
	x := xxhash.Sum64String(name) ^ salt
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
