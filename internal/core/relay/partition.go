package relay

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/clock"
)

// A query over many shards is a burst of exchanges that one small host cannot carry within the
// latency objective: at 180 shards it is tens of milliseconds of a core, of which such a host
// has a fifth. The shards are therefore divided among several hubs of the region. Each gathers
// and merges its part, and the host that took the query merges the parts.
//
// The same hub gathers a shard for all hosts, so that a target has few connections, and the
// hub that uses them knows the target's latency and failures first hand.

const (
	// minPartShards is the smallest part that is worth a message: a message costs both hosts
	// together about as much processor time as this many exchanges take at the peer.
	minPartShards = 24
	// maxParts bounds the messages of one query, which the host that took it sends and merges.
	maxParts = 16
)

// gatherer is a host that gathers a part of a query; peer is nil for this host.
type gatherer struct {
	host     string
	capacity int
	peer     *peer
}

// partitionKey identifies what is divided: the shards of a route that have targets in a region.
type partitionKey struct{ route, region string }

// partition is the division of a list of services among hosts. It is kept until either changes.
type partition struct {
	services []string
	hosts    []string
	// owner is the index in hosts of the host that gathers each service.
	owner map[string]int
}

// assignParts hands those of the shards that other hosts gather to them, if the route's shards
// in the region are enough for more than one host. It returns the others: the part of this host,
// or all shards if they are not divided.
func (e *Engine) assignParts(now clock.Instant, r *request, shards []int, region string, fx *Effects) (rest []int) {
	services := e.divided[partitionKey{r.route.Name, region}]
	if len(shards) < minHandoffShards {
		return shards
	}
	usable := func(p *peer) bool { return now.Mono >= p.backoffUntil && !p.stalled(now.Mono) }
	gatherers := e.gatherersIn(region, len(services)/minPartShards, usable)
	if len(gatherers) == 0 || len(gatherers) == 1 && !e.reach.cutOff {
		return shards
	}
	p := e.partitionOf(partitionKey{r.route.Name, region}, services, gatherers)
	parts := make([][]int, len(gatherers))
	messages := 0
	for _, i := range shards {
		n, ok := p.owner[r.shards[i].service.name]
		if !ok || gatherers[n].peer == nil {
			rest = append(rest, i)
			continue
		}
		if len(parts[n]) == 0 {
			messages++
		}
		parts[n] = append(parts[n], i)
	}
	for n, part := range parts {
		if len(part) > 0 {
			e.handOff(now, r, gatherers[n].peer, part, messages, fx)
			r.parts++
		}
	}
	return rest
}

// gatherersIn returns at most limit usable hubs of a region, the strongest first. Hubs that are
// too weak for a part beside the others are left out.
func (e *Engine) gatherersIn(region string, limit int, usable func(*peer) bool) []gatherer {
	var list []gatherer
	for i := range e.members {
		m := &e.members[i]
		if m.Region != region || !e.isHub(m.Host) || m.Host == e.cfg.Host && e.reach.cutOff {
			continue
		}
		g := gatherer{host: m.Host, capacity: max(1, m.Capacity)}
		if m.Host != e.cfg.Host {
			g.peer = e.peers[m.Host]
			if g.peer == nil || !usable(g.peer) {
				continue
			}
		}
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b gatherer) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(xxhash.Sum64String(a.host), xxhash.Sum64String(b.host)))
	})
	list = list[:min(len(list), max(0, limit), maxParts)]
	for len(list) > 1 && list[len(list)-1].capacity*len(list)*2 < totalCapacity(list) {
		list = list[:len(list)-1]
	}
	return list
}

func totalCapacity(list []gatherer) int {
	total := 0
	for i := range list {
		total += list[i].capacity
	}
	return total
}

// partitionOf returns the division of the services, from the cache if neither they nor the
// gatherers have changed.
func (e *Engine) partitionOf(key partitionKey, services []string, gatherers []gatherer) *partition {
	hosts := make([]string, len(gatherers))
	for n := range gatherers {
		hosts[n] = gatherers[n].host
	}
	if p := e.partitions[key]; p != nil && slices.Equal(p.services, services) && slices.Equal(p.hosts, hosts) {
		return p
	}
	p := &partition{services: services, hosts: hosts, owner: make(map[string]int, len(services))}
	for i, n := range divide(services, gatherers) {
		p.owner[services[i]] = n
	}
	e.partitions[key] = p
	return p
}

// assignOwners determines which routes are divided in which regions, and for their services
// whether this host gathers them for its region.
func (e *Engine) assignOwners() {
	e.owned = map[string]bool{}
	e.divided = map[partitionKey][]string{}
	if e.view.Config == nil {
		return
	}
	regions := e.regions()
	for _, route := range e.view.Config.Routes {
		for _, region := range regions {
			e.divideRoute(route, region)
		}
	}
	maps.DeleteFunc(e.partitions, func(key partitionKey, _ *partition) bool { return e.divided[key] == nil })
}

func (e *Engine) divideRoute(route *catalog.Route, region string) {
	if len(route.ShardServices) < 2*minPartShards || !route.AllowsRegion(region) {
		return
	}
	var services []string
	for _, name := range route.ShardServices {
		if e.hasTargetInRegion(e.serviceOf(name), region) {
			services = append(services, name)
		}
	}
	if len(services) < 2*minPartShards {
		return
	}
	key := partitionKey{route.Name, region}
	e.divided[key] = services
	if region != e.cfg.Region {
		return
	}
	gatherers := e.gatherersIn(region, len(services)/minPartShards, func(*peer) bool { return true })
	if len(gatherers) < 2 {
		return
	}
	for _, g := range gatherers {
		if g.peer != nil && !g.peer.linkWanted {
			g.peer.linkWanted = true
			e.linksWanted = append(e.linksWanted, g.host)
		}
	}
	p := e.partitionOf(key, services, gatherers)
	for _, name := range services {
		e.owned[name] = e.owned[name] || p.hosts[p.owner[name]] == e.cfg.Host
	}
}

// partSlack is the part of its share by which a host may gather more shards than that, so that
// few shards change hosts when one comes or goes.
const partSlack = 0.15

// divide assigns each service to one of the gatherers, by weighted rendezvous hashing with
// bounded loads. All hosts with the same gatherers come to the same division.
func divide(services []string, gatherers []gatherer) (owner []int) {
	total := float64(totalCapacity(gatherers))
	room := make([]int, len(gatherers))
	for n := range gatherers {
		room[n] = int(math.Ceil(float64(len(services)) * float64(gatherers[n].capacity) / total * (1 + partSlack)))
	}
	owner = make([]int, len(services))
	for i, service := range services {
		best, bestScore := -1, 0.0
		for n := range gatherers {
			if room[n] == 0 {
				continue
			}
			if score := rendezvousScore(service, &gatherers[n]); best < 0 || score > bestScore {
				best, bestScore = n, score
			}
		}
		owner[i] = best
		room[best]--
	}
	return owner
}

// rendezvousScore returns a score that is the highest of all hosts with a probability in
// proportion to the host's capacity.
func rendezvousScore(service string, g *gatherer) float64 {
	const hashBits = 53 // of a float64's mantissa
	h := xxhash.Sum64String(service + "\x00" + g.host)
	uniform := (float64(h>>(64-hashBits)) + 0.5) / (1 << hashBits)
	return -float64(g.capacity) / math.Log(uniform)
}
