package faultmatrix

import "pollentack.example/pollentack/internal/core/release"

// fakePlatform serves the published notes: none while it is down, and only the first while
// it is stale.
type fakePlatform struct {
	notes []*release.Note
	down  bool
	stale bool
}

func (p *fakePlatform) read(above uint64) []*release.Note {
	if p.down {
		return nil
	}
	if p.stale {
		return p.notes[:1]
	}
	var unread []*release.Note
	for _, n := range p.notes {
		if n.Number > above {
			unread = append(unread, n)
		}
	}
	return unread
}
