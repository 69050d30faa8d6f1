package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"pollentack.example/pollentack/internal/core/discovery"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/wire"
)

const (
	// maxCatalogWait is the maximum time for which a peer's call waits for changes.
	maxCatalogWait = 10 * time.Second
	// maxCatalogReplyBytes is the maximum size of the items and hashes in one reply. A reply may
	// exceed it only with a single item.
	maxCatalogReplyBytes = wire.MaxCallBytes * 3 / 4
	// hashBytes is the size of a hash in a reply, and maxItemOverheadBytes that of what stands before
	// an item.
	hashBytes            = 8
	maxItemOverheadBytes = 6
)

// catalogServer serves the items of the store to the peers that follow this host. The discovery
// duty updates it, and the call handlers of the mesh read it.
type catalogServer struct {
	log   zerolog.Logger
	self  string
	clock sysclock.Clock

	mu    sync.Mutex
	items map[string]discovery.Item
	// progress is the last progress of the discovery core, with the highest Revision and
	// KnownSince so far.
	progress discovery.Progress
	// path holds the names of the hosts through which this host receives changes of the store,
	// beginning with its own.
	path []string
	// changed is closed and replaced on each change, also of progress.ContactAt.
	changed chan struct{}
}

func newCatalogServer(self string, clk sysclock.Clock, log zerolog.Logger) *catalogServer {
	return &catalogServer{log: log, self: self, clock: clk, path: []string{self}, items: map[string]discovery.Item{}, changed: make(chan struct{})}
}

// update applies the items and the progress that a step of the discovery core returned, and
// notifies the calls that wait if something changed.
func (c *catalogServer) update(items []discovery.Item, p *discovery.Progress) {
	if len(items) == 0 && p == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p != nil && p.Era != c.progress.Era && c.progress.Era != 0 {
		clear(c.items)
		c.progress = discovery.Progress{}
	}
	for _, it := range items {
		c.items[it.Key] = it
	}
	changed := len(items) > 0
	if p != nil {
		last := c.progress
		c.progress = *p
		c.progress.Revision = max(last.Revision, p.Revision)
		c.progress.KnownSince = max(last.KnownSince, p.KnownSince)
		if p.Forgotten > last.Forgotten {
			maps.DeleteFunc(c.items, func(_ string, it discovery.Item) bool { return it.Deleted && it.Revision <= p.Forgotten })
		}
		c.path = append([]string{c.self}, p.Path...)
		changed = changed || c.progress.Revision > last.Revision || p.Fresh != last.Fresh || p.ContactAt > last.ContactAt
	}
	if changed {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// serve handles a watch of a peer. It replies once there are newer items, this host has heard from
// the store again or has lost contact with it, and otherwise when the peer's wait time has passed.
// A host whose call to the store is unanswered for too long has lost contact, although that call
// has not failed yet.
func (c *catalogServer) serve(from string, payload []byte) []byte {
	in := &wire.CatalogRequest{}
	if err := proto.Unmarshal(payload, in); err != nil {
		c.log.Warn().Str("event", "peer_call_malformed").Str("peer", from).Err(err).Send()
		return nil
	}
	begin := c.clock.Now().Mono
	deadline := begin + min(time.Duration(in.GetWaitMs())*time.Millisecond, maxCatalogWait)
	for {
		now := c.clock.Now().Mono
		reply, p, changed := c.since(in.GetEra(), in.GetAfter(), now)
		if len(reply.GetItems()) > 0 || in.GetEra() != 0 && in.GetEra() != reply.GetEra() || !reply.GetFresh() || p.ContactAt > begin || now >= deadline {
			return marshal(reply)
		}
		timer := time.NewTimer(min(deadline, p.FreshUntil) - now)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// since returns the items that changed after a revision of an era of the store's data, oldest first
// and limited to the size of a reply, the progress at the time now, and a channel that is closed on
// the next change. If this host's items are of a later era it returns all of them, with their hashes,
// so that the peer can tell which of its own there are no more; if they are of an earlier one it
// returns none, as a host that is out of date.
func (c *catalogServer) since(era, after uint64, now time.Duration) (*wire.CatalogReply, discovery.Progress, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.progress
	if era > p.Era {
		return &wire.CatalogReply{Era: p.Era, Path: c.path}, p, c.changed
	}
	if era != 0 && era != p.Era {
		after = 0
	}
	reply := &wire.CatalogReply{
		Era: p.Era, Revision: p.Revision, Fresh: p.FreshAt(now), Path: c.path, KnownSince: p.KnownSince,
		ContactAgeMs: (now - p.ContactAt).Milliseconds(),
	}
	reply.HasLive = (after > 0 || era != 0) && after < p.KnownSince
	var items []discovery.Item
	for key, it := range c.items {
		if it.Revision > after {
			items = append(items, it)
		}
		if reply.HasLive && !it.Deleted {
			reply.Live = append(reply.Live, discovery.KeyHash(key))
		}
	}
	slices.SortFunc(items, func(a, b discovery.Item) int {
		if a.Revision < b.Revision {
			return -1
		}
		return 1
	})
	size := hashBytes * len(reply.Live)
	for i := range items {
		item := wire.FromItem(&items[i])
		size += proto.Size(item) + maxItemOverheadBytes
		if i > 0 && size > maxCatalogReplyBytes {
			reply.Revision = items[i-1].Revision
			break
		}
		reply.Items = append(reply.Items, item)
	}
	return reply, p, c.changed
}

// StoreItems describes the items of the store that a host keeps.
type StoreItems struct {
	Count int `json:"count"`
	// Deleted is the number of those that are kept as deleted, and Unreadable that of those that could
	// not be decoded.
	Deleted    int `json:"deleted"`
	Unreadable int `json:"unreadable"`
	// Bytes is the size of all keys, values and reasons why one could not be decoded.
	Bytes int `json:"bytes"`
}

// usage returns what the items take.
func (c *catalogServer) usage() StoreItems {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := StoreItems{Count: len(c.items)}
	for key, it := range c.items {
		u.Bytes += len(key) + len(it.Value) + len(it.DecodeError)
		if it.Deleted {
			u.Deleted++
		}
		if it.DecodeError != "" {
			u.Unreadable++
		}
	}
	return u
}

// marshal encodes a message that this package has built. It fails only if a text field is not
// valid UTF-8, as no name in settings and published items is. It then returns nil, and the peer
// receives an empty message.
func marshal(m proto.Message) []byte {
	out, err := proto.Marshal(m)
	if err != nil {
		return nil
	}
	return out
}
