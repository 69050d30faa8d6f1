// Package target holds one host's state of each target and picks replicas for requests.
//
// The outcomes of the host's own requests take precedence over reports from health
// endpoints and peers. A Table is owned by one goroutine and has no lock.
//
// A target is cold after a restart, and serves few requests at once until requests have
// warmed it up. The hosts therefore use a cold target one at a time, each in its Turn. The
// budget of the holder doubles with each window without a failure; see WarmUp.
package target

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/release"
)

// ID is the index of a target in its Table. It is stable while the target is published.
type ID int32

// None is the ID that stands for no target.
const None ID = -1

// Entry is the host's state of one target.
type Entry struct {
	OutlierState
	Spec *release.Target
	WarmUp
	Limiter Limiter
	// InFlight is the number of this host's requests in progress at the target.
	InFlight int
	// Quota is this host's share of the target's connections.
	Quota int
	// Latency is the moving average of the target's reply times, 0 if unknown.
	Latency time.Duration
	// Leaving is set if the target was withdrawn, or reported as leaving by the release
	// note, the platform's host list, a peer or the target itself.
	Leaving bool
	// ReportedLeaving is set if the target or a peer reported that it is leaving. Unlike the
	// release note, such a report holds only for the current incarnation.
	ReportedLeaving bool
	// ZoneOut is set while the target's availability zone is out of service.
	ZoneOut bool

	// healthIncarnation is the highest new incarnation that the health endpoint reported.
	healthIncarnation uint64
	// healthContradicted is set once a reply came from an older incarnation than the health
	// endpoint had reported.
	healthContradicted bool
	// unreported is set while the entry is in Table.unreported.
	unreported bool
}

// Usable reports whether the target may take new work.
func (e *Entry) Usable() bool { return !e.Leaving && !e.ZoneOut }

// ReservedConnections returns the part of the connection quota that requests never use. It
// is for calls such as cancellations and health polls.
func (e *Entry) ReservedConnections() int { return e.Quota - e.Limiter.ceiling }

// Options are the settings of a Table.
type Options struct {
	// Host is this host's name in the published list.
	Host string
	// StaticLimit keeps every concurrency limit at its upper bound, the target's slots
	// within the connection quota.
	StaticLimit bool
	// NoWarmUp treats cold targets as warm.
	NoWarmUp bool
	// RoundRobin picks replicas in rotation instead of the better of two random ones.
	RoundRobin bool
}

// Table holds the entries of all published targets, and of withdrawn ones.
type Table struct {
	options Options
	entries []Entry
	byName  map[string]ID
	rng     *rand.Rand
	now     clock.Instant
	roster  roster
	// cold holds the cold targets. A target whose ramp is complete stays in it until
	// endRampIfWarm runs.
	cold map[ID]bool
	// unreported lists the targets with changes that ReportChanges has not reported yet.
	unreported []ID
	// applied is set by the first Apply. Targets that are added later start cold.
	applied bool
	// nextOffset is the counter of the round-robin rotation.
	nextOffset int
}

// NewTable returns an empty Table, which uses rng for its random choices.
func NewTable(rng *rand.Rand) *Table {
	return &Table{byName: map[string]ID{}, rng: rng, cold: map[ID]bool{}}
}

// Configure sets the options. It must be called before the first Apply.
func (t *Table) Configure(o Options) {
	t.options = o
	t.roster.self = o.Host
}

// SetNow sets the current instant, which applies to all calls until the next SetNow.
func (t *Table) SetNow(now clock.Instant) { t.now = now }

// Apply updates the table to the published state. Entries of targets that remain keep
// what was learned.
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
		t.applySpec(id, s.Targets[name], s.ZoneOutOfService(s.Targets[name].Zone))
		if !known && t.applied {
			t.markCold(id)
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

// applySpec updates an entry to its published target. A target that returns after it was
// published as leaving, or whose availability zone returns, is cold.
func (t *Table) applySpec(id ID, spec *release.Target, zoneOut bool) {
	e := t.Entry(id)
	stays := e.Spec != nil && e.Spec.Leaving && !spec.Leaving
	if stays {
		e.Leaving = e.ReportedLeaving
	}
	if stays || e.ZoneOut && !zoneOut && !spec.Leaving {
		t.markCold(id)
	}
	e.Spec = spec
	e.Leaving = e.Leaving || spec.Leaving
	e.ZoneOut = zoneOut
	e.Quota = Quota(spec.MaxConnections, t.roster.hostCount())
	ceiling := min(spec.Slots, requestQuota(e.Quota))
	e.Limiter.Configure(FairShare(spec.Slots, t.roster.hostCount()), ceiling, !t.options.StaticLimit)
}

// intern returns the ID of the name and assigns one if needed. IDs are never reused,
// because a request in progress may still refer to a withdrawn target.
func (t *Table) intern(name string) ID {
	if id, ok := t.byName[name]; ok {
		return id
	}
	id := ID(len(t.entries))
	t.entries = append(t.entries, Entry{})
	t.byName[name] = id
	return id
}

// Lookup returns the ID of the published target with this name, or None.
func (t *Table) Lookup(name string) ID {
	if id, ok := t.byName[name]; ok {
		return id
	}
	return None
}

// Entry returns the entry of id. The pointer is valid until the next Apply.
func (t *Table) Entry(id ID) *Entry { return &t.entries[id] }

// Hosts returns the number of published hosts, at least 1.
func (t *Table) Hosts() int { return t.roster.hostCount() }

// Len returns the number of entries, including withdrawn targets.
func (t *Table) Len() int { return len(t.entries) }

// Pick returns the better of two usable replicas with room other than avoid, the first two
// from a random start, or the next one in rotation with Options.RoundRobin. It returns None
// if no replica has room. usable reports whether any replica may take work at all.
func (t *Table) Pick(replicas []ID, avoid ID) (id ID, usable bool) {
	best := None
	if len(replicas) == 0 {
		return None, false
	}
	start := t.pickOffset(len(replicas))
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
		if best == None || t.preferred(e, &t.entries[best]) {
			best = r
		}
		seen++
		if seen == t.sampleSize() {
			break
		}
	}
	return best, usable
}

// pickOffset returns the index at which Pick starts among n replicas.
func (t *Table) pickOffset(n int) int {
	if t.options.RoundRobin {
		t.nextOffset++
		return t.nextOffset % n
	}
	return t.rng.IntN(n)
}

// sampleSize returns the number of replicas that Pick compares.
func (t *Table) sampleSize() int {
	if t.options.RoundRobin {
		return 1
	}
	return 2
}

// preferred reports whether a is expected to reply sooner than b. A cold target with room
// is preferred to a warm one: only requests warm it up, and its budget bounds how many of
// them are slow.
func (t *Table) preferred(a, b *Entry) bool {
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
		t.endRampIfWarm(id)
	}
	switch {
	case e.Cold:
		return e.InFlight < min(t.coldBudget(e), requestQuota(e.Quota))
	case !e.Contacted() && !t.options.NoWarmUp:
		// The target may be cold: until the first reply, its limit is this host's share of
		// the cold budget.
		return e.InFlight < FairShare(e.Spec.MaxColdRequests, t.roster.hostCount())
	}
	return e.InFlight < e.Limiter.Limit()
}

// latencyWeight is the inverse weight of a new sample in the moving average of the latency.
const latencyWeight = 8

// Sent counts a new request in progress at id.
func (t *Table) Sent(id ID) {
	e := &t.entries[id]
	e.InFlight++
	if e.Cold && e.RecordSend(t.now, TurnAt(t.now.Wall)) {
		t.markUnreported(id)
	}
}

// Done counts the end of a request at id. If it was answered, elapsed enters the latency
// and the limit.
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
