package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Member is one host of the fleet as it describes itself.
type Member struct {
	Host   string
	Zone   string
	Region string
	// Address is where the host takes links.
	Address string
	// Capacity is the host's share of a core in thousandths.
	Capacity int
	// Started is the wall-clock start of the process in nanoseconds, or a later time at
	// which it denied being away. Of two descriptions of a host the later one counts.
	Started uint64
	// Away tells that the process has left or was lost. It outweighs a description with the
	// same start.
	Away bool
}

// hash covers all fields but Away.
func (m *Member) hash() uint64 {
	return xxhash.Sum64String(m.Host + "\x00" + m.Zone + "\x00" + m.Region + "\x00" + m.Address + "\x00" +
		strconv.Itoa(m.Capacity) + "\x00" + strconv.FormatUint(m.Started, 16))
}

// Rank orders hosts for a duty that few of them have: the stronger first, then by a hash
// of the duty and the name, so that each duty has its own order and all hosts agree.
func Rank(members []Member, duty string) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
			return c
		}
		if c := cmp.Compare(xxhash.Sum64String(duty+a.Host), xxhash.Sum64String(duty+b.Host)); c != 0 {
			return c
		}
		return cmp.Compare(a.Host, b.Host)
	})
	return ranked
}

// Hubs returns the hosts that keep connections to the targets of queries over many
// shards, by name: at most limit, as many in each availability zone as its share, the
// strongest first. Where the limit holds all members, all are hubs.
func Hubs(members []Member, limit int) map[string]bool {
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
		for _, m := range Rank(list, "hub")[:min(perZone, len(list))] {
			hubs[m.Host] = true
		}
	}
	return hubs
}
