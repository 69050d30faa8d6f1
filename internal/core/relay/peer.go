package relay

import (
	"time"

	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/fleet"
	"pollentack.example/pollentack/internal/core/quantile"
)

const (
	// hubConnections is the number of connections that each hub should have to a target of
	// its region where not all hosts there can have leastConnections.
	hubConnections   = 6
	leastConnections = 2
)

// priorPeerDelay is the assumed time on the way to a peer and back until a message went
// to its availability zone.
var priorPeerDelay = [distances]time.Duration{2 * time.Millisecond, 4 * time.Millisecond, 45 * time.Millisecond}

// peer is what the host knows of another host that takes queries.
type peer struct {
	fleet.Member
	distance distance
	open     []*group
	// carried counts the attempts in progress that the peer carries.
	carried   int
	lastReply time.Duration
	heldUntil time.Duration
	// delay is the time on the way there and back.
	delay quantile.Spread
}

// way is the time to a peer and back: the mean of its handoffs, before the first of them
// the least that a message to its availability zone took.
func (e *Engine) way(p *peer) time.Duration {
	if mean := p.delay.Mean(); mean > 0 {
		return mean
	}
	if least, known := e.zones.ways[p.Zone]; known {
		return least
	}
	return priorPeerDelay[p.distance]
}

// addWay takes the way of a handoff. The mean begins at what was known before, as the
// first handoffs may have made the link that they took.
func (e *Engine) addWay(p *peer, took time.Duration) {
	if p.delay.Mean() == 0 {
		p.delay.Add(max(e.way(p), time.Microsecond))
	}
	p.delay.Add(took)
}

// load is the queries in progress relative to the peer's capacity.
func (p *peer) load() float64 { return float64(len(p.open)+p.carried+1) / float64(max(1, p.Capacity)) }

// stalled reports whether a query has been with the peer for longer than its objective
// without any word from the peer.
func (p *peer) stalled(now time.Duration) bool {
	if len(p.open) == 0 {
		return false
	}
	oldest := p.open[0]
	return p.lastReply < oldest.handed && now-oldest.handed > oldest.request.route.Objective
}

func (p *peer) end(g *group) {
	for i, o := range p.open {
		if o == g {
			p.open = append(p.open[:i], p.open[i+1:]...)
			return
		}
	}
}

// setPeers takes the hosts that answer, this one included.
func (e *Engine) setPeers(members []fleet.Member, fx *Effects) {
	known := e.peerStates
	e.peerStates = make(map[string]*peer, len(members))
	for _, m := range members {
		if m.Host == e.cfg.Host {
			continue
		}
		p := known[m.Host]
		if p == nil || p.Started != m.Started {
			p = &peer{Member: m, distance: e.distanceTo(m.Zone, m.Region)}
		}
		e.peerStates[m.Host] = p
	}
	e.members = members
	e.carriers = nil
	if len(members) != e.hosts {
		fx.Records = append(fx.Records, decision.New("hosts_counted", decision.Int("before", e.hosts), decision.Int("hosts", len(members))))
	}
	e.hosts = max(1, len(members))
	e.share()
}

// isHub reports whether the host keeps connections to the targets of gathered queries.
func (e *Engine) isHub(host string) bool { return len(e.hubs) == 0 || e.hubs[host] }

// leavesToHubs reports whether this host must not ask targets itself: it is no hub, and
// its connections would come on top of those that the hubs share out.
func (e *Engine) leavesToHubs(r *request) bool {
	return r.gathers() && r.Gather == nil && !e.isHub(e.cfg.Host) && len(e.hubs) > 0
}

// assignHubs picks the hosts that gather, by the least number of connections that a
// target of a gathered query accepts.
func (e *Engine) assignHubs() {
	limit := 0
	e.gathered = map[string]bool{}
	if e.view.Config != nil {
		for _, r := range e.view.Config.Routes {
			for _, name := range r.Gather {
				e.gathered[name] = true
				spec := e.view.Config.Services[name]
				if spec != nil && spec.MaxConnections > 0 && (limit == 0 || spec.MaxConnections < limit) {
					limit = spec.MaxConnections
				}
			}
		}
	}
	allowed := int(quotaShare * float64(limit))
	regions, most := membersByRegion(e.members)
	switch {
	case limit == 0 || len(e.members) == 0, most*leastConnections <= allowed:
		e.hubs = fleet.Hubs(e.members, len(e.members))
	default:
		e.hubs = fleet.Hubs(e.members, max(1, allowed/hubConnections)*regions)
	}
	e.assignCarriers()
}

// membersByRegion returns the number of regions and of members in the largest.
func membersByRegion(members []fleet.Member) (regions, most int) {
	count := map[string]int{}
	for i := range members {
		count[members[i].Region]++
		most = max(most, count[members[i].Region])
	}
	return len(count), most
}

// assignCarriers lists the hubs of each other region, by name.
func (e *Engine) assignCarriers() {
	e.carriers = map[string][]*peer{}
	for _, name := range sortedKeys(e.peerStates) {
		if p := e.peerStates[name]; e.hubs[name] && p.distance == otherRegion {
			e.carriers[p.Region] = append(e.carriers[p.Region], p)
		}
	}
}

// sharers is the number of hosts that connect to the targets of a service in a region:
// for gathered services the hubs there, or all hubs where it has none.
func (e *Engine) sharers(service, region string) int {
	if !e.gathered[service] || len(e.hubs) == 0 {
		return e.hosts
	}
	n := 0
	for i := range e.members {
		if e.members[i].Region == region && e.hubs[e.members[i].Host] {
			n++
		}
	}
	if n == 0 {
		return len(e.hubs)
	}
	return n
}

// hubSlack is the part of a gathered service's retry slack that the hubs share out; the
// other hosts share the rest, for handoffs that failed.
const hubSlack = 0.75

// slackShare is the part of the retry slack that the hosts share out. The rest is for
// hosts that have not heard yet of others that started.
const slackShare = 0.9

// retrySlack is this host's part of a service's retry slack. The parts of all hosts add
// up to no more than the whole.
func (e *Engine) retrySlack(service string) float64 {
	slack, others := slackShare*e.cfg.Retry.Slack, e.hosts-len(e.hubs)
	switch {
	case !e.gathered[service] || len(e.hubs) == 0 || others <= 0:
		return slack / float64(e.hosts)
	case e.hubs[e.cfg.Host]:
		return slack * hubSlack / float64(len(e.hubs))
	}
	return slack * (1 - hubSlack) / float64(others)
}
