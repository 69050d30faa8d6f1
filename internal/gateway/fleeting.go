package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/fleet"
	"pollentack.example/pollentack/internal/core/membership"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/edge/wallclock"
	"pollentack.example/pollentack/internal/ring"
	"pollentack.example/pollentack/internal/wire"
)

const (
	// fleetCapacity is the number of events that wait for the fleet duty; what finds it
	// full is told again by a later exchange.
	fleetCapacity = 512
	// gossipTimeout bounds one exchange of members.
	gossipTimeout = time.Second
)

// fleeting is the duty that owns the fleet.
type fleeting struct {
	clock     wallclock.Clock
	fleet     *fleet.Fleet
	inbox     *ring.Ring[fleet.Event]
	exchanges *ring.Ring[*fleet.Exchange]
	mesh      *mesh.Mesh
	onRoster  func([]fleet.Member)
	// onWay takes how long a message to a host of an availability zone and back took.
	onWay  func(zone string, took time.Duration)
	record func(*decision.Record)
	log    zerolog.Logger
	// table is what peers are told of the members.
	table atomic.Pointer[fleet.Table]
}

func newFleeting(s *Settings, clk wallclock.Clock, seed uint64, log zerolog.Logger) (*fleeting, error) {
	started := uint64(clk.Now().Wall)
	f := &fleeting{
		clock:     clk,
		inbox:     ring.New[fleet.Event]("fleet", fleetCapacity),
		exchanges: ring.New[*fleet.Exchange]("gossip", 1),
		log:       log,
	}
	var err error
	f.mesh, err = mesh.Start(mesh.Options{
		Host: s.Host, Zone: s.Zone, Incarnation: membership.Incarnation{Started: started, Nonce: seed},
		Listen: s.Listen.Mesh, Open: true, Log: log, Emit: f.linkEvent, Trip: f.trip,
	})
	if err != nil {
		return nil, err
	}
	f.fleet = fleet.New(fleet.Member{
		Host: s.Host, Zone: s.Zone, Region: s.Region, Address: f.mesh.Address(), Capacity: s.Capacity, Started: started,
	}, s.Seeds, seed)
	f.table.Store(f.fleet.Table())
	f.mesh.Handle(wire.CallKind_CALL_KIND_GOSSIP, f.serveGossip)
	return f, nil
}

// trip takes how long a call took on its link. Those of members are short and answered at
// once, so that they tell the way.
func (f *fleeting) trip(peer string, kind wire.CallKind, took time.Duration) {
	if kind != wire.CallKind_CALL_KIND_GOSSIP {
		return
	}
	for _, m := range f.table.Load().Members() {
		if m.Host == peer {
			f.onWay(m.Zone, took)
			return
		}
	}
}

// linkEvent takes what the mesh tells of links. That a link ended is no news of its peer:
// the next call makes another.
func (f *fleeting) linkEvent(membership.Event) bool { return true }

// put puts an event. One that finds the ring full is told again by a later exchange.
func (f *fleeting) put(ev fleet.Event) { f.inbox.Put(ev) }

func (f *fleeting) duties() []duty.Duty {
	return []duty.Duty{
		{Name: "gossip", Run: f.runExchanges, Stop: f.exchanges.Close},
		{Name: "fleet", Run: f.run, Stop: f.inbox.Close},
	}
}

func (f *fleeting) run() {
	s := stepper[fleet.Event, fleet.Effects]{clock: f.clock, inbox: f.inbox, core: f.fleet, carryOut: f.carryOut}
	s.run(&fleet.Start{})
}

func (f *fleeting) carryOut(fx *fleet.Effects) {
	for i := range fx.Records {
		f.record(&fx.Records[i])
	}
	if fx.Roster != nil {
		f.table.Store(fx.Roster.Table)
		f.publish(fx.Roster.Table.Members())
		f.onRoster(fx.Roster.Members)
	}
	if fx.Exchange != nil && !f.exchanges.Put(fx.Exchange) {
		f.inbox.Put(&fleet.Exchanged{Host: fx.Exchange.Host, Address: fx.Exchange.Address})
	}
	fx.Reset()
}

// publish tells the mesh where members are.
func (f *fleeting) publish(members []fleet.Member) {
	hosts := make([]release.Host, len(members))
	for i, m := range members {
		hosts[i] = release.Host{Name: m.Host, Zone: m.Zone, Mesh: m.Address}
	}
	f.mesh.Apply(hosts, nil)
}

// serveGossip answers a peer's message.
func (f *fleeting) serveGossip(_ string, payload []byte) []byte {
	in := f.decode("", payload)
	if in == nil {
		return nil
	}
	f.put(heard(in))
	return f.encode(wire.FromExchange(f.table.Load().Answer(in)))
}

func heard(in *fleet.Message) *fleet.Heard { return &fleet.Heard{From: in.From, Members: in.Members} }

// decode returns a message of a peer, nil for one that cannot be read.
func (f *fleeting) decode(peer string, payload []byte) *fleet.Message {
	in := &wire.Gossip{}
	if err := proto.Unmarshal(payload, in); err != nil {
		f.log.Warn().Str("event", "gossip_malformed").Str("peer", peer).Err(err).Send()
		return nil
	}
	return in.Exchange()
}

func (f *fleeting) encode(m proto.Message) []byte {
	out, err := proto.Marshal(m)
	if err != nil {
		f.log.Error().Str("event", "encode_failed").Err(err).Send()
	}
	return out
}

func (f *fleeting) runExchanges() {
	batch := make([]*fleet.Exchange, 1)
	for {
		n, ok := f.exchanges.Take(batch, ring.Forever)
		if !ok {
			return
		}
		for _, x := range batch[:n] {
			f.exchange(x)
		}
	}
}

// exchange carries out one exchange with a peer.
func (f *fleeting) exchange(x *fleet.Exchange) {
	ok := f.table.Load().Exchange(func(out *fleet.Message) (*fleet.Message, bool) {
		payload := f.encode(wire.FromExchange(out))
		var reply []byte
		var err error
		if x.Host == "" {
			reply, err = f.mesh.CallAddress(x.Address, wire.CallKind_CALL_KIND_GOSSIP, payload, gossipTimeout)
		} else {
			reply, err = f.mesh.Call(x.Host, wire.CallKind_CALL_KIND_GOSSIP, payload, gossipTimeout)
		}
		if err != nil {
			f.log.Debug().Str("event", "gossip_failed").Str("peer", x.Host).Str("address", x.Address).Err(err).Send()
			return nil, false
		}
		in := f.decode(x.Host, reply)
		if in == nil {
			return nil, false
		}
		f.put(heard(in))
		return in, true
	})
	f.put(&fleet.Exchanged{Host: x.Host, Address: x.Address, OK: ok})
}
