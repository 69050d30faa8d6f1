package discovery

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
)

const (
	// linkProbeTimeout is how long after a call that timed out a silent link is replaced.
	linkProbeTimeout = 3 * time.Second
	// clusterStep is the resolution of the virtual time.
	clusterStep = 5 * time.Millisecond
)

// cluster executes the calls between hosts that follow each other and a store, which may reject
// the calls of some of them.
type cluster struct {
	hosts map[string]*Follower
	// progress is the last progress that each host reported.
	progress  map[string]Progress
	callStart map[string]time.Duration
	pending   map[string]*Call
	// peerContact is, by caller, the contact of the called peer when the call began.
	peerContact map[string]time.Duration
	// doomed holds the hosts whose call in progress gets no reply.
	doomed map[string]bool
	// rejected holds the hosts whose calls the store does not answer, silent those that are lost.
	rejected map[string]bool
	silent   map[string]bool
	// hung holds the hosts whose calls end neither with a reply nor with a time-out.
	hung map[string]bool
	// silentLinks holds, by caller and peer ("" for the store), the connections that carry nothing
	// any more; the value is when the link is replaced, 0 if that is not decided.
	silentLinks map[[2]string]time.Duration
	revision    uint64
	// leavingDeletedAt is the revision at which the entry of leavingTarget was deleted, 0 before.
	leavingDeletedAt uint64
	now              clock.Instant
}

// leavingTarget is the name of a target whose entry may be deleted.
const leavingTarget = "leaving"

func newCluster() *cluster {
	return &cluster{
		hosts: map[string]*Follower{}, progress: map[string]Progress{}, callStart: map[string]time.Duration{},
		pending: map[string]*Call{}, doomed: map[string]bool{}, rejected: map[string]bool{}, silent: map[string]bool{},
		hung: map[string]bool{}, peerContact: map[string]time.Duration{},
		silentLinks: map[[2]string]time.Duration{}, revision: 5,
	}
}

// start starts a host with its sources in order of preference.
func (cl *cluster) start(name string, seed uint64, sources []string) {
	cl.hosts[name] = New(Config{Self: name, Seed: seed})
	cl.step(name, &Start{})
	cl.hosts[name].Step(cl.now, &Sources{Hosts: sources}, &Effects{})
}

func (cl *cluster) advance(d time.Duration, names []string) {
	for end := cl.now.Mono + d; cl.now.Mono < end; cl.now = cl.now.Add(clusterStep) {
		for _, name := range names {
			switch {
			case cl.silent[name]:
			case cl.pending[name] != nil:
				cl.completeCall(name)
			default:
				cl.step(name, nil)
			}
		}
	}
}

// silenceConnections makes all open connections carry nothing any more.
func (cl *cluster) silenceConnections() {
	for host := range cl.hosts {
		cl.doomed[host] = cl.pending[host] != nil
		cl.silentLinks[[2]string{host, storeSource}] = 0
		for peer := range cl.hosts {
			cl.silentLinks[[2]string{host, peer}] = 0
		}
	}
}

// deleteLeavingTarget deletes the entry of leavingTarget.
func (cl *cluster) deleteLeavingTarget() {
	cl.revision++
	cl.leavingDeletedAt = cl.revision
}

// completeCall ends a host's call if it is answered or times out now.
func (cl *cluster) completeCall(host string) {
	c := cl.pending[host]
	if cl.hung[host] {
		return
	}
	elapsed := cl.now.Mono - cl.callStart[host]
	if cl.doomed[host] || cl.silent[c.Peer] || c.Peer == storeSource && cl.rejected[host] {
		if elapsed >= c.Timeout {
			cl.replaceLink(host, c.Peer)
			cl.step(host, &CallFailed{Reason: "silent"})
		}
		return
	}
	waitOver := elapsed >= c.Wait
	if c.Peer == storeSource {
		if waitOver || c.AfterRevision < cl.revision {
			cl.step(host, cl.reply(c, cl.revision))
		}
		return
	}
	p := cl.progress[c.Peer]
	fresh := p.FreshAt(cl.now.Mono)
	if !waitOver && fresh && c.AfterRevision >= p.Revision && p.ContactAt <= cl.peerContact[host] {
		return
	}
	ev := cl.reply(c, p.Revision).(*Changes)
	ev.Path, ev.Stale, ev.ContactAge = append([]string{c.Peer}, p.Path...), !fresh, cl.now.Mono-p.ContactAt
	cl.step(host, ev)
}

// replaceLink replaces a connection on which a call timed out: that to the store at once, that to a
// peer, which both hosts use, after linkProbeTimeout.
func (cl *cluster) replaceLink(host, peer string) {
	if peer == storeSource {
		delete(cl.silentLinks, [2]string{host, peer})
		return
	}
	for _, link := range [][2]string{{host, peer}, {peer, host}} {
		if due, ok := cl.silentLinks[link]; ok && due == 0 {
			cl.silentLinks[link] = cl.now.Mono + linkProbeTimeout
		}
	}
}

// reply returns the reply to a call from a source that knows all changes up to a revision.
func (cl *cluster) reply(c *Call, upTo uint64) Event {
	items := []Item{configItem(upTo, upTo)}
	switch deletedAt := cl.leavingDeletedAt; {
	case deletedAt == 0 || upTo < deletedAt:
		items = append(items, targetItem(1, leavingTarget))
	case c.Watch && c.AfterRevision < deletedAt:
		items = append(items, Item{Key: "t/" + leavingTarget, Kind: TargetItem, Name: leavingTarget, Revision: deletedAt, Deleted: true})
	}
	switch {
	case !c.Watch:
		return &Page{Items: items, Revision: upTo}
	case c.AfterRevision < upTo:
		return &Changes{Items: items, Revision: upTo}
	}
	return &Changes{Revision: upTo}
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
		cl.peerContact[host] = cl.progress[fx.Call.Peer].ContactAt
		due, silent := cl.silentLinks[[2]string{host, fx.Call.Peer}]
		cl.doomed[host] = silent && (due == 0 || cl.now.Mono < due)
	}
}
