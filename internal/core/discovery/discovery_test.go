package discovery

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/clock"
)

// harness steps a follower in virtual time.
type harness struct {
	t   *testing.T
	f   *Follower
	now clock.Instant
	fx  Effects
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, f: New(Config{Self: "self", WaitForPeers: true, Seed: 1})}
	h.step(&Start{})
	h.advance(peerDiscoveryDelay)
	return h
}

func (h *harness) step(ev Event) {
	h.fx.Reset()
	h.f.Step(h.now, ev, &h.fx)
}

// advance moves time on and calls the follower's Advance when it is due.
func (h *harness) advance(d time.Duration) {
	h.fx.Reset()
	end := h.now.Add(d)
	for {
		due, ok := h.f.NextWake()
		if !ok || due > end.Mono {
			break
		}
		if due > h.now.Mono {
			h.now = h.now.Add(due - h.now.Mono)
		}
		h.f.Advance(h.now, &h.fx)
	}
	h.now = end
}

func configItem(revision, version uint64) Item {
	return Item{Key: "config", Kind: ConfigItem, Revision: revision, Config: catalog.NewConfig(version, nil, nil, catalog.Limits{})}
}

func targetItem(revision uint64, name string) Item {
	return Item{Key: "t/" + name, Kind: TargetItem, Name: name, Revision: revision, Target: &catalog.Target{Instance: name, Revision: revision}}
}

// newListedHarness returns a harness that has listed one target and a configuration at
// revision 10.
func newListedHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.step(&Page{Items: []Item{configItem(3, 7), targetItem(5, "a")}, Revision: 10})
	return h
}

func TestListThenWatch(t *testing.T) {
	h := newHarness(t)
	if h.fx.Call == nil || h.fx.Call.Watch {
		t.Fatalf("call is %+v, want a list", h.fx.Call)
	}
	h.step(&Page{Items: []Item{configItem(3, 7)}, More: true, Revision: 10})
	if h.fx.Call == nil || h.fx.Call.Watch || h.fx.Call.AfterKey != "config" {
		t.Fatalf("call is %+v, want the next page", h.fx.Call)
	}
	h.step(&Page{Items: []Item{targetItem(12, "a")}, Revision: 12})
	if h.fx.Call == nil || !h.fx.Call.Watch || h.fx.Call.AfterRevision != 10 {
		t.Fatalf("call is %+v, want a watch from the first page's revision", h.fx.Call)
	}
	if v := h.fx.View; v == nil || v.Config.Version != 7 || v.Targets["a"] == nil {
		t.Fatalf("view is %+v", h.fx.View)
	}
}

// TestWatchesFitBounds checks for several bounds, with a quiet and with a busy store, that a watch
// which the store or a peer never answers leaves failoverTime of the bound on changes, counted from
// the last contact, and that the removal of a target fits its bound too.
func TestWatchesFitBounds(t *testing.T) {
	for _, bound := range []time.Duration{0, 3 * time.Second, 4 * time.Second, 5 * time.Second, 6 * time.Second, time.Minute} {
		h := &harness{t: t, f: New(Config{Self: "self", ApplyBound: bound, RemovalBound: bound, Seed: 1})}
		h.step(&Start{})
		h.step(&Page{Items: []Item{configItem(3, 7), targetItem(5, "a")}, Revision: 10})
		if bound == 0 {
			bound = applyBound
		}
		for round := range uint64(6) {
			contact := h.now.Mono
			for h.fx.Call == nil {
				due, _ := h.f.NextWake()
				h.advance(due - h.now.Mono)
			}
			if noticed := h.now.Mono - contact + h.fx.Call.Timeout; h.fx.Call.Wait <= 0 || noticed > bound-failoverTime {
				t.Errorf("bound %v, round %d: a watch waits %v, and its loss is noticed after %v, want at most %v", bound, round, h.fx.Call.Wait, noticed, bound-failoverTime)
			}
			h.step(&Changes{Items: []Item{targetItem(11+round, "a")}, Revision: 11 + round})
			if p := h.fx.Progress; p.FreshUntil-h.now.Mono+h.f.removalDelay > bound-removalFailoverTime {
				t.Errorf("bound %v: followers learn of a loss after %v, and a removal takes %v more", bound, p.FreshUntil-h.now.Mono, h.f.removalDelay)
			}
		}
		h = &harness{t: t, f: New(Config{Self: "self", ApplyBound: bound, RemovalBound: bound, WaitForPeers: true, Seed: 1})}
		h.step(&Start{})
		h.step(&Sources{Hosts: []string{"peer", "self"}})
		h.advance(coalesceDelay)
		h.step(&Changes{Items: []Item{configItem(3, 7)}, Revision: 10, Path: []string{"peer"}})
		h.advance(coalesceDelay)
		c := h.fx.Call
		if c == nil || c.Peer != "peer" || c.Wait <= 0 || coalesceDelay+c.Timeout > bound-failoverTime || coalesceDelay+c.Timeout+h.f.removalDelay > bound {
			t.Errorf("bound %v: the watch of a peer is %+v, want its loss noticed after at most %v", bound, c, bound-failoverTime)
		}
	}
}

// TestPeersContactIsNotTakenForOwn checks that the contact of a host that follows another is as old
// as that of the other, and that its next watch ends when that is too old.
func TestPeersContactIsNotTakenForOwn(t *testing.T) {
	const age = time.Second
	h := &harness{t: t, f: New(Config{Self: "self", WaitForPeers: true, Seed: 1})}
	h.advance(time.Minute)
	h.step(&Start{})
	h.step(&Sources{Hosts: []string{"peer", "self"}})
	h.advance(peerDiscoveryDelay)
	h.step(&Changes{Revision: 10, Path: []string{"peer"}, ContactAge: age})
	if p := h.fx.Progress; p == nil || p.ContactAt != h.now.Mono-age || p.FreshAt(p.ContactAt+h.f.contactLimit) {
		t.Errorf("progress at %v is %+v, want a contact %v ago", h.now.Mono, p, age)
	}
	if c := h.fx.Call; c == nil || c.Wait > h.f.contactLimit-age {
		t.Errorf("call is %+v, want a wait of at most %v", c, h.f.contactLimit-age)
	}
}

func TestTargetRepublishedWithinRemovalDelayIsKept(t *testing.T) {
	h := newListedHarness(t)
	h.step(&Changes{Items: []Item{{Key: "t/a", Kind: TargetItem, Name: "a", Revision: 11, Deleted: true}}, Revision: 11})
	h.advance(removalDelay - time.Millisecond)
	if h.f.View().Targets["a"] == nil {
		t.Fatal("target removed before removalDelay was over")
	}
	h.step(&Changes{Items: []Item{targetItem(12, "a")}, Revision: 12})
	h.advance(time.Minute)
	if h.f.View().Targets["a"] == nil {
		t.Fatal("target removed although its entry was republished")
	}
}

func TestTargetIsRemovedAfterRemovalDelay(t *testing.T) {
	h := newListedHarness(t)
	h.step(&Changes{Items: []Item{{Key: "t/a", Kind: TargetItem, Name: "a", Revision: 11, Deleted: true}}, Revision: 11})
	h.advance(removalDelay)
	if h.f.View().Targets["a"] != nil {
		t.Fatal("the target is still in use")
	}
}

// TestListAfterLostHistoryRemovesMissingItems checks that a list after the history was
// lost ends evacuations that it does not hold, and removes missing targets after
// removalDelay.
func TestListAfterLostHistoryRemovesMissingItems(t *testing.T) {
	h := newListedHarness(t)
	h.step(&Changes{Items: []Item{{Key: "z/n", Kind: ZoneItem, Name: "n", Revision: 11}}, Revision: 11})
	if !h.f.View().EvacuatedZones["n"] {
		t.Fatal("the zone is not evacuated")
	}
	h.step(&HistoryGone{})
	h.advance(coalesceDelay)
	if h.fx.Call == nil || h.fx.Call.Watch {
		t.Fatalf("call is %+v, want a list", h.fx.Call)
	}
	h.step(&Page{Items: []Item{configItem(3, 7), targetItem(15, "b")}, Revision: 20})
	if h.f.View().EvacuatedZones["n"] {
		t.Error("the zone is still evacuated")
	}
	h.advance(removalDelay)
	if v := h.f.View(); v.Targets["a"] != nil || v.Targets["b"] == nil {
		t.Errorf("targets are %v", v.Targets)
	}
}

func TestOlderItemNeverReplacesNewer(t *testing.T) {
	h := newListedHarness(t)
	h.step(&Changes{Items: []Item{configItem(12, 9), configItem(11, 8)}, Revision: 12})
	if got := h.f.View().Config.Version; got != 9 {
		t.Errorf("version %d is active, want 9", got)
	}
}

func TestUnreadableItems(t *testing.T) {
	h := newListedHarness(t)
	h.step(&Changes{Items: []Item{
		{Key: "config", Kind: ConfigItem, Revision: 12, DecodeError: "broken"},
		{Key: "t/a", Kind: TargetItem, Name: "a", Revision: 13, DecodeError: "broken"},
	}, Revision: 13})
	if v := h.f.View(); v.Config.Version != 7 || v.Targets["a"] != nil {
		t.Errorf("view is %+v, want the configuration kept and the target removed", v)
	}
	if len(h.fx.Records) != 2 {
		t.Errorf("got %d records, want one for each undecodable item", len(h.fx.Records))
	}
}

// TestFailedCallsBackOff bounds the number of calls in an outage, because each call is
// charged, and the delay between them, which is how long the store's recovery can go
// unnoticed.
func TestFailedCallsBackOff(t *testing.T) {
	h := newListedHarness(t)
	calls := 0
	for h.now.Mono < 10*time.Second {
		h.step(&CallFailed{Reason: "refused"})
		calls++
		h.fx.Reset()
		due, _ := h.f.NextWake()
		if gap := due - h.now.Mono; gap > maxBackoff*3/2 {
			t.Fatalf("next call is due in %v, want at most %v", gap, maxBackoff*3/2)
		}
		h.advance(due - h.now.Mono)
	}
	if calls > 15 {
		t.Errorf("%d calls in an outage of 10 s, want at most 15", calls)
	}
}

// TestFollowsPeerAndFallsBackToStore checks that the preferred peer is watched, that a
// failure switches to the store, and that the peer is tried again after peerRetryDelay.
func TestFollowsPeerAndFallsBackToStore(t *testing.T) {
	h := &harness{t: t, f: New(Config{Self: "self", WaitForPeers: true, Seed: 1})}
	h.step(&Start{})
	h.step(&Sources{Hosts: []string{"peer", "self"}})
	h.advance(coalesceDelay)
	if c := h.fx.Call; c == nil || c.Peer != "peer" || !c.Watch || c.AfterRevision != 0 {
		t.Fatalf("call is %+v, want a watch of the peer", c)
	}
	h.step(&Changes{Items: []Item{configItem(3, 7)}, Revision: 10})
	if h.f.View().Config == nil || h.f.View().Revision != 10 {
		t.Fatal("the peer's items were not applied")
	}
	h.advance(coalesceDelay)
	h.step(&CallFailed{Reason: "gone"})
	if c := h.fx.Call; c == nil || c.Peer != storeSource || !c.Watch {
		t.Fatalf("call is %+v, want a watch of the store", c)
	}
	h.advance(peerRetryDelay)
	h.step(&Changes{Revision: 11})
	if c := h.fx.Call; c == nil || c.Peer != "peer" {
		t.Fatalf("call is %+v, want the peer again", c)
	}
}

// TestStalePeerIsReplaced checks that data of a peer without contact with the store is
// applied, and that another source is called next.
func TestStalePeerIsReplaced(t *testing.T) {
	h := &harness{t: t, f: New(Config{Self: "self", WaitForPeers: true, Seed: 1})}
	h.step(&Start{})
	h.step(&Sources{Hosts: []string{"peer", "self"}})
	h.advance(coalesceDelay)
	h.step(&Changes{Items: []Item{configItem(3, 7)}, Revision: 10, Stale: true})
	if h.f.View().Config == nil {
		t.Error("the peer's items were not applied")
	}
	if p := h.fx.Progress; p == nil || p.Fresh {
		t.Errorf("progress is %+v, want one that is not fresh", p)
	}
	h.advance(coalesceDelay)
	if c := h.fx.Call; c == nil || c.Peer != storeSource {
		t.Errorf("call is %+v, want the store", c)
	}
}

// TestStoreIsPolledWithoutWaitAfterFailure checks that calls after a failure do not wait,
// so that the store's recovery is noticed soon.
func TestStoreIsPolledWithoutWaitAfterFailure(t *testing.T) {
	h := newListedHarness(t)
	want := h.fx.Call.Wait
	if leastWait := 500 * time.Millisecond; want < leastWait {
		t.Fatalf("watch of an available store waits %v, want at least %v", want, leastWait)
	}
	h.step(&CallFailed{Reason: "silent"})
	h.advance(2 * maxBackoff)
	if c := h.fx.Call; c == nil || c.Peer != storeSource || c.Wait != 0 {
		t.Fatalf("call after a failure is %+v, want one that does not wait", c)
	}
	h.step(&Changes{Revision: 10})
	if c := h.fx.Call; c == nil || c.Wait != want {
		t.Errorf("call after the recovery is %+v, want a watch", c)
	}
}

// TestFollowerOfStalePeerPollsStore checks that a host whose peer has lost contact with
// the store calls the store with a short wait, and the peer again soon.
func TestFollowerOfStalePeerPollsStore(t *testing.T) {
	h := &harness{t: t, f: New(Config{Self: "self", WaitForPeers: true, Seed: 1})}
	h.step(&Start{})
	h.step(&Sources{Hosts: []string{"peer", "self"}})
	h.advance(coalesceDelay)
	h.step(&Changes{Items: []Item{configItem(3, 7)}, Revision: 10, Stale: true})
	h.advance(coalesceDelay)
	if c := h.fx.Call; c == nil || c.Peer != storeSource || c.Wait > fallbackWatchWait {
		t.Fatalf("call is %+v, want one to the store that waits at most %v", c, fallbackWatchWait)
	}
	h.step(&CallFailed{Reason: "silent"})
	h.advance(stalePeerRetryDelay)
	if c := h.fx.Call; c == nil || c.Peer != "peer" {
		t.Errorf("call is %+v, want the peer", c)
	}
}

// TestStartWithoutPeerDelayCallsStoreAtOnce starts a host that has waiting callers.
func TestStartWithoutPeerDelayCallsStoreAtOnce(t *testing.T) {
	h := &harness{t: t, f: New(Config{Self: "self", Seed: 1})}
	h.step(&Start{})
	if h.fx.Call == nil || h.fx.Call.Peer != storeSource {
		t.Errorf("call is %+v, want the store", h.fx.Call)
	}
}

// TestDeletedTargetIsDroppedAfterStoreRecovery deletes a target while the store rejects
// the host's calls, over many seeds. The host must stop using the target within 5 s of the
// store's recovery, less the lag of a host that follows this one.
func TestDeletedTargetIsDroppedAfterStoreRecovery(t *testing.T) {
	const (
		callTimeout = 700 * time.Millisecond
		bound       = 5*time.Second - stalePeerRetryDelay - coalesceDelay
	)
	for seed := range uint64(50) {
		h := &harness{t: t, f: New(Config{Self: "self", Seed: seed})}
		h.step(&Start{})
		h.step(&Page{Items: []Item{configItem(3, 7), targetItem(5, "a")}, Revision: 10})
		recovery := 9*time.Second + time.Duration(seed)*37*time.Millisecond
		for {
			due, _ := h.f.NextWake()
			h.advance(max(0, due-h.now.Mono))
			if h.now.Mono >= recovery {
				break
			}
			h.advance(callTimeout)
			h.step(&CallFailed{Reason: "silent"})
		}
		h.step(&Changes{Items: []Item{{Key: "t/a", Kind: TargetItem, Name: "a", Revision: 11, Deleted: true}}, Revision: 11})
		h.advance(removalDelay)
		if h.f.View().Targets["a"] != nil {
			t.Fatalf("seed %d: the target is still in use", seed)
		}
		if lag := h.now.Mono - recovery; lag > bound {
			t.Errorf("seed %d: target dropped %v after the store's recovery, want at most %v", seed, lag, bound)
		}
	}
}

// TestPeerLoopIsRejected checks that a reply from a peer that follows this host, or whose
// path is too long, does not count as contact with the store.
func TestPeerLoopIsRejected(t *testing.T) {
	for _, path := range [][]string{{"peer", "self"}, {"peer", "other", "self"}, {"a", "b", "c", "d"}} {
		h := &harness{t: t, f: New(Config{Self: "self", WaitForPeers: true, Seed: 1})}
		h.step(&Start{})
		h.step(&Sources{Hosts: []string{"peer", "self"}})
		h.advance(coalesceDelay)
		h.step(&Changes{Items: []Item{configItem(3, 7)}, Revision: 10, Path: path})
		if p := h.fx.Progress; p == nil || p.Fresh {
			t.Errorf("path %v counts as contact with the store", path)
		}
		h.advance(coalesceDelay)
		if c := h.fx.Call; c == nil || c.Peer != storeSource {
			t.Errorf("after path %v the call is %+v, want the store", path, c)
		}
	}
	h := &harness{t: t, f: New(Config{Self: "self", WaitForPeers: true, Seed: 1})}
	h.step(&Start{})
	h.step(&Sources{Hosts: []string{"peer", "self"}})
	h.advance(coalesceDelay)
	h.step(&Changes{Items: []Item{configItem(3, 7)}, Revision: 10, Path: []string{"peer", "far"}})
	if p := h.fx.Progress; p == nil || !p.Fresh || len(p.Path) != 2 {
		t.Errorf("progress is %+v", p)
	}
}

// TestFirstCallToPeerDoesNotWait checks that a peer is watched without a wait until its
// reply has shown its path.
func TestFirstCallToPeerDoesNotWait(t *testing.T) {
	h := &harness{t: t, f: New(Config{Self: "self", WaitForPeers: true, Seed: 1})}
	h.step(&Start{})
	h.step(&Sources{Hosts: []string{"peer", "self"}})
	h.advance(coalesceDelay)
	if c := h.fx.Call; c == nil || c.Peer != "peer" || c.Wait != 0 {
		t.Fatalf("first call is %+v, want one that does not wait", c)
	}
	h.step(&Changes{Revision: 10, Path: []string{"peer"}})
	if c := h.fx.Call; c == nil || c.Peer != "peer" || c.Wait < time.Second {
		t.Errorf("second call is %+v, want a watch", c)
	}
}

// TestOlderListDoesNotRevertState lists from a replica whose revision is behind the known
// state.
func TestOlderListDoesNotRevertState(t *testing.T) {
	h := newListedHarness(t)
	h.step(&Changes{Items: []Item{
		configItem(18, 9), targetItem(19, "b"), {Key: "z/z0", Kind: ZoneItem, Name: "z0", Revision: 20},
	}, Revision: 20})
	h.advance(time.Second)
	h.step(&HistoryGone{})
	h.advance(time.Second)
	h.step(&Page{Items: []Item{configItem(3, 7), targetItem(5, "a")}, Revision: 10})
	h.advance(time.Minute)
	v := h.f.View()
	if v.Config.Version != 9 || v.Targets["a"] == nil || v.Targets["b"] == nil || !v.EvacuatedZones["z0"] || v.Revision != 20 {
		t.Errorf("after an older list: version %d, targets %v, evacuated zones %v, revision %d", v.Config.Version, v.Targets, v.EvacuatedZones, v.Revision)
	}
	h.step(&HistoryGone{})
	h.advance(time.Second)
	h.step(&Page{Items: []Item{configItem(18, 9), targetItem(5, "a")}, Revision: 30})
	h.advance(time.Minute)
	if v := h.f.View(); v.Targets["b"] != nil || v.EvacuatedZones["z0"] {
		t.Errorf("after a newer list: targets %v, evacuated zones %v", v.Targets, v.EvacuatedZones)
	}
}

// TestRelistsAreDelayed checks that a store that answers each watch with HistoryGone is
// listed no more often than once per coalesceDelay.
func TestRelistsAreDelayed(t *testing.T) {
	h := newListedHarness(t)
	const rounds = 10
	begin := h.now.Mono
	for range rounds {
		h.step(&HistoryGone{})
		for h.fx.Call == nil {
			due, _ := h.f.NextWake()
			h.advance(due - h.now.Mono)
		}
		h.step(&Page{Items: []Item{configItem(3, 7), targetItem(5, "a")}, Revision: 10})
	}
	if took := h.now.Mono - begin; took < rounds*coalesceDelay {
		t.Errorf("%d lists in %v, want a delay of %v before each", rounds, took, coalesceDelay)
	}
}

// TestBusyStoreIsWatchedLessOften replays a store that changes every 20 ms for ten seconds, as
// while the targets of several services are replaced. The watches must be few, each change known
// within the longest delay, and a change after a quiet time must be known at once.
func TestBusyStoreIsWatchedLessOften(t *testing.T) {
	const busy, between, maxCalls = 10 * time.Second, 20 * time.Millisecond, 20
	h := newListedHarness(t)
	revision, calls, lastCall := uint64(10), 0, h.now.Mono
	for end := h.now.Mono + busy; h.now.Mono < end; {
		h.advance(between)
		revision++
		if !h.f.callInProgress {
			continue
		}
		if waited := h.now.Mono - lastCall; waited > maxCoalesceDelay+2*between {
			t.Fatalf("%v between two watches, want at most %v", waited, maxCoalesceDelay)
		}
		calls, lastCall = calls+1, h.now.Mono
		h.step(&Changes{Items: []Item{targetItem(revision, "a")}, Revision: revision})
	}
	if calls > maxCalls {
		t.Errorf("%d watches in %v, want at most %d", calls, busy, maxCalls)
	}
	h.advance(maxCoalesceDelay)
	h.step(&Changes{Revision: revision})
	if !h.f.callInProgress {
		t.Error("no watch waits after a reply without changes")
	}
	h.step(&Changes{Items: []Item{targetItem(revision+1, "a")}, Revision: revision + 1})
	h.advance(coalesceDelay)
	if !h.f.callInProgress {
		t.Errorf("no watch %v after a change that follows a quiet time", coalesceDelay)
	}
}

// TestViewIsPublishedOnceListed checks that a starting host does not serve from the first pages
// of the store's list.
func TestViewIsPublishedOnceListed(t *testing.T) {
	h := newHarness(t)
	h.step(&Page{Items: []Item{configItem(3, 7), targetItem(5, "a")}, More: true, Revision: 10})
	if h.fx.View != nil {
		t.Errorf("view %+v was published before the list ended", h.fx.View)
	}
	h.step(&Page{Items: []Item{targetItem(12, "b")}, Revision: 12})
	if v := h.fx.View; v == nil || len(v.Targets) != 2 {
		t.Errorf("view %+v, want one with 2 targets", v)
	}
}

// TestOutdatedViewOfPeerIsPublishedWithoutStore checks that a starting host uses what a peer
// without contact with the store knows only once the store has failed too.
func TestOutdatedViewOfPeerIsPublishedWithoutStore(t *testing.T) {
	start := func() *harness {
		h := &harness{t: t, f: New(Config{Self: "self", WaitForPeers: true, Seed: 1})}
		h.step(&Start{})
		h.step(&Sources{Hosts: []string{"peer", "self"}})
		h.advance(coalesceDelay)
		h.step(&Changes{Items: []Item{configItem(3, 7), targetItem(5, "left")}, Revision: 10, Stale: true})
		if h.fx.View != nil {
			t.Errorf("view %+v of an outdated peer was published", h.fx.View)
		}
		h.advance(coalesceDelay)
		return h
	}
	h := start()
	h.step(&Page{Items: []Item{configItem(3, 7), targetItem(5, "a")}, Revision: 11})
	if v := h.fx.View; v == nil || v.Targets["left"] != nil || v.Targets["a"] == nil {
		t.Errorf("view %+v, want one without the target that left", v)
	}
	h = start()
	h.step(&CallFailed{Reason: "silent"})
	if v := h.fx.View; v == nil || v.Targets["left"] == nil {
		t.Errorf("view %+v, want the one of the peer while the store is unavailable", v)
	}
}

// TestPartialCatalogOfPeerIsNotPublished guards against a host that starts while large entries lie in the store
// and answers without the targets or routes of the peer's later replies.
func TestPartialCatalogOfPeerIsNotPublished(t *testing.T) {
	h := &harness{t: t, f: New(Config{Self: "self", WaitForPeers: true, Seed: 1})}
	h.step(&Start{})
	h.step(&Sources{Hosts: []string{"peer", "self"}})
	h.advance(coalesceDelay)
	h.step(&Changes{Items: []Item{configItem(3, 7), targetItem(5, "a")}, Revision: 5, KnownSince: 9})
	if h.fx.View != nil {
		t.Errorf("view %+v was published, a part of the peer's", h.fx.View)
	}
	if c := h.fx.Call; c == nil || c.Peer != "peer" || c.AfterRevision != 5 {
		t.Fatalf("next call is %+v, want the rest at once", c)
	}
	h.step(&Changes{Items: []Item{targetItem(8, "b")}, Revision: 9, KnownSince: 9, Live: []uint64{KeyHash("t/a"), KeyHash("t/b")}, HasLive: true})
	if v := h.fx.View; v == nil || v.Targets["a"] == nil || v.Targets["b"] == nil {
		t.Errorf("view %+v, want both targets", v)
	}
}

// TestUnusableWatchIsReplacedByList guards against a host that learns nothing while the reply to its watch
// is too large to read, or holds what cannot be read: it would ask for the same reply for ever.
func TestUnusableWatchIsReplacedByList(t *testing.T) {
	h := newListedHarness(t)
	for range maxUnusableWatches - 1 {
		h.step(&CallFailed{Reason: "too large", Unusable: true})
		h.advance(maxBackoff + maxBackoff/2)
		if c := h.fx.Call; c == nil || !c.Watch {
			t.Fatalf("after one unusable reply the call is %+v, want the watch", h.fx.Call)
		}
	}
	h.step(&CallFailed{Reason: "too large", Unusable: true})
	h.advance(maxBackoff + maxBackoff/2)
	if c := h.fx.Call; c == nil || c.Watch {
		t.Fatalf("after %d unusable replies the call is %+v, want a list", maxUnusableWatches, h.fx.Call)
	}
	h.step(&Page{Items: []Item{configItem(40, 9), targetItem(5, "a")}, Revision: 50})
	if v := h.f.View(); v.Config.Version != 9 || h.fx.Call == nil || h.fx.Call.AfterRevision != 50 {
		t.Errorf("version %d is in force and the call is %+v, want 9 and a watch from 50", v.Config.Version, h.fx.Call)
	}
	for range 3 * maxUnusableWatches {
		h.step(&CallFailed{Reason: "reset"})
		h.advance(maxBackoff + maxBackoff/2)
		if c := h.fx.Call; c != nil && !c.Watch {
			t.Fatal("failed calls without a reply begin a list")
		}
	}
}

// TestEmptyPageIsNotTheEndOfAList guards against a host that takes an empty page for the end of the
// list although more items follow: it removes all targets that it did not list, and a host that starts
// never learns the configuration.
func TestEmptyPageIsNotTheEndOfAList(t *testing.T) {
	started := newListedHarness(t)
	started.step(&HistoryGone{})
	started.advance(coalesceDelay)
	for name, h := range map[string]*harness{"first list": newHarness(t), "later list": started} {
		known := len(h.f.View().Targets)
		h.step(&Page{Revision: 20, More: true})
		h.advance(time.Minute)
		if h.fx.Call == nil || h.fx.Call.Watch || len(h.f.View().Targets) != known {
			t.Errorf("%s: call is %+v, view %+v, want the list to go on and nothing removed", name, h.fx.Call, h.f.View())
			continue
		}
		h.step(&Page{Items: []Item{configItem(3, 7), targetItem(5, "a")}, Revision: 20})
		if v := h.f.View(); v.Config == nil || v.Targets["a"] == nil {
			t.Errorf("%s: view is %+v after the list", name, v)
		}
	}
}

// TestManyEvacuatedZonesAreCheap guards against a host that works out all evacuated zones again for
// each one of a reply, and stands still while it does. What it allocates shows how much work that is.
func TestManyEvacuatedZonesAreCheap(t *testing.T) {
	const zones, maxBytesPerZone = 2000, 10_000
	h := newListedHarness(t)
	changes := &Changes{Revision: 100 + zones}
	for i := range zones {
		name := strconv.Itoa(i)
		changes.Items = append(changes.Items, Item{Key: "z/" + name, Kind: ZoneItem, Name: name, Revision: uint64(100 + i)})
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	h.step(changes)
	runtime.ReadMemStats(&after)
	if got := (after.TotalAlloc - before.TotalAlloc) / zones; got > maxBytesPerZone {
		t.Errorf("%d bytes are allocated for each zone, want at most %d", got, maxBytesPerZone)
	}
	if got := len(h.f.View().EvacuatedZones); got != zones {
		t.Errorf("%d zones are evacuated, want %d", got, zones)
	}
}
