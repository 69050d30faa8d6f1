package membership

import (
	"maps"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
)

// Config identifies this host and its process.
type Config struct {
	Host        string
	Incarnation Incarnation
}

const (
	// heartbeatInterval is the time between heartbeats on a persistent link.
	heartbeatInterval = 500 * time.Millisecond
	// OnDemandHeartbeatInterval is the time between heartbeats on a link opened on demand.
	OnDemandHeartbeatInterval = 10 * time.Second
	// minHeartbeatGap is the minimum time from the last heartbeats sent to an expedited one.
	minHeartbeatGap = 20 * time.Millisecond
	// suspectAfter is the time without a heartbeat after which a peer is suspect.
	suspectAfter = 4 * heartbeatInterval
	// expireInterval is the time between removals of expired facts.
	expireInterval = time.Second
)

// peer is the state of one linked peer.
type peer struct {
	name            string
	incarnation     Incarnation
	lastHeartbeatAt time.Duration
	// lastSequence is the highest sequence number received from the peer.
	lastSequence uint64
	note         uint64
	hash         uint64
	// sentUpTo is the position in this host's log up to which facts were sent to the peer,
	// and ackedUpTo the position up to which the peer has merged them.
	sentUpTo    uint64
	ackedUpTo   uint64
	factsSentAt time.Duration
	// mergedUpTo is the position in the peer's log up to which this host has merged it.
	mergedUpTo      uint64
	leaving         bool
	nextHeartbeatAt time.Duration
	// expedited schedules a heartbeat before the next regular one; requestReply makes it
	// request an immediate reply.
	expedited    bool
	requestReply bool
}

// Membership is the core of the mesh. It is not safe for concurrent use: a single
// goroutine passes each event to Step, calls Advance at NextWake, and carries out the
// effects.
type Membership struct {
	cfg             Config
	state           *release.State
	persistentPeers map[string]bool
	fullMesh        bool
	peers           map[string]*peer
	facts           *factStore
	draining        bool

	sequence     uint64
	lastSentAt   time.Duration
	nextExpiryAt time.Duration

	contact contactTracker
	fetch   fetchState
}

// New returns a Membership with no state in force. The time without contact counts from
// now.
func New(cfg Config, now clock.Instant) *Membership {
	return &Membership{
		cfg:             cfg,
		persistentPeers: map[string]bool{},
		peers:           map[string]*peer{},
		facts:           newFactStore(),
		contact:         contactTracker{lastContact: now.Mono, lastStep: now.Mono, platformCheckedAt: now.Mono},
	}
}

// Step handles one event and then does what Advance does.
func (m *Membership) Step(now clock.Instant, ev Event, fx *Effects) {
	m.detectPause(now)
	switch ev := ev.(type) {
	case *StateInForce:
		m.applyState(ev.State, fx)
	case *LinkUp:
		m.handleLinkUp(now, ev)
	case *LinkDown:
		m.handleLinkDown(ev)
	case *HeartbeatReceived:
		m.handleHeartbeat(now, ev, fx)
	case *PlatformReached:
		m.contact.recordPlatformCall(ev.Began)
	case *LocalFacts:
		m.mergeLocalFacts(ev)
	case *ConfirmContact:
		m.confirmContact(ev)
	case *FetchEnded:
		m.fetch.finish(now.Mono, ev)
	case *Drain:
		m.draining = true
		m.expediteAll()
	}
	m.Advance(now, fx)
}

// Advance sends heartbeats, expires facts, starts a fetch and checks contact, as far as
// each is due at now.
func (m *Membership) Advance(now clock.Instant, fx *Effects) {
	m.detectPause(now)
	if now.Mono >= m.nextExpiryAt {
		m.nextExpiryAt = now.Mono + expireInterval
		m.facts.expire(now.Mono, now.Wall, m.isPublished)
	}
	m.sendDueHeartbeats(now, fx)
	m.startDueFetch(now, fx)
	m.checkContact(now, fx)
}

// NextWake returns the monotonic time at which Advance must next be called.
func (m *Membership) NextWake() time.Duration {
	next := m.contact.lastStep + maxStepInterval
	for _, p := range m.peers {
		due := p.nextHeartbeatAt
		if p.expedited {
			due = min(due, m.lastSentAt+minHeartbeatGap)
		}
		next = min(next, due)
	}
	return next
}

// Note returns the number of the note in force, 0 before the first.
func (m *Membership) Note() uint64 {
	if m.state == nil {
		return 0
	}
	return m.state.Number
}

// PeerStatus is the status of one peer in reports to operators.
type PeerStatus struct {
	Name    string `json:"name"`
	Note    uint64 `json:"note"`
	Suspect bool   `json:"suspect,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	// SameFacts reports whether the peer holds the same facts as this host.
	SameFacts bool `json:"same_facts"`
}

// Status returns the status of each linked peer, sorted by name.
func (m *Membership) Status(now clock.Instant) []PeerStatus {
	list := make([]PeerStatus, 0, len(m.peers))
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[name]
		list = append(list, PeerStatus{
			Name:      name,
			Note:      p.note,
			Suspect:   now.Mono-p.lastHeartbeatAt > suspectAfter,
			Leaving:   p.leaving,
			SameFacts: p.hash == m.facts.hash,
		})
	}
	return list
}

// Converged reports whether a state is in force on this host, and every persistent peer is
// linked, has a state in force too and holds the same facts.
func (m *Membership) Converged() bool {
	for name := range m.persistentPeers {
		if p := m.peers[name]; p == nil || p.note == 0 || p.hash != m.facts.hash {
			return false
		}
	}
	return m.state != nil
}

// Isolated reports whether this host can reach neither the platform nor a peer.
func (m *Membership) Isolated() bool { return m.contact.isolated }

func (m *Membership) isPublished(target string) bool {
	return m.state == nil || m.state.Targets[target] != nil
}

func (m *Membership) applyState(s *release.State, fx *Effects) {
	if s.Number <= m.Note() {
		return
	}
	changed := m.state == nil || !slices.Equal(m.state.Hosts, s.Hosts)
	m.state = s
	if changed {
		names := PersistentPeers(s.Hosts, m.cfg.Host)
		m.fullMesh = len(names) == len(s.Hosts)-1
		m.persistentPeers = map[string]bool{}
		for _, name := range names {
			m.persistentPeers[name] = true
		}
		fx.Links = &SetLinks{Hosts: s.Hosts, Peers: names}
	}
	for _, p := range m.peers {
		if p.note < s.Number {
			p.expedited = true
		}
	}
}

func (m *Membership) handleLinkUp(now clock.Instant, ev *LinkUp) {
	p := m.peers[ev.Peer]
	if p == nil || p.incarnation != ev.Incarnation {
		p = &peer{name: ev.Peer, incarnation: ev.Incarnation}
		m.peers[ev.Peer] = p
	}
	// Facts in transit on an earlier link may be lost, so unacknowledged ones are sent again.
	p.sentUpTo = p.ackedUpTo
	p.lastHeartbeatAt = now.Mono
	p.expedited = true
	p.requestReply = true
}

func (m *Membership) handleLinkDown(ev *LinkDown) {
	if p := m.peers[ev.Peer]; p != nil && p.incarnation == ev.Incarnation {
		delete(m.peers, ev.Peer)
	}
	m.fetch.cancel(ev.Peer)
}

func (m *Membership) handleHeartbeat(now clock.Instant, ev *HeartbeatReceived, fx *Effects) {
	p := m.peers[ev.Peer]
	h := ev.Heartbeat
	if p == nil || p.incarnation != ev.Incarnation || h.Sequence <= p.lastSequence {
		return
	}
	p.lastSequence = h.Sequence
	p.lastHeartbeatAt = now.Mono
	p.note = max(p.note, h.NoteNumber)
	p.hash = h.Hash
	p.leaving = h.Leaving
	p.ackedUpTo = max(p.ackedUpTo, min(h.MergedUpTo, m.facts.lastPosition))
	p.sentUpTo = max(p.sentUpTo, p.ackedUpTo)
	p.expedited = p.expedited || h.RequestReply || (m.Note() > p.note && m.persistentPeers[p.name])
	m.contact.recordEcho(h.EchoedSequence)
	m.mergeHeartbeat(now, p, h, fx)
}

// mergeHeartbeat merges the facts of a heartbeat and reports those that changed the store.
func (m *Membership) mergeHeartbeat(now clock.Instant, from *peer, h *Heartbeat, fx *Effects) {
	learned := &engine.PeerFacts{}
	for _, f := range h.TargetFacts {
		if m.facts.mergeTarget(f) {
			learned.TargetFacts = append(learned.TargetFacts, m.facts.entries[factKey{target: f.Target}].target)
		}
	}
	for _, c := range h.QuarantineFacts {
		if !c.Expired(now.Wall) && m.facts.mergeQuarantine(c) {
			learned.QuarantineFacts = append(learned.QuarantineFacts, m.facts.entries[factKey{fingerprint: c.Fingerprint}].quarantine)
		}
	}
	if h.From <= from.mergedUpTo {
		from.mergedUpTo = max(from.mergedUpTo, h.UpTo)
	}
	if len(learned.TargetFacts)+len(learned.QuarantineFacts) == 0 {
		return
	}
	fx.LearnedFacts = learned
	// In a full mesh the origin sends the facts to every host. In any other topology they
	// must be forwarded.
	if !m.fullMesh {
		m.expediteAllExcept(from)
	}
}

func (m *Membership) mergeLocalFacts(ev *LocalFacts) {
	changed := false
	for _, f := range ev.TargetFacts {
		changed = m.facts.mergeTarget(f) || changed
	}
	for _, c := range ev.QuarantineFacts {
		changed = m.facts.mergeQuarantine(c) || changed
	}
	if changed {
		m.expediteAllExcept(nil)
	}
}

func (m *Membership) expediteAllExcept(except *peer) {
	for _, p := range m.peers {
		if p != except && m.persistentPeers[p.name] {
			p.expedited = true
		}
	}
}

func (m *Membership) expediteAll() {
	for _, p := range m.peers {
		p.expedited = true
	}
}
