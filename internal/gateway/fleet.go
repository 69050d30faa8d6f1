package gateway

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/fleet"
	"pollentack.example/pollentack/internal/core/membership"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/memory"
	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/ring"
	"pollentack.example/pollentack/internal/wire"
)

const (
	// fleetCapacity is the capacity of the ring of events for the fleet duty. Gossip messages
	// that find it full but for fleetReserve are dropped; a later exchange repeats their content.
	fleetCapacity = 512
	// fleetReserve is the room for the events that nothing repeats. There is one exchange at a
	// time, one start and one stop; only changes of the settings may come more often.
	fleetReserve = 32
	// maxQueuedGossipBytes bounds the memory of the gossip messages that wait for the fleet duty, beyond the
	// first one. Further ones are dropped, as if the ring were full.
	maxQueuedGossipBytes = 16 << 20
	// gossipTimeout is the timeout of each message of a gossip exchange.
	gossipTimeout = time.Second
)

// fleetDuty is the duty that owns the fleet core, which maintains the members by gossip.
type fleetDuty struct {
	clock     sysclock.Clock
	fleet     *fleet.Fleet
	inbox     *ring.Ring[fleet.Event]
	exchanges *ring.Ring[*fleet.Exchange]
	mesh      *mesh.Mesh
	onRoster  func([]fleet.Member)
	// onRoundTrip receives the round-trip time of a message to a host in an availability zone.
	onRoundTrip func(zone string, took time.Duration)
	record      func(*decision.Record)
	log         zerolog.Logger
	// onPanic receives a panic that failed only an exchange.
	onPanic func(error)
	// table holds the members that this host sends to peers.
	table atomic.Pointer[fleet.Snapshot]
	// ignored is the number of descriptions of hosts that exceeded the bounds of the fleet core.
	ignored atomic.Uint64
	// queuedBytes is the memory of the messages in the inbox and of the one that is being handled, dropped
	// the number of messages that found no room.
	queuedBytes atomic.Int64
	dropped     atomic.Uint64
}

func newFleetDuty(s *Settings, clk sysclock.Clock, seed uint64, log zerolog.Logger, tr *transits, dial mesh.DialFunc, budget *memory.Budget, onPanic func(error)) (*fleetDuty, error) {
	started := uint64(clk.Now().Wall)
	f := &fleetDuty{
		clock:     clk,
		inbox:     ring.New[fleet.Event]("fleet", fleetCapacity),
		exchanges: ring.New[*fleet.Exchange]("gossip", 1),
		log:       log,
		onPanic:   onPanic,
	}
	var err error
	f.mesh, err = mesh.Start(mesh.Options{
		Host: s.Host, Zone: s.Zone, Incarnation: membership.Incarnation{Started: started, Nonce: seed},
		Listen: s.Listen.Mesh, Insecure: true, Log: log, Emit: f.ignoreLinkEvent, ObserveRTT: f.observeRoundTrip, Dial: dial,
		OnPanic: onPanic, Stamp: tr.stamp, Observe: tr.observeHello, Descriptors: s.descriptors(), Memory: budget,
	})
	if err != nil {
		return nil, err
	}
	f.fleet = fleet.New(fleet.Member{
		Host: s.Host, Zone: s.Zone, Region: s.Region, Address: f.mesh.Address(), Capacity: s.Capacity, Started: started,
	}, s.Seeds, seed)
	f.table.Store(f.fleet.Snapshot())
	f.mesh.Handle(wire.CallKind_CALL_KIND_GOSSIP, f.serveGossip)
	return f, nil
}

// observeRoundTrip receives the duration of a call on its link. It reports only gossip calls:
// they are short and answered at once, so that their duration is the network round-trip time.
func (f *fleetDuty) observeRoundTrip(peer string, kind wire.CallKind, took time.Duration) {
	if kind != wire.CallKind_CALL_KIND_GOSSIP {
		return
	}
	for _, m := range f.table.Load().Members() {
		if m.Host == peer {
			f.onRoundTrip(m.Zone, took)
			return
		}
	}
}

// ignoreLinkEvent ignores the link events of the mesh and returns true, as if they were queued.
// The end of a link does not mean that the peer failed, since the next call opens a new link.
func (f *fleetDuty) ignoreLinkEvent(membership.Event) bool { return true }

// putMessage queues a peer's message, or drops it if there is no room.
func (f *fleetDuty) putMessage(in *fleet.Message) {
	m := &fleet.MessageReceived{From: in.From, Members: in.Members}
	n := int64(m.Bytes())
	queued := f.queuedBytes.Add(n)
	if queued > max(n, maxQueuedGossipBytes) || !f.inbox.PutWithReserve(m, fleetReserve) {
		f.queuedBytes.Add(-n)
		f.dropped.Add(1)
		f.log.Warn().Str("event", "gossip_dropped").Int64("queued_bytes", queued).Str("reason", "too many messages wait").Send()
	}
}

// accountedFleet is the fleet core, which releases the memory of the messages that it has handled.
type accountedFleet struct {
	*fleet.Fleet
	queuedBytes *atomic.Int64
}

// Step handles one event.
func (f accountedFleet) Step(now clock.Instant, ev fleet.Event, fx *fleet.Effects) {
	f.Fleet.Step(now, ev, fx)
	if m, ok := ev.(*fleet.MessageReceived); ok {
		f.queuedBytes.Add(-int64(m.Bytes()))
	}
}

// put queues an event of this host, for which there is room until the duty has stopped.
func (f *fleetDuty) put(ev fleet.Event) {
	if !f.inbox.Put(ev) {
		f.log.Warn().Str("event", "fleet_event_dropped").Str("type", fmt.Sprintf("%T", ev)).Send()
	}
}

func (f *fleetDuty) duties() []duty.Duty {
	return []duty.Duty{
		{Name: "gossip", Run: f.runExchanges, Stop: f.exchanges.Close},
		{Name: "fleet", Run: f.run, Stop: f.inbox.Close},
	}
}

func (f *fleetDuty) run() {
	s := steppedDuty[fleet.Event, fleet.Effects]{clock: f.clock, inbox: f.inbox, core: accountedFleet{f.fleet, &f.queuedBytes}, applyEffects: f.applyEffects}
	s.run(&fleet.Start{})
}

func (f *fleetDuty) applyEffects(fx *fleet.Effects) {
	for i := range fx.Records {
		f.record(&fx.Records[i])
	}
	f.ignored.Add(uint64(fx.Ignored))
	if fx.Roster != nil {
		f.table.Store(fx.Roster.Snapshot)
		f.updateMesh(fx.Roster.Snapshot.Members())
		f.onRoster(fx.Roster.Members)
	}
	if fx.Exchange != nil && !f.exchanges.Put(fx.Exchange) {
		f.put(&fleet.ExchangeEnded{Host: fx.Exchange.Host, Address: fx.Exchange.Address})
	}
	fx.Reset()
}

// updateMesh passes the addresses of the members to the mesh.
func (f *fleetDuty) updateMesh(members []fleet.Member) {
	hosts := make([]release.Host, len(members))
	for i, m := range members {
		hosts[i] = release.Host{Name: m.Host, Zone: m.Zone, MeshAddress: m.Address}
	}
	f.mesh.SetHosts(hosts, nil)
}

// serveGossip handles a gossip message of a peer and returns the encoded reply.
func (f *fleetDuty) serveGossip(_ string, payload []byte) []byte {
	in := f.decode("", payload)
	if in == nil {
		return nil
	}
	f.putMessage(in)
	return f.encode(wire.FromGossipMessage(f.table.Load().Reply(in)))
}

// decode returns a peer's gossip message, or nil if it is malformed.
func (f *fleetDuty) decode(peer string, payload []byte) *fleet.Message {
	in := &wire.Gossip{}
	if err := proto.Unmarshal(payload, in); err != nil {
		f.log.Warn().Str("event", "gossip_malformed").Str("peer", peer).Err(err).Send()
		return nil
	}
	return in.ToMessage()
}

func (f *fleetDuty) encode(m proto.Message) []byte {
	out, err := proto.Marshal(m)
	if err != nil {
		f.log.Error().Str("event", "encode_failed").Err(err).Send()
	}
	return out
}

func (f *fleetDuty) runExchanges() {
	batch := make([]*fleet.Exchange, 1)
	for {
		n, ok := f.exchanges.Take(batch, ring.Forever)
		if !ok {
			return
		}
		for _, ex := range batch[:n] {
			ok := false
			if err := recovered(func() { ok = f.exchange(ex) }); err != nil {
				f.onPanic(err)
			}
			f.put(&fleet.ExchangeEnded{Host: ex.Host, Address: ex.Address, OK: ok})
		}
	}
}

// exchange runs one gossip exchange with a peer, and reports whether the peer answered each message.
func (f *fleetDuty) exchange(ex *fleet.Exchange) bool {
	return f.table.Load().RunExchange(func(out *fleet.Message) (*fleet.Message, bool) {
		payload := f.encode(wire.FromGossipMessage(out))
		var reply []byte
		var err error
		if ex.Host == "" {
			reply, err = f.mesh.CallAddress(ex.Address, wire.CallKind_CALL_KIND_GOSSIP, payload, gossipTimeout)
		} else {
			reply, err = f.mesh.Call(ex.Host, wire.CallKind_CALL_KIND_GOSSIP, payload, gossipTimeout)
		}
		if err != nil {
			f.log.Debug().Str("event", "gossip_failed").Str("peer", ex.Host).Str("address", ex.Address).Err(err).Send()
			return nil, false
		}
		in := f.decode(ex.Host, reply)
		if in == nil {
			return nil, false
		}
		f.putMessage(in)
		return in, true
	})
}
