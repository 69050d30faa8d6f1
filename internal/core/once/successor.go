package once

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pollentack.example/pollentack/internal/core/release"
)

// maxSuccessors is the maximum number of other hosts that are offered a home's tickets or
// asked for them.
const maxSuccessors = 3

// Successors returns the hosts that may hold the tickets of a home that has left, in the
// order in which they are offered and asked for the tickets. It selects them by rendezvous
// hashing, so that all hosts with the same list get the same result.
func Successors(home string, hosts []release.Host) []string {
	names := make([]string, 0, len(hosts))
	for i := range hosts {
		if hosts[i].Name != home {
			names = append(names, hosts[i].Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(home, a), rendezvousWeight(home, b)), cmp.Compare(a, b))
	})
	return names[:min(len(names), maxSuccessors)]
}

func rendezvousWeight(home, host string) uint64 { return xxhash.Sum64String(home + "\x00" + host) }
