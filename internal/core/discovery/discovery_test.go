package discovery

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/clock"
)

// world steps a follower in virtual time.
type world struct {
	t   *testing.T
	f   *Follower
	now clock.Instant
	fx  Effects
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, f: New("self", true, 1)}
	w.step(&Start{})
	w.pass(startWait)
	return w
}

func (w *world) step(ev Event) {
	w.fx.Reset()
	w.f.Step(w.now, ev, &w.fx)
}

// pass moves time on, waking the follower when it asks for it.
func (w *world) pass(d time.Duration) {
	w.fx.Reset()
	end := w.now.Add(d)
	for {
		due, ok := w.f.NextWake()
		if !ok || due > end.Mono {
			break
		}
		if due > w.now.Mono {
			w.now = w.now.Add(due - w.now.Mono)
		}
		w.f.Advance(w.now, &w.fx)
	}
	w.now = end
}

func configItem(revision, version uint64) Item {
	return Item{Key: "config", Kind: ConfigItem, Revision: revision, Config: catalog.NewConfig(version, nil, nil, catalog.Limits{})}
}

func targetItem(revision uint64, name string) Item {
	return Item{Key: "t/" + name, Kind: TargetItem, Name: name, Revision: revision, Target: &catalog.Target{Instance: name, Revision: revision}}
}

// listed returns a world that has listed one target and a configuration at revision 10.
func listed(t *testing.T) *world {
	w := newWorld(t)
	w.step(&Page{Items: []Item{configItem(3, 7), targetItem(5, "a")}, Revision: 10})
	return w
}

func TestListThenWatch(t *testing.T) {
	w := newWorld(t)
	if w.fx.Call == nil || w.fx.Call.Watch {
		t.Fatalf("call is %+v, want a list", w.fx.Call)
	}
	w.step(&Page{Items: []Item{configItem(3, 7)}, More: true, Revision: 10})
	if w.fx.Call == nil || w.fx.Call.Watch || w.fx.Call.AfterKey != "config" {
		t.Fatalf("call is %+v, want the next page", w.fx.Call)
	}
	w.step(&Page{Items: []Item{targetItem(12, "a")}, Revision: 12})
	if w.fx.Call == nil || !w.fx.Call.Watch || w.fx.Call.AfterRevision != 10 {
		t.Fatalf("call is %+v, want a watch from the first page's revision", w.fx.Call)
	}
	if v := w.fx.View; v == nil || v.Config.Version != 7 || v.Targets["a"] == nil {
		t.Fatalf("view is %+v", w.fx.View)
	}
}

// TestMissedWatchEndsWithinBound bounds how long a watch that never ends on the store's
// side can keep a change from the host.
func TestMissedWatchEndsWithinBound(t *testing.T) {
	const bound = 5 * time.Second
	w := listed(t)
	if wait := w.fx.Call.Wait; wait >= bound {
		t.Errorf("a watch waits %v, want less than %v", wait, bound)
	}
}

func TestEntryBackInTimeIsKept(t *testing.T) {
	w := listed(t)
	w.step(&Changes{Items: []Item{{Key: "t/a", Kind: TargetItem, Name: "a", Revision: 11, Deleted: true}}, Revision: 11})
	w.pass(removalDelay - time.Millisecond)
	if w.f.View().Targets["a"] == nil {
		t.Fatal("the target left before its entry could be back")
	}
	w.step(&Changes{Items: []Item{targetItem(12, "a")}, Revision: 12})
	w.pass(time.Minute)
	if w.f.View().Targets["a"] == nil {
		t.Fatal("the target left although its entry is back")
	}
}

func TestEntryThatStaysAwayIsRemoved(t *testing.T) {
	w := listed(t)
	w.step(&Changes{Items: []Item{{Key: "t/a", Kind: TargetItem, Name: "a", Revision: 11, Deleted: true}}, Revision: 11})
	w.pass(removalDelay)
	if w.f.View().Targets["a"] != nil {
		t.Fatal("the target is still in use")
	}
}

// TestListAfterLostHistoryRemovesWhatIsGone loses the history: what the new list lacks
// leaves, after the same delay, and evacuations that ended end here.
func TestListAfterLostHistoryRemovesWhatIsGone(t *testing.T) {
	w := listed(t)
	w.step(&Changes{Items: []Item{{Key: "z/n", Kind: ZoneItem, Name: "n", Revision: 11}}, Revision: 11})
	if !w.f.View().ZonesOut["n"] {
		t.Fatal("the zone is not out")
	}
	w.step(&HistoryGone{})
	w.pass(gatherPause)
	if w.fx.Call == nil || w.fx.Call.Watch {
		t.Fatalf("call is %+v, want a list", w.fx.Call)
	}
	w.step(&Page{Items: []Item{configItem(3, 7), targetItem(15, "b")}, Revision: 20})
	if w.f.View().ZonesOut["n"] {
		t.Error("the zone is still out")
	}
	w.pass(removalDelay)
	if v := w.f.View(); v.Targets["a"] != nil || v.Targets["b"] == nil {
		t.Errorf("targets are %v", v.Targets)
	}
}

func TestOlderItemNeverReplacesNewer(t *testing.T) {
	w := listed(t)
	w.step(&Changes{Items: []Item{configItem(12, 9), configItem(11, 8)}, Revision: 12})
	if got := w.f.View().Config.Version; got != 9 {
		t.Errorf("version %d is in force, want 9", got)
	}
}

func TestUnreadableItems(t *testing.T) {
	w := listed(t)
	w.step(&Changes{Items: []Item{
		{Key: "config", Kind: ConfigItem, Revision: 12, Fault: "broken"},
		{Key: "t/a", Kind: TargetItem, Name: "a", Revision: 13, Fault: "broken"},
	}, Revision: 13})
	if v := w.f.View(); v.Config.Version != 7 || v.Targets["a"] != nil {
		t.Errorf("view is %+v, want the configuration kept and the target out", v)
	}
	if len(w.fx.Records) != 2 {
		t.Errorf("%d records, want one for each fault", len(w.fx.Records))
	}
}

// TestFailedCallsBackOff bounds the calls in an outage, each of which is priced, and the
// time until the store's return is noticed.
func TestFailedCallsBackOff(t *testing.T) {
	w := listed(t)
	calls := 0
	for w.now.Mono < 10*time.Second {
		w.step(&CallFailed{Reason: "refused"})
		calls++
		w.fx.Reset()
		due, _ := w.f.NextWake()
		if gap := due - w.now.Mono; gap > maxBackoff*3/2 {
			t.Fatalf("a pause of %v", gap)
		}
		w.pass(due - w.now.Mono)
	}
	if calls > 15 {
		t.Errorf("%d calls in 10 s of outage", calls)
	}
}

// TestFollowsPeerAndFallsBackToStore ranks a peer first: it is watched, a failure leads to
// the store, and after a pause the peer is asked again.
func TestFollowsPeerAndFallsBackToStore(t *testing.T) {
	w := &world{t: t, f: New("self", true, 1)}
	w.step(&Start{})
	w.step(&Sources{Hosts: []string{"peer", "self"}})
	w.pass(gatherPause)
	if c := w.fx.Call; c == nil || c.Peer != "peer" || !c.Watch || c.AfterRevision != 0 {
		t.Fatalf("call is %+v, want a watch of the peer", c)
	}
	w.step(&Changes{Items: []Item{configItem(3, 7)}, Revision: 10})
	if w.f.View().Config == nil || w.f.View().Revision != 10 {
		t.Fatal("the peer's items are not in force")
	}
	w.pass(gatherPause)
	w.step(&CallFailed{Reason: "gone"})
	if c := w.fx.Call; c == nil || c.Peer != store || !c.Watch {
		t.Fatalf("call is %+v, want a watch of the store", c)
	}
	w.pass(peerPause)
	w.step(&Changes{Revision: 11})
	if c := w.fx.Call; c == nil || c.Peer != "peer" {
		t.Fatalf("call is %+v, want the peer again", c)
	}
}

// TestStalePeerIsLeft takes what a peer without contact to the store knows, and asks
// another source next.
func TestStalePeerIsLeft(t *testing.T) {
	w := &world{t: t, f: New("self", true, 1)}
	w.step(&Start{})
	w.step(&Sources{Hosts: []string{"peer", "self"}})
	w.pass(gatherPause)
	w.step(&Changes{Items: []Item{configItem(3, 7)}, Revision: 10, Stale: true})
	if w.f.View().Config == nil {
		t.Error("what the peer knows is not in force")
	}
	if p := w.fx.Progress; p == nil || p.Fresh {
		t.Errorf("progress is %+v, want one that is not fresh", p)
	}
	w.pass(gatherPause)
	if c := w.fx.Call; c == nil || c.Peer != store {
		t.Errorf("call is %+v, want the store", c)
	}
}

// TestStoreIsProbedAfterAFailure bounds how long a store that is back goes unnoticed: the
// calls after a failure do not wait, whoever makes them.
func TestStoreIsProbedAfterAFailure(t *testing.T) {
	w := listed(t)
	if w.fx.Call.Wait != watchWait {
		t.Fatalf("a watch of a sound store waits %v", w.fx.Call.Wait)
	}
	w.step(&CallFailed{Reason: "silent"})
	w.pass(2 * maxBackoff)
	if c := w.fx.Call; c == nil || c.Peer != store || c.Wait != 0 {
		t.Fatalf("call after a failure is %+v, want one that does not wait", c)
	}
	w.step(&Changes{Revision: 10})
	if c := w.fx.Call; c == nil || c.Wait != watchWait {
		t.Errorf("call after the return is %+v, want a watch", c)
	}
}

// TestFollowerOfAStalePeerProbes lets the peer lose the store: this host asks the store
// without waiting, and the peer again soon.
func TestFollowerOfAStalePeerProbes(t *testing.T) {
	w := &world{t: t, f: New("self", true, 1)}
	w.step(&Start{})
	w.step(&Sources{Hosts: []string{"peer", "self"}})
	w.pass(gatherPause)
	w.step(&Changes{Items: []Item{configItem(3, 7)}, Revision: 10, Stale: true})
	w.pass(gatherPause)
	if c := w.fx.Call; c == nil || c.Peer != store || c.Wait > spareWait {
		t.Fatalf("call is %+v, want one to the store that waits at most %v", c, spareWait)
	}
	w.step(&CallFailed{Reason: "silent"})
	w.pass(stalePause)
	if c := w.fx.Call; c == nil || c.Peer != "peer" {
		t.Errorf("call is %+v, want the peer", c)
	}
}

// TestImpatientHostCallsTheStoreAtOnce starts while callers wait.
func TestImpatientHostCallsTheStoreAtOnce(t *testing.T) {
	w := &world{t: t, f: New("self", false, 1)}
	w.step(&Start{})
	if w.fx.Call == nil || w.fx.Call.Peer != store {
		t.Errorf("call is %+v, want the store", w.fx.Call)
	}
}

// TestTargetIsDroppedSoonAfterTheStoresReturn lets the store turn the host away while a
// target leaves, over many seeds: 5 s after the store's return the host must not use the
// target, less the time that a host which follows this one may lag behind it.
func TestTargetIsDroppedSoonAfterTheStoresReturn(t *testing.T) {
	const (
		callTimeout = 700 * time.Millisecond
		bound       = 5*time.Second - stalePause - gatherPause
	)
	for seed := range uint64(50) {
		w := &world{t: t, f: New("self", false, seed)}
		w.step(&Start{})
		w.step(&Page{Items: []Item{configItem(3, 7), targetItem(5, "a")}, Revision: 10})
		back := 9*time.Second + time.Duration(seed)*37*time.Millisecond
		for {
			due, _ := w.f.NextWake()
			w.pass(max(0, due-w.now.Mono))
			if w.now.Mono >= back {
				break
			}
			w.pass(callTimeout)
			w.step(&CallFailed{Reason: "silent"})
		}
		w.step(&Changes{Items: []Item{{Key: "t/a", Kind: TargetItem, Name: "a", Revision: 11, Deleted: true}}, Revision: 11})
		w.pass(removalDelay)
		if w.f.View().Targets["a"] != nil {
			t.Fatalf("seed %d: the target is still in use", seed)
		}
		if lag := w.now.Mono - back; lag > bound {
			t.Errorf("seed %d: dropped %v after the store's return, want at most %v", seed, lag, bound)
		}
	}
}

// TestHostsDoNotFollowEachOther gets a reply from a peer that learns from this host, or
// over many others: it is no contact with the store.
func TestHostsDoNotFollowEachOther(t *testing.T) {
	for _, path := range [][]string{{"peer", "self"}, {"peer", "other", "self"}, {"a", "b", "c", "d"}} {
		w := &world{t: t, f: New("self", true, 1)}
		w.step(&Start{})
		w.step(&Sources{Hosts: []string{"peer", "self"}})
		w.pass(gatherPause)
		w.step(&Changes{Items: []Item{configItem(3, 7)}, Revision: 10, Path: path})
		if p := w.fx.Progress; p == nil || p.Fresh {
			t.Errorf("path %v counts as contact with the store", path)
		}
		w.pass(gatherPause)
		if c := w.fx.Call; c == nil || c.Peer != store {
			t.Errorf("after path %v the call is %+v, want the store", path, c)
		}
	}
	w := &world{t: t, f: New("self", true, 1)}
	w.step(&Start{})
	w.step(&Sources{Hosts: []string{"peer", "self"}})
	w.pass(gatherPause)
	w.step(&Changes{Items: []Item{configItem(3, 7)}, Revision: 10, Path: []string{"peer", "far"}})
	if p := w.fx.Progress; p == nil || !p.Fresh || len(p.Path) != 2 {
		t.Errorf("progress is %+v", p)
	}
}

// TestNewSourceAnswersAtOnceFirst asks a peer without a wait until it has shown its path.
func TestNewSourceAnswersAtOnceFirst(t *testing.T) {
	w := &world{t: t, f: New("self", true, 1)}
	w.step(&Start{})
	w.step(&Sources{Hosts: []string{"peer", "self"}})
	w.pass(gatherPause)
	if c := w.fx.Call; c == nil || c.Peer != "peer" || c.Wait != 0 {
		t.Fatalf("first call is %+v, want one that does not wait", c)
	}
	w.step(&Changes{Revision: 10, Path: []string{"peer"}})
	if c := w.fx.Call; c == nil || c.Peer != "peer" || c.Wait != watchWait {
		t.Errorf("second call is %+v, want a watch", c)
	}
}

// TestOlderListTakesNothingBack lists from a replica that lags behind what is known.
func TestOlderListTakesNothingBack(t *testing.T) {
	w := listed(t)
	w.step(&Changes{Items: []Item{
		configItem(18, 9), targetItem(19, "b"), {Key: "z/z0", Kind: ZoneItem, Name: "z0", Revision: 20},
	}, Revision: 20})
	w.pass(time.Second)
	w.step(&HistoryGone{})
	w.pass(time.Second)
	w.step(&Page{Items: []Item{configItem(3, 7), targetItem(5, "a")}, Revision: 10})
	w.pass(time.Minute)
	v := w.f.View()
	if v.Config.Version != 9 || v.Targets["a"] == nil || v.Targets["b"] == nil || !v.ZonesOut["z0"] || v.Revision != 20 {
		t.Errorf("after an older list: version %d, targets %v, zones out %v, revision %d", v.Config.Version, v.Targets, v.ZonesOut, v.Revision)
	}
	w.step(&HistoryGone{})
	w.pass(time.Second)
	w.step(&Page{Items: []Item{configItem(18, 9), targetItem(5, "a")}, Revision: 30})
	w.pass(time.Minute)
	if v := w.f.View(); v.Targets["b"] != nil || v.ZonesOut["z0"] {
		t.Errorf("after a newer list: targets %v, zones out %v", v.Targets, v.ZonesOut)
	}
}

// TestStoreWithoutHistoryIsNotPressed answers each watch that the history is gone.
func TestStoreWithoutHistoryIsNotPressed(t *testing.T) {
	w := listed(t)
	const rounds = 10
	begin := w.now.Mono
	for range rounds {
		w.step(&HistoryGone{})
		for w.fx.Call == nil {
			due, _ := w.f.NextWake()
			w.pass(due - w.now.Mono)
		}
		w.step(&Page{Items: []Item{configItem(3, 7), targetItem(5, "a")}, Revision: 10})
	}
	if took := w.now.Mono - begin; took < rounds*gatherPause {
		t.Errorf("%d lists in %v, want a pause of %v before each", rounds, took, gatherPause)
	}
}
