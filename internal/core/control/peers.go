package control

import (
	"maps"
	"slices"

	"pollentack.example/pollentack/internal/core/release"
)

// maxRecent bounds the folded notes that are kept for peers.
const maxRecent = 256

// Shared is what peers may fetch. It is not changed once made.
type Shared struct {
	State *release.State
	// Recent are the notes folded since the last baseline, oldest first.
	Recent []*release.Note
}

// Shared returns what is in force and the notes that led to it, nil before the first.
func (c *Control) Shared() *Shared {
	if c.state == nil {
		return nil
	}
	return &Shared{State: c.state, Recent: c.recent}
}

// remember keeps a folded note. The slice is cut at its capacity, so that what was
// handed out before stays as it was.
func (c *Control) remember(n *release.Note) {
	if n.Baseline {
		c.recent = nil
		return
	}
	if len(c.recent) == maxRecent {
		c.recent = c.recent[1:]
	}
	c.recent = append(slices.Clip(c.recent), n)
}

// Since returns the notes that follow number after, or false where they are not kept and
// the whole state must be fetched.
func (s *Shared) Since(after uint64) ([]*release.Note, bool) {
	at := slices.IndexFunc(s.Recent, func(n *release.Note) bool { return n.Follows == after })
	if at < 0 {
		return nil, false
	}
	return s.Recent[at:], true
}

// Baseline returns a note that folds into s by itself. An item comes after those that it
// names.
func Baseline(s *release.State) *release.Note {
	n := &release.Note{Number: s.Number, Baseline: true}
	add := func(item release.Item) {
		item.Op = release.Add
		n.Items = append(n.Items, item)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Zones)) {
		add(release.Item{Zone: s.Zones[name]})
	}
	for i := range s.Hosts {
		add(release.Item{Host: &s.Hosts[i]})
	}
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		add(release.Item{Service: withoutSnapshots(s.Services[name])})
	}
	for _, name := range slices.Sorted(maps.Keys(s.Targets)) {
		add(release.Item{Target: s.Targets[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		for _, snap := range s.Services[name].Snapshots {
			add(release.Item{Snapshot: snap})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Callers)) {
		add(release.Item{Caller: s.Callers[name]})
	}
	return n
}

func withoutSnapshots(svc *release.Service) *release.Service {
	bare := *svc
	bare.Snapshots = nil
	return &bare
}
