// Package fleet maintains the list of hosts by gossip. It starts from a few seed addresses
// and exchanges membership with one host at a time, each side sending what the other
// lacks. A host that leaves, or that fails to answer several times in a row, is marked as
// departed across the fleet until it refutes that or starts again.
//
// A Fleet is owned by one thread, which calls Step for each event and Advance at the time
// returned by NextWake, and carries out the effects. At most one exchange is in progress.
// Membership is eventually consistent without consensus: two hosts may have different
// rosters for a while, and users of a roster must tolerate that.
package fleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
)

const (
	// joinInterval is the mean time between exchanges while many members are being found,
	// spreadInterval while single changes spread, and steadyInterval after idleExchanges
	// exchanges without a change. In a fleet of hundreds of hosts of which one is replaced each
	// second, changes never cease.
	joinInterval   = 100 * time.Millisecond
	spreadInterval = 250 * time.Millisecond
	steadyInterval = time.Second
	idleExchanges  = 8
	// A message with news of at least one in joinShare members counts as many.
	joinShare = 16
	// minRetryDelay is the delay before a member that did not answer is tried again. It
	// doubles with each consecutive failure.
	minRetryDelay = 2 * time.Second
	// maxFailures is the number of consecutive failures after which a member is marked as
	// departed for the whole fleet. With the retry delays they span 14 s, longer than a
	// pause or a restart of a host takes.
	maxFailures = 4
	// On average one in rediscoveryRatio exchanges goes to a seed or a departed member, so
	// that the parts of a partitioned fleet find each other again.
	rediscoveryRatio = 16
	// On average one in crossRegionRatio exchanges goes to another region, because latency
	// and traffic cost between regions are high.
	crossRegionRatio = 4
	// departedRetention is how long a departed member is remembered. It is far longer than
	// an update takes to reach all hosts, and longer than a partition between regions lasts.
	departedRetention = 10 * time.Minute
	// maxMembers bounds the members that are remembered, departed ones included. Any peer may name some.
	maxMembers = 8192
	// maxDescriptionBytes bounds the strings of a member's description together.
	maxDescriptionBytes = 1024
)

// Event is an input to the Fleet.
type Event interface{ event() }

// Start starts the Fleet.
type Start struct{}

// MessageReceived is a message from a peer: a request from the peer, or its reply to this
// host.
type MessageReceived struct {
	From    Member
	Members []Member
}

// memberBytes is the size of a Member without its strings, rounded up.
const memberBytes = 128

// Bytes returns the memory that the message takes.
func (m *MessageReceived) Bytes() int {
	n := memberBytes + m.From.descriptionBytes()
	for i := range m.Members {
		n += memberBytes + m.Members[i].descriptionBytes()
	}
	return n
}

// ExchangeEnded reports the end of an exchange that this host started.
type ExchangeEnded struct {
	// Host is the member, "" if the exchange was with whichever host is at Address.
	Host    string
	Address string
	OK      bool
}

// Seeds replaces the seed addresses.
type Seeds struct{ Addresses []string }

// Leave announces to the peers that this host is stopping.
type Leave struct{}

func (*Start) event()           {}
func (*MessageReceived) event() {}
func (*ExchangeEnded) event()   {}
func (*Seeds) event()           {}
func (*Leave) event()           {}

// Exchange is a membership exchange to carry out with a host, or, if Host is "", with
// whichever host is at the address.
type Exchange struct {
	Host    string
	Address string
}

// Roster is the current membership. Members holds this host and the members whose last
// exchange did not fail, sorted by name. Snapshot is used for exchanges with peers.
type Roster struct {
	Members  []Member
	Snapshot *Snapshot
}

// Effects holds the actions that a step asks its caller to carry out.
type Effects struct {
	Exchange *Exchange
	// Roster is the new roster, nil if it did not change.
	Roster  *Roster
	Records []decision.Record
	// Ignored is the number of descriptions that exceeded maxMembers or maxDescriptionBytes.
	Ignored int
}

// Reset empties the effects and keeps their memory for reuse.
func (fx *Effects) Reset() {
	clear(fx.Records)
	*fx = Effects{Records: fx.Records[:0]}
}

type memberState struct {
	Member
	// failures is the number of consecutive failed exchanges; retryAt is when the next is
	// due.
	failures   int
	retryAt    time.Duration
	departedAt time.Duration
}

// Fleet tracks the members of the fleet.
type Fleet struct {
	self                 Member
	seeds                []string
	rng                  *rand.Rand
	members              map[string]*memberState
	nextExchangeAt       time.Duration
	exchangesSinceChange int
	// changes counts the changes of the members.
	changes int
	// exchangesSinceJoin counts the exchanges since one with news of many members.
	exchangesSinceJoin int
	exchangeInProgress bool
	started            bool
	rosterChanged      bool
	// lastWasRetry is set if the last exchange was a retry, so that members that do not
	// answer take at most every second exchange.
	lastWasRetry bool
}

// New returns a Fleet that knows only this host and the seed addresses.
func New(self Member, seeds []string, seed uint64) *Fleet {
	return &Fleet{self: self, seeds: excludeAddress(seeds, self.Address), rng: rand.New(rand.NewPCG(seed, 3)), members: map[string]*memberState{}}
}

func excludeAddress(seeds []string, own string) []string {
	return slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == own })
}

// Snapshot returns a snapshot of the current membership.
func (f *Fleet) Snapshot() *Snapshot {
	var departed []Member
	present := []Member{f.self}
	for _, m := range f.members {
		if m.Departed {
			departed = append(departed, m.Member)
		} else {
			present = append(present, m.Member)
		}
	}
	slices.SortFunc(present, byName)
	return newSnapshot(f.self, present, departed)
}

// Step handles one event.
func (f *Fleet) Step(now clock.Instant, ev Event, fx *Effects) {
	switch ev := ev.(type) {
	case *Start:
		f.started, f.rosterChanged = true, true
		f.nextExchangeAt = now.Mono
	case *MessageReceived:
		f.handleMessage(now, ev, fx)
	case *ExchangeEnded:
		f.handleExchangeEnded(now, ev, fx)
	case *Seeds:
		f.seeds = excludeAddress(ev.Addresses, f.self.Address)
	case *Leave:
		f.self.Departed, f.rosterChanged = true, true
		f.exchangesSinceChange, f.exchangesSinceJoin = 0, 0
	}
	f.Advance(now, fx)
}

// Advance starts an exchange if one is due, and publishes the roster if it changed.
func (f *Fleet) Advance(now clock.Instant, fx *Effects) {
	if f.started && !f.exchangeInProgress && now.Mono >= f.nextExchangeAt {
		f.removeExpired(now)
		f.startExchange(now, fx)
	}
	if f.rosterChanged {
		f.rosterChanged = false
		snapshot := f.Snapshot()
		fx.Roster = &Roster{Members: f.reachable(snapshot), Snapshot: snapshot}
	}
}

// NextWake returns when Advance must next be called, or false if no time is set.
func (f *Fleet) NextWake() (time.Duration, bool) {
	return f.nextExchangeAt, f.started && !f.exchangeInProgress
}

// reachable returns the members of a snapshot whose last exchange did not fail.
func (f *Fleet) reachable(snapshot *Snapshot) []Member {
	return slices.DeleteFunc(slices.Clone(snapshot.Members()), func(m Member) bool {
		s := f.members[m.Host]
		return s != nil && s.failures > 0
	})
}

// removeExpired removes the members that departed longer than departedRetention ago.
func (f *Fleet) removeExpired(now clock.Instant) {
	for name, m := range f.members {
		if m.Departed && now.Mono-m.departedAt >= departedRetention {
			delete(f.members, name)
			f.rosterChanged = true
		}
	}
}

// startExchange starts the next exchange and schedules the one after it.
func (f *Fleet) startExchange(now clock.Instant, fx *Effects) {
	f.nextExchangeAt = now.Mono + f.exchangeInterval()
	fx.Exchange = f.selectPeer(now)
	f.exchangeInProgress = fx.Exchange != nil
}

// selectPeer chooses the peer of the next exchange: a member that is due for a retry, at
// times a seed or a departed member, and otherwise a random reachable member, preferably
// of the own region.
func (f *Fleet) selectPeer(now clock.Instant) *Exchange {
	var sameRegion, otherRegion, retries []*memberState
	for _, name := range slices.Sorted(maps.Keys(f.members)) {
		m := f.members[name]
		switch {
		case m.Departed:
		case m.failures > 0:
			if now.Mono >= m.retryAt {
				retries = append(retries, m)
			}
		case m.Region == f.self.Region:
			sameRegion = append(sameRegion, m)
		default:
			otherRegion = append(otherRegion, m)
		}
	}
	f.lastWasRetry = len(retries) > 0 && !f.lastWasRetry
	if f.lastWasRetry {
		return f.randomMember(retries)
	}
	if len(sameRegion)+len(otherRegion) == 0 || f.rng.IntN(rediscoveryRatio) == 0 {
		if x := f.selectRediscovery(); x != nil {
			return x
		}
	}
	if len(sameRegion) == 0 || len(otherRegion) > 0 && f.rng.IntN(crossRegionRatio) == 0 {
		return f.randomMember(otherRegion)
	}
	return f.randomMember(sameRegion)
}

func (f *Fleet) randomMember(list []*memberState) *Exchange {
	if len(list) == 0 {
		return nil
	}
	m := list[f.rng.IntN(len(list))]
	return &Exchange{Host: m.Host, Address: m.Address}
}

// selectRediscovery chooses an address at which there may be hosts unknown to this one: a
// seed, or half of the time a departed member. It returns nil if there is none.
func (f *Fleet) selectRediscovery() *Exchange {
	var departed []string
	for _, name := range slices.Sorted(maps.Keys(f.members)) {
		if m := f.members[name]; m.Departed {
			departed = append(departed, m.Address)
		}
	}
	candidates := f.seeds
	if len(candidates) == 0 || len(departed) > 0 && f.rng.IntN(2) == 0 {
		candidates = departed
	}
	if len(candidates) == 0 {
		return nil
	}
	return &Exchange{Address: candidates[f.rng.IntN(len(candidates))]}
}

func (f *Fleet) exchangeInterval() time.Duration {
	base := steadyInterval
	switch {
	case f.exchangesSinceJoin < idleExchanges:
		base = joinInterval
	case f.exchangesSinceChange < idleExchanges:
		base = spreadInterval
	}
	return base/2 + time.Duration(f.rng.Int64N(int64(base)))
}

func (f *Fleet) handleExchangeEnded(now clock.Instant, ev *ExchangeEnded, fx *Effects) {
	f.exchangeInProgress = false
	f.exchangesSinceChange++
	f.exchangesSinceJoin++
	m := f.members[ev.Host]
	switch {
	case m == nil || m.Departed:
	case ev.OK:
		f.markReachable(m, fx)
	default:
		f.recordFailure(now, m, fx)
	}
}

func (f *Fleet) markReachable(m *memberState, fx *Effects) {
	if m.failures == 0 {
		return
	}
	m.failures = 0
	f.rosterChanged = true
	fx.Records = append(fx.Records, decision.New("host_regained", decision.String("peer", m.Host)))
}

func (f *Fleet) recordFailure(now clock.Instant, m *memberState, fx *Effects) {
	m.failures++
	f.rosterChanged = true
	if m.failures >= maxFailures {
		f.markDeparted(now, m, "no answer", fx)
		return
	}
	m.retryAt = now.Mono + minRetryDelay<<(m.failures-1)
	fx.Records = append(fx.Records, decision.Warning("host_lost",
		decision.String("peer", m.Host), decision.Int("failures", m.failures), decision.Millis("asked_again_in", m.retryAt-now.Mono)))
}

// countChange records a change of the members, which this host tells its peers soon.
func (f *Fleet) countChange() {
	f.rosterChanged = true
	f.exchangesSinceChange = 0
	f.changes++
}

func (f *Fleet) markDeparted(now clock.Instant, m *memberState, reason string, fx *Effects) {
	m.Departed, m.departedAt, m.failures = true, now.Mono, 0
	f.countChange()
	fx.Records = append(fx.Records, decision.New("host_away",
		decision.String("peer", m.Host), decision.Uint("started", m.Started), decision.String("reason", reason)))
}

func (f *Fleet) handleMessage(now clock.Instant, ev *MessageReceived, fx *Effects) {
	changes, ignored := f.changes, fx.Ignored
	if ev.From.descriptionBytes() > maxDescriptionBytes {
		fx.Ignored += 1 + len(ev.Members)
	} else {
		f.applyMember(now, ev.From, "reported by the host itself", fx)
		for _, m := range ev.Members {
			f.applyMember(now, m, "reported by "+ev.From.Host, fx)
		}
	}
	if n := fx.Ignored - ignored; n > 0 {
		fx.Records = append(fx.Records, decision.Warning("hosts_ignored",
			decision.Int("count", n), decision.Int("known", len(f.members)+1), decision.Int("limit", maxMembers),
			decision.Int("description_limit_bytes", maxDescriptionBytes)))
	}
	if news := f.changes - changes; news > 0 && news*joinShare >= len(f.members) {
		f.exchangesSinceJoin = 0
	}
	if m := f.members[ev.From.Host]; m != nil && !m.Departed && m.Started == ev.From.Started {
		f.markReachable(m, fx)
	}
}

// applyMember applies a description that is new or of a later start than the known one.
// source is the reason logged if the member has departed.
func (f *Fleet) applyMember(now clock.Instant, m Member, source string, fx *Effects) {
	if m.Host == "" {
		return
	}
	if m.Host == f.self.Host {
		f.refute(now, m, fx)
		return
	}
	known := f.members[m.Host]
	switch {
	case known == nil && m.Departed, known != nil && known.Started > m.Started:
	case known != nil && known.Started == m.Started:
		if m.Departed && !known.Departed {
			f.markDeparted(now, known, source, fx)
		}
	case m.descriptionBytes() > maxDescriptionBytes, known == nil && len(f.members) >= maxMembers:
		fx.Ignored++
	default:
		f.members[m.Host] = &memberState{Member: m}
		f.countChange()
		if m.Departed {
			f.markDeparted(now, f.members[m.Host], source, fx)
			return
		}
		fx.Records = append(fx.Records, decision.New("host_found",
			decision.String("peer", m.Host), decision.String("peer_zone", m.Zone), decision.String("address", m.Address),
			decision.Int("capacity", m.Capacity), decision.Int("known", len(f.members)+1)))
	}
}

// refute replaces this host's description by a later one if a peer believes that it has
// departed, or knows it from an earlier process whose clock was ahead.
func (f *Fleet) refute(now clock.Instant, m Member, fx *Effects) {
	departed := m.Departed && !f.self.Departed
	if m.Started < f.self.Started || m.Started == f.self.Started && !departed {
		return
	}
	f.self.Started = max(m.Started+1, uint64(now.Wall))
	f.countChange()
	fx.Records = append(fx.Records, decision.Warning("host_denies", decision.Uint("told", m.Started), decision.Uint("started", f.self.Started)))
}
