package membership

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
)

const (
	// fetchLimit is the time after which a fetch counts as failed.
	fetchLimit = 2 * time.Second
	// fetchPause is the wait after a fetch, in which what it brought comes into force.
	fetchPause = 100 * time.Millisecond
)

// fetches keeps at most one fetch of notes in progress.
type fetches struct {
	from  string
	after uint64
	until time.Duration
	// failed is the peer whose last fetch brought nothing.
	failed string
	next   time.Duration
}

func (f *fetches) ended(now time.Duration, ev *FetchEnded) {
	if f.from != ev.Peer {
		return
	}
	f.from, f.failed = "", ""
	f.next = now + fetchPause
	if ev.Number <= f.after {
		f.failed = ev.Peer
	}
}

func (f *fetches) abandon(peer string) {
	if f.from == peer {
		f.from = ""
	}
}

// fetchDue asks the peer with the highest note for what is missing here. A peer whose
// last fetch brought nothing comes last.
func (m *Membership) fetchDue(now clock.Instant, fx *Effects) {
	f := &m.fetch
	if f.from != "" && now.Mono >= f.until {
		f.failed, f.from = f.from, ""
	}
	if f.from != "" || now.Mono < f.next {
		return
	}
	best := m.bestSource()
	if best == nil {
		return
	}
	f.from, f.after, f.until = best.name, m.Note(), now.Mono+fetchLimit
	fx.Fetch = &Fetch{Peer: best.name, After: f.after}
}

func (m *Membership) bestSource() *peer {
	var best *peer
	for _, name := range m.order() {
		p := m.peers[name]
		if p.note <= m.Note() {
			continue
		}
		if best == nil || best.name == m.fetch.failed || (p.note > best.note && name != m.fetch.failed) {
			best = p
		}
	}
	return best
}
