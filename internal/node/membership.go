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
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/ring"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/wire"
)

const (
	membershipInboxCapacity = 4096
	membershipBatchSize     = 64
	// nonHeartbeatReserve is the inbox capacity reserved for events other than heartbeats.
	nonHeartbeatReserve = 1024
	// fetchWorkers allows for one fetch in progress and one that has timed out in the core
	// but has not returned yet.
	fetchWorkers = 2
)

// membershipDuty is the duty that owns the membership core and the mesh endpoint of the
// host.
type membershipDuty struct {
	clock   sysclock.Clock
	log     zerolog.Logger
	core    *membership.Membership
	inbox   *ring.Ring[membership.Event]
	mesh    *mesh.Mesh
	workers *duty.Workers
	notes   *noteServer

	queries           func(engine.Event) bool
	control           func(control.Event) bool
	isolationHandler  atomic.Pointer[func(bool)]
	status            atomic.Pointer[membershipStatus]
	peerStateReceived atomic.Bool
}

// membershipStatus is the state of the core that the duty published last.
type membershipStatus struct {
	Isolated bool                    `json:"isolated"`
	Peers    []membership.PeerStatus `json:"peers"`
}

// newMembershipDuty starts the mesh of a host. The caller starts the duty.
func newMembershipDuty(s *settings.Settings, o *Options, clk sysclock.Clock, onPanic func(error)) (*membershipDuty, error) {
	incarnation, err := newIncarnation(clk)
	if err != nil {
		return nil, err
	}
	workers, err := duty.NewWorkers(fetchWorkers, onPanic)
	if err != nil {
		return nil, err
	}
	m := &membershipDuty{
		clock:   clk,
		log:     o.Log,
		core:    membership.New(membership.Config{Host: s.Host.Name, Incarnation: incarnation}, clk.Now()),
		inbox:   ring.New[membership.Event]("membership", membershipInboxCapacity),
		workers: workers,
		notes:   &noteServer{},
		queries: func(engine.Event) bool { return false },
		control: func(control.Event) bool { return false },
	}
	m.setIsolationHandler(func(bool) {})
	m.status.Store(&membershipStatus{})
	if s.Listen.Mesh == "" {
		return m, nil
	}
	m.mesh, err = mesh.Start(mesh.Options{
		OnPanic:     onPanic,
		Host:        s.Host.Name,
		Zone:        s.Host.Zone,
		Incarnation: incarnation,
		Listen:      s.Listen.Mesh,
		Settings:    s.Mesh,
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

func newIncarnation(clk sysclock.Clock) (membership.Incarnation, error) {
	var nonce [8]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return membership.Incarnation{}, fmt.Errorf("generate incarnation nonce: %w", err)
	}
	return membership.Incarnation{Started: uint64(clk.Now().Wall), Nonce: binary.BigEndian.Uint64(nonce[:])}, nil
}

// put adds an event to the inbox and reports whether it was accepted. Heartbeats are
// dropped first when the ring fills: later heartbeats repeat what a lost one carried.
func (m *membershipDuty) put(ev membership.Event) bool {
	if _, ok := ev.(*membership.HeartbeatReceived); ok {
		return m.inbox.PutWithReserve(ev, nonHeartbeatReserve)
	}
	return m.inbox.Put(ev)
}

// setPeerSnapshot passes the state in force to the core and the notes that peers may fetch to
// the note server.
func (m *membershipDuty) setPeerSnapshot(snapshot *control.PeerSnapshot) {
	m.notes.snapshot.Store(snapshot)
	m.put(&membership.StateInForce{State: snapshot.State})
}

// setIsolationHandler sets the function that is called when the host becomes isolated and
// when its isolation ends.
func (m *membershipDuty) setIsolationHandler(f func(bool)) { m.isolationHandler.Store(&f) }

// putEngineEffects passes the facts that the engine observed itself and its requests for
// proof of contact to the membership core.
func (m *membershipDuty) putEngineEffects(fx *engine.Effects) {
	if fx.ContactRequiredSince > 0 {
		m.put(&membership.ConfirmContact{Since: fx.ContactRequiredSince})
	}
	if len(fx.TargetFacts)+len(fx.QuarantineFacts) == 0 {
		return
	}
	m.put(&membership.LocalFacts{
		TargetFacts:     append([]engine.TargetFact(nil), fx.TargetFacts...),
		QuarantineFacts: append([]engine.QuarantineFact(nil), fx.QuarantineFacts...),
	})
}

func (m *membershipDuty) duty() duty.Duty {
	return duty.Duty{Name: "membership", Run: m.run, Stop: m.inbox.Close}
}

func (m *membershipDuty) run() {
	defer m.workers.Close()
	batch := make([]membership.Event, membershipBatchSize)
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
			m.applyEffects(&fx)
			if received, ok := ev.(*membership.HeartbeatReceived); ok {
				m.control(&control.PeerNoteNumber{Number: received.Heartbeat.NoteNumber})
			}
		}
		m.core.Advance(now, &fx)
		m.applyEffects(&fx)
		m.reportPeerState()
		m.status.Store(&membershipStatus{Isolated: m.core.Isolated(), Peers: m.core.Status(now)})
	}
}

// reportPeerState notifies the engine, once, that this host holds the same facts as its
// peers. It is retried until the engine's ring accepts the event.
func (m *membershipDuty) reportPeerState() {
	if m.peerStateReceived.Load() || !m.core.Converged() {
		return
	}
	m.peerStateReceived.Store(m.queries(&engine.PeerStateReceived{}))
}

func (m *membershipDuty) applyEffects(fx *membership.Effects) {
	if m.mesh != nil {
		m.applyMeshEffects(fx)
	}
	if fx.LearnedFacts != nil {
		m.queries(fx.LearnedFacts)
	}
	if fx.ContactConfirmed != nil {
		m.queries(&engine.ContactConfirmed{Since: fx.ContactConfirmed.Since})
	}
	if fx.CallPlatform {
		m.control(&control.CallPlatform{})
	}
	if fx.Isolation != nil {
		m.queries(fx.Isolation)
		(*m.isolationHandler.Load())(fx.Isolation.Isolated)
		m.log.Warn().Str("event", "isolation").Bool("isolated", fx.Isolation.Isolated).Send()
	}
	fx.Reset()
}

func (m *membershipDuty) applyMeshEffects(fx *membership.Effects) {
	if fx.Links != nil {
		m.mesh.SetHosts(fx.Links.Hosts, fx.Links.Peers)
	}
	for _, s := range fx.Sends {
		m.mesh.SendHeartbeat(s.Peer, s.Heartbeat)
	}
	if fx.Fetch != nil {
		m.startFetch(fx.Fetch)
	}
}

// peers returns the transport for calls between hosts.
func (m *membershipDuty) peers() PeerTransport {
	if m.mesh == nil {
		return noPeers{}
	}
	return m.mesh
}

// close stops the mesh. It may be called if the duty was never started.
func (m *membershipDuty) close() {
	if m.mesh != nil {
		m.mesh.Stop()
	}
}

func (m *membershipDuty) startFetch(f *membership.FetchNotes) {
	err := m.workers.Submit(func() {
		number, err := fetchNotes(m.mesh, f, m.control)
		if err != nil {
			m.log.Warn().Str("event", "peer_fetch_failed").Str("peer", f.Peer).Err(err).Send()
		}
		m.put(&membership.FetchEnded{Peer: f.Peer, HighestNumber: number})
	})
	if err != nil {
		m.put(&membership.FetchEnded{Peer: f.Peer})
	}
}

// fetchTimeout bounds each call of a note fetch.
const fetchTimeout = time.Second

// meshStats returns the counters of the mesh, or nil if the host has no mesh.
func (m *membershipDuty) meshStats() *mesh.Stats {
	if m.mesh == nil {
		return nil
	}
	s := m.mesh.Stats()
	return &s
}
