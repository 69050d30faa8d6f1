// Package fleet is the core that finds out which hosts there are: it starts from a few
// seed addresses and exchanges with one host at a time what either lacks. A host that
// leaves, or fails to answer several times, is away for the whole fleet until it denies
// that or starts again.
//
// The contract: one duty owns a Fleet, steps it with each event, calls Advance when
// NextWake has come and carries out the effects. One exchange is in progress at a time.
// Nothing is agreed on: two hosts may see other members for a while, and whoever uses the
// roster must bear that.
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
	// joinInterval is the time between exchanges while members are still being found,
	// steadyInterval after that, joinExchanges the number of fruitless ones between.
	joinInterval   = 100 * time.Millisecond
	steadyInterval = time.Second
	joinExchanges  = 8
	// retryAfter is the time until a member that did not answer is asked again. It doubles
	// with each failure in a row.
	retryAfter = 2 * time.Second
	// lostAfter is the number of failures in a row, over 14 s, after which a member is away
	// for the whole fleet: longer than a host is paused or restarted.
	lostAfter = 4
	// farShare is how often, as 1/n, an exchange goes to a seed or to a member that is
	// away, so that parts of a fleet that lost each other meet again.
	farShare = 16
	// crossShare is how often, as 1/n, an exchange goes to another region, where a way is
	// long and its bytes are dear.
	crossShare = 4
	// awayFor is how long a member that is away is remembered: far longer than news need
	// to reach all hosts, and than regions are cut from each other.
	awayFor = 10 * time.Minute
)

// Event is something that happened outside the core.
type Event interface{ event() }

// Start begins to look for members.
type Start struct{}

// Heard is what a peer told, on its own exchange or in answer to one of this host.
type Heard struct {
	From    Member
	Members []Member
}

// Exchanged is the end of this host's own exchange.
type Exchanged struct {
	// Host is the member, "" for an address at which any host may answer.
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

// Exchange asks for one exchange of members with a host, "" for whichever answers at the
// address.
type Exchange struct {
	Host    string
	Address string
}

// Roster is what is known of the fleet: the members that answer this host, itself
// included, by name, and all that peers are told.
type Roster struct {
	Members []Member
	Table   *Table
}

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
	// failures is the number of exchanges in a row that failed, retryAt when the next is due.
	failures int
	retryAt  time.Duration
	awayAt   time.Duration
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
	changed   bool
	// retried tells that the last exchange was a retry, so that members that do not answer
	// take at most every second one.
	retried bool
}

// New returns a fleet of this host alone. Seeds are addresses.
func New(self Member, seeds []string, seed uint64) *Fleet {
	return &Fleet{self: self, seeds: without(seeds, self.Address), rng: rand.New(rand.NewPCG(seed, 3)), members: map[string]*state{}}
}

func without(seeds []string, own string) []string {
	return slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == own })
}

// Table returns what peers are told.
func (f *Fleet) Table() *Table {
	var away []Member
	present := []Member{f.self}
	for _, m := range f.members {
		if m.Away {
			away = append(away, m.Member)
		} else {
			present = append(present, m.Member)
		}
	}
	slices.SortFunc(present, byName)
	return newTable(f.self, present, away)
}

// Step handles one event.
func (f *Fleet) Step(now clock.Instant, ev Event, fx *Effects) {
	switch ev := ev.(type) {
	case *Start:
		f.started, f.changed = true, true
		f.nextAt = now.Mono
	case *Heard:
		f.heard(now, ev, fx)
	case *Exchanged:
		f.exchanged(now, ev, fx)
	case *Seeds:
		f.seeds = without(ev.Addresses, f.self.Address)
	case *Leave:
		f.self.Away, f.changed = true, true
		f.fruitless = 0
	}
	f.Advance(now, fx)
}

// Advance does what is due at now.
func (f *Fleet) Advance(now clock.Instant, fx *Effects) {
	if f.started && !f.calling && now.Mono >= f.nextAt {
		f.forget(now)
		f.exchange(now, fx)
	}
	if f.changed {
		f.changed = false
		table := f.Table()
		fx.Roster = &Roster{Members: f.answering(table), Table: table}
	}
}

// NextWake returns when Advance must next be called, and false for never.
func (f *Fleet) NextWake() (time.Duration, bool) { return f.nextAt, f.started && !f.calling }

// answering returns the members of a table without those that failed to answer.
func (f *Fleet) answering(t *Table) []Member {
	return slices.DeleteFunc(slices.Clone(t.Members()), func(m Member) bool {
		s := f.members[m.Host]
		return s != nil && s.failures > 0
	})
}

// forget drops the members that have been away for long.
func (f *Fleet) forget(now clock.Instant) {
	for name, m := range f.members {
		if m.Away && now.Mono-m.awayAt >= awayFor {
			delete(f.members, name)
			f.changed = true
		}
	}
}

// exchange asks for the next exchange.
func (f *Fleet) exchange(now clock.Instant, fx *Effects) {
	f.nextAt = now.Mono + f.interval()
	fx.Exchange = f.pick(now)
	f.calling = fx.Exchange != nil
}

// pick chooses a member that is to be tried again, now and then a seed or a member that
// is away, and otherwise any that answers, more often one of the own region.
func (f *Fleet) pick(now clock.Instant) *Exchange {
	var near, cross, late []*state
	for _, name := range slices.Sorted(maps.Keys(f.members)) {
		m := f.members[name]
		switch {
		case m.Away:
		case m.failures > 0:
			if now.Mono >= m.retryAt {
				late = append(late, m)
			}
		case m.Region == f.self.Region:
			near = append(near, m)
		default:
			cross = append(cross, m)
		}
	}
	f.retried = len(late) > 0 && !f.retried
	if f.retried {
		return f.anyOf(late)
	}
	if len(near)+len(cross) == 0 || f.rng.IntN(farShare) == 0 {
		if x := f.pickFar(); x != nil {
			return x
		}
	}
	if len(near) == 0 || len(cross) > 0 && f.rng.IntN(crossShare) == 0 {
		return f.anyOf(cross)
	}
	return f.anyOf(near)
}

func (f *Fleet) anyOf(list []*state) *Exchange {
	if len(list) == 0 {
		return nil
	}
	m := list[f.rng.IntN(len(list))]
	return &Exchange{Host: m.Host, Address: m.Address}
}

// pickFar chooses an address at which hosts may be that this one does not count, nil for
// none: a seed, or half of the time a member that is away.
func (f *Fleet) pickFar() *Exchange {
	var away []string
	for _, name := range slices.Sorted(maps.Keys(f.members)) {
		if m := f.members[name]; m.Away {
			away = append(away, m.Address)
		}
	}
	from := f.seeds
	if len(from) == 0 || len(away) > 0 && f.rng.IntN(2) == 0 {
		from = away
	}
	if len(from) == 0 {
		return nil
	}
	return &Exchange{Address: from[f.rng.IntN(len(from))]}
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
	m := f.members[ev.Host]
	switch {
	case m == nil || m.Away:
	case ev.OK:
		f.answered(m, fx)
	default:
		f.failed(now, m, fx)
	}
}

func (f *Fleet) answered(m *state, fx *Effects) {
	if m.failures == 0 {
		return
	}
	m.failures = 0
	f.changed = true
	fx.Records = append(fx.Records, decision.New("host_regained", decision.String("peer", m.Host)))
}

func (f *Fleet) failed(now clock.Instant, m *state, fx *Effects) {
	m.failures++
	f.changed = true
	if m.failures >= lostAfter {
		f.setAway(now, m, "it does not answer", fx)
		return
	}
	m.retryAt = now.Mono + retryAfter<<(m.failures-1)
	fx.Records = append(fx.Records, decision.Warning("host_lost",
		decision.String("peer", m.Host), decision.Int("failures", m.failures), decision.Millis("asked_again_in", m.retryAt-now.Mono)))
}

func (f *Fleet) setAway(now clock.Instant, m *state, reason string, fx *Effects) {
	m.Away, m.awayAt, m.failures = true, now.Mono, 0
	f.changed = true
	f.fruitless = 0
	fx.Records = append(fx.Records, decision.New("host_away",
		decision.String("peer", m.Host), decision.Uint("started", m.Started), decision.String("reason", reason)))
}

func (f *Fleet) heard(now clock.Instant, ev *Heard, fx *Effects) {
	f.learn(now, ev.From, "it says so", fx)
	for _, m := range ev.Members {
		f.learn(now, m, ev.From.Host+" says so", fx)
	}
	if m := f.members[ev.From.Host]; m != nil && !m.Away && m.Started == ev.From.Started {
		f.answered(m, fx)
	}
}

// learn takes a description that is new or of a later start. source says who gave it.
func (f *Fleet) learn(now clock.Instant, m Member, source string, fx *Effects) {
	if m.Host == "" {
		return
	}
	if m.Host == f.self.Host {
		f.deny(now, m, fx)
		return
	}
	known := f.members[m.Host]
	switch {
	case known == nil && m.Away, known != nil && known.Started > m.Started:
	case known != nil && known.Started == m.Started:
		if m.Away && !known.Away {
			f.setAway(now, known, source, fx)
		}
	default:
		f.members[m.Host] = &state{Member: m}
		f.changed = true
		f.fruitless = 0
		if m.Away {
			f.setAway(now, f.members[m.Host], source, fx)
			return
		}
		fx.Records = append(fx.Records, decision.New("host_found",
			decision.String("peer", m.Host), decision.String("peer_zone", m.Zone), decision.String("address", m.Address),
			decision.Int("capacity", m.Capacity), decision.Int("known", len(f.members)+1)))
	}
}

// deny answers a peer that takes this host for away, or knows it from an earlier process
// whose clock was ahead, with a later description.
func (f *Fleet) deny(now clock.Instant, m Member, fx *Effects) {
	away := m.Away && !f.self.Away
	if m.Started < f.self.Started || m.Started == f.self.Started && !away {
		return
	}
	f.self.Started = max(m.Started+1, uint64(now.Wall))
	f.changed = true
	f.fruitless = 0
	fx.Records = append(fx.Records, decision.Warning("host_denies", decision.Uint("told", m.Started), decision.Uint("started", f.self.Started)))
}
