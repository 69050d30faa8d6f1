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
	// doomed holds the hosts whose call in progress gets no reply.
	doomed map[string]bool
	// rejected holds the hosts whose calls the store does not answer, silent those that are lost.
	rejected map[string]bool
	silent   map[string]bool
	// silentLinks holds, by caller and peer ("" for the store), the connections that carry nothing
	// any more; the value is when the link is replaced, 0 if that is not decided.
	silentLinks map[[2]string]time.Duration
	revision    uint64
	now         clock.Instant
}

func newCluster() *cluster {
	return &cluster{
		hosts: map[string]*Follower{}, progress: map[string]Progress{}, callStart: map[string]time.Duration{},
		pending: map[string]*Call{}, doomed: map[string]bool{}, rejected: map[string]bool{}, silent: map[string]bool{},
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

// completeCall ends a host's call if it is answered or times out now.
func (cl *cluster) completeCall(host string) {
	c := cl.pending[host]
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
			cl.step(host, cl.reply(c, cl.revision, nil, false))
		}
		return
	}
	p := cl.progress[c.Peer]
	if waitOver || !p.Fresh || c.AfterRevision < p.Revision {
		cl.step(host, cl.reply(c, p.Revision, append([]string{c.Peer}, p.Path...), !p.Fresh))
	}
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
		due, silent := cl.silentLinks[[2]string{host, fx.Call.Peer}]
		cl.doomed[host] = silent && (due == 0 || cl.now.Mono < due)
	}
}
