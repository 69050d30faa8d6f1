// Package discovery maintains a host's view of the catalog in the platform's store: it
// lists all items once and then watches for changes. Only a few hosts of a fleet call the
// store; the others watch one of those hosts and fall back to the store.
//
// A Follower is owned by one thread, which calls Step for each event and Advance at the time
// returned by NextWake, and carries out the effects. At most one call is in progress; its
// end is reported as an event. State never goes backwards: an item is applied only if its
// revision is higher than that of the item it replaces.
package discovery

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
)

const (
	// maxWatchWait and minWatchWait bound the wait of a watch. If the store has lost the watch, or
	// the connection was lost without notice, the host detects this only when the call times out.
	maxWatchWait = 3500 * time.Millisecond
	minWatchWait = 100 * time.Millisecond
	// defaultBound is the Config.ApplyBound and Config.RemovalBound of a host without one.
	defaultBound = 4 * time.Second
	// failoverTime is the part of Config.ApplyBound that is left to get a change from another
	// source once the current one has lost contact with the store: a call that times out and some
	// that are answered. removalFailoverTime is the part of Config.RemovalBound, of which
	// removalDelay takes half or more: a late reply of a peer and a call that is answered.
	failoverTime        = time.Second
	removalFailoverTime = 500 * time.Millisecond
	// maxContactLimit and minContactLimit bound the contact limit: see newContactLimit.
	maxContactLimit = maxWatchWait + maxCoalesceDelay + renewalMargin
	minContactLimit = 600 * time.Millisecond
	// renewalMargin is the part of the contact limit that is left for the store's reply after the
	// wait of a watch. A slower reply is still used, but peers have turned to other sources.
	renewalMargin = 400 * time.Millisecond
	// storeReplyMargin and peerReplyMargin are how long after its wait a call may take. The store
	// replies within milliseconds, and a peer at the latest when its contact limit is over.
	// firstReplyMargin is the margin of a call that does not wait to a peer, and firstListMargin
	// the same while this host knows nothing, so that the reply holds the whole catalog.
	storeReplyMargin = 700 * time.Millisecond
	peerReplyMargin  = 200 * time.Millisecond
	firstReplyMargin = 700 * time.Millisecond
	firstListMargin  = 1500 * time.Millisecond
	// maxFirstListTimeout bounds the time that the store may take for a page of a host's first list.
	maxFirstListTimeout = 3 * time.Second
	// coalesceDelay is the delay between a change and the next watch, so that a burst of
	// changes costs few calls. The list after HistoryGone is delayed by as much. It is far
	// below any bound on applying a change.
	coalesceDelay = 200 * time.Millisecond
	// minWatchInterval is the least time between two watches of the store that may wait, for a store
	// that replies at once without changes.
	minWatchInterval = coalesceDelay
	// maxCoalesceDelay bounds the delay before the next watch of the store, which doubles with
	// each reply that has changes and starts again after one without. Releases, and leafs that
	// register after a loss of power, change the store many times a second for a while. The delay
	// is also at most half of the contact limit.
	maxCoalesceDelay = 800 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call, which doubles with
	// each consecutive failure; failed calls are charged too. A host whose calls the store
	// rejects must stop using a deleted target within 5 s of the store's recovery: the
	// longest delay, a call that times out, stalePeerRetryDelay and removalDelay add up to
	// less.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// removalDelay is how long a target in use stays so after its entry was deleted, but at most
	// half of Config.RemovalBound. An entry that expired while the store was unavailable is
	// republished within about two seconds of the store's recovery.
	removalDelay = 2 * time.Second
	// peerRetryDelay is how long a peer is not called after a failed call.
	peerRetryDelay = 3 * time.Second
	// stalePeerRetryDelay is how long a peer without contact with the store is not called.
	// It is short because such a peer answers at once, and its recovery should be noticed
	// soon.
	stalePeerRetryDelay = 300 * time.Millisecond
	// fallbackWatchWait is the wait of a watch of the store by a host whose preferred
	// source is a peer. The peer is tried again after each such watch.
	fallbackWatchWait = time.Second
	// fallbackStoreRetryDelay is the least time between a failed call to the store and the
	// next on a host whose preferred source is a peer that answers. The peers that call the
	// store report its recovery.
	fallbackStoreRetryDelay = 4 * time.Second
	// maxPathHosts is the largest number of hosts through which a host may get its data: a
	// host of its zone, which follows a host of another zone, which follows the host that
	// calls the store.
	maxPathHosts = 3
	// peerDiscoveryDelay is how long a starting host waits to discover peers before it
	// calls the store itself.
	peerDiscoveryDelay = 600 * time.Millisecond
)

// storeSource identifies the platform's store in the list of sources.
const storeSource = ""

// itemID identifies an item by its kind and name.
type itemID struct {
	kind Kind
	name string
}

type phase int

const (
	idle phase = iota
	listing
	watching
)

// Follower tracks the catalog in the platform's store, directly or through a peer.
type Follower struct {
	cfg Config
	// sources are in order of preference. A source is not called before its
	// unavailableUntil.
	sources          []string
	unavailableUntil map[string]time.Duration
	current          string
	// sourceSelected is set once current has been chosen. sourceVerified is set once
	// current has answered a watch with up-to-date data.
	sourceSelected bool
	sourceVerified bool
	// peerLost is set while a peer has not replied and no other source has been up to date
	// since. The store is then called first.
	peerLost bool
	// peerStale is set when the peer that this host follows has lost contact with the store, until
	// the store was called. The store is then called first, once: while it is unavailable, the
	// peers report its recovery.
	peerStale bool
	rng       *rand.Rand
	view      *catalog.View
	phase     phase
	// items holds the newest item of each key, including deleted items.
	items map[string]Item
	// deletedItems is the number of those that are deleted, and forgotten the highest revision of those
	// that were dropped.
	deletedItems int
	forgotten    uint64
	// removals maps targets whose entries were deleted to the time they leave the view.
	removals map[string]time.Duration
	// listedItems holds the items of the list in progress; listRevision is the revision of
	// its first page.
	listedItems  map[itemID]bool
	listRevision uint64
	afterKey     string
	// knownSince is the revision since which this host knows of all deletions: that of its own
	// list, or of a peer's.
	knownSince uint64
	// rebuilding is set from the begin of a new era until all its items are known. Peers are served
	// those of servedEra until then.
	rebuilding bool
	servedEra  uint64
	former     formerState
	// configValue is the encoded form of the configuration in force.
	configValue []byte
	// targetKeys holds the keys of the items of all targets by name.
	targetKeys    map[string]string
	storeFailures int
	// unusableWatches counts the watches of the store in a row whose replies could not be used.
	unusableWatches int
	// storeCoalesceDelay is the delay before the next watch of the store after changes.
	storeCoalesceDelay time.Duration
	// nextCallAt is when the next call is due. It has no meaning while a call is in
	// progress.
	nextCallAt     time.Duration
	callInProgress bool
	callStartedAt  time.Duration
	// callWait is how long the last call might wait.
	callWait time.Duration
	// contactAt is when the store last answered the host at the end of the chain of sources that
	// this host follows: a peer's reply is as old as the peer's own contact.
	contactAt time.Duration
	// contactLimit is the age of contactAt from which this host no longer counts as up to date.
	contactLimit time.Duration
	// removalDelay is the constant of this name within Config.RemovalBound.
	removalDelay time.Duration
	viewChanged  bool
	// complete is set once the view holds a whole catalog. Until then it is not published: a
	// host that knows only the first pages of a list would answer without most of its shards,
	// and one that knows only an outdated peer's items would use withdrawn ones.
	complete bool
	// published, gone and removed are the changes to targets that are not recorded yet.
	published []*Item
	gone      []goneEntry
	removed   []string
}

// Config holds the settings of a Follower.
type Config struct {
	// Self is the name of this host.
	Self string
	// WaitForPeers delays the first call by peerDiscoveryDelay, so that a host without waiting
	// callers can use a peer and save the store a call.
	WaitForPeers bool
	// ApplyBound is the longest time from a change in the store until this host applies it,
	// whichever of its sources fails meanwhile; 0 means defaultBound.
	ApplyBound time.Duration
	// RemovalBound is the same for a deleted target: the longest time until this host no longer
	// uses it.
	RemovalBound time.Duration
	// ReportInterval is how often targets report to the store; 0 means defaultReportInterval.
	ReportInterval time.Duration
	// Seed randomizes the retry delays across hosts.
	Seed uint64
}

// New returns a Follower with an empty view.
func New(cfg Config) *Follower {
	if cfg.ApplyBound <= 0 {
		cfg.ApplyBound = defaultBound
	}
	if cfg.RemovalBound <= 0 {
		cfg.RemovalBound = defaultBound
	}
	if cfg.ReportInterval <= 0 {
		cfg.ReportInterval = defaultReportInterval
	}
	removal := min(removalDelay, cfg.RemovalBound/2)
	return &Follower{
		cfg:              cfg,
		contactLimit:     newContactLimit(cfg.ApplyBound, cfg.RemovalBound-removal),
		removalDelay:     removal,
		sources:          []string{storeSource},
		unavailableUntil: map[string]time.Duration{},
		rng:              rand.New(rand.NewPCG(cfg.Seed, 1)),
		view:             catalog.NewView(),
		items:            map[string]Item{},
		removals:         map[string]time.Duration{},
		former:           newFormerState(),
		targetKeys:       map[string]string{},
	}
}

// newContactLimit returns how old the contact of a host with the store may become before its peers
// turn to other sources. Each host of a chain measures it from the same instant, that of the
// store's reply to the first, so that the waits of the chain do not add up. deletion is the part of
// the bound on deleted targets in which a host must know of the deletion.
func newContactLimit(apply, deletion time.Duration) time.Duration {
	limit := min(apply-failoverTime, deletion-removalFailoverTime)
	return min(max(limit, minContactLimit), maxContactLimit)
}

// View returns the current view, which later steps modify.
func (f *Follower) View() *catalog.View { return f.view }

// Step handles one event.
func (f *Follower) Step(now clock.Instant, ev Event, fx *Effects) {
	switch ev := ev.(type) {
	case *Start:
		f.beginList(now)
		if f.cfg.WaitForPeers {
			f.nextCallAt = now.Mono + peerDiscoveryDelay
		}
	case *Sources:
		f.setSources(now, ev)
	case *Page:
		f.handlePage(now, ev, fx)
	case *Changes:
		f.handleChanges(now, ev, fx)
	case *HistoryGone:
		f.handleHistoryGone(now, ev, fx)
	case *CallFailed:
		f.handleFailure(now, ev, fx)
	}
	f.Advance(now, fx)
}

// Advance removes targets whose delay has expired and starts a call if one is due.
func (f *Follower) Advance(now clock.Instant, fx *Effects) {
	f.endHold(now, fx)
	f.removeDueTargets(now)
	f.startDueCall(now, fx)
	f.recordTargets(fx)
	if f.viewChanged && f.complete {
		f.viewChanged = false
		fx.View = f.view.Clone()
	}
}

// NextWake returns when Advance must next be called, or false if no time is set.
func (f *Follower) NextWake() (time.Duration, bool) {
	next, ok := f.nextCallAt, !f.callInProgress && f.phase != idle
	if until := f.former.until; until > 0 && !f.rebuilding && (!ok || until < next) {
		next, ok = until, true
	}
	for _, due := range f.removals {
		if !ok || due < next {
			next, ok = due, true
		}
	}
	return next, ok
}

// progress returns the progress of this host after a call.
func (f *Follower) progress(fresh bool) *Progress {
	return &Progress{
		Era: f.servedEra, Revision: f.view.Revision, KnownSince: f.knownSince, Forgotten: f.forgotten,
		Fresh: fresh, ContactAt: f.contactAt, FreshUntil: f.contactAt + f.contactLimit,
	}
}

func (f *Follower) beginList(now clock.Instant) {
	f.phase = listing
	f.listedItems = map[itemID]bool{}
	f.listRevision = 0
	f.afterKey = ""
	f.nextCallAt = now.Mono
}

func (f *Follower) handleFailure(now clock.Instant, ev *CallFailed, fx *Effects) {
	f.callInProgress = false
	f.nextCallAt = now.Mono
	fx.Progress = f.progress(false)
	if f.current != storeSource {
		f.peerLost = true
		f.unavailableUntil[f.current] = now.Mono + peerRetryDelay
		fx.Records = append(fx.Records, decision.Warning("source_lost",
			decision.String("peer", f.current), decision.String("reason", ev.Reason), decision.Uint("revision", f.view.Revision),
			decision.Millis("waited", now.Mono-f.callStartedAt), decision.Millis("contact_age", now.Mono-f.contactAt)))
		return
	}
	if f.storeFailures == 0 {
		fx.Records = append(fx.Records, decision.Warning("store_lost",
			decision.String("reason", ev.Reason), decision.Uint("revision", f.view.Revision),
			decision.Millis("waited", now.Mono-f.callStartedAt), decision.Millis("contact_age", now.Mono-f.contactAt)))
	}
	f.storeFailures++
	f.peerStale = false
	f.giveUpWatch(now, ev, fx)
	f.completeWithoutStore()
	delay := minBackoff << min(f.storeFailures-1, 8)
	delay = min(delay, maxBackoff)
	delay = delay/2 + time.Duration(f.rng.Int64N(int64(delay)))
	if f.sources[0] != storeSource && f.view.Config != nil && !f.peerLost {
		delay = max(delay, fallbackStoreRetryDelay)
	}
	f.unavailableUntil[storeSource] = now.Mono + delay
}

// maxUnusableWatches is the number of watches in a row whose replies cannot be used, after which the
// store is listed instead: the reply to the same watch only grows.
const maxUnusableWatches = 2

// giveUpWatch begins a list if the store's replies to the watch cannot be used.
func (f *Follower) giveUpWatch(now clock.Instant, ev *CallFailed, fx *Effects) {
	if !ev.Unusable || f.phase != watching {
		return
	}
	f.unusableWatches++
	if f.unusableWatches < maxUnusableWatches {
		return
	}
	f.unusableWatches = 0
	fx.Records = append(fx.Records, decision.Warning("store_watch_given_up", decision.String("reason", ev.Reason), decision.Uint("revision", f.view.Revision)))
	f.beginList(now)
}

func (f *Follower) handleSuccess(fx *Effects) {
	f.callInProgress = false
	if f.current != storeSource {
		return
	}
	if f.storeFailures > 0 {
		fx.Records = append(fx.Records, decision.New("store_regained",
			decision.Int("failed_calls", f.storeFailures), decision.Uint("revision", f.view.Revision)))
	}
	f.storeFailures, f.unusableWatches = 0, 0
	f.peerLost, f.peerStale = false, false
}

func (f *Follower) handleHistoryGone(now clock.Instant, ev *HistoryGone, fx *Effects) {
	fx.Records = append(fx.Records, decision.Warning("store_history_gone", decision.Uint("revision", f.view.Revision)))
	if f.followEra(now, ev.Era, 0, fx) == outdatedEra {
		f.handleFailure(now, errOutdatedEra(ev.Era, f.view.Era), fx)
		return
	}
	f.callInProgress = false
	f.beginList(now)
	f.nextCallAt += coalesceDelay
}

// handlePage applies a page of the list. The pages are not one snapshot, so the watch
// starts at the revision of the first page.
func (f *Follower) handlePage(now clock.Instant, ev *Page, fx *Effects) {
	if ev.More && len(ev.Items) == 0 {
		f.handleFailure(now, &CallFailed{Reason: fmt.Sprintf("page after key %q has no items, although more follow", f.afterKey)}, fx)
		return
	}
	firstPage := f.afterKey == ""
	switch f.followEra(now, ev.Era, ev.Revision, fx) {
	case outdatedEra:
		f.handleFailure(now, errOutdatedEra(ev.Era, f.view.Era), fx)
		return
	case newEra:
		if !firstPage {
			f.handleSuccess(fx)
			return
		}
	}
	f.handleSuccess(fx)
	f.contactAt = now.Mono
	if f.listRevision == 0 {
		f.listRevision = ev.Revision
	}
	for i := range ev.Items {
		f.listedItems[itemID{ev.Items[i].Kind, ev.Items[i].Name}] = true
		f.afterKey = ev.Items[i].Key
	}
	f.applyItems(now, ev.Items, fx)
	f.nextCallAt = now.Mono
	if ev.More {
		return
	}
	f.endList(now, fx)
	fx.Progress = f.progress(true)
}

// endList deletes the items that the list no longer holds and switches to watching. Items
// newer than the list are kept.
func (f *Follower) endList(now clock.Instant, fx *Effects) {
	for key := range f.items {
		it := f.items[key]
		if !it.Deleted && it.Revision <= f.listRevision && !f.listedItems[itemID{it.Kind, it.Name}] {
			f.markDeleted(now, &it, f.listRevision, fx)
		}
	}
	f.phase = watching
	f.complete = true
	f.knownSince = max(f.knownSince, f.listRevision)
	f.storeCoalesceDelay = coalesceDelay // changes are likely while a fleet or its targets start
	f.view.Revision = max(f.view.Revision, f.listRevision)
	f.viewChanged = true
	if f.rebuilding {
		f.endRebuild(now, f.hasItem, fx)
	}
	fx.Records = append(fx.Records, decision.New("store_listed",
		decision.Uint("era", f.view.Era), decision.Uint("revision", f.listRevision), decision.Int("items", len(f.listedItems))))
	f.listedItems = nil
	f.forgetDeleted()
}

// markDeleted handles an item that is missing from a list of the given revision as deleted, also
// for the peers that follow this host. A missing configuration stays active.
func (f *Follower) markDeleted(now clock.Instant, it *Item, revision uint64, fx *Effects) {
	switch it.Kind {
	case TargetItem:
		f.scheduleRemoval(now, it.Name, revision)
	case ZoneItem:
		f.setZoneEvacuated(it.Name, false, revision, fx)
	default:
		return
	}
	deleted := Item{Key: it.Key, Kind: it.Kind, Name: it.Name, Revision: revision, Deleted: true, Target: it.Target}
	f.setItem(&deleted)
	f.tellPeers(&deleted, fx)
}

// hasItem reports whether there is an item with the key.
func (f *Follower) hasItem(key string) bool {
	it, ok := f.items[key]
	return ok && !it.Deleted
}

// tellPeers passes an item on to the peers that follow this host.
func (f *Follower) tellPeers(it *Item, fx *Effects) {
	if !f.rebuilding {
		fx.AppliedItems = append(fx.AppliedItems, *it)
	}
}

func (f *Follower) handleChanges(now clock.Instant, ev *Changes, fx *Effects) {
	change := f.followEra(now, ev.Era, ev.Revision, fx)
	if f.current == storeSource && change != sameEra {
		f.handleChangesOfOtherEra(now, ev, change, fx)
		return
	}
	f.handleSuccess(fx)
	stale := ev.Stale || f.formsLoop(ev.Path) || change == outdatedEra || f.rebuilding && !ev.HasLive
	if f.current != storeSource {
		f.handlePeerReply(now, ev, stale, fx)
	}
	if change != outdatedEra {
		f.applyChanges(now, ev, stale, fx)
	}
	if stale {
		f.completeWithoutStore()
	} else {
		f.contactAt = max(f.contactAt, now.Mono-ev.ContactAge)
		f.peerLost, f.peerStale = false, false
	}
	f.forgetDeleted()
	fx.Progress = f.progress(!stale)
	fx.Progress.Path = ev.Path
	f.nextCallAt = now.Mono
	if f.current == storeSource || !ev.isPartial() {
		f.nextCallAt += f.coalesce(now, len(ev.Items) > 0)
	}
	f.sourceVerified = !stale
}

// handleChangesOfOtherEra handles the reply of the store to a watch that began in another era: it
// lacks what was written below the watch's revision.
func (f *Follower) handleChangesOfOtherEra(now clock.Instant, ev *Changes, change eraChange, fx *Effects) {
	if change == outdatedEra {
		f.handleFailure(now, errOutdatedEra(ev.Era, f.view.Era), fx)
		return
	}
	f.handleSuccess(fx)
}

func (f *Follower) applyChanges(now clock.Instant, ev *Changes, stale bool, fx *Effects) {
	live := make(map[uint64]bool, len(ev.Live))
	for _, h := range ev.Live {
		live[h] = true
	}
	exists := func(key string) bool { return live[KeyHash(key)] }
	if !f.rebuilding {
		f.applyKnownSince(now, ev, exists, fx)
	}
	f.applyItems(now, ev.Items, fx)
	if f.rebuilding && stale {
		return
	}
	f.view.Revision = max(f.view.Revision, ev.Revision)
	if f.rebuilding {
		f.knownSince = ev.KnownSince
		f.endRebuild(now, exists, fx)
	}
}

// applyKnownSince handles the reply of a peer that does not know of the deletions between this
// host's revision and KnownSince, because it has listed the store since: what it does not have any
// more was deleted.
func (f *Follower) applyKnownSince(now clock.Instant, ev *Changes, exists func(key string) bool, fx *Effects) {
	if f.current == storeSource || ev.KnownSince <= f.view.Revision {
		return
	}
	if f.view.Revision > 0 {
		if !ev.HasLive {
			return
		}
		for key := range f.items {
			it := f.items[key]
			if !it.Deleted && it.Revision <= ev.KnownSince && !exists(key) {
				f.markDeleted(now, &it, ev.KnownSince, fx)
			}
		}
	}
	f.knownSince = max(f.knownSince, ev.KnownSince)
}

// coalesce returns the delay before the next watch of the current source.
func (f *Follower) coalesce(now clock.Instant, changed bool) time.Duration {
	switch {
	case f.current != storeSource && (changed || f.view.Revision == 0): // watches of a peer do not wait at revision 0
		return coalesceDelay
	case f.current != storeSource:
		return 0
	case !changed:
		f.storeCoalesceDelay = 0
		if f.callWait == 0 {
			return 0
		}
		return max(0, f.callStartedAt+minWatchInterval-now.Mono)
	}
	f.storeCoalesceDelay = min(max(coalesceDelay, 2*f.storeCoalesceDelay), maxCoalesceDelay, f.contactLimit/2)
	return f.storeCoalesceDelay
}
