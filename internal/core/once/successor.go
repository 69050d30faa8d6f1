package once

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pollentack.example/pollentack/internal/core/release"
)

// maxSuccessors is how many hosts are asked for a home's tickets after the home.
const maxSuccessors = 3

// Successors returns the hosts that may hold the tickets of a home that has left, in
// the order in which they are offered and asked: the first by rendezvous hashing. It
// is the same on every host with the same list.
func Successors(home string, hosts []release.Host) []string {
	names := make([]string, 0, len(hosts))
	for i := range hosts {
		if hosts[i].Name != home {
			names = append(names, hosts[i].Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(home, a), weight(home, b)), cmp.Compare(a, b))
	})
	return names[:min(len(names), maxSuccessors)]
}

func weight(home, host string) uint64 { return xxhash.Sum64String(home + "\x00" + host) }
