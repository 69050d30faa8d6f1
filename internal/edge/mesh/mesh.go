// Package mesh keeps the links between hosts: yamux sessions over TCP, with mutual TLS
// unless every address is on loopback.
//
// Each link has one heartbeat stream, opened first by the dialer, whose first frame each
// way is a Hello; every further stream carries one Request and its Response. The package
// decides nothing about membership: what it hears becomes events of that core.
package mesh

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/membership"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/ring"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/wire"
)

const (
	// maxLinks bounds the links of a host, standing and on demand.
	maxLinks = 256
	// maxCalls bounds the calls in progress on the serving side, over all links.
	maxCalls = 2048
	// workersPerLink are those that accept streams, read and write heartbeats.
	workersPerLink = 3
	// handshakeTimeout bounds the dial, TLS and both hellos.
	handshakeTimeout = 2 * time.Second
	// silenceLimit closes a standing link that brings no heartbeat.
	silenceLimit = 3 * time.Second
	// demandSilenceLimit is the same for a link made on demand.
	demandSilenceLimit = 3 * membership.DemandInterval
	// outboxCapacity is the number of heartbeats that wait for a slow link.
	outboxCapacity = 8
	// redialPause is the wait between attempts to reach a peer.
	redialPause = 500 * time.Millisecond
	// idleLimit closes a link made on demand that carries no call.
	idleLimit = time.Minute
	// retireLimit is how long a replaced link is kept for its calls in progress.
	retireLimit = 5 * time.Second
	// keepAliveInterval is the time between a session's own probes, which end it after
	// silenceLimit without an answer.
	keepAliveInterval = time.Second
	// acceptPause is the wait after a failed accept.
	acceptPause = 50 * time.Millisecond
	// kickCapacity is the number of pending wake-ups of the dialer.
	kickCapacity = 64
)

// Handler serves one call of a peer on a worker of its own; it may block for as long as
// the caller waits.
type Handler func(from string, payload []byte) []byte

// DialFunc opens a TCP connection.
type DialFunc func(address string, timeout time.Duration) (net.Conn, error)

// Options are what a host gives its mesh.
type Options struct {
	Host        string
	Zone        string
	Incarnation membership.Incarnation
	Listen      string
	Mesh        settings.Mesh
	Log         zerolog.Logger
	// Emit hands events to the membership duty and reports whether there was room.
	Emit func(membership.Event) bool
	// Dial replaces the plain TCP dial where it is set.
	Dial DialFunc
	// Trip takes how long a call took on its link, without the time to make the link; nil
	// for no interest.
	Trip func(peer string, kind wire.CallKind, took time.Duration)
	// Open lets any host join without certificates, on a network that only the system's
	// hosts reach. Names are learned from hellos, and the sessions' own keep-alive tells a
	// dead link, since no heartbeats need be sent.
	Open bool
}

// Mesh is one host's side of the mesh.
type Mesh struct {
	options  Options
	security *security
	listener net.Listener
	duties   *duty.Group
	workers  *duty.Workers
	callers  *duty.Workers
	kicks    *ring.Ring[struct{}]
	counters counters

	mu        sync.Mutex
	stopped   bool
	bootstrap bool
	handlers  map[wire.CallKind]Handler
	published map[string]release.Host
	standing  map[string]bool
	// dialing holds a channel for each dial in progress, closed at its end.
	dialing  map[string]chan struct{}
	nextDial map[string]time.Time
	links    map[string]*link
	newest   map[string]seen
	// retired are replaced links whose calls in progress may still end.
	retired []retiredLink
}

type retiredLink struct {
	link *link
	at   time.Time
}

// seen is the newest incarnation of a peer and when it was last heard.
type seen struct {
	incarnation membership.Incarnation
	at          time.Time
}

// Start listens and keeps links until Stop.
func Start(o Options) (*Mesh, error) {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	m := &Mesh{
		options:   o,
		kicks:     ring.New[struct{}]("mesh", kickCapacity),
		handlers:  map[wire.CallKind]Handler{},
		published: map[string]release.Host{},
		standing:  map[string]bool{},
		dialing:   map[string]chan struct{}{},
		nextDial:  map[string]time.Time{},
		links:     map[string]*link{},
		newest:    map[string]seen{},
	}
	var err error
	m.publishSeeds()
	if o.Open {
		m.security = &security{open: true}
	} else if m.security, err = newSecurity(&o.Mesh, o.Listen, o.Log); err != nil {
		return nil, err
	}
	if m.listener, err = net.Listen("tcp", o.Listen); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", o.Listen, err)
	}
	if err = m.startDuties(); err != nil {
		_ = m.listener.Close()
		return nil, err
	}
	return m, nil
}

// publishSeeds lets a host with nothing in force reach the peers of its settings; the
// first published list replaces them.
func (m *Mesh) publishSeeds() {
	m.bootstrap = true
	for _, seed := range m.options.Mesh.Seeds {
		if seed.Name != m.options.Host {
			m.published[seed.Name] = release.Host{Name: seed.Name, Mesh: seed.Address}
			m.standing[seed.Name] = true
		}
	}
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return conn, nil
}

func (m *Mesh) startDuties() error {
	var err error
	if m.workers, err = duty.NewWorkers(maxLinks * workersPerLink); err != nil {
		return err
	}
	if m.callers, err = duty.NewWorkers(maxCalls); err != nil {
		return err
	}
	if m.duties, err = duty.NewGroup(2, m.dutyFailed); err != nil {
		return err
	}
	accept := duty.Duty{Name: "mesh accept", Run: m.acceptLinks, Stop: func() { _ = m.listener.Close() }}
	if err = m.duties.Start(accept); err != nil {
		return err
	}
	return m.duties.Start(duty.Duty{Name: "mesh dial", Run: m.keepLinks, Stop: m.kicks.Close})
}

func (m *Mesh) dutyFailed(name string, err error) {
	m.options.Log.Error().Str("event", "duty_panicked").Str("duty", name).Err(err).Send()
}

// Address returns where the mesh listens.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Handle sets the handler of a kind of call.
func (m *Mesh) Handle(kind wire.CallKind, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[kind] = h
}

// Apply sets the published hosts and the peers that this host keeps links to. Links to
// hosts that are published no longer are closed.
func (m *Mesh) Apply(hosts []release.Host, peers []string) {
	m.mu.Lock()
	m.bootstrap = false
	m.published = make(map[string]release.Host, len(hosts))
	for _, h := range hosts {
		m.published[h.Name] = h
	}
	m.standing = make(map[string]bool, len(peers))
	for _, name := range peers {
		m.standing[name] = true
	}
	var gone []*link
	for name, l := range m.links {
		if _, ok := m.published[name]; !ok {
			gone = append(gone, l)
		}
	}
	m.mu.Unlock()
	for _, l := range gone {
		l.close()
	}
	m.kicks.Put(struct{}{})
}

// Send queues a heartbeat for a peer. A link whose queue is full loses it, and the next
// one tells the same.
func (m *Mesh) Send(peer string, h *membership.Heartbeat) bool {
	l := m.linkTo(peer)
	if l == nil || !l.outbox.Put(wire.FromHeartbeat(h)) {
		m.counters.beatsDropped.Add(1)
		return false
	}
	return true
}

func (m *Mesh) linkTo(peer string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[peer]
}

// acceptLinks is the duty that takes links from peers.
func (m *Mesh) acceptLinks() {
	for {
		conn, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		if m.workers.Submit(func() { m.serveConn(conn) }) != nil {
			m.counters.refuse(wire.Refusal_REFUSAL_TOO_MANY)
			_ = conn.Close()
		}
	}
}

// serveConn answers the hello of a dialer and serves the link until it ends.
func (m *Mesh) serveConn(conn net.Conn) {
	l, err := m.welcome(conn)
	if err != nil {
		m.options.Log.Debug().Str("event", "mesh_link_refused").Str("remote", conn.RemoteAddr().String()).Err(err).Send()
		_ = conn.Close()
		return
	}
	l.serve()
}

// register makes l the link to its peer. A link dialed by the smaller name replaces one
// that stands; any other is refused while one stands. The calls in progress on a replaced
// link have a while to end, unless they belong to an earlier incarnation.
func (m *Mesh) register(l *link, dialer string) error {
	m.mu.Lock()
	old := m.links[l.peer]
	smaller := min(m.options.Host, l.peer)
	switch {
	case m.stopped:
		m.mu.Unlock()
		return errStopped
	case old != nil && dialer != smaller && old.incarnation == l.incarnation:
		m.mu.Unlock()
		return errDuplicate
	case old == nil && len(m.links) >= maxLinks:
		m.mu.Unlock()
		return errTooMany
	}
	m.links[l.peer] = l
	if old != nil && old.incarnation == l.incarnation {
		m.retired = append(m.retired, retiredLink{link: old, at: time.Now()})
		old = nil
	}
	m.newest[l.peer] = seen{incarnation: l.incarnation, at: time.Now()}
	m.mu.Unlock()
	if old != nil {
		old.close()
	}
	m.counters.linksMade.Add(1)
	return nil
}

// unregister forgets l unless another link has taken its place.
func (m *Mesh) unregister(l *link) {
	m.mu.Lock()
	current := m.links[l.peer] == l
	if current {
		delete(m.links, l.peer)
		m.newest[l.peer] = seen{incarnation: l.incarnation, at: time.Now()}
	}
	m.mu.Unlock()
	if current {
		m.options.Emit(&membership.LinkDown{Peer: l.peer, Incarnation: l.incarnation})
		m.kicks.Put(struct{}{})
	}
}

// Peers returns the names of the hosts to which a link stands, in order.
func (m *Mesh) Peers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.links))
	for name := range m.links {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Stop closes all links and waits for the duties; calls in progress fail.
func (m *Mesh) Stop() {
	m.mu.Lock()
	m.stopped = true
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	for _, r := range m.retired {
		links = append(links, r.link)
	}
	m.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	m.duties.Stop()
	m.workers.Close()
	m.callers.Close()
}
