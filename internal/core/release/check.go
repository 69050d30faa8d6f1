package release

import (
	"fmt"
	"maps"
	"slices"
)

// label returns the item's kind and name, as they appear in Fault.Item.
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

// itemLines maps the label of each item of a note to its line.
func itemLines(note *Note) map[string]int {
	lines := make(map[string]int, len(note.Items))
	for i := range note.Items {
		lines[note.Items[i].label()] = note.Items[i].Line
	}
	return lines
}

// reference is a reference from one item to another, by kind and name.
type reference struct {
	// referrer is the label of the item that holds the reference, and key its key there.
	referrer string
	key      string
	// kind and name identify the item referred to.
	kind string
	name string
}

// addMissingReference adds the fault of a reference to an item that does not exist. The
// fault has the line of the referring item if that item is in the note, otherwise the line
// that withdraws the item referred to.
func (b *stateBuilder) addMissingReference(ref reference) {
	line, ok := b.lines[ref.referrer]
	if !ok {
		line = b.lines[ref.kind+" "+ref.name]
	}
	reason := fmt.Sprintf("names %s %q, which is not in force", ref.kind, ref.name)
	b.faults = append(b.faults, Fault{Line: line, Item: ref.referrer, Key: ref.key, Reason: reason})
}

// checkReferences adds a fault for each reference to an item that does not exist.
func (b *stateBuilder) checkReferences() {
	for _, name := range slices.Sorted(maps.Keys(b.next.Targets)) {
		b.checkTarget(b.next.Targets[name])
	}
	for _, name := range slices.Sorted(maps.Keys(b.next.Services)) {
		for _, snap := range b.next.Services[name].Snapshots {
			b.checkSnapshot(snap)
		}
	}
	for _, h := range b.next.Hosts {
		if _, ok := b.next.Zones[h.Zone]; !ok {
			b.addMissingReference(reference{"host " + h.Name, "availability-zone", "availability-zone", h.Zone})
		}
	}
	b.checkCallers()
}

func (b *stateBuilder) checkTarget(t *Target) {
	if _, ok := b.next.Services[t.Service]; !ok {
		b.addMissingReference(reference{"target " + t.Name, "service", "service", t.Service})
	}
	if _, ok := b.next.Zones[t.Zone]; !ok {
		b.addMissingReference(reference{"target " + t.Name, "availability-zone", "availability-zone", t.Zone})
	}
}

func (b *stateBuilder) checkSnapshot(snap *Snapshot) {
	for i, shard := range snap.Shards {
		key := fmt.Sprintf("replicas.%d", i)
		for _, name := range shard.Replicas {
			if _, ok := b.next.Targets[name]; !ok {
				b.addMissingReference(reference{snap.label(), key, "target", name})
			}
		}
	}
}

// checkCallers checks the callers' references. It also adds a fault if two callers have the
// same key, because requests are assigned to callers by key alone.
func (b *stateBuilder) checkCallers() {
	owner := make(map[[32]byte]string, len(b.next.Callers))
	for _, name := range slices.Sorted(maps.Keys(b.next.Callers)) {
		c := b.next.Callers[name]
		for _, service := range slices.Sorted(maps.Keys(c.Services)) {
			if _, ok := b.next.Services[service]; !ok {
				b.addMissingReference(reference{"caller " + name, "services", "service", service})
			}
		}
		if other, taken := owner[c.KeyHash]; taken {
			line := max(b.lines["caller "+name], b.lines["caller "+other])
			b.faults = append(b.faults, Fault{Line: line, Item: "caller " + name, Key: "key-sha256", Reason: fmt.Sprintf("is the key of caller %q", other)})
		}
		owner[c.KeyHash] = name
	}
}
