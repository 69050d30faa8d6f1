package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Member is a host's description of itself.
type Member struct {
	Host   string
	Zone   string
	Region string
	// Address is where the host accepts mesh connections.
	Address string
	// Capacity is the host's CPU share in thousandths of a core.
	Capacity int
	// Started is the wall-clock start of the process in nanoseconds, or a later time at
	// which it refuted that it had departed. The later of two descriptions of a host takes
	// precedence.
	Started uint64
	// Departed reports that the process has left or failed. It takes precedence over a
	// description with the same start.
	Departed bool
}

// descriptionBytes returns the length of the strings.
func (m *Member) descriptionBytes() int {
	return len(m.Host) + len(m.Zone) + len(m.Region) + len(m.Address)
}

// hash covers all fields but Departed.
func (m *Member) hash() uint64 {
	return xxhash.Sum64String(m.Host + "\x00" + m.Zone + "\x00" + m.Region + "\x00" + m.Address + "\x00" +
		strconv.Itoa(m.Capacity) + "\x00" + strconv.FormatUint(m.Started, 16))
}

// RankForRole orders hosts by their fitness for a role that few of them have: by decreasing
// capacity, then by a hash of the role and the name. Each role has its own order, on which
// all hosts agree.
func RankForRole(members []Member, role string) []Member {
	type candidate struct {
		index int
		hash  uint64
	}
	candidates := make([]candidate, len(members))
	for i := range members {
		candidates[i] = candidate{i, xxhash.Sum64String(role + members[i].Host)}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		a, b := &members[x.index], &members[y.index]
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(x.hash, y.hash), cmp.Compare(a.Host, b.Host))
	})
	ranked := make([]Member, len(members))
	for i, c := range candidates {
		ranked[i] = members[c.index]
	}
	return ranked
}

// SelectHubs returns the names of the hosts that keep connections to the targets of queries
// over many shards. If there are at most limit members, all are hubs. Otherwise the limit is
// divided equally among the availability zones, with at least one hub in each, and the hosts
// with the highest capacity are chosen.
func SelectHubs(members []Member, limit int) map[string]bool {
	hubs := make(map[string]bool, len(members))
	if len(members) <= limit {
		for i := range members {
			hubs[members[i].Host] = true
		}
		return hubs
	}
	byZone := map[string][]Member{}
	for _, m := range members {
		byZone[m.Zone] = append(byZone[m.Zone], m)
	}
	perZone := max(1, limit/len(byZone))
	for _, list := range byZone {
		for _, m := range RankForRole(list, "hub")[:min(perZone, len(list))] {
			hubs[m.Host] = true
		}
	}
	return hubs
}
