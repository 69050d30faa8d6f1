package discovery

import (
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
)

// setSources replaces the list of sources, starting with the next call.
func (f *Follower) setSources(now clock.Instant, ev *Sources) {
	f.sources = f.sources[:0]
	for _, host := range ev.Hosts {
		if host == f.cfg.Self {
			host = storeSource
		}
		f.sources = append(f.sources, host)
	}
	if len(f.sources) == 0 {
		f.sources = append(f.sources, storeSource)
	}
	if len(f.sources) > 1 && f.view.Revision == 0 && !f.callInProgress {
		f.nextCallAt = min(f.nextCallAt, now.Mono+coalesceDelay)
	}
}

// selectSource returns the source to call now: the most preferred one that is available, or the
// store after a peer was lost or lost contact with the store, since other peers may be lost too and
// each would take its time-out. If there is none, ok is false and due is when the first becomes
// available.
func (f *Follower) selectSource(now clock.Instant) (source string, due time.Duration, ok bool) {
	if (f.peerLost || f.peerStale) && f.unavailableUntil[storeSource] <= now.Mono {
		return storeSource, 0, true
	}
	due = f.unavailableUntil[f.sources[0]]
	if f.peerLost {
		due = min(due, f.unavailableUntil[storeSource])
	}
	for _, s := range f.sources {
		until := f.unavailableUntil[s]
		if until <= now.Mono {
			return s, 0, true
		}
		due = min(due, until)
	}
	return "", due, false
}

func (f *Follower) startDueCall(now clock.Instant, fx *Effects) {
	if f.callInProgress || f.phase == idle || now.Mono < f.nextCallAt {
		return
	}
	source, due, ok := f.selectSource(now)
	if !ok {
		f.nextCallAt = due
		return
	}
	f.callInProgress, f.callStartedAt = true, now.Mono
	if source != f.current || !f.sourceSelected {
		f.sourceVerified = false
		fx.Records = append(fx.Records, decision.New("source_chosen",
			decision.String("peer", source), decision.String("before", f.current), decision.String("best", f.sources[0]),
			decision.Uint("revision", f.view.Revision)))
	}
	f.current, f.sourceSelected = source, true
	if source == storeSource && f.phase == listing {
		f.callWait = 0
		fx.Call = &Call{AfterKey: f.afterKey, Timeout: f.listTimeout()}
		return
	}
	wait, margin := f.watchTimes(now)
	f.callWait = wait
	fx.Call = &Call{Peer: source, Watch: true, Era: f.view.Era, AfterRevision: f.view.Revision, Wait: wait, Timeout: wait + margin}
}

// listTimeout returns how long the store may take for a page. A host that knows no whole list yet waits
// longer after each failure, since it has nothing to serve with meanwhile.
func (f *Follower) listTimeout() time.Duration {
	if f.knownSince > 0 {
		return storeReplyMargin
	}
	return min(storeReplyMargin<<min(f.storeFailures, 8), maxFirstListTimeout)
}

// watchTimes returns how long the next watch may wait, and how long after that its reply may take.
// A watch ends before the contact limit is over, so the delay before it counts. After a failed call
// the store is asked to answer at once, because a long wait would hide for its duration whether the
// store is back. The first watch of a peer does not wait either: its path shows whether the peer
// follows this host, and two hosts that wait for each other would never get an update.
func (f *Follower) watchTimes(now clock.Instant) (wait, margin time.Duration) {
	left := f.contactAt + f.contactLimit - now.Mono
	if f.current == storeSource {
		if f.storeFailures > 0 || f.peerLost {
			return 0, storeReplyMargin
		}
		wait = min(max(left-renewalMargin, minWatchWait), maxWatchWait)
		if f.sources[0] != storeSource {
			wait = min(wait, fallbackWatchWait)
		}
		return wait, storeReplyMargin
	}
	switch {
	case f.view.Revision == 0:
		return 0, firstListMargin
	case !f.sourceVerified:
		return 0, firstReplyMargin
	}
	return max(left, minWatchWait), peerReplyMargin
}

// formsLoop reports whether a peer with this path follows this host, or has a path so long
// that it may be about to. Two hosts that follow each other would both appear to be in
// contact with the store.
func (f *Follower) formsLoop(path []string) bool {
	return len(path) > maxPathHosts || slices.Contains(path, f.cfg.Self)
}

// isPartial reports whether a peer's reply leaves out items of the list that the peer has made or
// learnt: a reply has a limited size, and the oldest items come first.
func (c *Changes) isPartial() bool { return c.Revision < c.KnownSince }

// handlePeerReply updates the state of the current source from a peer's reply. A peer sends
// all the items it knows, so that after its up-to-date replies no list is needed.
func (f *Follower) handlePeerReply(now clock.Instant, ev *Changes, stale bool, fx *Effects) {
	if stale && f.sourceVerified {
		f.peerStale = true
		fx.Records = append(fx.Records, decision.Warning("source_stale",
			decision.String("peer", f.current), decision.Uint("revision", f.view.Revision),
			decision.Millis("waited", now.Mono-f.callStartedAt), decision.Millis("contact_age", now.Mono-f.contactAt)))
	}
	if stale {
		f.unavailableUntil[f.current] = now.Mono + stalePeerRetryDelay
	}
	if ev.Revision >= f.view.Revision && ev.Revision > 0 && !stale && !ev.isPartial() {
		f.phase = watching
		f.complete = true
	}
}

// completeWithoutStore publishes the view of a host that could not list the store: what its
// peers last knew is better than no service while the store is unavailable.
func (f *Follower) completeWithoutStore() {
	if f.storeFailures > 0 && f.view.Config != nil {
		f.complete = true
	}
}
