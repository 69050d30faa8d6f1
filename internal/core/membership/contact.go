package membership

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/engine"
)

const (
	// isolationLimit is the time without a word after which a host is isolated.
	isolationLimit = 5 * time.Second
	// platformAskAfter is the time without a word after which the platform is asked.
	platformAskAfter = isolationLimit / 2
	// answerLimit is the time that peers have for a wanted word before the platform is asked.
	answerLimit = 250 * time.Millisecond
	// platformAskPause is the least time between such calls.
	platformAskPause = time.Second
	// tick is the longest time between steps.
	tick = 250 * time.Millisecond
	// maxGap is the time between steps above which the host woke late.
	maxGap = 500 * time.Millisecond
	// wakeGrace is the time after a late wake in which isolation is not declared anew.
	wakeGrace = time.Second
)

// words keeps when the platform or a peer was last known to be reached.
//
// A heartbeat may have waited in a buffer while this host was paused, so its arrival
// proves nothing. Its echo does: the peer was reached after the echoed sequence was sent.
type words struct {
	last     time.Duration
	stepped  time.Duration
	graceEnd time.Duration
	isolated bool

	// wanted is the instant after which a word is asked for, 0 for none.
	wanted        time.Duration
	platformAsked time.Duration

	sentAt [maxSequences]time.Duration
	newest uint64
}

func (w *words) sent(sequence uint64, at time.Duration) {
	w.newest = sequence
	w.sentAt[sequence%maxSequences] = at
}

func (w *words) echoed(sequence uint64) {
	if sequence == 0 || sequence > w.newest || w.newest-sequence >= maxSequences {
		return
	}
	w.last = max(w.last, w.sentAt[sequence%maxSequences])
}

func (w *words) platform(began time.Duration) { w.last = max(w.last, began) }

// wake notices that the host was paused.
func (m *Membership) wake(now clock.Instant) {
	if now.Mono-m.words.stepped > maxGap {
		m.words.graceEnd = now.Mono + wakeGrace
		m.askAll()
	}
	m.words.stepped = now.Mono
}

func (m *Membership) wordWanted(ev *WordWanted) {
	m.words.wanted = max(m.words.wanted, ev.Since, 1)
	m.askAll()
}

// askAll asks every peer for an answer at once.
func (m *Membership) askAll() {
	for _, p := range m.peers {
		p.prompt = true
		p.ask = true
	}
}

// judgeContact answers a wanted word and decides whether this host is isolated.
func (m *Membership) judgeContact(now clock.Instant, fx *Effects) {
	w := &m.words
	if w.wanted > 0 && w.last >= w.wanted {
		fx.Word = &Word{Since: w.wanted}
		w.wanted = 0
	}
	silence := now.Mono - w.last
	unanswered := w.wanted > 0 && (len(m.peers) == 0 || now.Mono-w.wanted > answerLimit)
	urgent := silence > platformAskAfter || unanswered
	if urgent && now.Mono-w.platformAsked >= platformAskPause {
		w.platformAsked = now.Mono
		fx.AskPlatform = true
	}
	isolated := silence > isolationLimit
	if isolated == w.isolated || (isolated && now.Mono < w.graceEnd) {
		return
	}
	w.isolated = isolated
	fx.Isolation = &engine.Isolation{Isolated: isolated}
}
