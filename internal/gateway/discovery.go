package gateway

import (
	"fmt"
	"os"
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
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/ring"
	"pollentack.example/pollentack/internal/wire"
)

// Store is the client of the platform's store. Calls are made one at a time.
type Store interface {
	// Do makes a call and returns its result.
	Do(call *discovery.Call) discovery.Event
	// Calls returns the number of calls made, and FailedCalls the number of those that failed.
	Calls() uint64
	FailedCalls() uint64
	// Stop ends the call in progress.
	Stop()
}

// discoveryCapacity is the capacity of the ring of events for the discovery duty. It can be
// small, since one call is in progress at a time.
const discoveryCapacity = 16

// maxPeerCalls bounds the calls to peers that are in progress. One that has timed out may go on for
// some seconds on a link whose peer reads nothing.
const maxPeerCalls = 4

// peerCallOverrun is how long after its timeout a call to a peer is given up. It lets the call end
// by itself, with its own error.
const peerCallOverrun = 20 * time.Millisecond

// discoveryDuty is the duty that owns the discovery core, which follows the store.
type discoveryDuty struct {
	clock    sysclock.Clock
	follower *discovery.Follower
	inbox    *ring.Ring[discovery.Event]
	calls    *ring.Ring[*discovery.Call]
	store    Store
	onView   func(*catalog.View)
	// onContact is called when this host has lost contact with the store, or has it again.
	onContact   func(lost bool)
	contactLost bool
	record      func(*decision.Record)
	view        atomic.Pointer[catalog.View]
	// catalog serves the items to the peers that follow this host. mesh calls the peers that
	// this host follows, and decode decodes their items.
	catalog   *catalogServer
	mesh      *mesh.Mesh
	peerCalls *duty.Workers
	decode    func(key string, value []byte, revision uint64, deleted bool) discovery.Item
	// onPanic receives a panic that failed only a call.
	onPanic func(error)
}

func newDiscoveryDuty(s *Settings, store Store, clk sysclock.Clock, seed uint64, log zerolog.Logger, onPanic func(error)) (*discoveryDuty, error) {
	peerCalls, err := duty.NewWorkers(maxPeerCalls, onPanic)
	if err != nil {
		return nil, err
	}
	d := &discoveryDuty{
		clock:    clk,
		follower: discovery.New(discovery.Config{Self: s.Host, WaitForPeers: s.FirstStart, ApplyBound: s.ApplyBound, RemovalBound: s.RemovalBound, ReportInterval: s.ReportInterval, Seed: seed}),
		inbox:    ring.New[discovery.Event]("discovery", discoveryCapacity),
		calls:    ring.New[*discovery.Call]("store", 1),
		store:    store,
		catalog:  newCatalogServer(s.Host, clk, log),

		peerCalls: peerCalls,
		onPanic:   onPanic,
	}
	d.view.Store(catalog.NewView())
	return d, nil
}

// duties returns the duties in the order in which they start. They stop in reverse order, so the
// discovery core does not see the failure of the call that a shutdown interrupts.
func (d *discoveryDuty) duties() []duty.Duty {
	return []duty.Duty{
		{Name: "store", Run: d.runCalls, Stop: func() { d.calls.Close(); d.store.Stop() }},
		{Name: "discovery", Run: d.run, Stop: d.inbox.Close},
	}
}

func (d *discoveryDuty) run() {
	s := steppedDuty[discovery.Event, discovery.Effects]{clock: d.clock, inbox: d.inbox, core: d.follower, applyEffects: d.applyEffects}
	s.run(&discovery.Start{})
}

func (d *discoveryDuty) applyEffects(fx *discovery.Effects) {
	for i := range fx.Records {
		d.record(&fx.Records[i])
	}
	d.catalog.update(fx.AppliedItems, fx.Progress)
	if fx.Progress != nil && fx.Progress.Fresh == d.contactLost {
		d.contactLost = !fx.Progress.Fresh
		d.onContact(d.contactLost)
	}
	if fx.View != nil {
		d.view.Store(fx.View)
		d.onView(fx.View)
	}
	if fx.Call != nil && !d.calls.Put(fx.Call) {
		d.inbox.Put(&discovery.CallFailed{Reason: "the store client has stopped"})
	}
	fx.Reset()
}

func (d *discoveryDuty) runCalls() {
	batch := make([]*discovery.Call, 1)
	for {
		n, ok := d.calls.Take(batch, ring.Forever)
		if !ok {
			return
		}
		for _, call := range batch[:n] {
			d.inbox.Put(d.resultOf(call))
		}
	}
}

// resultOf makes one call and returns its result, a failure if the call panics, as on an unforeseen
// reply.
func (d *discoveryDuty) resultOf(call *discovery.Call) (ev discovery.Event) {
	if err := recovered(func() { ev = d.call(call) }); err != nil {
		d.onPanic(err)
		return &discovery.CallFailed{Reason: panicReason, Unusable: true}
	}
	return ev
}

// call makes one call to the store or to a peer and returns its result.
func (d *discoveryDuty) call(call *discovery.Call) discovery.Event {
	if call.Peer == "" {
		return d.store.Do(call)
	}
	payload, err := d.callPeer(call)
	reply := &wire.CatalogReply{}
	if err == nil {
		err = proto.Unmarshal(payload, reply)
	}
	if err != nil {
		return &discovery.CallFailed{Reason: err.Error()}
	}
	ev := &discovery.Changes{
		Era: reply.GetEra(), Revision: reply.GetRevision(), Stale: !reply.GetFresh(), Path: reply.GetPath(),
		ContactAge: time.Duration(max(0, reply.GetContactAgeMs())) * time.Millisecond,
		KnownSince: reply.GetKnownSince(), Live: reply.GetLive(), HasLive: reply.GetHasLive(),
	}
	for _, it := range reply.GetItems() {
		ev.Items = append(ev.Items, d.decode(it.GetKey(), it.GetValue(), it.GetRevision(), it.GetDeleted()))
	}
	return ev
}

// callPeer makes a call to a peer on a worker, and gives it up at its timeout: a link that takes no
// more bytes holds a call for longer.
func (d *discoveryDuty) callPeer(call *discovery.Call) ([]byte, error) {
	type outcome struct {
		payload []byte
		err     error
	}
	request := marshal(&wire.CatalogRequest{Era: call.Era, After: call.AfterRevision, WaitMs: call.Wait.Milliseconds()})
	done := make(chan outcome, 1)
	err := d.peerCalls.Submit(func() {
		payload, err := d.mesh.Call(call.Peer, wire.CallKind_CALL_KIND_CATALOG, request, call.Timeout)
		done <- outcome{payload, err}
	})
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(call.Timeout + peerCallOverrun)
	defer timer.Stop()
	select {
	case o := <-done:
		return o.payload, o.err
	case <-timer.C:
		return nil, fmt.Errorf("watch peer %q: %w", call.Peer, os.ErrDeadlineExceeded)
	}
}

// maxRemoteSources is the number of hosts in other availability zones that a host falls back to
// if it can reach neither the store nor a host in its own zone.
const maxRemoteSources = 2

// setSources ranks the sources of this host: the hosts in its availability zone, of which the
// first calls the store and the others follow that one, then some hosts in other zones. The
// name passed to RankForRole determines the order: the hosts in a zone pass the same name, so
// that they agree on it, while the order of hosts in other zones differs between hosts.
func (d *discoveryDuty) setSources(members []fleet.Member, self, zone string) {
	var local, remote []fleet.Member
	for _, m := range members {
		if m.Zone == zone {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	remote = fleet.RankForRole(remote, "catalogue of "+self)
	ranked := append(fleet.RankForRole(local, "catalogue"), remote[:min(maxRemoteSources, len(remote))]...)
	hosts := make([]string, len(ranked))
	for i, m := range ranked {
		hosts[i] = m.Host
	}
	d.inbox.Put(&discovery.Sources{Hosts: hosts})
}
