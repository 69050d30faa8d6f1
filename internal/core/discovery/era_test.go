package discovery

import (
	"testing"
	"time"
)

// newEraHarness returns a harness that has listed items of the store's first era at revision 10.
func newEraHarness(t *testing.T, items ...Item) *harness {
	h := newHarness(t)
	h.step(&Page{Items: append([]Item{configItem(3, 7)}, items...), Revision: 10, Era: 1})
	return h
}

// restore tells the harness that the store's history is gone since it is of a second era, and has
// it list the items of the copy.
func (h *harness) restore(revision uint64, items ...Item) {
	h.t.Helper()
	h.step(&HistoryGone{Era: 2})
	h.advance(coalesceDelay)
	if c := h.fx.Call; c == nil || c.Watch || c.AfterKey != "" {
		h.t.Fatalf("after the store was restored the call is %+v, want a list from its begin", h.fx.Call)
	}
	h.step(&Page{Items: items, Revision: revision, Era: 2})
}

// TestChangesAfterStoreWasRestored has the store come back from an older copy, below the revision
// that the host knew: it must learn what is written next under revisions given out again.
func TestChangesAfterStoreWasRestored(t *testing.T) {
	h := newEraHarness(t, targetItem(5, "a"))
	h.restore(6, configItem(3, 7), targetItem(5, "a"))
	if c := h.fx.Call; c == nil || !c.Watch || c.AfterRevision != 6 || c.Era != 2 {
		t.Fatalf("call is %+v, want a watch from revision 6", h.fx.Call)
	}
	h.step(&Changes{Items: []Item{configItem(7, 8), targetItem(8, "b")}, Revision: 8, Era: 2})
	if v := h.f.View(); v.Config.Version != 8 || v.Targets["a"] == nil || v.Targets["b"] == nil {
		t.Errorf("version %d in force and targets %v, want what was written at revisions 7 and 8", v.Config.Version, v.Targets)
	}
	if p := h.fx.Progress; p == nil || p.Era != 2 || p.Revision != 8 {
		t.Errorf("progress is %+v, want revision 8 of the second era", p)
	}
}

// TestRestoredStorePassesKnownRevision has the revisions of a restored store exceed the known one
// before the next call: the watch is answered, but lacks what was written below.
func TestRestoredStorePassesKnownRevision(t *testing.T) {
	h := newEraHarness(t)
	h.step(&Changes{Items: []Item{targetItem(11, "c")}, Revision: 11, Era: 2})
	if c := h.fx.Call; c == nil || c.Watch {
		t.Fatalf("call is %+v, want a list", c)
	}
	h.step(&Page{Items: []Item{configItem(8, 9)}, More: true, Revision: 12, Era: 3})
	h.step(&Page{Items: []Item{targetItem(11, "c")}, Revision: 12, Era: 4})
	if c := h.fx.Call; c == nil || c.Watch || c.AfterKey != "" {
		t.Fatalf("after a second restore within a list the call is %+v, want the list from its begin", c)
	}
	h.step(&Page{Items: []Item{configItem(8, 9), targetItem(11, "c")}, Revision: 12, Era: 4})
	if v := h.f.View(); v.Config.Version != 9 || v.Targets["c"] == nil {
		t.Errorf("version %d in force and targets %v, want version 9 and c", v.Config.Version, v.Targets)
	}
	h.step(&Changes{Items: []Item{configItem(20, 3)}, Revision: 20, Era: 3})
	if v := h.f.View(); v.Config.Version != 9 || v.Revision != 12 {
		t.Errorf("version %d at revision %d after a reply of an earlier era, want 9 at 12", v.Config.Version, v.Revision)
	}
}

// TestFollowerOfRestoredPeer has a host learn of the restored store from the peer that it follows,
// which knows all items of the new era; what is not among them any more is removed.
func TestFollowerOfRestoredPeer(t *testing.T) {
	h := &harness{t: t, f: New(Config{Self: "self", WaitForPeers: true, Seed: 1})}
	h.step(&Start{})
	h.step(&Sources{Hosts: []string{"peer", "self"}})
	h.advance(coalesceDelay)
	h.step(&Changes{Items: []Item{configItem(3, 7), targetItem(5, "a"), targetItem(6, "b")}, Revision: 10, KnownSince: 10, Era: 1})
	h.advance(coalesceDelay)
	if c := h.fx.Call; c == nil || c.Era != 1 || c.AfterRevision != 10 {
		t.Fatalf("call is %+v, want a watch from revision 10 of the first era", c)
	}
	live := []uint64{KeyHash("config"), KeyHash("t/a"), KeyHash("t/c")}
	h.step(&Changes{Items: []Item{configItem(3, 8), targetItem(5, "a"), targetItem(7, "c")}, Revision: 7, KnownSince: 6, Live: live, HasLive: true, Era: 2})
	if len(h.fx.AppliedItems) != 3 || h.fx.Progress == nil || h.fx.Progress.Era != 2 || h.fx.Progress.Revision != 7 {
		t.Errorf("peers are told %v and %+v, want three items at revision 7 of the second era", h.fx.AppliedItems, h.fx.Progress)
	}
	h.advance(removalDelay)
	if v := h.f.View(); v.Config.Version != 8 || v.Targets["a"] == nil || v.Targets["b"] != nil || v.Targets["c"] == nil {
		t.Errorf("version %d and targets %v, want version 8, a and c", v.Config.Version, v.Targets)
	}
	h.step(&Changes{Items: []Item{configItem(30, 6)}, Revision: 30, Era: 1})
	if v := h.f.View(); v.Config.Version != 8 || h.fx.Progress.Fresh {
		t.Errorf("a peer that follows the earlier era counts as up to date: version %d, %+v", v.Config.Version, h.fx.Progress)
	}
}

// TestPeersAreServedFormerEraUntilListEnds has a host list a restored store in several pages. Its
// followers must not take the first ones for all items.
func TestPeersAreServedFormerEraUntilListEnds(t *testing.T) {
	h := newEraHarness(t, targetItem(5, "a"))
	h.step(&HistoryGone{Era: 2})
	h.advance(coalesceDelay)
	h.step(&Page{Items: []Item{configItem(3, 7)}, More: true, Revision: 6, Era: 2})
	if len(h.fx.AppliedItems) > 0 || h.fx.Progress != nil {
		t.Errorf("peers are told %v and %+v within the list", h.fx.AppliedItems, h.fx.Progress)
	}
	h.step(&CallFailed{Reason: "reset"})
	if p := h.fx.Progress; p == nil || p.Era != 1 || p.Fresh {
		t.Errorf("progress after a failed list is %+v, want the first era, out of date", p)
	}
	h.advance(time.Second)
	h.step(&Page{Items: []Item{targetItem(5, "a")}, Revision: 6, Era: 2})
	if len(h.fx.AppliedItems) != 2 || h.fx.Progress == nil || h.fx.Progress.Era != 2 {
		t.Errorf("peers are told %v and %+v after the list, want both items", h.fx.AppliedItems, h.fx.Progress)
	}
}
