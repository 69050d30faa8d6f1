package discovery

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
)

// cluster executes the calls between hosts that follow each other and a store that rejects
// the calls of some of them.
type cluster struct {
	hosts map[string]*Follower
	// progress is the last progress that each host reported.
	progress  map[string]Progress
	callStart map[string]time.Duration
	pending   map[string]*Call
	rejected  map[string]bool
	revision  uint64
	now       clock.Instant
}

// completeCall ends a host's call if it is answered or times out now.
func (cl *cluster) completeCall(host string) {
	c := cl.pending[host]
	waitOver := cl.now.Mono >= cl.callStart[host]+c.Wait
	if c.Peer == storeSource {
		if cl.rejected[host] {
			if cl.now.Mono >= cl.callStart[host]+c.Wait+700*time.Millisecond {
				cl.step(host, &CallFailed{Reason: "silent"})
			}
			return
		}
		if waitOver || c.AfterRevision < cl.revision {
			cl.step(host, cl.reply(c, cl.revision, nil, false))
		}
		return
	}
	p := cl.progress[c.Peer]
	if waitOver || !p.Fresh || c.AfterRevision < p.Revision {
		cl.step(host, cl.reply(c, p.Revision, append([]string{c.Peer}, p.Path...), !p.Fresh))
	}
}

func (cl *cluster) reply(c *Call, upTo uint64, path []string, stale bool) Event {
	ev := &Changes{Revision: upTo, Path: path, Stale: stale}
	if !c.Watch {
		return &Page{Items: []Item{configItem(upTo, upTo)}, Revision: upTo}
	}
	if c.AfterRevision < upTo {
		ev.Items = []Item{configItem(upTo, upTo)}
	}
	return ev
}

func (cl *cluster) step(host string, ev Event) {
	cl.pending[host] = nil
	var fx Effects
	if ev == nil {
		cl.hosts[host].Advance(cl.now, &fx)
	} else {
		cl.hosts[host].Step(cl.now, ev, &fx)
	}
	if fx.Progress != nil {
		cl.progress[host] = *fx.Progress
	}
	if fx.Call != nil {
		cl.pending[host], cl.callStart[host] = fx.Call, cl.now.Mono
	}
}

// TestChangePropagatesWhenStoreRejectsSomeHosts makes the store reject the preferred
// sources of two zones and another host, over many seeds. Once they have noticed, a change
// must reach every host in less time than the wait of a watch: two hosts that wait for
// each other would take longer.
func TestChangePropagatesWhenStoreRejectsSomeHosts(t *testing.T) {
	const bound = 2500 * time.Millisecond
	names := []string{"a", "b", "c", "far1", "far2"}
	for seed := range uint64(30) {
		cl := &cluster{
			hosts: map[string]*Follower{}, progress: map[string]Progress{}, callStart: map[string]time.Duration{},
			pending: map[string]*Call{}, rejected: map[string]bool{}, revision: 5,
		}
		for i, name := range names {
			cl.hosts[name] = New(name, false, seed+uint64(i)*1000)
			cl.step(name, &Start{})
			sources := []string{"a", "b", "c", "far1", "far2"}
			if name == "far1" || name == "far2" {
				sources = []string{"far1", "far2", "a", "b"}
			}
			cl.hosts[name].Step(cl.now, &Sources{Hosts: sources}, &Effects{})
		}
		advance := func(d time.Duration) {
			for end := cl.now.Mono + d; cl.now.Mono < end; cl.now = cl.now.Add(5 * time.Millisecond) {
				for _, name := range names {
					if cl.pending[name] != nil {
						cl.completeCall(name)
					} else {
						cl.step(name, nil)
					}
				}
			}
		}
		advance(4 * time.Second)
		cl.rejected["a"], cl.rejected["c"], cl.rejected["far1"] = true, true, true
		advance(6*time.Second + time.Duration(seed)*317*time.Millisecond)
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
				advance(5 * time.Millisecond)
			}
			advance(2 * time.Second)
		}
	}
}
