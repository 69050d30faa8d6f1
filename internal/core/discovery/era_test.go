package discovery

import (
	"testing"
	"time"
)

// report returns the entry of a target that its report of the given number changed last.
func report(revision uint64, name string, sequence uint64) Item {
	it := targetItem(revision, name)
	it.Target.Sequence = sequence
	return it
}

func zoneItem(revision uint64, zone string) Item {
	return Item{Key: "z/" + zone, Kind: ZoneItem, Name: zone, Revision: revision}
}

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
	h := newEraHarness(t, report(5, "a", 1))
	h.restore(6, configItem(3, 7), report(5, "a", 1))
	if c := h.fx.Call; c == nil || !c.Watch || c.AfterRevision != 6 || c.Era != 2 {
		t.Fatalf("call is %+v, want a watch from revision 6", h.fx.Call)
	}
	h.step(&Changes{Items: []Item{configItem(7, 8), report(8, "b", 1)}, Revision: 8, Era: 2})
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
	h.step(&Changes{Items: []Item{report(11, "c", 1)}, Revision: 11, Era: 2})
	if c := h.fx.Call; c == nil || c.Watch {
		t.Fatalf("call is %+v, want a list", c)
	}
	h.step(&Page{Items: []Item{configItem(8, 9)}, More: true, Revision: 12, Era: 3})
	h.step(&Page{Items: []Item{report(11, "c", 1)}, Revision: 12, Era: 4})
	if c := h.fx.Call; c == nil || c.Watch || c.AfterKey != "" {
		t.Fatalf("after a second restore within a list the call is %+v, want the list from its begin", c)
	}
	h.step(&Page{Items: []Item{configItem(8, 9), report(11, "c", 1)}, Revision: 12, Era: 4})
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
	h.step(&Changes{Items: []Item{configItem(3, 7), report(5, "a", 1), report(6, "b", 1)}, Revision: 10, KnownSince: 10, Era: 1})
	h.advance(coalesceDelay)
	if c := h.fx.Call; c == nil || c.Era != 1 || c.AfterRevision != 10 {
		t.Fatalf("call is %+v, want a watch from revision 10 of the first era", c)
	}
	live := []uint64{KeyHash("config"), KeyHash("t/a"), KeyHash("t/c")}
	h.step(&Changes{Items: []Item{configItem(3, 8), report(5, "a", 1), report(7, "c", 1)}, Revision: 7, KnownSince: 6, Live: live, HasLive: true, Era: 2})
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
	h := newEraHarness(t, report(5, "a", 1))
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
	h.step(&Page{Items: []Item{report(5, "a", 1)}, Revision: 6, Era: 2})
	if len(h.fx.AppliedItems) != 2 || h.fx.Progress == nil || h.fx.Progress.Era != 2 {
		t.Errorf("peers are told %v and %+v after the list, want both items", h.fx.AppliedItems, h.fx.Progress)
	}
}

// TestTargetGoneBeforeCopyStaysOut has the copy name a target that has left since. It must not be
// used again, unless its own report or the end of the hold shows that it is there.
func TestTargetGoneBeforeCopyStaysOut(t *testing.T) {
	const hold = holdReports * defaultReportInterval
	gone := Item{Key: "t/a", Kind: TargetItem, Name: "a", Revision: 11, Deleted: true}
	for _, pending := range []bool{false, true} {
		h := newEraHarness(t, report(5, "a", 4), report(6, "b", 4))
		h.step(&Changes{Items: []Item{gone}, Revision: 11, Era: 1})
		if !pending {
			h.advance(removalDelay)
		}
		h.restore(7, configItem(3, 7), report(5, "a", 3), report(6, "b", 4))
		h.advance(hold - 10*time.Millisecond)
		if h.f.View().Targets["a"] != nil || h.f.View().Targets["b"] == nil {
			t.Errorf("pending %v: targets %v within the hold, want b only", pending, h.f.View().Targets)
		}
		h.advance(20 * time.Millisecond)
		if h.f.View().Targets["a"] == nil {
			t.Errorf("pending %v: the target is out of use although its entry outlived the hold", pending)
		}
	}
	h := newEraHarness(t, report(5, "a", 4))
	h.step(&Changes{Items: []Item{gone}, Revision: 11, Era: 1})
	h.advance(removalDelay)
	h.restore(7, configItem(3, 7), report(5, "a", 3))
	h.step(&Changes{Items: []Item{report(8, "a", 9)}, Revision: 8, Era: 2})
	if h.f.View().Targets["a"] == nil {
		t.Error("the target is out of use although it has reported to the restored store")
	}
}

// TestDrainingTargetOfCopyStaysDraining has the copy name a target as ready that has begun to drain
// since, until it reports again.
func TestDrainingTargetOfCopyStaysDraining(t *testing.T) {
	draining := report(11, "a", 5)
	draining.Target.Draining = true
	h := newEraHarness(t, report(5, "a", 4))
	h.step(&Changes{Items: []Item{draining}, Revision: 11, Era: 1})
	h.restore(7, configItem(3, 7), report(5, "a", 4))
	if a := h.f.View().Targets["a"]; a == nil || !a.Draining {
		t.Errorf("target is %+v after the restore, want it draining", a)
	}
	again := report(8, "a", 6)
	again.Target.Draining = true
	h.step(&Changes{Items: []Item{again}, Revision: 8, Era: 2})
	h.advance(time.Minute)
	if a := h.f.View().Targets["a"]; a == nil || a.Sequence != 6 || !a.Draining {
		t.Errorf("target is %+v after its report, want that", a)
	}
}

// TestTargetThatCopyLacksMayReportAgain has the copy lack a target that registered since: it stays in
// use for the time in which it reports again.
func TestTargetThatCopyLacksMayReportAgain(t *testing.T) {
	h := newEraHarness(t, report(5, "a", 4), report(9, "b", 1), report(10, "c", 1))
	h.restore(7, configItem(3, 7), report(5, "a", 4))
	h.advance(removalDelay - time.Millisecond)
	if v := h.f.View(); v.Targets["b"] == nil || v.Targets["c"] == nil {
		t.Errorf("targets are %v right after the restore, want all three", v.Targets)
	}
	h.step(&Changes{Items: []Item{report(8, "b", 2)}, Revision: 8, Era: 2})
	h.advance(removalDelay)
	if v := h.f.View(); v.Targets["b"] == nil || v.Targets["c"] != nil {
		t.Errorf("targets are %v later, want a and b", v.Targets)
	}
}

// TestEvacuationOutlivesOlderCopy has the copy lack an evacuation that was in force. It stays in force
// until it is written again, withdrawn, or not named when the hold ends.
func TestEvacuationOutlivesOlderCopy(t *testing.T) {
	const hold = holdReports * defaultReportInterval
	h := newEraHarness(t, zoneItem(9, "z0"), zoneItem(10, "z1"), zoneItem(10, "z2"))
	h.restore(7, configItem(3, 7))
	if z := h.f.View().EvacuatedZones; len(z) != 3 {
		t.Errorf("evacuated are %v after the restore, want z0, z1 and z2", z)
	}
	h.step(&Changes{Items: []Item{zoneItem(8, "z0"), {Key: "z/z1", Kind: ZoneItem, Name: "z1", Revision: 9, Deleted: true}}, Revision: 9, Era: 2})
	if z := h.f.View().EvacuatedZones; !z["z0"] || z["z1"] || !z["z2"] {
		t.Errorf("evacuated are %v, want z0 and z2", z)
	}
	h.advance(hold)
	if z := h.f.View().EvacuatedZones; len(z) != 1 || !z["z0"] {
		t.Errorf("evacuated are %v after the hold, want z0", z)
	}
}

// TestConfigurationOfOlderCopyIsNotTaken has the copy hold an older version than the one in force,
// which then comes into force again on no host, also not on those that follow this one.
func TestConfigurationOfOlderCopyIsNotTaken(t *testing.T) {
	h := newEraHarness(t)
	newest := configItem(11, 9)
	newest.Value = []byte("nine")
	h.step(&Changes{Items: []Item{newest}, Revision: 11, Era: 1})
	h.restore(5, configItem(3, 7))
	if v := h.f.View().Config.Version; v != 9 {
		t.Errorf("version %d is in force after the restore, want 9", v)
	}
	var served *Item
	for i := range h.fx.AppliedItems {
		if it := &h.fx.AppliedItems[i]; it.Kind == ConfigItem {
			served = it
		}
	}
	if served == nil || string(served.Value) != "nine" || served.Revision != 3 {
		t.Errorf("peers are served %+v, want the configuration in force at the item's revision", served)
	}
	for revision := uint64(6); revision <= 8; revision++ {
		version := revision + 2
		h.step(&Changes{Items: []Item{configItem(revision, version)}, Revision: revision, Era: 2})
		if v := h.f.View().Config.Version; v < 9 {
			t.Errorf("version %d is in force after version %d was written again, want 9 or later", v, version)
		}
	}
	if v := h.f.View().Config; v.Version != 10 {
		t.Errorf("version %d is in force at the end, want 10", v.Version)
	}
}

// TestHoldOutlivesStoreThatFailsAgain has the store fail between the word of its restore and the list,
// for longer than the hold, and come back a second time: what was known before must still be held.
func TestHoldOutlivesStoreThatFailsAgain(t *testing.T) {
	h := newEraHarness(t, report(5, "a", 4), zoneItem(9, "z0"))
	h.step(&Changes{Items: []Item{{Key: "t/a", Kind: TargetItem, Name: "a", Revision: 11, Deleted: true}}, Revision: 11, Era: 1})
	h.advance(removalDelay)
	h.step(&HistoryGone{Era: 2})
	for begin := h.now.Mono; h.now.Mono-begin < 2*holdReports*defaultReportInterval; {
		h.advance(maxBackoff)
		if h.f.callInProgress {
			h.step(&CallFailed{Reason: "down"})
		}
		if len(h.f.View().EvacuatedZones) != 1 {
			t.Fatal("an evacuation is withdrawn while nothing of the new era is known")
		}
	}
	h.advance(2 * maxBackoff)
	h.step(&Page{Items: []Item{configItem(3, 7), report(5, "a", 2)}, Revision: 6, Era: 2})
	if v := h.f.View(); v.Targets["a"] != nil || !v.EvacuatedZones["z0"] {
		t.Errorf("after the list targets are %v and evacuated %v, want neither a target nor an end of the evacuation", v.Targets, v.EvacuatedZones)
	}
	h.step(&Changes{Items: []Item{{Key: "t/a", Kind: TargetItem, Name: "a", Revision: 7, Deleted: true}}, Revision: 7, Era: 2})
	h.step(&HistoryGone{Era: 3})
	h.advance(2 * maxBackoff)
	h.step(&Page{Items: []Item{configItem(3, 7), report(5, "a", 3)}, Revision: 6, Era: 3})
	if h.f.View().Targets["a"] != nil {
		t.Error("a second restore brings a target back that had left before the first")
	}
}
