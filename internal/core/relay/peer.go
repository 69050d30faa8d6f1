package relay

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/fleet"
	"pollentack.example/pollentack/internal/core/quantile"
)

const (
	// connectionsPerHub is the number of connections that each hub should have to a target in
	// its region if there are too many hosts to give each of them minConnectionsPerHost.
	connectionsPerHub     = 6
	minConnectionsPerHost = 2
)

// defaultPeerRTT is the assumed round-trip time to a peer by distance until a message to
// its availability zone has been measured.
var defaultPeerRTT = [distanceCount]time.Duration{2 * time.Millisecond, 4 * time.Millisecond, 45 * time.Millisecond}

// peer is the state that this host keeps for another host that gathers queries.
type peer struct {
	fleet.Member
	distance distance
	handoffs []*handoff
	// forwarded is the number of attempts in progress that the peer forwards.
	forwarded    int
	lastReply    time.Duration
	backoffUntil time.Duration
	// linkWanted is set once a link to the peer was asked for: the first query at a host would
	// otherwise wait for a link to each host that gathers a part.
	linkWanted bool
	// cutOffs counts the refusals in a row because the peer was cut off from all targets.
	cutOffs int
	// rtt tracks the round-trip time of handoffs, without the peer's own work.
	rtt quantile.MeanDeviation
}

// peerRTT returns the expected round-trip time to a peer: the mean over its handoffs, or
// before the first handoff the minimum round-trip time to its availability zone.
func (e *Engine) peerRTT(p *peer) time.Duration {
	if mean := p.rtt.Mean(); mean > 0 {
		return mean
	}
	if minimum, known := e.zones.minRTT[p.Zone]; known {
		return minimum
	}
	return defaultPeerRTT[p.distance]
}

// observePeerRTT records the round-trip time of a handoff. The mean starts at the previous
// estimate, because the first handoffs may include the time to establish the connection.
func (e *Engine) observePeerRTT(p *peer, rtt time.Duration) {
	if p.rtt.Mean() == 0 {
		p.rtt.Add(max(e.peerRTT(p), time.Microsecond))
	}
	p.rtt.Add(rtt)
}

// load returns the handoffs and forwarded attempts in progress, including the next one,
// relative to the peer's capacity.
func (p *peer) load() float64 {
	return float64(len(p.handoffs)+p.forwarded+1) / float64(max(1, p.Capacity))
}

// stalled reports whether the oldest handoff has been pending for longer than its latency
// objective without any reply from the peer since it was sent.
func (p *peer) stalled(now time.Duration) bool {
	if len(p.handoffs) == 0 {
		return false
	}
	oldest := p.handoffs[0]
	return p.lastReply < oldest.sentAt && now-oldest.sentAt > oldest.request.route.LatencyObjective
}

func (p *peer) removeHandoff(h *handoff) {
	for i, o := range p.handoffs {
		if o == h {
			p.handoffs = append(p.handoffs[:i], p.handoffs[i+1:]...)
			return
		}
	}
}

// setPeers replaces the live members of the fleet, including this host.
func (e *Engine) setPeers(now clock.Instant, members []fleet.Member, fx *Effects) {
	previous := e.peers
	e.peers = make(map[string]*peer, len(members))
	for _, m := range members {
		if m.Host == e.cfg.Host {
			e.lag.capacity = m.Capacity
			continue
		}
		p := previous[m.Host]
		if p == nil || p.Started != m.Started {
			p = &peer{Member: m, distance: e.distanceTo(m.Zone, m.Region)}
			e.askPeer(m.Host, fx)
		}
		e.peers[m.Host] = p
	}
	e.members = members
	e.hubsKnown = false
	if len(members) != e.hosts {
		fx.Records = append(fx.Records, decision.New("hosts_counted", decision.Int("before", e.hosts), decision.Int("hosts", len(members))))
	}
	e.hosts = max(1, len(members))
	e.mostHosts = max(e.mostHosts, e.hosts)
	e.updateShares(now)
}

// isHub reports whether the host keeps connections to the targets of gathered queries. All
// hosts count as hubs until the members are known.
func (e *Engine) isHub(host string) bool { return len(e.hubs) == 0 || e.hubs[host] }

// mustDelegate reports whether this host must not send the request to targets itself: it is
// not a hub, so its connections would exceed the connection limits that the hubs share.
func (e *Engine) mustDelegate(r *request) bool {
	return r.isGather() && r.Gather == nil && !e.isHub(e.cfg.Host) && len(e.hubs) > 0
}

// assignHubs selects the hubs, if the members or the smallest connection limit have changed. Their number depends on the smallest connection limit of the
// gathered services: all hosts are hubs if each can have minConnectionsPerHost connections
// to a target in its region.
func (e *Engine) assignHubs() {
	limit := 0
	e.gatheredServices = map[string]bool{}
	if e.view.Config != nil {
		for _, r := range e.view.Config.Routes {
			for _, name := range r.ShardServices {
				e.gatheredServices[name] = true
				spec := e.view.Config.Services[name]
				if spec != nil && spec.MaxConnections > 0 && (limit == 0 || spec.MaxConnections < limit) {
					limit = spec.MaxConnections
				}
			}
		}
	}
	if e.hubsKnown && limit == e.hubLimit {
		return
	}
	e.hubsKnown, e.hubLimit = true, limit
	allowed := int(quotaShare * float64(limit))
	regions, most := membersByRegion(e.members)
	switch {
	case limit == 0 || len(e.members) == 0, most*minConnectionsPerHost <= allowed:
		e.hubs = fleet.SelectHubs(e.members, len(e.members))
	default:
		e.hubs = fleet.SelectHubs(e.members, max(1, allowed/connectionsPerHub)*regions)
	}
	e.hubsInRegion = map[string]int{}
	for i := range e.members {
		if e.hubs[e.members[i].Host] {
			e.hubsInRegion[e.members[i].Region]++
		}
	}
	e.assignRemoteHubs()
}

// membersByRegion returns the number of regions and the number of members in the largest
// region.
func membersByRegion(members []fleet.Member) (regions, most int) {
	count := map[string]int{}
	for i := range members {
		count[members[i].Region]++
		most = max(most, count[members[i].Region])
	}
	return len(count), most
}

// assignRemoteHubs lists the hubs of each other region, sorted by host name.
func (e *Engine) assignRemoteHubs() {
	e.remoteHubs = map[string][]*peer{}
	for _, name := range sortedKeys(e.peers) {
		if p := e.peers[name]; e.hubs[name] && p.distance == otherRegion {
			e.remoteHubs[p.Region] = append(e.remoteHubs[p.Region], p)
		}
	}
}

// connectingHosts returns the number of hosts that connect to the targets of a service in a
// region: for gathered services the hubs in the region, or all hubs if the region has none.
func (e *Engine) connectingHosts(service, region string) int {
	if !e.gatheredServices[service] || len(e.hubs) == 0 {
		return e.hosts
	}
	if n := e.hubsInRegion[region]; n > 0 {
		return n
	}
	return len(e.hubs)
}

// regions returns the names of all regions, also of those that cannot be reached.
func (e *Engine) regions() []string {
	regions := map[string]bool{e.cfg.Region: true}
	for _, region := range e.cfg.Regions {
		regions[region] = true
	}
	return sortedKeys(regions)
}

// hubSlackShare is the fraction of a gathered service's retry slack that the hubs share. The
// other hosts share the rest, for retries of failed handoffs.
const hubSlackShare = 0.75

// ownerSlackShare is the fraction of the retry slack that the hosts share which gather a service
// of divided queries, one in each region. They make nearly all of its attempts.
const ownerSlackShare = 0.6

// allocatedSlackShare is the fraction of the retry slack that is divided among the hosts. The
// rest is a reserve, because a host that does not yet know of newly started hosts takes too
// large a share.
const allocatedSlackShare = 0.9

// retrySlack returns this host's share of a service's retry slack. The shares of all hosts
// add up to at most the whole slack.
func (e *Engine) retrySlack(service string) float64 {
	slack := allocatedSlackShare * e.cfg.Retry.Slack
	if len(e.members) <= 1 {
		// This host may be alone because it has not found the others, or does not reach them.
		return slack / float64(max(1, e.mostHosts, e.cfg.InitialHosts))
	}
	others := e.hosts - len(e.hubs)
	if owner, divided := e.owned[service]; divided {
		if owner {
			return slack * ownerSlackShare / float64(len(e.regions()))
		}
		slack *= 1 - ownerSlackShare
	}
	switch {
	case !e.gatheredServices[service] || len(e.hubs) == 0 || others <= 0:
		return slack / float64(e.hosts)
	case e.hubs[e.cfg.Host]:
		return slack * hubSlackShare / float64(len(e.hubs))
	}
	return slack * (1 - hubSlackShare) / float64(others)
}
