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
	// Incarnation is the last one that the target itself reported, 0 before the first.
	Incarnation uint64
	InFlight    int
	Limit       int
	// Latency is the moving average of the target's own reply times.
	Latency time.Duration
	// Leaving is set by the first of the note, the host list, a peer or the target itself.
	Leaving bool
	ZoneOut bool
	// LiveKnown is set once a first-hand reply has arrived.
	LiveKnown bool
}

// Usable reports whether the target may take new work.
func (e *Entry) Usable() bool { return !e.Leaving && !e.ZoneOut }

// HasRoom reports whether one more request fits under the target's limit.
func (e *Entry) HasRoom() bool { return e.InFlight < e.Limit }

// Table holds the entries of all targets in force.
type Table struct {
	entries []Entry
	byName  map[string]ID
	rng     *rand.Rand
}

// NewTable returns an empty table that draws its choices from rng.
func NewTable(rng *rand.Rand) *Table {
	return &Table{byName: map[string]ID{}, rng: rng}
}

// Apply brings the table in line with the state: entries of targets that stay keep
// what is known of them.
func (t *Table) Apply(s *release.State) {
	for name, id := range t.byName {
		if _, ok := s.Targets[name]; !ok {
			delete(t.byName, name)
			t.entries[id].Leaving = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Targets)) {
		spec := s.Targets[name]
		e := t.Entry(t.intern(name))
		e.Spec = spec
		e.Limit = spec.Slots
		e.Leaving = e.Leaving || spec.Leaving
		e.ZoneOut = s.ZoneOut(spec.Zone)
	}
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
	start := t.rng.IntN(len(replicas))
	seen := 0
	for i := range replicas {
		r := replicas[(start+i)%len(replicas)]
		e := &t.entries[r]
		if r == avoid || !e.Usable() {
			continue
		}
		usable = true
		if !e.HasRoom() {
			continue
		}
		if best == None || t.less(e, &t.entries[best]) {
			best = r
		}
		seen++
		if seen == 2 {
			break
		}
	}
	return best, usable
}

// less reports whether a promises a sooner reply than b.
func (t *Table) less(a, b *Entry) bool {
	costA := time.Duration(a.InFlight+1) * (a.Latency + time.Microsecond)
	costB := time.Duration(b.InFlight+1) * (b.Latency + time.Microsecond)
	return costA < costB
}

// Sent counts one request in progress at id.
func (t *Table) Sent(id ID) { t.entries[id].InFlight++ }

// latencyWeight is the share of a new sample in the moving average, as 1/n.
const latencyWeight = 8

// Done counts the end of one request at id that took elapsed.
func (t *Table) Done(id ID, elapsed time.Duration, answered bool) {
	e := &t.entries[id]
	e.InFlight--
	if !answered {
		return
	}
	e.LiveKnown = true
	e.Latency += (elapsed - e.Latency) / latencyWeight
}
