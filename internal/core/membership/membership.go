package membership

import (
	"maps"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
)

// Config says who this host is.
type Config struct {
	Host        string
	Incarnation Incarnation
}

const (
	// beatInterval is the time between heartbeats on a standing link.
	beatInterval = 500 * time.Millisecond
	// DemandInterval is the time between heartbeats on a link made on demand.
	DemandInterval = 10 * time.Second
	// promptGap is the least time between heartbeats that news causes.
	promptGap = 20 * time.Millisecond
	// suspectAfter is the silence after which a peer is suspect.
	suspectAfter = 4 * beatInterval
	// expireInterval is the time between sweeps of expired facts.
	expireInterval = time.Second
)

// peer is what this host knows of one peer with a link.
type peer struct {
	name        string
	incarnation Incarnation
	heardAt     time.Duration
	// heard is the highest sequence from the peer.
	heard uint64
	note  uint64
	hash  uint64
	// told is the position of the own log up to which the peer was told, and acked the
	// one up to which it has merged.
	told   uint64
	acked  uint64
	toldAt time.Duration
	// merged is the position of the peer's log that is merged here.
	merged  uint64
	leaving bool
	nextAt  time.Duration
	// prompt asks for a heartbeat before the regular one.
	prompt bool
	ask    bool
}

// Membership is the core. One duty owns it, steps it with each event, calls Advance when
// NextWake has come, and carries out the effects.
type Membership struct {
	cfg      Config
	state    *release.State
	standing map[string]bool
	fullMesh bool
	peers    map[string]*peer
	facts    *factStore
	draining bool

	sequence uint64
	lastSent time.Duration
	expireAt time.Duration

	words words
	fetch fetches
}

// New returns a membership with nothing in force. Contact counts as lost from now on.
func New(cfg Config, now clock.Instant) *Membership {
	return &Membership{
		cfg:      cfg,
		standing: map[string]bool{},
		peers:    map[string]*peer{},
		facts:    newFactStore(),
		words:    words{last: now.Mono, stepped: now.Mono, platformAsked: now.Mono},
	}
}

// Step handles one event.
func (m *Membership) Step(now clock.Instant, ev Event, fx *Effects) {
	m.wake(now)
	switch ev := ev.(type) {
	case *InForce:
		m.inForce(ev.State, fx)
	case *LinkUp:
		m.linkUp(now, ev)
	case *LinkDown:
		m.linkDown(ev)
	case *Heard:
		m.heard(now, ev, fx)
	case *PlatformWord:
		m.words.platform(ev.Began)
	case *LocalFacts:
		m.localFacts(ev)
	case *WordWanted:
		m.wordWanted(ev)
	case *FetchEnded:
		m.fetch.ended(now.Mono, ev)
	case *Drain:
		m.draining = true
		m.promptAll()
	}
	m.Advance(now, fx)
}

// Advance does what is due at now.
func (m *Membership) Advance(now clock.Instant, fx *Effects) {
	m.wake(now)
	if now.Mono >= m.expireAt {
		m.expireAt = now.Mono + expireInterval
		m.facts.expire(now.Mono, now.Wall, m.published)
	}
	m.sendDue(now, fx)
	m.fetchDue(now, fx)
	m.judgeContact(now, fx)
}

// NextWake returns when Advance must next be called.
func (m *Membership) NextWake() time.Duration {
	next := m.words.stepped + tick
	for _, p := range m.peers {
		due := p.nextAt
		if p.prompt {
			due = min(due, m.lastSent+promptGap)
		}
		next = min(next, due)
	}
	return next
}

// Note returns the number in force, 0 before the first.
func (m *Membership) Note() uint64 {
	if m.state == nil {
		return 0
	}
	return m.state.Number
}

// PeerStatus is what operators see of one peer.
type PeerStatus struct {
	Name    string `json:"name"`
	Note    uint64 `json:"note"`
	Suspect bool   `json:"suspect,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	// SameFacts tells that the peer holds the same facts.
	SameFacts bool `json:"same_facts"`
}

// Status returns what is known of each linked peer, by name.
func (m *Membership) Status(now clock.Instant) []PeerStatus {
	list := make([]PeerStatus, 0, len(m.peers))
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[name]
		list = append(list, PeerStatus{
			Name:      name,
			Note:      p.note,
			Suspect:   now.Mono-p.heardAt > suspectAfter,
			Leaving:   p.leaving,
			SameFacts: p.hash == m.facts.hash,
		})
	}
	return list
}

// Settled reports whether every peer that this host exchanges heartbeats with has been
// heard and holds the same facts.
func (m *Membership) Settled() bool {
	for name := range m.standing {
		if p := m.peers[name]; p == nil || p.note == 0 || p.hash != m.facts.hash {
			return false
		}
	}
	return m.state != nil
}

// Isolated reports whether neither the platform nor a peer is reached.
func (m *Membership) Isolated() bool { return m.words.isolated }

func (m *Membership) published(target string) bool {
	return m.state == nil || m.state.Targets[target] != nil
}

func (m *Membership) inForce(s *release.State, fx *Effects) {
	if s.Number <= m.Note() {
		return
	}
	changed := m.state == nil || !slices.Equal(m.state.Hosts, s.Hosts)
	m.state = s
	if changed {
		names := PeersOf(s.Hosts, m.cfg.Host)
		m.fullMesh = len(names) == len(s.Hosts)-1
		m.standing = map[string]bool{}
		for _, name := range names {
			m.standing[name] = true
		}
		fx.Links = &Links{Hosts: s.Hosts, Peers: names}
	}
	for _, p := range m.peers {
		if p.note < s.Number {
			p.prompt = true
		}
	}
}

func (m *Membership) linkUp(now clock.Instant, ev *LinkUp) {
	p := m.peers[ev.Peer]
	if p == nil || p.incarnation != ev.Incarnation {
		p = &peer{name: ev.Peer, incarnation: ev.Incarnation}
		m.peers[ev.Peer] = p
	}
	// What was under way on an earlier link may be lost.
	p.told = p.acked
	p.heardAt = now.Mono
	p.prompt = true
	p.ask = true
}

func (m *Membership) linkDown(ev *LinkDown) {
	if p := m.peers[ev.Peer]; p != nil && p.incarnation == ev.Incarnation {
		delete(m.peers, ev.Peer)
	}
	m.fetch.abandon(ev.Peer)
}

func (m *Membership) heard(now clock.Instant, ev *Heard, fx *Effects) {
	p := m.peers[ev.Peer]
	h := ev.Heartbeat
	if p == nil || p.incarnation != ev.Incarnation || h.Sequence <= p.heard {
		return
	}
	p.heard = h.Sequence
	p.heardAt = now.Mono
	p.note = max(p.note, h.Note)
	p.hash = h.Hash
	p.leaving = h.Leaving
	p.acked = max(p.acked, min(h.Merged, m.facts.head))
	p.told = max(p.told, p.acked)
	p.prompt = p.prompt || h.Ask || (m.Note() > p.note && m.standing[p.name])
	m.words.echoed(h.Echo)
	m.learn(now, p, h, fx)
}

// learn merges the facts of a heartbeat and keeps those that told anything new.
func (m *Membership) learn(now clock.Instant, from *peer, h *Heartbeat, fx *Effects) {
	news := &engine.PeerFacts{}
	for _, f := range h.Facts {
		if m.facts.mergeTarget(f) {
			news.Targets = append(news.Targets, m.facts.entries[key{target: f.Target}].target)
		}
	}
	for _, c := range h.Convictions {
		if !c.Expired(now.Wall) && m.facts.mergeConviction(c) {
			news.Convictions = append(news.Convictions, m.facts.entries[key{fingerprint: c.Fingerprint}].conviction)
		}
	}
	if h.From <= from.merged {
		from.merged = max(from.merged, h.UpTo)
	}
	if len(news.Targets)+len(news.Convictions) == 0 {
		return
	}
	fx.News = news
	// In a full mesh the origin tells everyone; elsewhere the news must travel on.
	if !m.fullMesh {
		m.promptOthers(from)
	}
}

func (m *Membership) localFacts(ev *LocalFacts) {
	changed := false
	for _, f := range ev.Facts {
		changed = m.facts.mergeTarget(f) || changed
	}
	for _, c := range ev.Convictions {
		changed = m.facts.mergeConviction(c) || changed
	}
	if changed {
		m.promptOthers(nil)
	}
}

func (m *Membership) promptOthers(except *peer) {
	for _, p := range m.peers {
		if p != except && m.standing[p.name] {
			p.prompt = true
		}
	}
}

func (m *Membership) promptAll() {
	for _, p := range m.peers {
		p.prompt = true
	}
}
