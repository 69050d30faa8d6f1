package release

import (
	"fmt"
	"maps"
	"slices"
)

// label names an item the way that faults do.
func (item *Item) label() string {
	switch {
	case item.Zone != nil:
		return "availability-zone " + item.Zone.Name
	case item.Host != nil:
		return "host " + item.Host.Name
	case item.Service != nil:
		return "service " + item.Service.Name
	case item.Caller != nil:
		return "caller " + item.Caller.Name
	case item.Target != nil:
		return "target " + item.Target.Name
	case item.Snapshot != nil:
		return item.Snapshot.label()
	}
	return "item"
}

func (s *Snapshot) label() string {
	return fmt.Sprintf("snapshot %s %d/%s", s.Service, s.Version, s.Layout)
}

func linesOf(note *Note) map[string]int {
	lines := make(map[string]int, len(note.Items))
	for i := range note.Items {
		lines[note.Items[i].label()] = note.Items[i].Line
	}
	return lines
}

// reference is a key of one item that names another.
type reference struct {
	item string
	key  string
	kind string
	name string
}

// missing adds the fault of a reference to what is not there. Its line is that of the
// item that refers, or of the one that was withdrawn from under it.
func (f *folder) missing(r reference) {
	line, ok := f.lines[r.item]
	if !ok {
		line = f.lines[r.kind+" "+r.name]
	}
	reason := fmt.Sprintf("names %s %q, which is not in force", r.kind, r.name)
	f.faults = append(f.faults, Fault{Line: line, Item: r.item, Key: r.key, Reason: reason})
}

// checkReferences refuses a state in which an item names another that is not there.
func (f *folder) checkReferences() {
	for _, name := range slices.Sorted(maps.Keys(f.next.Targets)) {
		f.checkTarget(f.next.Targets[name])
	}
	for _, name := range slices.Sorted(maps.Keys(f.next.Services)) {
		for _, snap := range f.next.Services[name].Snapshots {
			f.checkSnapshot(snap)
		}
	}
	for _, h := range f.next.Hosts {
		if _, ok := f.next.Zones[h.Zone]; !ok {
			f.missing(reference{"host " + h.Name, "availability-zone", "availability-zone", h.Zone})
		}
	}
	f.checkCallers()
}

func (f *folder) checkTarget(t *Target) {
	if _, ok := f.next.Services[t.Service]; !ok {
		f.missing(reference{"target " + t.Name, "service", "service", t.Service})
	}
	if _, ok := f.next.Zones[t.Zone]; !ok {
		f.missing(reference{"target " + t.Name, "availability-zone", "availability-zone", t.Zone})
	}
}

func (f *folder) checkSnapshot(snap *Snapshot) {
	for i, shard := range snap.Shards {
		key := fmt.Sprintf("replicas.%d", i)
		for _, name := range shard.Replicas {
			if _, ok := f.next.Targets[name]; !ok {
				f.missing(reference{snap.label(), key, "target", name})
			}
		}
	}
}

// checkCallers also refuses two callers with one key, who could not be told apart.
func (f *folder) checkCallers() {
	owner := make(map[[32]byte]string, len(f.next.Callers))
	for _, name := range slices.Sorted(maps.Keys(f.next.Callers)) {
		c := f.next.Callers[name]
		for _, service := range slices.Sorted(maps.Keys(c.Services)) {
			if _, ok := f.next.Services[service]; !ok {
				f.missing(reference{"caller " + name, "services", "service", service})
			}
		}
		if first, taken := owner[c.KeyHash]; taken {
			line := max(f.lines["caller "+name], f.lines["caller "+first])
			f.faults = append(f.faults, Fault{Line: line, Item: "caller " + name, Key: "key-sha256", Reason: fmt.Sprintf("is the key of caller %q", first)})
		}
		owner[c.KeyHash] = name
	}
}
