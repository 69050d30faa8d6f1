// Package fleet is the core that finds out which hosts there are: it starts from a few
// seed addresses, exchanges members with one host at a time and forgets those that do not
// answer.
//
// The contract: one duty owns a Fleet, steps it with each event, calls Advance when
// NextWake has come and carries out the effects. One exchange is in progress at a time.
// Nothing is agreed on: two hosts may see other members for a while, and whoever uses the
// roster must bear that.
package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
)

const (
	// joinInterval is the time between exchanges while members are still being found,
	// steadyInterval after that, joinExchanges the number of fruitless ones between.
	joinInterval   = 100 * time.Millisecond
	steadyInterval = time.Second
	joinExchanges  = 8
	// suspectFor is how long a member that did not answer is left out before it is tried
	// again; it doubles with each failure in a row up to maxSuspect.
	suspectFor = 2 * time.Second
	maxSuspect = 30 * time.Second
	// retireAfter is the number of failures in a row after which a member is forgotten: it
	// has been away for minutes, or its address belongs to nobody.
	retireAfter = 8
	// seedShare is how often, as 1/n, an exchange goes to a seed, so that parts of a fleet
	// that lost each other meet again.
	seedShare = 16
)

// Event is something that happened outside the core.
type Event interface{ event() }

// Start begins to look for members.
type Start struct{}

// Heard is what a peer told, on its own exchange or in answer to one of this host.
type Heard struct {
	From    Member
	Members []Member
	Leaving bool
}

// Exchanged is the end of this host's own exchange.
type Exchanged struct {
	// Host is the member, "" for a seed of which only Address is known.
	Host    string
	Address string
	OK      bool
}

// Seeds replaces the addresses at which other hosts are looked for.
type Seeds struct{ Addresses []string }

// Leave tells the peers that this host stops.
type Leave struct{}

func (*Start) event()     {}
func (*Heard) event()     {}
func (*Exchanged) event() {}
func (*Seeds) event()     {}
func (*Leave) event()     {}

// Exchange asks for one exchange of members with a host.
type Exchange struct {
	Host    string
	Address string
}

// Roster is the members that answer, this host included, by name.
type Roster struct{ Members []Member }

// Effects are what a step asks its caller to do.
type Effects struct {
	Exchange *Exchange
	// Roster is set where it changed.
	Roster  *Roster
	Records []decision.Record
}

// Reset empties the effects and keeps their memory.
func (fx *Effects) Reset() {
	clear(fx.Records)
	*fx = Effects{Records: fx.Records[:0]}
}

type state struct {
	Member
	failures  int
	suspectTo time.Duration
	left      bool
}

// Fleet is the core.
type Fleet struct {
	self      Member
	seeds     []string
	rng       *rand.Rand
	members   map[string]*state
	nextAt    time.Duration
	fruitless int
	calling   bool
	started   bool
	leaving   bool
	changed   bool
}

// New returns a fleet of this host alone. Seeds are addresses.
func New(self Member, seeds []string, seed uint64) *Fleet {
	return &Fleet{self: self, seeds: without(seeds, self.Address), rng: rand.New(rand.NewPCG(seed, 3)), members: map[string]*state{}}
}

func without(seeds []string, own string) []string {
	return slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == own })
}

// Digest is a hash over all members that are known.
func (f *Fleet) Digest() uint64 {
	digest := f.self.hash()
	for _, m := range f.members {
		digest ^= m.hash()
	}
	return digest
}

// Members returns all members that are known, this host included, by name.
func (f *Fleet) Members() []Member {
	list := make([]Member, 0, len(f.members)+1)
	list = append(list, f.self)
	for _, m := range f.members {
		if !m.left {
			list = append(list, m.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return compareNames(a.Host, b.Host) })
	return list
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Leaving reports whether this host stops.
func (f *Fleet) Leaving() bool { return f.leaving }

// Step handles one event.
func (f *Fleet) Step(now clock.Instant, ev Event, fx *Effects) {
	switch ev := ev.(type) {
	case *Start:
		f.started, f.changed = true, true
		f.nextAt = now.Mono
	case *Heard:
		f.heard(ev, fx)
	case *Exchanged:
		f.exchanged(now, ev, fx)
	case *Seeds:
		f.seeds = without(ev.Addresses, f.self.Address)
	case *Leave:
		f.leaving = true
	}
	f.Advance(now, fx)
}

// Advance does what is due at now.
func (f *Fleet) Advance(now clock.Instant, fx *Effects) {
	f.endSuspicion(now)
	if f.started && !f.calling && now.Mono >= f.nextAt {
		f.exchange(now, fx)
	}
	if f.changed {
		f.changed = false
		fx.Roster = &Roster{Members: f.roster(now)}
	}
}

// NextWake returns when Advance must next be called, and false for never.
func (f *Fleet) NextWake() (time.Duration, bool) { return f.nextAt, f.started && !f.calling }

func (f *Fleet) roster(now clock.Instant) []Member {
	return slices.DeleteFunc(f.Members(), func(m Member) bool {
		s := f.members[m.Host]
		return s != nil && now.Mono < s.suspectTo
	})
}

func (f *Fleet) endSuspicion(now clock.Instant) {
	for _, m := range f.members {
		if m.suspectTo != 0 && now.Mono >= m.suspectTo {
			m.suspectTo = 0
			f.changed = true
		}
	}
}

// exchange picks a member at random, a seed while none is known and now and then.
func (f *Fleet) exchange(now clock.Instant, fx *Effects) {
	f.nextAt = now.Mono + f.interval()
	var names []string
	for name, m := range f.members {
		if !m.left && now.Mono >= m.suspectTo {
			names = append(names, name)
		}
	}
	toSeed := len(names) == 0 || f.rng.IntN(seedShare) == 0
	if toSeed && len(f.seeds) > 0 {
		f.calling = true
		fx.Exchange = &Exchange{Address: f.seeds[f.rng.IntN(len(f.seeds))]}
		return
	}
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	m := f.members[names[f.rng.IntN(len(names))]]
	f.calling = true
	fx.Exchange = &Exchange{Host: m.Host, Address: m.Address}
}

func (f *Fleet) interval() time.Duration {
	base := steadyInterval
	if f.fruitless < joinExchanges {
		base = joinInterval
	}
	return base/2 + time.Duration(f.rng.Int64N(int64(base)))
}

func (f *Fleet) exchanged(now clock.Instant, ev *Exchanged, fx *Effects) {
	f.calling = false
	f.fruitless++
	if ev.Host == "" {
		return
	}
	if !ev.OK {
		f.suspect(now, ev.Host, fx)
		return
	}
	f.clear(ev.Host, fx)
}

func (f *Fleet) clear(host string, fx *Effects) {
	m := f.members[host]
	if m == nil || m.failures == 0 {
		return
	}
	m.failures, m.suspectTo = 0, 0
	f.changed = true
	fx.Records = append(fx.Records, decision.New("host_regained", decision.String("peer", host)))
}

func (f *Fleet) suspect(now clock.Instant, host string, fx *Effects) {
	m := f.members[host]
	if m == nil || now.Mono < m.suspectTo {
		return
	}
	m.failures++
	f.changed = true
	if m.failures >= retireAfter {
		delete(f.members, host)
		fx.Records = append(fx.Records, decision.New("host_forgotten", decision.String("peer", host)))
		return
	}
	m.suspectTo = now.Mono + min(suspectFor<<(m.failures-1), maxSuspect)
	fx.Records = append(fx.Records, decision.Warning("host_lost",
		decision.String("peer", host), decision.Int("failures", m.failures), decision.Millis("left_out_for", m.suspectTo-now.Mono)))
}

func (f *Fleet) heard(ev *Heard, fx *Effects) {
	f.learn(ev.From, fx)
	for _, m := range ev.Members {
		f.learn(m, fx)
	}
	if m := f.members[ev.From.Host]; m != nil && m.Started == ev.From.Started {
		f.clear(ev.From.Host, fx)
		if ev.Leaving && !m.left {
			m.left, f.changed = true, true
			fx.Records = append(fx.Records, decision.New("host_leaving", decision.String("peer", m.Host)))
		}
	}
}

// learn takes a description that is new or of a later start.
func (f *Fleet) learn(m Member, fx *Effects) {
	if m.Host == "" || m.Host == f.self.Host {
		return
	}
	known := f.members[m.Host]
	if known != nil && known.Started >= m.Started {
		return
	}
	f.members[m.Host] = &state{Member: m}
	f.changed = true
	f.fruitless = 0
	fx.Records = append(fx.Records, decision.New("host_found",
		decision.String("peer", m.Host), decision.String("peer_zone", m.Zone), decision.String("address", m.Address),
		decision.Int("capacity", m.Capacity), decision.Int("known", len(f.members)+1)))
}
