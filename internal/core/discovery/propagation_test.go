package discovery

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
)

// loop carries calls between hosts that follow each other, with a store that turns some
// of them away.
type loop struct {
	hosts map[string]*Follower
	// paths, fresh and revision are what each host's last progress told.
	progress map[string]Progress
	due      map[string]time.Duration
	calls    map[string]*Call
	away     map[string]bool
	revision uint64
	now      clock.Instant
}

// answer ends a host's call if it can end now.
func (l *loop) answer(host string) {
	c := l.calls[host]
	over := l.now.Mono >= l.due[host]+c.Wait
	if c.Peer == store {
		if l.away[host] {
			if l.now.Mono >= l.due[host]+c.Wait+700*time.Millisecond {
				l.step(host, &CallFailed{Reason: "silent"})
			}
			return
		}
		if over || c.AfterRevision < l.revision {
			l.step(host, l.changes(c, l.revision, nil, false))
		}
		return
	}
	p := l.progress[c.Peer]
	if over || !p.Fresh || c.AfterRevision < p.Revision {
		l.step(host, l.changes(c, p.Revision, append([]string{c.Peer}, p.Path...), !p.Fresh))
	}
}

func (l *loop) changes(c *Call, upTo uint64, path []string, stale bool) Event {
	ev := &Changes{Revision: upTo, Path: path, Stale: stale}
	if !c.Watch {
		return &Page{Items: []Item{configItem(upTo, upTo)}, Revision: upTo}
	}
	if c.AfterRevision < upTo {
		ev.Items = []Item{configItem(upTo, upTo)}
	}
	return ev
}

func (l *loop) step(host string, ev Event) {
	l.calls[host] = nil
	var fx Effects
	if ev == nil {
		l.hosts[host].Advance(l.now, &fx)
	} else {
		l.hosts[host].Step(l.now, ev, &fx)
	}
	if fx.Progress != nil {
		l.progress[host] = *fx.Progress
	}
	if fx.Call != nil {
		l.calls[host], l.due[host] = fx.Call, l.now.Mono
	}
}

// TestChangeReachesAllWhileTheStoreTurnsSomeAway turns the best source of a zone and
// another host away, over many seeds. Once they have noticed, a change reaches every host
// in less than the time for which two hosts that wait for each other would hear nothing.
func TestChangeReachesAllWhileTheStoreTurnsSomeAway(t *testing.T) {
	const bound = 2500 * time.Millisecond
	names := []string{"a", "b", "c", "far1", "far2"}
	for seed := range uint64(30) {
		l := &loop{
			hosts: map[string]*Follower{}, progress: map[string]Progress{}, due: map[string]time.Duration{},
			calls: map[string]*Call{}, away: map[string]bool{}, revision: 5,
		}
		for i, name := range names {
			l.hosts[name] = New(name, false, seed+uint64(i)*1000)
			l.step(name, &Start{})
			sources := []string{"a", "b", "c", "far1", "far2"}
			if name == "far1" || name == "far2" {
				sources = []string{"far1", "far2", "a", "b"}
			}
			l.hosts[name].Step(l.now, &Sources{Hosts: sources}, &Effects{})
		}
		pass := func(d time.Duration) {
			for end := l.now.Mono + d; l.now.Mono < end; l.now = l.now.Add(5 * time.Millisecond) {
				for _, name := range names {
					if l.calls[name] != nil {
						l.answer(name)
					} else {
						l.step(name, nil)
					}
				}
			}
		}
		pass(4 * time.Second)
		l.away["a"], l.away["c"], l.away["far1"] = true, true, true
		pass(6*time.Second + time.Duration(seed)*317*time.Millisecond)
		for range 5 {
			l.revision++
			begin := l.now.Mono
			for {
				late := ""
				for _, name := range names {
					if v := l.hosts[name].View(); v.Config == nil || v.Config.Version != l.revision {
						late = name
					}
				}
				if late == "" {
					break
				}
				if l.now.Mono-begin > bound {
					t.Fatalf("seed %d: %s has version %d after %v, want %d", seed, late, l.hosts[late].View().Config.Version, l.now.Mono-begin, l.revision)
				}
				pass(5 * time.Millisecond)
			}
			pass(2 * time.Second)
		}
	}
}
