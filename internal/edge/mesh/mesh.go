// Package mesh maintains the links between hosts: yamux sessions over TCP, with mutual TLS
// unless every address is on loopback.
//
// The dialer first opens the heartbeat stream, on which each side starts with a Hello
// frame. Every further stream carries one Request and its Response. The package makes no
// membership decisions: it passes link changes and heartbeats to the membership core as
// events.
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
	"pollentack.example/pollentack/internal/edge/listen"
	"pollentack.example/pollentack/internal/edge/memory"
	"pollentack.example/pollentack/internal/ring"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/wire"
)

const (
	// maxLinks bounds the links of a host, persistent and on demand.
	maxLinks = 256
	// maxIncomingCalls bounds the calls that peers have in progress here, over all links.
	maxIncomingCalls = 2048
	// workersPerLink is the number of workers that serve a link: one accepts streams, one
	// reads heartbeats, one writes them, and one probes the link or closes its streams.
	workersPerLink = 4
	// handshakeTimeout bounds, each separately, the dial, the TLS handshake and the
	// exchange of hellos.
	handshakeTimeout = 2 * time.Second
	// heartbeatTimeout is the time without a heartbeat after which a persistent link is
	// closed.
	heartbeatTimeout = 3 * time.Second
	// demandHeartbeatTimeout is heartbeatTimeout for a link made on demand.
	demandHeartbeatTimeout = 3 * membership.OnDemandHeartbeatInterval
	// outboxCapacity is the number of heartbeats queued for a slow link.
	outboxCapacity = 8
	// redialInterval is the time between dial attempts to the same peer.
	redialInterval = 500 * time.Millisecond
	// idleTimeout is the time without a call after which a link made on demand is closed.
	idleTimeout = time.Minute
	// minEvictionIdle is the time without a call after which a link made on demand gives way to
	// a new link if there are maxLinks: a host of a larger fleet exchanges members with more
	// peers than that within idleTimeout.
	minEvictionIdle = time.Second
	// drainTimeout is how long a replaced link stays open for its calls in progress.
	drainTimeout = 5 * time.Second
	// keepAliveInterval is the time between keep-alive probes of a session, which is closed
	// when a probe is not answered within heartbeatTimeout. A call that times out has its link
	// probed at once, and replaced if the probe is not answered within probeTimeout: the queries
	// that are handed over on a silent link are lost meanwhile.
	keepAliveInterval = 5 * time.Second
	probeTimeout      = 1500 * time.Millisecond
	// acceptRetryDelay is the wait after a failed accept before the next one.
	acceptRetryDelay = 50 * time.Millisecond
	// wakeupCapacity is the number of pending wake-ups of the dial duty.
	wakeupCapacity = 64
)

// Handler serves one call from a peer and returns the response payload. It runs on its own
// worker and may block until the caller's timeout.
type Handler func(from string, payload []byte) []byte

// DialFunc opens a TCP connection.
type DialFunc func(address string, timeout time.Duration) (net.Conn, error)

// Options configure a mesh.
type Options struct {
	Host        string
	Zone        string
	Incarnation membership.Incarnation
	Listen      string
	Settings    settings.Mesh
	Log         zerolog.Logger
	// Emit passes an event to the membership duty and reports whether its queue had room.
	Emit func(membership.Event) bool
	// Dial, if set, replaces the default TCP dial.
	Dial DialFunc
	// ObserveRTT, if set, is called after each successful call with its round-trip time, which
	// excludes the time to establish the link.
	ObserveRTT func(peer string, kind wire.CallKind, took time.Duration)
	// Stamp, if set, returns this process and the time on its monotonic clock, with which its hello is
	// dated. Observe receives the same of a peer, as soon as its hello has arrived.
	Stamp   func() (process uint64, sentAt time.Duration)
	Observe func(peer string, process uint64, sentAt time.Duration)
	// OnPanic receives the panics that ended the work for a link or a call, with their stacks; nil writes
	// them to standard error.
	OnPanic func(error)
	// Insecure accepts any host without certificates, for a network that only the system's
	// hosts can reach. Host names are learned from hellos. Heartbeats are optional, so dead
	// links are detected by the keep-alive of the sessions.
	Insecure bool
	// Descriptors is the limit on the descriptors of the process, 0 if it is not known.
	Descriptors int
	// Memory, if set, is the budget of what the calls of peers hold here.
	Memory *memory.Budget
}

// Mesh holds the links of one host to its peers.
type Mesh struct {
	options     Options
	security    *security
	listener    net.Listener
	duties      *duty.Group
	linkWorkers *duty.Workers
	callWorkers *duty.Workers
	wakeups     *ring.Ring[struct{}]
	counters    counters
	handshakes  *handshakes
	ledger      *ledger

	mu         sync.Mutex
	stopped    bool
	bootstrap  bool
	handlers   map[wire.CallKind]Handler
	hosts      map[string]release.Host
	persistent map[string]bool
	// dialing holds a channel for each dial in progress, closed when the dial ends.
	dialing    map[string]chan struct{}
	nextDialAt map[string]time.Time
	links      map[string]*link
	lastSeen   map[string]seenIncarnation
	// draining holds replaced links that stay open for their calls in progress.
	draining []drainingLink
}

type drainingLink struct {
	link  *link
	since time.Time
}

// seenIncarnation is the latest incarnation of a peer and the time at which its link was
// last registered or ended.
type seenIncarnation struct {
	incarnation membership.Incarnation
	at          time.Time
}

// Start listens for peers and maintains links until Stop.
func Start(o Options) (*Mesh, error) {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	m := &Mesh{
		options:    o,
		wakeups:    ring.New[struct{}]("mesh", wakeupCapacity),
		handlers:   map[wire.CallKind]Handler{},
		hosts:      map[string]release.Host{},
		persistent: map[string]bool{},
		dialing:    map[string]chan struct{}{},
		nextDialAt: map[string]time.Time{},
		links:      map[string]*link{},
		lastSeen:   map[string]seenIncarnation{},
		handshakes: newHandshakes(o.Descriptors),
		ledger:     newLedger(o.Memory),
	}
	var err error
	m.addSeeds()
	if o.Insecure {
		m.security = &security{insecure: true}
	} else if m.security, err = newSecurity(&o.Settings, o.Listen, o.Log); err != nil {
		return nil, err
	}
	if m.listener, err = listen.TCP(o.Listen, o.Log); err != nil {
		return nil, err
	}
	if err = m.startDuties(); err != nil {
		_ = m.listener.Close()
		return nil, err
	}
	return m, nil
}

// addSeeds adds the seeds of the settings as known hosts and persistent peers, for a host that
// has no configuration yet. The first call of SetHosts replaces them.
func (m *Mesh) addSeeds() {
	m.bootstrap = true
	for _, seed := range m.options.Settings.Seeds {
		if seed.Name != m.options.Host {
			m.hosts[seed.Name] = release.Host{Name: seed.Name, MeshAddress: seed.Address}
			m.persistent[seed.Name] = true
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
	if m.linkWorkers, err = duty.NewWorkers(maxLinks*workersPerLink+maxHandshakes, m.options.OnPanic); err != nil {
		return err
	}
	if m.callWorkers, err = duty.NewWorkers(maxIncomingCalls, m.options.OnPanic); err != nil {
		return err
	}
	if m.duties, err = duty.NewGroup(2, m.logDutyPanic); err != nil {
		return err
	}
	accept := duty.Duty{Name: "mesh accept", Run: m.acceptLinks, Stop: func() { _ = m.listener.Close() }}
	if err = m.duties.Start(accept); err != nil {
		return err
	}
	return m.duties.Start(duty.Duty{Name: "mesh dial", Run: m.maintainLinks, Stop: m.wakeups.Close})
}

func (m *Mesh) logDutyPanic(name string, err error) {
	m.options.Log.Error().Str("event", "duty_panicked").Str("duty", name).Err(err).Send()
}

// Address returns the address on which the mesh listens.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Handle sets the handler for a kind of call.
func (m *Mesh) Handle(kind wire.CallKind, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[kind] = h
}

// SetHosts sets the hosts with which links are allowed, and the peers to which this host
// maintains persistent links. Links to any other host are closed.
func (m *Mesh) SetHosts(hosts []release.Host, peers []string) {
	m.mu.Lock()
	m.bootstrap = false
	m.hosts = make(map[string]release.Host, len(hosts))
	for _, h := range hosts {
		m.hosts[h.Name] = h
	}
	m.persistent = make(map[string]bool, len(peers))
	for _, name := range peers {
		m.persistent[name] = true
	}
	var removed []*link
	for name, l := range m.links {
		if _, ok := m.hosts[name]; !ok {
			removed = append(removed, l)
		}
	}
	m.mu.Unlock()
	for _, l := range removed {
		l.close()
	}
	m.wakeups.Put(struct{}{})
}

// SendHeartbeat queues a heartbeat for a peer and reports whether it was queued. A heartbeat is
// dropped if there is no link or its queue is full; the next one carries the same state.
func (m *Mesh) SendHeartbeat(peer string, h *membership.Heartbeat) bool {
	l := m.linkTo(peer)
	if l == nil || !l.outbox.Put(wire.FromHeartbeat(h)) {
		m.counters.heartbeatsDropped.Add(1)
		return false
	}
	return true
}

func (m *Mesh) linkTo(peer string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[peer]
}

// acceptLinks is the duty that accepts connections from peers.
func (m *Mesh) acceptLinks() {
	for {
		conn, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if m.linkWorkers.Submit(func() { m.serveConn(conn) }) != nil {
			m.counters.countRefusal(wire.Refusal_REFUSAL_TOO_MANY)
			_ = conn.Close()
		}
	}
}

// serveConn performs the accepting side of the handshake and serves the link until it ends.
func (m *Mesh) serveConn(conn net.Conn) {
	number, evicted := m.handshakes.begin(conn)
	if evicted != nil {
		m.counters.handshakesEvicted.Add(1)
		m.options.Log.Warn().Str("event", "mesh_handshake_evicted").Str("remote", evicted.RemoteAddr().String()).
			Str("reason", "too many handshakes").Int("limit", m.handshakes.limit).Send()
		_ = evicted.Close()
	}
	l, err := m.acceptSession(conn)
	m.handshakes.end(number)
	if err != nil {
		m.options.Log.Debug().Str("event", "mesh_link_refused").Str("remote", conn.RemoteAddr().String()).Err(err).Send()
		_ = conn.Close()
		return
	}
	l.serve()
}

// register makes l the current link to its peer. If there already is a link to the same
// incarnation, l replaces it only when dialed by the host with the smaller name, and is
// refused otherwise. A replaced link stays open for drainTimeout so that its calls in
// progress can finish; a link to an earlier incarnation is closed at once.
func (m *Mesh) register(l *link, dialer string) error {
	m.mu.Lock()
	previous := m.links[l.peer]
	preferredDialer := min(m.options.Host, l.peer)
	switch {
	case m.stopped:
		m.mu.Unlock()
		return errStopped
	case previous != nil && dialer != preferredDialer && previous.incarnation == l.incarnation:
		m.mu.Unlock()
		return errDuplicate
	}
	var evicted *link
	if previous == nil && len(m.links) >= maxLinks {
		if evicted = m.idlestLink(); evicted == nil {
			m.mu.Unlock()
			return errTooMany
		}
		delete(m.links, evicted.peer)
	}
	m.links[l.peer] = l
	if previous != nil && previous.incarnation == l.incarnation {
		m.draining = append(m.draining, drainingLink{link: previous, since: time.Now()})
		previous = nil
	}
	m.remember(l.peer, l.incarnation)
	m.mu.Unlock()
	if previous != nil {
		previous.close()
	}
	if evicted != nil {
		evicted.close()
	}
	m.counters.linksMade.Add(1)
	return nil
}

// idlestLink returns the link made on demand without a call for the longest time, at least
// minEvictionIdle, or nil.
func (m *Mesh) idlestLink() *link {
	var idlest *link
	longest := minEvictionIdle
	for name, l := range m.links {
		if idle := l.idleFor(); !m.persistent[name] && idle >= longest {
			idlest, longest = l, idle
		}
	}
	return idlest
}

// maxSeenNames bounds the names whose incarnation is remembered. Known hosts and those with a link do not
// give way.
const maxSeenNames = 4096

// remember records the incarnation of a peer. The name that was seen longest ago gives way to a new one.
func (m *Mesh) remember(peer string, incarnation membership.Incarnation) {
	if _, ok := m.lastSeen[peer]; !ok && len(m.lastSeen) >= maxSeenNames {
		oldest, at := "", time.Now()
		for name, seen := range m.lastSeen {
			if _, known := m.hosts[name]; !known && m.links[name] == nil && seen.at.Before(at) {
				oldest, at = name, seen.at
			}
		}
		delete(m.lastSeen, oldest)
	}
	m.lastSeen[peer] = seenIncarnation{incarnation: incarnation, at: time.Now()}
}

// unregister removes l unless another link has replaced it.
func (m *Mesh) unregister(l *link) {
	m.mu.Lock()
	current := m.links[l.peer] == l
	if current {
		delete(m.links, l.peer)
		m.remember(l.peer, l.incarnation)
	}
	m.mu.Unlock()
	if current {
		m.options.Emit(&membership.LinkDown{Peer: l.peer, Incarnation: l.incarnation})
		m.wakeups.Put(struct{}{})
	}
}

// Peers returns the sorted names of the hosts to which there is a link.
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

// Stop closes all links and waits for the duties to end. Calls in progress fail.
func (m *Mesh) Stop() {
	m.mu.Lock()
	m.stopped = true
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	for _, r := range m.draining {
		links = append(links, r.link)
	}
	m.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	m.duties.Stop()
	m.linkWorkers.Close()
	m.callWorkers.Close()
}
