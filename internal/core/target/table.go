// Package target holds what one host knows of each target and picks replicas.
//
// First-hand outcomes outrank what health endpoints and peers report. A Table is
// owned by one duty and has no lock.
package target

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/release"
)

// ID indexes a target in its Table. It is stable while the target stays in force.
type ID int32

// None is the ID of no target.
const None ID = -1

// Entry is what the host knows of one target.
type Entry struct {
	Standing
	Spec *release.Target
	Warmth
	Limiter  Limiter
	InFlight int
	// Quota is this host's share of the target's connections.
	Quota int
	// Latency is the moving average of the target's own reply times.
	Latency time.Duration
	// Leaving is set by the first of the note, the host list, a peer or the target itself.
	Leaving bool
	// SaidLeaving is set by the target's own word or a peer's, which the note outlives.
	SaidLeaving bool
	ZoneOut     bool

	// claimed is the highest incarnation that only the health endpoint spoke of.
	claimed uint64
	// healthLies is set once a reply contradicted the health endpoint.
	healthLies bool
	// changed tells that peers have not heard the newest of this entry.
	changed bool
}

// Usable reports whether the target may take new work.
func (e *Entry) Usable() bool { return !e.Leaving && !e.ZoneOut }

// Spare is the part of the connection quota that requests never use.
func (e *Entry) Spare() int { return e.Quota - e.Limiter.ceiling }

// Options are what a host's settings say to its table.
type Options struct {
	// Host is this host's name in the published list.
	Host string
	// StaticLimit keeps every limit at the target's slots.
	StaticLimit bool
	// NoWarmUp treats cold targets as warm.
	NoWarmUp bool
	// RoundRobin takes replicas in turn in place of the better of two.
	RoundRobin bool
}

// Table holds the entries of all targets in force.
type Table struct {
	options Options
	entries []Entry
	byName  map[string]ID
	rng     *rand.Rand
	now     clock.Instant
	roster  roster
	// cold holds the targets that are cold, and some that have become warm.
	cold map[ID]bool
	// news lists the targets of which peers have not heard the newest.
	news    []ID
	applied bool
	next    int
}

// NewTable returns an empty table that draws its choices from rng.
func NewTable(rng *rand.Rand) *Table {
	return &Table{byName: map[string]ID{}, rng: rng, cold: map[ID]bool{}}
}

// Configure takes the options; it is called before the first Apply.
func (t *Table) Configure(o Options) {
	t.options = o
	t.roster.self = o.Host
}

// Tick tells the table the instant of the step. All later calls are at that instant.
func (t *Table) Tick(now clock.Instant) { t.now = now }

// Apply brings the table in line with the state: entries of targets that stay keep
// what is known of them.
func (t *Table) Apply(s *release.State) {
	t.roster.update(t.now, hostNames(s))
	for name, id := range t.byName {
		if _, ok := s.Targets[name]; !ok {
			delete(t.byName, name)
			delete(t.cold, id)
			t.entries[id].Leaving = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Targets)) {
		_, known := t.byName[name]
		id := t.intern(name)
		t.applySpec(id, s.Targets[name], s.ZoneOut(s.Targets[name].Zone))
		if !known && t.applied {
			t.chill(id)
		}
	}
	t.applied = true
}

func hostNames(s *release.State) []string {
	names := make([]string, len(s.Hosts))
	for i := range s.Hosts {
		names[i] = s.Hosts[i].Name
	}
	return names
}

// applySpec takes the published form of a target. One that comes back, alone or with
// its availability zone, is cold.
func (t *Table) applySpec(id ID, spec *release.Target, zoneOut bool) {
	e := t.Entry(id)
	returns := e.ZoneOut && !zoneOut || e.Spec != nil && e.Spec.Leaving && !spec.Leaving
	if returns && !spec.Leaving {
		e.Leaving = false
		t.chill(id)
	}
	e.Spec = spec
	e.Leaving = e.Leaving || spec.Leaving
	e.ZoneOut = zoneOut
	e.Quota = Quota(spec.Connections, t.roster.size())
	ceiling := min(spec.Slots, searchQuota(e.Quota))
	e.Limiter.Configure(FairShare(spec.Slots, t.roster.size()), ceiling, !t.options.StaticLimit)
}

// intern returns the name's ID, and a new one where it has none. IDs are never reused:
// a request in progress may still refer to a withdrawn target.
func (t *Table) intern(name string) ID {
	if id, ok := t.byName[name]; ok {
		return id
	}
	id := ID(len(t.entries))
	t.entries = append(t.entries, Entry{})
	t.byName[name] = id
	return id
}

// Lookup returns the ID of a target by its name, or None.
func (t *Table) Lookup(name string) ID {
	if id, ok := t.byName[name]; ok {
		return id
	}
	return None
}

// Entry returns the entry of id; it is valid until the next Apply.
func (t *Table) Entry(id ID) *Entry { return &t.entries[id] }

// Hosts returns the number of published hosts, at least 1.
func (t *Table) Hosts() int { return t.roster.size() }

// Len returns the number of entries, withdrawn ones included.
func (t *Table) Len() int { return len(t.entries) }

// Pick returns the better of two random usable replicas with room, other than avoid.
// It returns None where no replica has room; usable tells whether any may take work
// at all.
func (t *Table) Pick(replicas []ID, avoid ID) (id ID, usable bool) {
	best := None
	if len(replicas) == 0 {
		return None, false
	}
	start := t.startOfPick(len(replicas))
	seen := 0
	for i := range replicas {
		r := replicas[(start+i)%len(replicas)]
		e := &t.entries[r]
		if r == avoid || !e.Usable() {
			continue
		}
		usable = true
		if !t.hasRoom(r) {
			continue
		}
		if best == None || t.less(e, &t.entries[best]) {
			best = r
		}
		seen++
		if seen == t.choices() {
			break
		}
	}
	return best, usable
}

func (t *Table) startOfPick(n int) int {
	if t.options.RoundRobin {
		t.next++
		return t.next % n
	}
	return t.rng.IntN(n)
}

func (t *Table) choices() int {
	if t.options.RoundRobin {
		return 1
	}
	return 2
}

// less reports whether a promises a sooner reply than b. A cold target with room goes
// first: only work warms it, and its budget bounds what that costs.
func (t *Table) less(a, b *Entry) bool {
	if a.Cold != b.Cold {
		return a.Cold
	}
	costA := time.Duration(a.InFlight+1) * (a.Latency + time.Microsecond)
	costB := time.Duration(b.InFlight+1) * (b.Latency + time.Microsecond)
	return costA < costB
}

// hasRoom reports whether one more request may go to the target now.
func (t *Table) hasRoom(id ID) bool {
	e := &t.entries[id]
	if e.Cold {
		t.settle(id)
	}
	switch {
	case e.Cold:
		return e.InFlight < min(t.coldBudget(e), searchQuota(e.Quota))
	case !e.Heard() && !t.options.NoWarmUp:
		// It may be cold: until the first reply it gets this host's share of the budget.
		return e.InFlight < FairShare(e.Spec.ColdBudget, t.roster.size())
	}
	return e.InFlight < e.Limiter.Limit()
}

// latencyWeight is the share of a new sample in the moving average, as 1/n.
const latencyWeight = 8

// Sent counts one request in progress at id.
func (t *Table) Sent(id ID) {
	e := &t.entries[id]
	e.InFlight++
	if e.Cold && e.Hold(t.now, TurnAt(t.now.Wall)) {
		t.tell(id)
	}
}

// Done counts the end of one request at id that took elapsed.
func (t *Table) Done(id ID, elapsed time.Duration, answered bool) {
	e := &t.entries[id]
	inFlight := e.InFlight
	e.InFlight--
	if !answered {
		return
	}
	if e.Latency == 0 {
		e.Latency = elapsed
	}
	e.Latency += (elapsed - e.Latency) / latencyWeight
	e.Limiter.Answered(t.now.Mono, elapsed, inFlight)
}
