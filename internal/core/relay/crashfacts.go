package relay

import (
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/quarantine"
)

// Hosts tell each other of the requests under which targets crash: all peers at once when there is
// news, and one peer now and then everything, so that a lost message does no harm.

const (
	// tellDelay collects the news of a crash, which takes several requests at once, into one
	// message.
	tellDelay = 10 * time.Millisecond
	// syncInterval is the interval at which what is known is told to one peer again, which may
	// have missed it or started since.
	syncInterval = time.Second
	// maxDirectPeers is the number of peers that are told of news at once. In a larger fleet
	// they pass it on.
	maxDirectPeers = 16
	// peersToAsk is the number of peers that a host which has started asks what they know.
	peersToAsk = 3
	// maxFactsPerMessage bounds the fingerprints in one message. In a message that repeats what is
	// known, half of them are those with the most evidence: the crash of a busy target leaves a
	// fingerprint for each request that it ran.
	maxFactsPerMessage = 64
	// maxFactsPerAnswer bounds the fingerprints that a peer which asks is told, in several messages.
	maxFactsPerAnswer = 4 * maxFactsPerMessage
)

// Tell sends facts about crashes to a peer. A lost message is made up for by a later one.
type Tell struct {
	Peer  string
	Facts []quarantine.CrashFact
	// Ask asks the peer to tell what it knows.
	Ask bool
}

// FactsReceived reports what a peer knows about crashes.
type FactsReceived struct {
	From  string
	Facts []quarantine.CrashFact
	// Ask states that the peer asks what this host knows.
	Ask bool
}

func (*FactsReceived) event() {}

// askPeer asks a peer that has become known what it knows about crashes, if this host has asked few
// since its start: until then it would run what the others hold back.
func (e *Engine) askPeer(host string, fx *Effects) {
	if e.crash.asked < peersToAsk {
		e.crash.asked++
		fx.Tells = append(fx.Tells, Tell{Peer: host, Ask: true})
	}
}

func (e *Engine) factsReceived(now clock.Instant, ev *FactsReceived, fx *Effects) {
	if ev.Ask {
		for prints := range slices.Chunk(e.crash.suspects.Strongest(now.Mono, maxFactsPerAnswer), maxFactsPerMessage) {
			fx.Tells = append(fx.Tells, Tell{Peer: ev.From, Facts: e.facts(now, prints)})
		}
	}
	for i := range ev.Facts {
		news := e.crash.suspects.Merge(now.Mono, &ev.Facts[i])
		if news && len(e.peers) > maxDirectPeers {
			e.tellLater(now, ev.Facts[i].Fingerprint)
		}
	}
}

// tellLater has the peers told about a fingerprint after tellDelay.
func (e *Engine) tellLater(now clock.Instant, f quarantine.Fingerprint) {
	if len(e.crash.news) == 0 {
		e.crash.tellAt = now.Mono + tellDelay
	}
	e.crash.news = append(e.crash.news, f)
}

// tellWake returns when tellPeers must next be called, and false if no time is set.
func (e *Engine) tellWake() (time.Duration, bool) {
	switch {
	case len(e.crash.news) > 0:
		return e.crash.tellAt, true
	case e.crash.suspects.Len() > 0 && len(e.peers) > 0:
		return e.crash.syncAt, true
	}
	return 0, false
}

// tellPeers tells the peers the news, and one of them everything, if it is time.
func (e *Engine) tellPeers(now clock.Instant, fx *Effects) {
	if len(e.crash.news) > 0 && now.Mono >= e.crash.tellAt {
		facts := e.facts(now, e.crash.news)
		e.crash.news = nil
		for _, host := range e.peersToTell(maxDirectPeers) {
			fx.Tells = append(fx.Tells, Tell{Peer: host, Facts: facts})
		}
	}
	if e.crash.suspects.Len() > 0 && now.Mono >= e.crash.syncAt {
		e.crash.syncAt = now.Mono + syncInterval
		prints := e.crash.suspects.Strongest(now.Mono, maxFactsPerMessage/2)
		facts := e.facts(now, append(prints, e.crash.suspects.Newest(now.Mono, maxFactsPerMessage)...))
		for _, host := range e.peersToTell(1) {
			fx.Tells = append(fx.Tells, Tell{Peer: host, Facts: facts})
		}
	}
}

func (e *Engine) facts(now clock.Instant, prints []quarantine.Fingerprint) []quarantine.CrashFact {
	var facts []quarantine.CrashFact
	told := map[quarantine.Fingerprint]bool{}
	for _, f := range prints {
		if fact, ok := e.crash.suspects.Fact(now.Mono, f); ok && !told[f] && len(facts) < maxFactsPerMessage {
			facts, told[f] = append(facts, fact), true
		}
	}
	return facts
}

// peersToTell returns the names of all peers, or of limit random ones if there are more.
func (e *Engine) peersToTell(limit int) []string {
	names := sortedKeys(e.peers)
	if len(names) > limit {
		e.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		names = names[:limit]
	}
	return names
}
