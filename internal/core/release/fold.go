package release

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Fold returns the state that note makes of s, or every reason to refuse the note.
// s is not changed and may be nil before the first baseline.
func Fold(s *State, note *Note) (*State, []Fault) {
	f := folder{next: emptyState()}
	if !note.Baseline {
		if s == nil || s.Number != note.Follows {
			return nil, []Fault{{Item: "note", Key: "follows", Reason: fmt.Sprintf("names %d, which is not in force", note.Follows)}}
		}
		f.next = s.clone()
	}
	if s != nil && note.Number <= s.Number {
		return nil, []Fault{{Item: "note", Reason: fmt.Sprintf("number %d is not above %d, which is in force", note.Number, s.Number)}}
	}
	f.next.Number = note.Number
	f.lines = linesOf(note)
	for i := range note.Items {
		f.apply(&note.Items[i])
	}
	f.checkReferences()
	if len(f.faults) > 0 {
		return nil, f.faults
	}
	f.next.indexCallers()
	return f.next, nil
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

// folder builds the next state and collects the faults of the note.
type folder struct {
	next   *State
	faults []Fault
	// lines maps the label of each item of the note to its line.
	lines map[string]int
}

func (f *folder) fault(item *Item, name, format string, args ...any) {
	f.faults = append(f.faults, Fault{Line: item.Line, Item: name, Reason: fmt.Sprintf(format, args...)})
}

func (f *folder) apply(item *Item) {
	switch {
	case item.Zone != nil:
		put(f, item, "availability-zone", f.next.Zones, item.Zone.Name, item.Zone)
	case item.Service != nil:
		f.applyService(item)
	case item.Caller != nil:
		put(f, item, "caller", f.next.Callers, item.Caller.Name, item.Caller)
	case item.Target != nil:
		put(f, item, "target", f.next.Targets, item.Target.Name, item.Target)
	case item.Host != nil:
		f.applyHost(item)
	case item.Snapshot != nil:
		f.applySnapshot(item)
	}
}

// put carries out one operation on a map of named items.
func put[T any](f *folder, item *Item, kind string, m map[string]*T, name string, value *T) bool {
	label := kind + " " + name
	_, exists := m[name]
	if item.Op == Add && exists {
		f.fault(item, label, "is added but already in force")
		return false
	}
	if item.Op != Add && !exists {
		f.fault(item, label, "is not in force")
		return false
	}
	if item.Op == Withdraw {
		delete(m, name)
		return true
	}
	m[name] = value
	return true
}

// applyService keeps the snapshots of a service that changes: they are items of their own.
func (f *folder) applyService(item *Item) {
	old := f.next.Services[item.Service.Name]
	next := *item.Service
	if item.Op == Change && old != nil {
		next.Snapshots = old.Snapshots
	}
	put(f, item, "service", f.next.Services, next.Name, &next)
}

func (f *folder) applyHost(item *Item) {
	hosts := make(map[string]*Host, len(f.next.Hosts))
	for i := range f.next.Hosts {
		hosts[f.next.Hosts[i].Name] = &f.next.Hosts[i]
	}
	if !put(f, item, "host", hosts, item.Host.Name, item.Host) {
		return
	}
	f.next.Hosts = make([]Host, 0, len(hosts))
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		f.next.Hosts = append(f.next.Hosts, *hosts[name])
	}
}

func (f *folder) applySnapshot(item *Item) {
	snap := item.Snapshot
	label := snap.label()
	old, ok := f.next.Services[snap.Service]
	if !ok {
		f.fault(item, label, "names service %q, which is not in force", snap.Service)
		return
	}
	kept := slices.DeleteFunc(slices.Clone(old.Snapshots), func(s *Snapshot) bool { return s.Key() == snap.Key() })
	exists := len(kept) < len(old.Snapshots)
	if item.Op == Add && exists {
		f.fault(item, label, "is added but already in force")
		return
	}
	if item.Op != Add && !exists {
		f.fault(item, label, "is not in force")
		return
	}
	if item.Op != Withdraw {
		kept = append(kept, snap)
	}
	slices.SortFunc(kept, newestFirst)
	next := *old
	next.Snapshots = kept
	f.next.Services[snap.Service] = &next
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
