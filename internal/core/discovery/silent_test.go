package discovery

import (
	"slices"
	"testing"
	"time"
)

// applyBound is the tightest published bound on how long a host may handle requests by an older
// version, stableWindow the time after a loss of all connections from which it holds again.
const (
	applyBound   = 4 * time.Second
	stableWindow = 5 * time.Second
)

// newSettledCluster returns a cluster of an availability zone with four hosts and one with two, all
// of which know the same revision.
func newSettledCluster(seed uint64) (*cluster, []string) {
	return newSettledClusterOf(seed, "a", "b", "c", "d")
}

// newSettledClusterOf is newSettledCluster with the given hosts in the larger availability zone.
func newSettledClusterOf(seed uint64, near ...string) (*cluster, []string) {
	far := []string{"far1", "far2"}
	cl := newCluster()
	names := slices.Concat(near, far)
	for i, name := range names {
		sources := names
		if i >= len(near) {
			sources = slices.Concat(far, near[:2])
		}
		cl.start(name, seed+uint64(i)*1000, sources)
	}
	cl.advance(5*time.Second, names)
	return cl, names
}

// expectVersion fails unless all hosts that are not silent have the newest version by the time
// until.
func (cl *cluster) expectVersion(t *testing.T, seed uint64, names []string, until time.Duration) {
	t.Helper()
	for _, name := range names {
		if cl.silent[name] {
			continue
		}
		for cl.hosts[name].View().Config.Version != cl.revision {
			if cl.now.Mono > until {
				t.Fatalf("seed %d: %s has version %d at %v, want %d", seed, name, cl.hosts[name].View().Config.Version, cl.now.Mono, cl.revision)
			}
			cl.advance(clusterStep, names)
		}
	}
}

// TestChangeReachesFollowersOfSilentHost lets a host that others follow fall silent without a
// reset, as after a loss of power, and publishes a version soon after. The disturbance of that host
// does not excuse the others.
func TestChangeReachesFollowersOfSilentHost(t *testing.T) {
	for seed := range uint64(200) {
		cl, names := newSettledCluster(seed)
		cl.advance(time.Duration(seed)*41*time.Millisecond, names)
		cl.revision++ // all hosts watch anew after it
		cl.advance(time.Duration(seed%7)*137*time.Millisecond, names)
		cl.silent["a"] = true
		cl.advance(time.Duration(seed%5)*211*time.Millisecond, names)
		cl.revision++
		cl.expectVersion(t, seed, names, cl.now.Mono+applyBound)
	}
}

// TestChangeReachesHostBesideManySilentPeers lets most of an availability zone fall silent at once:
// the time-outs of the peers that a host would try one after another must not add up.
func TestChangeReachesHostBesideManySilentPeers(t *testing.T) {
	for seed := range uint64(100) {
		cl, names := newSettledClusterOf(seed, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
		cl.advance(time.Duration(seed)*41*time.Millisecond, names)
		for _, name := range names[:8] {
			cl.silent[name] = true
		}
		cl.advance(time.Duration(seed%5)*211*time.Millisecond, names)
		cl.revision++
		cl.expectVersion(t, seed, names, cl.now.Mono+applyBound)
	}
}

// TestChangeArrivesAfterConnectionsFellSilent makes all open connections silent at once, without a
// reset, and publishes a version. New connections work.
func TestChangeArrivesAfterConnectionsFellSilent(t *testing.T) {
	for seed := range uint64(200) {
		cl, names := newSettledCluster(seed)
		cl.advance(time.Duration(seed)*41*time.Millisecond, names)
		cl.silenceConnections()
		begin := cl.now.Mono
		cl.advance(time.Duration(seed%5)*211*time.Millisecond, names)
		cl.revision++
		cl.expectVersion(t, seed, names, max(cl.now.Mono+applyBound, begin+stableWindow))
	}
}

// TestFollowersOfHostThatStoreIgnores lets the store ignore the calls of a host that others follow,
// and publishes a version.
func TestFollowersOfHostThatStoreIgnores(t *testing.T) {
	for seed := range uint64(200) {
		cl, names := newSettledCluster(seed)
		cl.advance(time.Duration(seed)*41*time.Millisecond, names)
		cl.rejected["a"] = true
		cl.advance(time.Duration(seed%5)*211*time.Millisecond, names)
		cl.revision++
		cl.expectVersion(t, seed, names, cl.now.Mono+applyBound)
	}
}
