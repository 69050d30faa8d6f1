package relay

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
)

const (
	// minHandoff is the least number of shards that are worth a message to a peer.
	minHandoff = 2
	// maxHandoffs bounds the handoffs of one request.
	maxHandoffs = 4
	// peerHold is how long a peer that failed gets no queries.
	peerHold = time.Second
	// handoffSlack is how much before this host's cutoff a peer's answer should be here, for
	// the spread of the way.
	handoffSlack = 5 * time.Millisecond
	// peerGrace is how long after the cutoff the answer of a peer is awaited, and wayShare
	// times the way to it where that is longer: the other half is the peer's own work.
	peerGrace = 60 * time.Millisecond
	wayShare  = 2
)

// HandoffID identifies a part of a query that a peer gathers.
type HandoffID uint64

// Handoff asks a peer to gather some shards of a query.
type Handoff struct {
	ID      HandoffID
	Peer    string
	Request *Request
	Gather  Gather
	// Deadline is on the monotonic clock.
	Deadline time.Duration
}

// Gather is what a peer is told of the shards that it gathers, so that it needs to know
// neither the route nor the version of the configuration.
type Gather struct {
	Route       string
	Services    []string
	TopK        int
	MaxAttempts int
	Objective   time.Duration
	Timeout     time.Duration
	Regions     []string
	// Age is how long ago the request came, with the way to the peer and back.
	Age time.Duration
	// Direct asks for one attempt at a target of the peer's region, for which the host that
	// asks has paid from its own retry budget.
	Direct bool
	// SenderRepeats tells that the host that asks may repeat the shards itself and keeps its
	// part of what their first requests earn.
	SenderRepeats bool
	// Repeat tells that the shards may have been asked already, so that each attempt is an
	// extra one.
	Repeat bool
}

// HandoffCancel gives up a handoff.
type HandoffCancel struct {
	ID   HandoffID
	Peer string
}

// HandoffEnded is the end of a handoff.
type HandoffEnded struct {
	ID HandoffID
	// Answer is the peer's, nil where there is none.
	Answer *Answer
	// NotSent tells that the peer has not had the query.
	NotSent bool
	Reason  string
	// Spent is the peer's own time on the query.
	Spent time.Duration
}

func (*HandoffEnded) event() {}

// group is the shards of a request that a peer gathers.
type group struct {
	id      HandoffID
	peer    *peer
	request *request
	shards  []int
	handed  time.Duration
	open    bool
	// senderRepeats is as in the group's Gather.
	senderRepeats bool
	// body holds the greatest records of the group's parts.
	body []byte
}

// delegate hands shards to peers where that serves better: this host keeps no connections
// to their targets, or they have none in this host's region and several in a peer's.
func (e *Engine) delegate(now clock.Instant, r *request, fx *Effects) {
	if !r.gathers() || r.Gather != nil || len(e.peerStates) == 0 {
		return
	}
	rest := e.foreignShards(r)
	for len(rest) >= minHandoff && r.handoffs < maxHandoffs {
		p, covered := e.choosePeer(now, r, rest)
		if p == nil || len(covered) < minHandoff {
			return
		}
		e.handOff(now, r, p, covered, fx)
		rest = without(rest, covered)
	}
}

// foreignShards returns the shards that this host had better not gather itself.
func (e *Engine) foreignShards(r *request) []int {
	hub := e.isHub(e.cfg.Host)
	var foreign []int
	for i := range r.shards {
		sh := &r.shards[i]
		if sh.done || sh.group != nil || len(sh.open) > 0 || sh.sends > 0 && hub || !r.mayPlace(sh) {
			continue
		}
		if !hub || !e.inRegion(sh.service, e.cfg.Region) {
			foreign = append(foreign, i)
		}
	}
	return foreign
}

// inRegion reports whether the service has a target in use in the region.
func (e *Engine) inRegion(s *service, region string) bool {
	for _, t := range s.targets {
		if t.region == region && !t.spec.Draining && !e.view.ZonesOut[t.spec.Zone] {
			return true
		}
	}
	return false
}

// carrier returns the peer that carries an attempt to a target of another region, nil
// where this host sends it itself. Only hosts of a target's region connect to it, so that
// its connections suffice, and the links between hosts are always warm.
func (e *Engine) carrier(now clock.Instant, r *request, t *target) *peer {
	if !r.gathers() || t.distance != otherRegion {
		return nil
	}
	var best *peer
	for _, p := range e.carriers[t.region] {
		if now.Mono < p.heldUntil || p.stalled(now.Mono) {
			continue
		}
		if best == nil || p.load() < best.load() {
			best = p
		}
	}
	return best
}

// carriedGather is what a peer is told that carries one attempt.
func (e *Engine) carriedGather(now clock.Instant, r *request, sh *shard, p *peer) Gather {
	return Gather{
		Route: r.route.Name, Services: []string{sh.service.name}, TopK: r.route.TopK, MaxAttempts: 1,
		Objective: r.route.Objective, Timeout: r.deadline - r.started, Regions: r.route.Regions,
		Age: now.Mono - r.started + e.way(p), Direct: true,
	}
}

// choosePeer returns the hub that takes most of the shards, and those: all of them for
// one near by that stands in for this host, otherwise those with targets in its region.
// Of equals the less loaded of two at random is taken.
func (e *Engine) choosePeer(now clock.Instant, r *request, shards []int) (*peer, []int) {
	best := make([]*peer, 0, len(e.peerStates))
	var covered []int
	var bestRank rank
	byRegion := map[string][]int{}
	for _, name := range sortedKeys(e.peerStates) {
		p := e.peerStates[name]
		if !e.isHub(name) || now.Mono < p.heldUntil || p.stalled(now.Mono) {
			continue
		}
		local, ok := byRegion[p.Region]
		if !ok {
			local = e.covered(r, shards, p.Region)
			byRegion[p.Region] = local
		}
		take := local
		if !e.isHub(e.cfg.Host) && p.Region == e.cfg.Region {
			take = shards
		}
		rk := rank{tier: len(shards) - len(take), cost: float64(p.distance)}
		switch {
		case len(best) == 0 || rk.less(bestRank):
			best, covered, bestRank = append(best[:0], p), take, rk
		case !bestRank.less(rk):
			best = append(best, p)
		}
	}
	if len(best) == 0 {
		return nil, nil
	}
	a, b := best[e.rng.IntN(len(best))], best[e.rng.IntN(len(best))]
	if b.load() < a.load() {
		a = b
	}
	return a, covered
}

// covered returns the shards that have a target in the region.
func (e *Engine) covered(r *request, shards []int, region string) []int {
	if !r.route.AllowsRegion(region) {
		return nil
	}
	var list []int
	for _, i := range shards {
		if e.inRegion(r.shards[i].service, region) {
			list = append(list, i)
		}
	}
	return list
}

func without(shards, taken []int) []int {
	gone := make(map[int]bool, len(taken))
	for _, i := range taken {
		gone[i] = true
	}
	var rest []int
	for _, i := range shards {
		if !gone[i] {
			rest = append(rest, i)
		}
	}
	return rest
}

func (e *Engine) handOff(now clock.Instant, r *request, p *peer, shards []int, fx *Effects) {
	e.lastHandoff++
	g := &group{id: e.lastHandoff, peer: p, request: r, shards: shards, handed: now.Mono, open: true, senderRepeats: e.isHub(e.cfg.Host)}
	e.groups[g.id] = g
	p.open = append(p.open, g)
	r.groups = append(r.groups, g)
	r.handoffs++
	r.open++
	e.counters.Handoffs++
	services := make([]string, len(shards))
	attempts, repeat := r.route.MaxAttempts, false
	for n, i := range shards {
		sh := &r.shards[i]
		sh.group = g
		services[n] = sh.service.name
		attempts = min(attempts, r.route.MaxAttempts-sh.ran)
		repeat = repeat || sh.arrived > 0
		if g.senderRepeats && sh.arrived == 0 {
			sh.service.budget.earn(e.cfg.Retry, handedShare)
		}
	}
	fx.Records = append(fx.Records, decision.New("handed_over",
		decision.String("request", r.ID), decision.String("route", r.route.Name), decision.String("peer", p.Host),
		decision.Int("shards", len(shards)), decision.Int("open_at_peer", len(p.open)), decision.Millis("way", e.way(p)),
		decision.Millis("age", now.Mono-r.started)))
	fx.Handoffs = append(fx.Handoffs, Handoff{
		ID: g.id, Peer: p.Host, Request: r.Request, Deadline: r.deadline,
		Gather: Gather{
			Route: r.route.Name, Services: services, TopK: r.route.TopK, MaxAttempts: attempts, Repeat: repeat, SenderRepeats: g.senderRepeats,
			Objective: r.route.Objective, Timeout: r.deadline - r.started, Regions: r.route.Regions,
			Age: now.Mono - r.started + r.margin + e.way(p) + handoffSlack,
		},
	})
}

// handoffEnded takes a peer's answer. Shards that the peer has not had are gathered as if
// they were new; those that it may have asked for have one attempt less.
func (e *Engine) handoffEnded(now clock.Instant, ev *HandoffEnded, fx *Effects) {
	g := e.groups[ev.ID]
	if g == nil {
		return
	}
	delete(e.groups, ev.ID)
	g.open = false
	g.peer.end(g)
	g.request.open--
	if ev.Answer != nil {
		g.peer.lastReply = now.Mono
		e.addWay(g.peer, max(0, now.Mono-g.handed-ev.Spent))
	} else {
		g.peer.heldUntil = now.Mono + peerHold
	}
	r := g.request
	if r.ended {
		return
	}
	if ev.Answer != nil {
		e.takeGroup(r, g, ev.Answer)
	} else {
		fx.Records = append(fx.Records, decision.Warning("handoff_failed",
			decision.String("request", r.ID), decision.String("route", r.route.Name), decision.String("peer", g.peer.Host),
			decision.Int("shards", len(g.shards)), decision.String("reason", ev.Reason), decision.Millis("elapsed", now.Mono-g.handed)))
	}
	e.releaseGroup(r, g, ev.Answer == nil && ev.NotSent)
	if ev.Answer == nil {
		e.delegate(now, r, fx)
	}
	e.look(now, r, fx)
}

// takeGroup takes the parts that a peer gathered.
func (e *Engine) takeGroup(r *request, g *group, a *Answer) {
	g.body = a.Body
	for _, part := range a.Parts {
		if part.Shard < 0 || part.Shard >= len(g.shards) || part.Proof == "" {
			continue
		}
		sh := &r.shards[g.shards[part.Shard]]
		if sh.done {
			continue
		}
		sh.done = true
		sh.part = &Response{Proof: part.Proof}
		r.done++
	}
}

// releaseGroup makes the shards of a group that are not done this host's own. What a peer
// that fell silent did is not known: it may have asked as many targets as are allowed, so
// that a further one may be asked only where there is none.
func (e *Engine) releaseGroup(r *request, g *group, notSent bool) {
	for _, i := range g.shards {
		sh := &r.shards[i]
		sh.group = nil
		if notSent && sh.arrived == 0 && g.senderRepeats {
			sh.service.budget.unearn(e.cfg.Retry, handedShare)
		}
		if sh.done || notSent {
			continue
		}
		r.ran = true
		sh.ran++
		if len(sh.service.targets) > r.route.MaxAttempts {
			sh.ran = r.route.MaxAttempts
		}
		sh.sends++
		sh.arrived++
	}
}

// lookAtGroup waits on for a peer's answer, and gives it up where it is overdue.
func (e *Engine) lookAtGroup(now clock.Instant, r *request, g *group, fx *Effects) (due time.Duration) {
	due = min(r.deadline, max(r.cutoff, g.handed+wayShare*e.way(g.peer))+peerGrace)
	if now.Mono < due || !g.open {
		return due
	}
	fx.HandoffCancels = append(fx.HandoffCancels, HandoffCancel{ID: g.id, Peer: g.peer.Host})
	fx.Records = append(fx.Records, decision.Warning("handoff_overdue",
		decision.String("request", r.ID), decision.String("peer", g.peer.Host), decision.Millis("elapsed", now.Mono-g.handed)))
	delete(e.groups, g.id)
	g.open = false
	g.peer.end(g)
	g.peer.heldUntil = now.Mono + peerHold
	r.open--
	e.releaseGroup(r, g, false)
	return now.Mono
}

// cancelGroups gives up the handoffs of a request that are in progress.
func (e *Engine) cancelGroups(r *request, fx *Effects) {
	for _, g := range r.groups {
		if !g.open {
			continue
		}
		fx.HandoffCancels = append(fx.HandoffCancels, HandoffCancel{ID: g.id, Peer: g.peer.Host})
		delete(e.groups, g.id)
		g.open = false
		g.peer.end(g)
	}
}
