package discovery

import (
	"testing"
	"time"
)

// removalBound is the published bound on how long a host may use a target whose entry was deleted.
const removalBound = 4 * time.Second

// busyStoreInterval is the time between changes of a store in which targets are starting.
const busyStoreInterval = 300 * time.Millisecond

// expectRemoved disturbs a host of a settled cluster, deletes the entry of a target soon after and
// fails unless all hosts but the disturbed one stop using the target within removalBound.
func expectRemoved(t *testing.T, seed uint64, cl *cluster, names []string, disturbed string, disturb func()) {
	t.Helper()
	if seed%2 == 0 { // the store pauses its watchers between changes
		for range 10 {
			cl.revision++
			cl.advance(busyStoreInterval, names)
		}
	}
	cl.advance(time.Duration(seed)*41*time.Millisecond, names)
	disturb()
	cl.advance(time.Duration(seed%5)*50*time.Millisecond, names)
	cl.deleteLeavingTarget()
	deleted := cl.now.Mono
	for _, name := range names {
		for name != disturbed && cl.hosts[name].View().Targets[leavingTarget] != nil {
			if cl.now.Mono > deleted+removalBound {
				t.Fatalf("seed %d: %s still uses the target %v after its entry was deleted, want at most %v", seed, name, cl.now.Mono-deleted, removalBound)
			}
			cl.advance(clusterStep, names)
		}
	}
}

// TestDeletedTargetLeavesFollowersOfHostCutFromStore guards against requests to a target that is
// gone: the host that others follow is cut off from the store, learns so only when its watch times
// out, and the delay before a removal comes on top.
func TestDeletedTargetLeavesFollowersOfHostCutFromStore(t *testing.T) {
	for seed := range uint64(200) {
		cl, names := newSettledCluster(seed)
		expectRemoved(t, seed, cl, names, "a", func() { cl.rejected["a"] = true })
	}
}

// TestDeletedTargetLeavesFollowersOfSilentHost is the same with a host that is frozen or without
// power.
func TestDeletedTargetLeavesFollowersOfSilentHost(t *testing.T) {
	for seed := range uint64(200) {
		cl, names := newSettledCluster(seed)
		expectRemoved(t, seed, cl, names, "a", func() { cl.silent["a"] = true })
	}
}

// TestDeletedTargetLeavesFollowersOfHostWithHungCall is the same with a host whose call to the store
// never ends while it goes on answering its followers.
func TestDeletedTargetLeavesFollowersOfHostWithHungCall(t *testing.T) {
	for seed := range uint64(200) {
		cl, names := newSettledCluster(seed)
		expectRemoved(t, seed, cl, names, "a", func() { cl.hung["a"] = true })
	}
}

// TestDeletedTargetLeavesEndOfChain cuts off the first host of a chain in which each host follows the
// one before it: what each waits must not add up.
func TestDeletedTargetLeavesEndOfChain(t *testing.T) {
	names := []string{"a", "b", "c"}
	for seed := range uint64(200) {
		cl := newCluster()
		cl.start("a", seed, []string{"a"})
		cl.start("b", seed+1000, []string{"a", "b"})
		cl.start("c", seed+2000, []string{"b", "c"})
		cl.advance(5*time.Second, names)
		expectRemoved(t, seed, cl, names, "a", func() { cl.rejected["a"] = true })
	}
}

// TestDeletedTargetLeavesFollowersOfTwoLostHosts cuts off the host that others follow, and freezes the
// one that they would follow next: a call to that one must not come before the call to the store.
func TestDeletedTargetLeavesFollowersOfTwoLostHosts(t *testing.T) {
	for seed := range uint64(200) {
		cl, _ := newSettledCluster(seed)
		expectRemoved(t, seed, cl, []string{"a", "c", "d", "far1", "far2"}, "a", func() {
			cl.rejected["a"], cl.silent["b"] = true, true
		})
	}
}
