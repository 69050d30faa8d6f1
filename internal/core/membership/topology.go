package membership

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pollentack.example/pollentack/internal/core/release"
)

const (
	// fullMeshHosts is the largest fleet in which each host links to every other.
	fullMeshHosts = 16
	// cyclesWithinZone and cyclesAcross are the cycles whose union is each graph; a host
	// has two neighbours in each cycle.
	cyclesWithinZone = 2
	cyclesAcross     = 2
	// MaxPeers bounds the standing links of a host.
	MaxPeers = max(fullMeshHosts-1, 2*(cyclesWithinZone+cyclesAcross))
)

// PeersOf returns, in order, the names of the hosts to which self keeps links.
//
// A small fleet is a full mesh. A large one is the union of two graphs: one within each
// zone and one across all. Each is a union of cycles whose orders are hashes of the
// names, so that every host computes the same graph from the published list, without a
// message, and one host more or less changes two links in each cycle.
func PeersOf(hosts []release.Host, self string) []string {
	at := slices.IndexFunc(hosts, func(h release.Host) bool { return h.Name == self })
	if at < 0 {
		return nil
	}
	names := map[string]bool{}
	if len(hosts) <= fullMeshHosts {
		for _, h := range hosts {
			names[h.Name] = true
		}
	} else {
		zone := hosts[at].Zone
		within := slices.DeleteFunc(slices.Clone(hosts), func(h release.Host) bool { return h.Zone != zone })
		addNeighbours(names, within, self, "zone "+zone, cyclesWithinZone)
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

// ranked is a host's place in one cycle.
type ranked struct {
	rank uint64
	name string
}

func (r ranked) compare(o ranked) int {
	if r.rank != o.rank {
		if r.rank < o.rank {
			return -1
		}
		return 1
	}
	return strings.Compare(r.name, o.name)
}

// addNeighbours adds self's neighbours in each cycle of a graph. The neighbours are the
// next above and below in rank, wrapping round, so that no cycle has to be sorted.
func addNeighbours(names map[string]bool, hosts []release.Host, self, graph string, cycles int) {
	for cycle := range cycles {
		salt := xxhash.Sum64String(graph + " " + strconv.Itoa(cycle))
		own := ranked{rank: rankOf(salt, self), name: self}
		above, below := own, own
		least, greatest := own, own
		for i := range hosts {
			r := ranked{rank: rankOf(salt, hosts[i].Name), name: hosts[i].Name}
			if r.compare(own) > 0 && (above == own || r.compare(above) < 0) {
				above = r
			}
			if r.compare(own) < 0 && (below == own || r.compare(below) > 0) {
				below = r
			}
			if r.compare(least) < 0 {
				least = r
			}
			if r.compare(greatest) > 0 {
				greatest = r
			}
		}
		if above == own {
			above = least
		}
		if below == own {
			below = greatest
		}
		names[above.name] = true
		names[below.name] = true
	}
}

// rankOf mixes a name's hash with the salt of a cycle, by the finalizer of splitmix64.
func rankOf(salt uint64, name string) uint64 {
	x := xxhash.Sum64String(name) ^ salt
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
