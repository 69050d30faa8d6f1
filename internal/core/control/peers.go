package control

import (
	"maps"
	"slices"

	"pollentack.example/pollentack/internal/core/release"
)

// maxRecentNotes is the maximum number of applied notes kept for peers.
const maxRecentNotes = 256

// PeerSnapshot holds the state and notes that peers may fetch. It is immutable.
type PeerSnapshot struct {
	State *release.State
	// Recent holds the notes applied since the last baseline, oldest first.
	Recent []*release.Note
}

// PeerSnapshot returns the state in force and the recent notes that led to it, or nil before
// the first baseline.
func (c *Control) PeerSnapshot() *PeerSnapshot {
	if c.state == nil {
		return nil
	}
	return &PeerSnapshot{State: c.state, Recent: c.recentNotes}
}

// keepRecent keeps an applied note. It clips the slice, so that the append copies it and
// slices returned before do not change.
func (c *Control) keepRecent(n *release.Note) {
	if n.Baseline {
		c.recentNotes = nil
		return
	}
	if len(c.recentNotes) == maxRecentNotes {
		c.recentNotes = c.recentNotes[1:]
	}
	c.recentNotes = append(slices.Clip(c.recentNotes), n)
}

// Since returns the notes that follow note number after. It returns false if they are no
// longer kept, in which case the whole state must be fetched.
func (s *PeerSnapshot) Since(after uint64) ([]*release.Note, bool) {
	index := slices.IndexFunc(s.Recent, func(n *release.Note) bool { return n.Follows == after })
	if index < 0 {
		return nil, false
	}
	return s.Recent[index:], true
}

// BaselineOf returns a baseline note that results in s. Each item comes after the items to
// which it refers.
func BaselineOf(s *release.State) *release.Note {
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
	stripped := *svc
	stripped.Snapshots = nil
	return &stripped
}
