package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/discovery"
	"pollentack.example/pollentack/internal/core/fleet"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/edge/wallclock"
	"pollentack.example/pollentack/internal/ring"
	"pollentack.example/pollentack/internal/wire"
)

// Store makes one call to the platform's store at a time.
type Store interface {
	Do(call *discovery.Call) discovery.Event
	Calls() uint64
	Failed() uint64
	// Stop ends the call in progress.
	Stop()
}

// followCapacity is the size of the ring of events from the store: one call is in
// progress at a time.
const followCapacity = 16

// following is the duty that owns the follower of the store.
type following struct {
	clock    wallclock.Clock
	follower *discovery.Follower
	inbox    *ring.Ring[discovery.Event]
	calls    *ring.Ring[*discovery.Call]
	store    Store
	inForce  func(*catalog.View)
	record   func(*decision.Record)
	view     atomic.Pointer[catalog.View]
	// catalogue serves peers; mesh reaches those that this host follows, whose items are
	// decoded by decode.
	catalogue *catalogue
	mesh      *mesh.Mesh
	decode    func(key string, value []byte, revision uint64, deleted bool) discovery.Item
}

func newFollowing(s *Settings, store Store, clk wallclock.Clock, seed uint64, log zerolog.Logger) *following {
	f := &following{
		clock:    clk,
		follower: discovery.New(s.Host, s.FirstStart, seed),
		inbox:    ring.New[discovery.Event]("discovery", followCapacity),
		calls:    ring.New[*discovery.Call]("store", 1),
		store:    store,

		catalogue: newCatalogue(s.Host, log),
	}
	f.view.Store(catalog.NewView())
	return f
}

// duties returns the duties in the order of their start. The follower stops first, so that
// the end of its last call at a shutdown is not taken for the loss of the store.
func (f *following) duties() []duty.Duty {
	return []duty.Duty{
		{Name: "store", Run: f.runCalls, Stop: func() { f.calls.Close(); f.store.Stop() }},
		{Name: "discovery", Run: f.run, Stop: f.inbox.Close},
	}
}

func (f *following) run() {
	s := stepper[discovery.Event, discovery.Effects]{clock: f.clock, inbox: f.inbox, core: f.follower, carryOut: f.carryOut}
	s.run(&discovery.Start{})
}

func (f *following) carryOut(fx *discovery.Effects) {
	for i := range fx.Records {
		f.record(&fx.Records[i])
	}
	f.catalogue.update(fx.Stored, fx.Progress)
	if fx.View != nil {
		f.view.Store(fx.View)
		f.inForce(fx.View)
	}
	if fx.Call != nil && !f.calls.Put(fx.Call) {
		f.inbox.Put(&discovery.CallFailed{Reason: "the store client has stopped"})
	}
	fx.Reset()
}

func (f *following) runCalls() {
	batch := make([]*discovery.Call, 1)
	for {
		n, ok := f.calls.Take(batch, ring.Forever)
		if !ok {
			return
		}
		for _, call := range batch[:n] {
			f.inbox.Put(f.do(call))
		}
	}
}

// peerMargin is how long after its wait the answer of a peer is awaited.
const peerMargin = time.Second

func (f *following) do(call *discovery.Call) discovery.Event {
	if call.Peer == "" {
		return f.store.Do(call)
	}
	request := marshal(&wire.CatalogRequest{After: call.AfterRevision, WaitMs: call.Wait.Milliseconds()})
	payload, err := f.mesh.Call(call.Peer, wire.CallKind_CALL_KIND_CATALOG, request, call.Wait+peerMargin)
	reply := &wire.CatalogReply{}
	if err == nil {
		err = proto.Unmarshal(payload, reply)
	}
	if err != nil {
		return &discovery.CallFailed{Reason: err.Error()}
	}
	ev := &discovery.Changes{Revision: reply.GetRevision(), Stale: !reply.GetFresh(), Path: reply.GetPath()}
	for _, it := range reply.GetItems() {
		ev.Items = append(ev.Items, f.decode(it.GetKey(), it.GetValue(), it.GetRevision(), it.GetDeleted()))
	}
	return ev
}

// farSources is the number of hosts of other availability zones that a host turns to when
// neither the store nor a host of its own zone can be reached.
const farSources = 2

// follow ranks the hosts to learn from: those of this host's availability zone, of which
// the first calls the store and the others watch it, then some of other zones.
func (f *following) follow(members []fleet.Member, self, zone string) {
	var near, far []fleet.Member
	for _, m := range members {
		if m.Zone == zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	far = fleet.Rank(far, "catalogue of "+self)
	ranked := append(fleet.Rank(near, "catalogue"), far[:min(farSources, len(far))]...)
	hosts := make([]string, len(ranked))
	for i, m := range ranked {
		hosts[i] = m.Host
	}
	f.inbox.Put(&discovery.Sources{Hosts: hosts})
}
