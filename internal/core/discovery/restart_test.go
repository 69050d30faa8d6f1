package discovery

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
)

// follow steps a follower that watches a peer until it is up to date at revision 10.
func follow(t *testing.T, peer string) *harness {
	h := &harness{t: t, f: New(Config{Self: "self", WaitForPeers: true, Seed: 1})}
	h.step(&Start{})
	h.step(&Sources{Hosts: []string{peer, "self"}})
	h.advance(coalesceDelay)
	h.step(&Changes{
		Items:    []Item{configItem(3, 7), targetItem(5, "a"), targetItem(6, "b"), {Key: "z/z0", Kind: ZoneItem, Name: "z0", Revision: 7}},
		Revision: 10, KnownSince: 10,
	})
	return h
}

// TestPeerThatRestartedReportsDeletions has a peer list the store anew after a restart. What was
// deleted while it was away has left no trace there but its absence: the host must not use it any
// more, nor tell its own followers of it.
func TestPeerThatRestartedReportsDeletions(t *testing.T) {
	h := follow(t, "peer")
	h.advance(coalesceDelay)
	live := []uint64{KeyHash("config"), KeyHash("t/b"), KeyHash("t/c")}
	h.step(&Changes{Items: []Item{targetItem(18, "c")}, Revision: 20, KnownSince: 20, Live: live, HasLive: true})
	deleted := map[string]bool{}
	for i := range h.fx.AppliedItems {
		if it := &h.fx.AppliedItems[i]; it.Deleted {
			deleted[it.Key] = true
		}
	}
	if !deleted["t/a"] || !deleted["z/z0"] || len(deleted) != 2 {
		t.Errorf("followers are told that %v are deleted, want t/a and z/z0", deleted)
	}
	if p := h.fx.Progress; p == nil || p.KnownSince != 20 {
		t.Errorf("progress is %+v, want deletions known since 20", p)
	}
	h.advance(removalDelay)
	v := h.f.View()
	if v.Targets["a"] != nil || v.Targets["b"] == nil || v.Targets["c"] == nil || v.EvacuatedZones["z0"] || v.Config.Version != 7 {
		t.Errorf("targets %v, evacuated zones %v, configuration %+v", v.Targets, v.EvacuatedZones, v.Config)
	}
}

// TestNewerItemsOutliveListOfPeer checks that a peer's list does not delete what is newer than it.
func TestNewerItemsOutliveListOfPeer(t *testing.T) {
	h := follow(t, "peer")
	h.advance(coalesceDelay)
	h.step(&Changes{Items: []Item{targetItem(30, "d")}, Revision: 30})
	h.advance(coalesceDelay)
	h.step(&Changes{Revision: 40, KnownSince: 35, Live: []uint64{KeyHash("config")}, HasLive: true, Items: []Item{targetItem(38, "e")}})
	h.advance(removalDelay)
	v := h.f.View()
	if v.Targets["a"] != nil || v.Targets["d"] != nil || v.Targets["e"] == nil {
		t.Errorf("targets %v, want e only", v.Targets)
	}
	h.step(&Changes{Revision: 41, KnownSince: 35, Live: []uint64{KeyHash("config")}, HasLive: true})
	h.advance(time.Minute)
	if h.f.View().Targets["e"] == nil {
		t.Error("a list that is older than the known state deleted a target")
	}
}

// TestProgressAfterList checks since when a host knows deletions: since its own list, and since
// the list of a peer whose record it took over.
func TestProgressAfterList(t *testing.T) {
	f := New(Config{Self: "self", Seed: 1})
	var fx Effects
	f.Step(clock.Instant{}, &Start{}, &fx)
	fx.Reset()
	f.Step(clock.Instant{}, &Page{Items: []Item{configItem(3, 7)}, Revision: 12}, &fx)
	if fx.Progress == nil || fx.Progress.KnownSince != 12 {
		t.Errorf("progress is %+v, want deletions known since 12", fx.Progress)
	}
	if h := follow(t, "peer"); h.fx.Progress == nil || h.fx.Progress.KnownSince != 10 {
		t.Errorf("progress of a follower is %+v, want deletions known since 10", h.fx.Progress)
	}
}

// TestStartingHostListsSlowStore guards against a host that never serves, because the store takes longer
// for a page of the list than the host waits, each time.
func TestStartingHostListsSlowStore(t *testing.T) {
	const replyTime = time.Second
	h := newHarness(t)
	pages := []*Page{{Items: []Item{configItem(3, 7)}, Revision: 10, More: true}, {Items: []Item{targetItem(5, "a")}, Revision: 10}}
	for h.now.Mono < time.Minute && len(pages) > 0 {
		call := h.fx.Call
		switch {
		case call == nil:
			h.advance(10 * time.Millisecond)
		case call.Timeout < replyTime:
			h.now = h.now.Add(call.Timeout)
			h.step(&CallFailed{Reason: "timed out"})
		default:
			h.now = h.now.Add(replyTime)
			h.step(pages[0])
			pages = pages[1:]
		}
	}
	if v := h.f.View(); len(pages) > 0 || v.Config == nil || v.Targets["a"] == nil {
		t.Errorf("after %v %d pages are missing, view is %+v", h.now.Mono, len(pages), v)
	}
}
