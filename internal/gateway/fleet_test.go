package gateway

import (
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/fleet"
	"pollentack.example/pollentack/internal/ring"
	"pollentack.example/pollentack/internal/wire"
)

// TestOwnEventsFindRoomBesideMessages replays a burst of gossip that fills the ring: the end of
// this host's exchange, without which it would never start another, must not be dropped.
func TestOwnEventsFindRoomBesideMessages(t *testing.T) {
	f := &fleetDuty{inbox: ring.New[fleet.Event]("fleet", fleetCapacity), log: zerolog.Nop()}
	for range 2 * fleetCapacity {
		f.putMessage(&fleet.Message{})
	}
	own := []fleet.Event{&fleet.ExchangeEnded{}, &fleet.Seeds{}, &fleet.Leave{}}
	for _, ev := range own {
		f.put(ev)
	}
	batch := make([]fleet.Event, fleetCapacity)
	n, _ := f.inbox.Take(batch, ring.Forever)
	for i, ev := range own {
		if got := batch[n-len(own)+i]; got != ev {
			t.Errorf("the ring ends with %T, want %T", got, ev)
		}
	}
}

// TestQueuedGossipIsBounded guards against peers that fill the memory with messages faster than they are
// handled.
func TestQueuedGossipIsBounded(t *testing.T) {
	f := &fleetDuty{inbox: ring.New[fleet.Event]("fleet", fleetCapacity), log: zerolog.Nop()}
	large := &fleet.Message{From: fleet.Member{Host: strings.Repeat("x", 1<<20)}}
	for range fleetCapacity / 2 {
		f.putMessage(large)
	}
	batch := make([]fleet.Event, fleetCapacity)
	n, _ := f.inbox.Take(batch, 0)
	if n == 0 || n > maxQueuedGossipBytes>>20 || f.dropped.Load() != uint64(fleetCapacity/2-n) {
		t.Fatalf("%d messages of 1 MiB were queued, %d dropped, want %d queued at most", n, f.dropped.Load(), maxQueuedGossipBytes>>20)
	}
	core := accountedFleet{fleet.New(fleet.Member{Host: "self"}, nil, 1), &f.queuedBytes}
	for _, ev := range batch[:n] {
		core.Step(clock.Instant{}, ev, &fleet.Effects{})
	}
	if left := f.queuedBytes.Load(); left != 0 {
		t.Errorf("%d bytes are held after all messages were handled, want 0", left)
	}
}

// FuzzServeGossip passes any payload of a peer to the handler and to the core, which must answer
// or ignore it, and must still know themselves.
func FuzzServeGossip(f *testing.F) {
	self := fleet.Member{Host: "self", Zone: "z", Region: "r", Address: "a", Capacity: 1, Started: 1}
	peer := fleet.Member{Host: "peer", Zone: "z", Region: "r", Address: "b", Started: 1 << 60, Departed: true}
	f.Add([]byte("no message"))
	f.Add(marshal(wire.FromGossipMessage(&fleet.Message{From: peer, Members: []fleet.Member{self, peer, {}}, GroupDigests: []uint32{1}, ComparedGroups: 1, KnownHashes: []uint32{2, 1}})))
	f.Fuzz(func(t *testing.T, payload []byte) {
		core := fleet.New(self, []string{"b"}, 1)
		d := &fleetDuty{inbox: ring.New[fleet.Event]("fleet", fleetCapacity), log: zerolog.Nop()}
		d.table.Store(core.Snapshot())
		d.serveGossip("peer", payload)
		var fx fleet.Effects
		core.Step(clock.Instant{}, &fleet.Start{}, &fx)
		batch := make([]fleet.Event, 1)
		for n, _ := d.inbox.Take(batch, 0); n > 0; n, _ = d.inbox.Take(batch, 0) {
			core.Step(clock.Instant{}, batch[0], &fx)
		}
		if members := core.Snapshot().Members(); !slices.ContainsFunc(members, func(m fleet.Member) bool { return m.Host == "self" && !m.Departed }) {
			t.Errorf("members %+v lack this host", members)
		}
	})
}

// TestPanicOfExchangeFailsOnlyTheExchange guards against a host that ends since a peer's gossip has
// something that it does not expect.
func TestPanicOfExchangeFailsOnlyTheExchange(t *testing.T) {
	panics := make(chan error, 1)
	// Without a table, an exchange panics.
	f := &fleetDuty{
		inbox: ring.New[fleet.Event]("fleet", fleetCapacity), exchanges: ring.New[*fleet.Exchange]("gossip", 1),
		onPanic: func(err error) { panics <- err },
	}
	ended := make(chan any, 1)
	go func() {
		defer func() { ended <- recover() }()
		f.runExchanges()
	}()
	f.exchanges.Put(&fleet.Exchange{Host: "h1", Address: "a"})
	batch := make([]fleet.Event, 1)
	if n, _ := f.inbox.Take(batch, answerTimeout); n == 0 {
		t.Fatalf("the exchange has no end, the duty ended with %v", <-ended)
	}
	if got, ok := batch[0].(*fleet.ExchangeEnded); !ok || got.OK || got.Host != "h1" {
		t.Errorf("event %+v, want a failed exchange with h1", batch[0])
	}
	if err := <-panics; !strings.Contains(err.Error(), "fleet.go") {
		t.Errorf("reported %v, want the stack", err)
	}
	f.exchanges.Close()
	<-ended
}
