package relay

import "time"

// transitWindow is how long the shortest transit of a peer's messages is remembered. Over that
// time the clocks of two hosts drift by less than a millisecond.
const transitWindow = 10 * time.Second

// Transits measures how much longer than usual a peer's messages were on their way. The clocks of
// two processes are not related, but the difference between them is constant: the least difference
// between arrival and departure stands for the shortest transit. A message that waited in a
// connection that was cut for a while, or for a process that was paused, shows a longer one.
type Transits struct {
	peers map[string]*peerTransit
}

// peerTransit holds the least difference between arrival and departure, in the current and in the
// previous transitWindow.
type peerTransit struct {
	process           uint64
	current, previous time.Duration
	since             time.Duration
}

// NewTransits returns Transits without any peer.
func NewTransits() *Transits { return &Transits{peers: map[string]*peerTransit{}} }

// Observe records a message that a process of a peer sent at sentAt on its clock, and that arrived
// at arrivedAt on this host's. It returns how much longer than the shortest known transit it took,
// 0 for the first message.
func (t *Transits) Observe(peer string, process uint64, sentAt, arrivedAt time.Duration) time.Duration {
	difference := arrivedAt - sentAt
	p := t.peers[peer]
	if p == nil || p.process != process {
		t.peers[peer] = &peerTransit{process: process, current: difference, previous: difference, since: arrivedAt}
		return 0
	}
	shortest := min(p.current, p.previous)
	if arrivedAt-p.since >= transitWindow {
		p.previous, p.current, p.since = p.current, difference, arrivedAt
	}
	p.current = min(p.current, difference)
	return max(0, difference-shortest)
}

// givenUp reports whether the sender of a handoff that was longer on its way than usual by delay
// no longer waits for it: it waits as long as pollHandoff does.
func (e *Engine) givenUp(rq *Request) bool {
	if rq.Gather == nil {
		return false
	}
	patience := rq.Gather.Objective
	if p := e.peers[rq.Gather.From]; p != nil {
		patience = max(patience, handoffRTTFactor*e.peerRTT(p))
	}
	return rq.Delay > patience+handoffGrace
}
