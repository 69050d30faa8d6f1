package gateway

import (
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/discovery"
)

// TestCatalogNamesItemsToPeersFromBefore checks that a peer whose revision is older than the record of
// deletions gets the hashes of all items, and others only the changes.
func TestCatalogNamesItemsToPeersFromBefore(t *testing.T) {
	c := newCatalogServer("self", zerolog.Nop())
	c.update([]discovery.Item{{Key: "a", Revision: 5}, {Key: "b", Revision: 8, Deleted: true}, {Key: "c", Revision: 20}},
		&discovery.Progress{Revision: 20, Fresh: true, KnownSince: 20})
	old, _ := c.since(10)
	if want := []uint64{discovery.KeyHash("a"), discovery.KeyHash("c")}; !old.GetHasLive() || len(old.GetLive()) != 2 || !slices.Contains(old.GetLive(), want[0]) || !slices.Contains(old.GetLive(), want[1]) {
		t.Errorf("reply to an old revision names %v, want %v", old.GetLive(), want)
	}
	for _, after := range []uint64{0, 20, 25} {
		if reply, _ := c.since(after); reply.GetHasLive() || len(reply.GetLive()) > 0 || reply.GetKnownSince() != 20 {
			t.Errorf("reply after %d: %+v", after, reply)
		}
	}
}
