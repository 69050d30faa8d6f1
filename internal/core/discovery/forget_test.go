package discovery

import (
	"fmt"
	"testing"
	"time"
)

// TestTargetsThatLeftAreForgotten guards against a host that keeps each target that ever was: a target
// has a new name at each start, and the host would end for lack of memory after some days.
func TestTargetsThatLeftAreForgotten(t *testing.T) {
	const starts = 3 * maxDeletedItems
	h := newListedHarness(t)
	revision, forgotten := uint64(100), uint64(0)
	for i := range starts {
		name := fmt.Sprintf("b%d", i)
		h.step(&Changes{Items: []Item{targetItem(revision, name)}, Revision: revision})
		h.step(&Changes{Items: []Item{{Key: "t/" + name, Kind: TargetItem, Name: name, Revision: revision + 1, Deleted: true}}, Revision: revision + 1})
		revision += 2
		p := h.fx.Progress
		if p.Forgotten > p.KnownSince || p.Forgotten < forgotten || p.KnownSince > p.Revision {
			t.Fatalf("progress is %+v, want %d <= Forgotten <= KnownSince <= Revision", p, forgotten)
		}
		forgotten = p.Forgotten
		if i%100 == 0 {
			h.advance(removalDelay)
		}
	}
	h.advance(time.Minute)
	if kept := max(len(h.f.items), len(h.f.targetKeys)); kept > maxDeletedItems+2 || forgotten == 0 {
		t.Errorf("%d items are kept, want at most %d; forgotten up to revision %d", kept, maxDeletedItems+2, forgotten)
	}
	if v := h.f.View(); v.Targets["a"] == nil || len(v.Targets) != 1 || v.Config == nil {
		t.Errorf("view is %+v, want the one target that stayed", v)
	}
}
