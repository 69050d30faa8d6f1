package discovery

import (
	"testing"
	"time"
)

// TestChangePropagatesWhenStoreRejectsSomeHosts makes the store reject the preferred
// sources of two zones and another host, over many seeds. Once they have noticed, a change
// must reach every host in less time than the wait of a watch: two hosts that wait for
// each other would take longer.
func TestChangePropagatesWhenStoreRejectsSomeHosts(t *testing.T) {
	const bound = 2500 * time.Millisecond
	names := []string{"a", "b", "c", "far1", "far2"}
	for seed := range uint64(30) {
		cl := newCluster()
		for i, name := range names {
			sources := []string{"a", "b", "c", "far1", "far2"}
			if name == "far1" || name == "far2" {
				sources = []string{"far1", "far2", "a", "b"}
			}
			cl.start(name, seed+uint64(i)*1000, sources)
		}
		cl.advance(4*time.Second, names)
		cl.rejected["a"], cl.rejected["c"], cl.rejected["far1"] = true, true, true
		cl.advance(6*time.Second+time.Duration(seed)*317*time.Millisecond, names)
		for range 5 {
			cl.revision++
			begin := cl.now.Mono
			for {
				late := ""
				for _, name := range names {
					if v := cl.hosts[name].View(); v.Config == nil || v.Config.Version != cl.revision {
						late = name
					}
				}
				if late == "" {
					break
				}
				if cl.now.Mono-begin > bound {
					t.Fatalf("seed %d: %s has version %d after %v, want %d", seed, late, cl.hosts[late].View().Config.Version, cl.now.Mono-begin, cl.revision)
				}
				cl.advance(clusterStep, names)
			}
			cl.advance(2*time.Second, names)
		}
	}
}

// TestStoreThatRepliesAtOnceIsNotCalledWithoutPause guards against a host that uses up its processor,
// and the calls of all hosts, at a store that replies to each watch at once without changes.
func TestStoreThatRepliesAtOnceIsNotCalledWithoutPause(t *testing.T) {
	const roundTrip, maxPerSecond = time.Millisecond, 5
	h := newListedHarness(t)
	calls := 0
	for begin := h.now.Mono; h.now.Mono < begin+time.Second; h.advance(roundTrip) {
		if h.f.callInProgress {
			calls++
			h.step(&Changes{Revision: 10})
		}
	}
	if calls > maxPerSecond+1 {
		t.Errorf("%d watches in a second, want at most %d", calls, maxPerSecond+1)
	}
}

// TestPeerOfEmptyStoreIsNotCalledWithoutPause guards against a host that uses up its processor, and that
// of its source, while the store holds nothing: the first watches of a peer do not wait.
func TestPeerOfEmptyStoreIsNotCalledWithoutPause(t *testing.T) {
	const roundTrip, maxPerSecond = time.Millisecond, 5
	h := newHarness(t)
	h.step(&Sources{Hosts: []string{"peer", "self"}})
	h.step(&Page{})
	calls := 0
	for begin := h.now.Mono; h.now.Mono < begin+time.Second; h.advance(roundTrip) {
		if h.f.callInProgress {
			calls++
			h.step(&Changes{Path: []string{"peer"}})
		}
	}
	if calls > maxPerSecond+1 {
		t.Errorf("%d watches in a second, want at most %d", calls, maxPerSecond+1)
	}
}
