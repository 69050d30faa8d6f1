package faultmatrix

import "pollentack.example/pollentack/internal/core/release"

// fakePlatform publishes notes; it can be down, or stale below a number.
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
	var news []*release.Note
	for _, n := range p.notes {
		if n.Number > above {
			news = append(news, n)
		}
	}
	return news
}
