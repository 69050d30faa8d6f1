package release

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Apply applies note to s, which a baseline replaces, and returns the resulting state or the
// faults for which the note is refused. It does not change s, which may be nil before the
// first baseline.
func Apply(s *State, note *Note) (*State, []Fault) {
	b := stateBuilder{next: emptyState()}
	if !note.Baseline {
		if s == nil || s.Number != note.Follows {
			return nil, []Fault{{Item: "note", Key: "follows", Reason: fmt.Sprintf("names %d, which is not in force", note.Follows)}}
		}
		b.next = s.clone()
	}
	if s != nil && note.Number <= s.Number {
		return nil, []Fault{{Item: "note", Reason: fmt.Sprintf("number %d is not above %d, which is in force", note.Number, s.Number)}}
	}
	b.next.Number = note.Number
	b.lines = itemLines(note)
	for i := range note.Items {
		b.apply(&note.Items[i])
	}
	b.checkReferences()
	if len(b.faults) > 0 {
		return nil, b.faults
	}
	b.next.indexCallers()
	return b.next, nil
}

func emptyState() *State {
	return &State{
		Services: map[string]*Service{},
		Callers:  map[string]*Caller{},
		Targets:  map[string]*Target{},
		Zones:    map[string]*Zone{},
	}
}

func (s *State) clone() *State {
	return &State{
		Number:   s.Number,
		Services: maps.Clone(s.Services),
		Callers:  maps.Clone(s.Callers),
		Targets:  maps.Clone(s.Targets),
		Zones:    maps.Clone(s.Zones),
		Hosts:    slices.Clone(s.Hosts),
	}
}

// stateBuilder builds the state that results from a note and collects the note's faults.
type stateBuilder struct {
	next   *State
	faults []Fault
	// lines maps the label of each item of the note to its line.
	lines map[string]int
}

func (b *stateBuilder) addFault(item *Item, label, format string, args ...any) {
	b.faults = append(b.faults, Fault{Line: item.Line, Item: label, Reason: fmt.Sprintf(format, args...)})
}

func (b *stateBuilder) apply(item *Item) {
	switch {
	case item.Zone != nil:
		applyItem(b, item, "availability-zone", b.next.Zones, item.Zone.Name, item.Zone)
	case item.Service != nil:
		b.applyService(item)
	case item.Caller != nil:
		applyItem(b, item, "caller", b.next.Callers, item.Caller.Name, item.Caller)
	case item.Target != nil:
		applyItem(b, item, "target", b.next.Targets, item.Target.Name, item.Target)
	case item.Host != nil:
		b.applyHost(item)
	case item.Snapshot != nil:
		b.applySnapshot(item)
	}
}

// applyItem applies one operation to a map of named items and reports whether it succeeded.
func applyItem[T any](b *stateBuilder, item *Item, kind string, m map[string]*T, name string, value *T) bool {
	label := kind + " " + name
	_, exists := m[name]
	if item.Op == Add && exists {
		b.addFault(item, label, "is added but already in force")
		return false
	}
	if item.Op != Add && !exists {
		b.addFault(item, label, "is not in force")
		return false
	}
	if item.Op == Withdraw {
		delete(m, name)
		return true
	}
	m[name] = value
	return true
}

// applyService applies an operation on a service. A changed service keeps its snapshots,
// because they are separate items.
func (b *stateBuilder) applyService(item *Item) {
	old := b.next.Services[item.Service.Name]
	next := *item.Service
	if item.Op == Change && old != nil {
		next.Snapshots = old.Snapshots
	}
	applyItem(b, item, "service", b.next.Services, next.Name, &next)
}

func (b *stateBuilder) applyHost(item *Item) {
	hosts := make(map[string]*Host, len(b.next.Hosts))
	for i := range b.next.Hosts {
		hosts[b.next.Hosts[i].Name] = &b.next.Hosts[i]
	}
	if !applyItem(b, item, "host", hosts, item.Host.Name, item.Host) {
		return
	}
	b.next.Hosts = make([]Host, 0, len(hosts))
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		b.next.Hosts = append(b.next.Hosts, *hosts[name])
	}
}

func (b *stateBuilder) applySnapshot(item *Item) {
	snap := item.Snapshot
	label := snap.label()
	old, ok := b.next.Services[snap.Service]
	if !ok {
		b.addFault(item, label, "names service %q, which is not in force", snap.Service)
		return
	}
	kept := slices.DeleteFunc(slices.Clone(old.Snapshots), func(s *Snapshot) bool { return s.Key() == snap.Key() })
	exists := len(kept) < len(old.Snapshots)
	if item.Op == Add && exists {
		b.addFault(item, label, "is added but already in force")
		return
	}
	if item.Op != Add && !exists {
		b.addFault(item, label, "is not in force")
		return
	}
	if item.Op != Withdraw {
		kept = append(kept, snap)
	}
	slices.SortFunc(kept, newestFirst)
	next := *old
	next.Snapshots = kept
	b.next.Services[snap.Service] = &next
}

func newestFirst(a, b *Snapshot) int {
	if a.Version != b.Version {
		if a.Version > b.Version {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Layout, b.Layout)
}
