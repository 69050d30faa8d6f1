package node

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/membership"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/edge/wallclock"
	"pollentack.example/pollentack/internal/ring"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/wire"
)

const (
	membershipCapacity = 4096
	membershipBatch    = 64
	// heartbeatReserve is the room for events that are not heartbeats.
	heartbeatReserve = 1024
	// fetchWorkers is one fetch in progress and one that ends late.
	fetchWorkers = 2
)

// members is the duty that owns the membership core and the host's side of the mesh.
type members struct {
	clock   wallclock.Clock
	log     zerolog.Logger
	core    *membership.Membership
	inbox   *ring.Ring[membership.Event]
	mesh    *mesh.Mesh
	workers *duty.Workers
	notes   *noteServer

	queries  func(engine.Event) bool
	control  func(control.Event) bool
	isolated atomic.Pointer[func(bool)]
	status   atomic.Pointer[membershipStatus]
	settled  atomic.Bool
}

// membershipStatus is what the duty last published of its core.
type membershipStatus struct {
	Isolated bool                    `json:"isolated"`
	Peers    []membership.PeerStatus `json:"peers"`
}

// newMembers starts the mesh of a host; the duty is started by the caller.
func newMembers(s *settings.Settings, o *Options, clk wallclock.Clock) (*members, error) {
	incarnation, err := newIncarnation(clk)
	if err != nil {
		return nil, err
	}
	workers, err := duty.NewWorkers(fetchWorkers)
	if err != nil {
		return nil, err
	}
	m := &members{
		clock:   clk,
		log:     o.Log,
		core:    membership.New(membership.Config{Host: s.Host.Name, Incarnation: incarnation}, clk.Now()),
		inbox:   ring.New[membership.Event]("membership", membershipCapacity),
		workers: workers,
		notes:   &noteServer{},
		queries: func(engine.Event) bool { return false },
		control: func(control.Event) bool { return false },
	}
	m.setIsolated(func(bool) {})
	m.status.Store(&membershipStatus{})
	if s.Listen.Mesh == "" {
		return m, nil
	}
	m.mesh, err = mesh.Start(mesh.Options{
		Host:        s.Host.Name,
		Zone:        s.Host.Zone,
		Incarnation: incarnation,
		Listen:      s.Listen.Mesh,
		Mesh:        s.Mesh,
		Log:         o.Log,
		Emit:        m.put,
		Dial:        o.MeshDial,
	})
	if err != nil {
		return nil, err
	}
	m.mesh.Handle(wire.CallKind_CALL_KIND_NOTE, m.notes.serve)
	return m, nil
}

func newIncarnation(clk wallclock.Clock) (membership.Incarnation, error) {
	var nonce [8]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return membership.Incarnation{}, fmt.Errorf("draw the nonce of the incarnation: %w", err)
	}
	return membership.Incarnation{Started: uint64(clk.Now().Wall), Nonce: binary.BigEndian.Uint64(nonce[:])}, nil
}

// put puts an event. A full ring drops heartbeats only: what one told is told again.
func (m *members) put(ev membership.Event) bool {
	if _, ok := ev.(*membership.Heard); ok {
		return m.inbox.PutReserving(ev, heartbeatReserve)
	}
	return m.inbox.Put(ev)
}

// inForce hands on the state in force and what peers may fetch.
func (m *members) inForce(shared *control.Shared) {
	m.notes.shared.Store(shared)
	m.put(&membership.InForce{State: shared.State})
}

// setIsolated sets what is told when the host becomes isolated and when that ends.
func (m *members) setIsolated(f func(bool)) { m.isolated.Store(&f) }

// tell hands on what the engine learned first hand and what it asks of the peers.
func (m *members) tell(fx *engine.Effects) {
	if fx.WordWanted > 0 {
		m.put(&membership.WordWanted{Since: fx.WordWanted})
	}
	if len(fx.Facts)+len(fx.Convictions) == 0 {
		return
	}
	m.put(&membership.LocalFacts{
		Facts:       append([]engine.TargetFact(nil), fx.Facts...),
		Convictions: append([]engine.Conviction(nil), fx.Convictions...),
	})
}

func (m *members) duty() duty.Duty {
	return duty.Duty{Name: "membership", Run: m.run, Stop: m.inbox.Close}
}

func (m *members) run() {
	defer m.workers.Close()
	batch := make([]membership.Event, membershipBatch)
	var fx membership.Effects
	for {
		wait := max(0, m.core.NextWake()-m.clock.Now().Mono)
		n, ok := m.inbox.Take(batch, wait)
		if !ok {
			return
		}
		now := m.clock.Now()
		for _, ev := range batch[:n] {
			m.core.Step(now, ev, &fx)
			m.carryOut(&fx)
			if heard, ok := ev.(*membership.Heard); ok {
				m.control(&control.PeerHeard{Number: heard.Heartbeat.Note})
			}
		}
		m.core.Advance(now, &fx)
		m.carryOut(&fx)
		m.tellSettled()
		m.status.Store(&membershipStatus{Isolated: m.core.Isolated(), Peers: m.core.Status(now)})
	}
}

// tellSettled tells the engine once that the peers' knowledge has been heard.
func (m *members) tellSettled() {
	if m.settled.Load() || !m.core.Settled() {
		return
	}
	m.settled.Store(m.queries(&engine.Settled{}))
}

func (m *members) carryOut(fx *membership.Effects) {
	if m.mesh != nil {
		m.carryOutMesh(fx)
	}
	if fx.News != nil {
		m.queries(fx.News)
	}
	if fx.Word != nil {
		m.queries(&engine.Word{Since: fx.Word.Since})
	}
	if fx.AskPlatform {
		m.control(&control.AskPlatform{})
	}
	if fx.Isolation != nil {
		m.queries(fx.Isolation)
		(*m.isolated.Load())(fx.Isolation.Isolated)
		m.log.Warn().Str("event", "isolation").Bool("isolated", fx.Isolation.Isolated).Send()
	}
	fx.Reset()
}

func (m *members) carryOutMesh(fx *membership.Effects) {
	if fx.Links != nil {
		m.mesh.Apply(fx.Links.Hosts, fx.Links.Peers)
	}
	for _, s := range fx.Sends {
		m.mesh.Send(s.Peer, s.Heartbeat)
	}
	if fx.Fetch != nil {
		m.startFetch(fx.Fetch)
	}
}

// peers returns what calls of other hosts go over.
func (m *members) peers() Peers {
	if m.mesh == nil {
		return noPeers{}
	}
	return m.mesh
}

// close ends the mesh, which also serves a host whose duty never started.
func (m *members) close() {
	if m.mesh != nil {
		m.mesh.Stop()
	}
}

func (m *members) startFetch(f *membership.Fetch) {
	err := m.workers.Submit(func() {
		number, err := fetchNotes(m.mesh, f, m.control)
		if err != nil {
			m.log.Warn().Str("event", "peer_fetch_failed").Str("peer", f.Peer).Err(err).Send()
		}
		m.put(&membership.FetchEnded{Peer: f.Peer, Number: number})
	})
	if err != nil {
		m.put(&membership.FetchEnded{Peer: f.Peer})
	}
}

// fetchTimeout bounds each call of a fetch.
const fetchTimeout = time.Second

// meshStats returns the totals of the mesh, nil where the host has none.
func (m *members) meshStats() *mesh.Stats {
	if m.mesh == nil {
		return nil
	}
	s := m.mesh.Stats()
	return &s
}
