package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"pollentack.example/pollentack/internal/core/discovery"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/wire"
)

// TestCatalogNamesItemsToPeersFromBefore checks that a peer whose revision is older than the record of
// deletions gets the hashes of all items, and others only the changes.
func TestCatalogNamesItemsToPeersFromBefore(t *testing.T) {
	c := newCatalogServer("self", sysclock.New(), zerolog.Nop())
	c.update([]discovery.Item{{Key: "a", Revision: 5}, {Key: "b", Revision: 8, Deleted: true}, {Key: "c", Revision: 20}},
		&discovery.Progress{Revision: 20, Fresh: true, KnownSince: 20})
	old, _, _ := c.since(0, 10, 0)
	if want := []uint64{discovery.KeyHash("a"), discovery.KeyHash("c")}; !old.GetHasLive() || len(old.GetLive()) != 2 || !slices.Contains(old.GetLive(), want[0]) || !slices.Contains(old.GetLive(), want[1]) {
		t.Errorf("reply to an old revision names %v, want %v", old.GetLive(), want)
	}
	for _, after := range []uint64{0, 20, 25} {
		if reply, _, _ := c.since(0, after, 0); reply.GetHasLive() || len(reply.GetLive()) > 0 || reply.GetKnownSince() != 20 {
			t.Errorf("reply after %d: %+v", after, reply)
		}
	}
}

// TestPeerFromBeforeForgottenDeletions checks that a host drops the deleted items that its core has
// forgotten, and names the others to a peer that does not know of the deletion.
func TestPeerFromBeforeForgottenDeletions(t *testing.T) {
	c := newCatalogServer("self", sysclock.New(), zerolog.Nop())
	c.update([]discovery.Item{
		{Key: "a", Revision: 5, Value: []byte("1234"), DecodeError: "odd"}, {Key: "b", Revision: 8, Deleted: true}, {Key: "c", Revision: 12, Deleted: true},
	}, &discovery.Progress{Revision: 12, Fresh: true, KnownSince: 4})
	c.update(nil, &discovery.Progress{Revision: 12, Fresh: true, KnownSince: 8, Forgotten: 8})
	if got, want := c.usage(), (StoreItems{Count: 2, Deleted: 1, Unreadable: 1, Bytes: 9}); got != want {
		t.Errorf("items kept are %+v, want %+v", got, want)
	}
	if reply, _, _ := c.since(0, 7, 0); !reply.GetHasLive() || !slices.Equal(reply.GetLive(), []uint64{discovery.KeyHash("a")}) || len(reply.GetItems()) != 1 {
		t.Errorf("reply to a peer from before the deletion is %+v, want the hash of the item that is left and the later deletion", reply)
	}
}

// TestCatalogReplyFitsIntoCall guards against replies that are too large for a call, so that a peer never
// gets the items: what surrounds many small items, and the hashes of many others, count too.
func TestCatalogReplyFitsIntoCall(t *testing.T) {
	for name, progress := range map[string]discovery.Progress{"small items": {}, "hashes of all": {KnownSince: 100_000}} {
		c := newCatalogServer("self", sysclock.New(), zerolog.Nop())
		for i := range 60_000 {
			c.update([]discovery.Item{{Key: fmt.Sprintf("servers/%08d", i), Revision: uint64(i + 2)}}, nil)
		}
		progress.Revision = 100_000
		c.update(nil, &progress)
		reply, _, _ := c.since(0, 1, 0)
		if size := proto.Size(reply); size > wire.MaxCallBytes || len(reply.GetItems()) == 0 || reply.GetHasLive() != (progress.KnownSince > 0) {
			t.Errorf("%s: reply of %d items and %d hashes has %d bytes, want some items in at most %d", name, len(reply.GetItems()), len(reply.GetLive()), size, wire.MaxCallBytes)
		}
	}
}

// TestHostWithUnansweredCallStopsCountingAsUpToDate guards against followers that learn only with the
// end of their host's call to the store that it has lost contact.
func TestHostWithUnansweredCallStopsCountingAsUpToDate(t *testing.T) {
	const freshFor, wait = 100 * time.Millisecond, 10 * time.Second
	clk := sysclock.New()
	c := newCatalogServer("self", clk, zerolog.Nop())
	contact := clk.Now().Mono
	c.update(nil, &discovery.Progress{Revision: 5, Fresh: true, ContactAt: contact, FreshUntil: contact + freshFor})
	reply := serveWatch(t, c, 5, wait)
	if reply.GetFresh() {
		t.Errorf("reply after %v is %+v, want one that is not fresh", clk.Now().Mono-contact, reply)
	}
}

// TestFollowerHearsOfItsHostsContact checks that a watch ends when the host hears from the store,
// with the age of that contact, so that a follower knows how old its data may be.
func TestFollowerHearsOfItsHostsContact(t *testing.T) {
	const wait = 10 * time.Second
	clk := sysclock.New()
	c := newCatalogServer("self", clk, zerolog.Nop())
	progress := discovery.Progress{Revision: 5, Fresh: true, ContactAt: 0, FreshUntil: time.Minute}
	c.update(nil, &progress)
	time.AfterFunc(20*time.Millisecond, func() {
		progress.ContactAt = clk.Now().Mono
		c.update(nil, &progress)
	})
	reply := serveWatch(t, c, 5, wait)
	if age := time.Duration(reply.GetContactAgeMs()) * time.Millisecond; !reply.GetFresh() || age >= wait {
		t.Errorf("reply is %+v, want a fresh one with the age of the contact", reply)
	}
}

func serveWatch(t *testing.T, c *catalogServer, after uint64, wait time.Duration) *wire.CatalogReply {
	t.Helper()
	reply := &wire.CatalogReply{}
	if err := proto.Unmarshal(c.serve("peer", marshal(&wire.CatalogRequest{After: after, WaitMs: wait.Milliseconds()})), reply); err != nil {
		t.Fatal(err)
	}
	return reply
}
