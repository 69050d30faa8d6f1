package membership

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
)

const (
	// fetchTimeout is the time after which a fetch counts as failed.
	fetchTimeout = 2 * time.Second
	// fetchCooldown is the delay after a fetch, in which the fetched notes come into force.
	fetchCooldown = 100 * time.Millisecond
)

// fetchState tracks fetches of notes, of which at most one is in progress.
type fetchState struct {
	source   string
	after    uint64
	deadline time.Duration
	// failedPeer is the peer whose last fetch timed out or returned no new note.
	failedPeer string
	nextAt     time.Duration
}

func (f *fetchState) finish(now time.Duration, ev *FetchEnded) {
	if f.source != ev.Peer {
		return
	}
	f.source, f.failedPeer = "", ""
	f.nextAt = now + fetchCooldown
	if ev.HighestNumber <= f.after {
		f.failedPeer = ev.Peer
	}
}

func (f *fetchState) cancel(peer string) {
	if f.source == peer {
		f.source = ""
	}
}

// startDueFetch requests the notes that this host lacks from the peer that
// selectFetchSource returns, unless a fetch is in progress or cooling down.
func (m *Membership) startDueFetch(now clock.Instant, fx *Effects) {
	f := &m.fetch
	if f.source != "" && now.Mono >= f.deadline {
		f.failedPeer, f.source = f.source, ""
	}
	if f.source != "" || now.Mono < f.nextAt {
		return
	}
	best := m.selectFetchSource()
	if best == nil {
		return
	}
	f.source, f.after, f.deadline = best.name, m.Note(), now.Mono+fetchTimeout
	fx.Fetch = &FetchNotes{Peer: best.name, After: f.after}
}

// selectFetchSource returns the peer with the highest note number, or nil if none is above
// this host's. The peer whose last fetch failed is used only if there is no other.
func (m *Membership) selectFetchSource() *peer {
	var best *peer
	for _, name := range m.rotatedPeerNames() {
		p := m.peers[name]
		if p.note <= m.Note() {
			continue
		}
		if best == nil || best.name == m.fetch.failedPeer || (p.note > best.note && name != m.fetch.failedPeer) {
			best = p
		}
	}
	return best
}
