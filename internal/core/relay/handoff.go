package relay

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/result"
)

const (
	// minHandoffShards is the minimum number of shards that justifies a message to a peer.
	minHandoffShards = 2
	// maxHandoffs is the maximum number of handoffs of one request beside those of its parts.
	maxHandoffs = 4
	// peerBackoff is how long no queries are sent to a peer that failed.
	peerBackoff = time.Second
	// handoffMargin is how long before this host's cutoff a peer's answer should arrive, to
	// allow for jitter of the round trip.
	handoffMargin = 5 * time.Millisecond
	// A handoff is overdue handoffGrace after the cutoff, or handoffGrace after
	// handoffRTTFactor round trips if that is later. Half of these round trips allows for the
	// peer's own work.
	handoffGrace     = 60 * time.Millisecond
	handoffRTTFactor = 2
)

// HandoffID identifies one handoff.
type HandoffID uint64

// Handoff asks a peer to gather some shards of a query.
type Handoff struct {
	ID      HandoffID
	Peer    string
	Request *Request
	Gather  GatherSpec
	// Deadline is on the monotonic clock.
	Deadline time.Duration
}

// GatherSpec describes to a peer the shards that it is to gather. It is self-contained, so that
// the peer needs to know neither the route nor the version of the configuration.
type GatherSpec struct {
	Route       string
	Services    []string
	TopK        int
	MaxAttempts int
	Objective   time.Duration
	Timeout     time.Duration
	Regions     []string
	// Age is the time since the request arrived, including the round trip to the peer and,
	// unless Direct is set, the margins that the sender reserves.
	Age time.Duration
	// Whole states that Services holds the service of a request that is not gathered. The answer is
	// the target's whole reply.
	Whole bool
	// Direct requests a single attempt at a target in the peer's region. The sender accounts
	// for it in its own retry budget.
	Direct bool
	// SenderRepeats states that the sender may retry the shards itself and keeps
	// handoffDepositShare of the deposits for their first attempts.
	SenderRepeats bool
	// From is the host that sent the handoff. The receiver sets it.
	From string
	// Repeat states that attempts at the shards may have been made already, so that each
	// further attempt counts as an extra one.
	Repeat bool
}

// HandoffCancel cancels a handoff.
type HandoffCancel struct {
	ID   HandoffID
	Peer string
	// Unsent states that the handoff is left alone if it has been sent.
	Unsent bool
}

// HandoffEnded reports the end of a handoff.
type HandoffEnded struct {
	ID HandoffID
	// Answer is the peer's answer, nil if it gave none.
	Answer *Answer
	// NotSent states that the peer did not receive the query, and Withdrawn that this is because a
	// cancel came first.
	NotSent, Withdrawn bool
	Reason             string
	// PeerElapsed is the time that the peer itself took for the query.
	PeerElapsed time.Duration
}

func (*HandoffEnded) event() {}

// handoff is the state of a set of shards of a request that a peer gathers.
type handoff struct {
	id      HandoffID
	peer    *peer
	request *request
	shards  []int
	sentAt  time.Duration
	open    bool
	// senderRepeats is the value sent in the handoff's Gather.
	senderRepeats bool
}

// delegate hands shards off to peers: parts of a query over many shards to the hubs of the
// region that has their targets, and smaller sets to one peer, if this host is not a hub and so
// keeps no connections to their targets, or if they have targets in a peer's region and none in
// this host's region. Each handoff has at least minHandoffShards shards.
func (e *Engine) delegate(now clock.Instant, r *request, fx *Effects) {
	if !r.isGather() || len(e.peers) == 0 || !e.mayDelegate(r) || r.runsAlone() && !e.mustDelegate(r) {
		return
	}
	rest, remote := e.shardsToDelegate(r)
	if r.Gather == nil && !r.runsAlone() {
		rest = e.assignParts(now, r, rest, e.cfg.Region, fx)
	}
	if e.gathersItself() {
		// This host gathers those of the rest for which it knows a sound target in its region.
		remote = append(remote, e.shardsWithoutSoundTarget(now, r, rest)...)
		rest = nil
	}
	if region, covered := e.regionFor(r, remote); region != "" {
		remote = append(without(remote, covered), e.assignParts(now, r, covered, region, fx)...)
	}
	e.handOffToHubs(now, r, append(rest, remote...), fx)
}

// handOffToHubs hands shards off to the hubs that take the most of them, one after another.
func (e *Engine) handOffToHubs(now clock.Instant, r *request, rest []int, fx *Effects) {
	least := minHandoffShards
	if !e.gathersItself() {
		least = 1
	}
	for len(rest) >= least && r.handoffCount < maxHandoffs+r.parts {
		p, covered := e.choosePeer(now, r, rest)
		if (p == nil || len(covered) < least) && !e.gathersItself() {
			// No hub near the targets takes them: any other one connects to them itself.
			p, covered = e.anyHub(now, r), rest
		}
		if p == nil || len(covered) < least {
			return
		}
		e.handOff(now, r, p, covered, 1, fx)
		rest = without(rest, covered)
	}
}

// gathersItself reports whether this host sends gathered queries to targets.
func (e *Engine) gathersItself() bool { return e.isHub(e.cfg.Host) && !e.reach.cutOff }

// mayDelegate reports whether shards of the request may be handed off. Shards that a peer handed
// off may go on to another region only if the peer is in this one, so that no shard comes back.
func (e *Engine) mayDelegate(r *request) bool {
	if r.Gather == nil {
		return true
	}
	from := e.peers[r.Gather.From]
	return !r.Gather.Direct && from != nil && from.Region == e.cfg.Region
}

// shardsToDelegate returns the indexes of the shards that a peer may gather: those with a
// target in this host's region and the others.
func (e *Engine) shardsToDelegate(r *request) (local, remote []int) {
	hub := e.gathersItself()
	for i := range r.shards {
		sh := &r.shards[i]
		if sh.done || sh.handoff != nil || len(sh.open) > 0 || sh.sends > 0 && hub || !r.mayDispatch(sh) {
			continue
		}
		if e.hasTargetInRegion(sh.service, e.cfg.Region) {
			local = append(local, i)
		} else {
			remote = append(remote, i)
		}
	}
	return local, remote
}

// regionFor returns the other region that has targets for the most of the shards, the nearest
// of several, and these shards. It is one in which the route is divided, or "" if there is none.
func (e *Engine) regionFor(r *request, shards []int) (region string, covered []int) {
	for _, name := range sortedKeys(e.remoteHubs) {
		if len(e.divided[partitionKey{r.route.Name, name}]) == 0 {
			continue
		}
		list := e.shardsInRegion(r, shards, name)
		if len(list) > len(covered) || len(list) == len(covered) && region != "" && e.peerRTT(e.remoteHubs[name][0]) < e.peerRTT(e.remoteHubs[region][0]) {
			region, covered = name, list
		}
	}
	return region, covered
}

// hasTargetInRegion reports whether the service has a target in the region that is not
// draining and whose availability zone is in use.
func (e *Engine) hasTargetInRegion(s *service, region string) bool {
	for _, t := range s.targets {
		if t.region == region && !t.draining() && !e.view.EvacuatedZones[t.spec.Zone] {
			return true
		}
	}
	return false
}

// shardsWithoutSoundTarget returns those of the shards for which this host knows no sound target
// in its region.
func (e *Engine) shardsWithoutSoundTarget(now clock.Instant, r *request, shards []int) []int {
	granted := map[string]int{}
	var unsound []int
	for _, i := range shards {
		if !e.hasSoundTarget(now, r.shards[i].service, e.cfg.Region, granted) {
			unsound = append(unsound, i)
		}
	}
	return unsound
}

// hasSoundTarget reports whether the service has a target in the region that is expected to serve
// a request: while an availability zone is dark or cold, or many targets shed, whole sets of
// shards go to another region in one message, instead of one by one after a failed attempt.
// A target that has failed is expected to serve a probe. granted counts the probes of each
// availability zone that were granted so.
func (e *Engine) hasSoundTarget(now clock.Instant, s *service, region string, granted map[string]int) bool {
	for _, t := range s.targets {
		zone := t.spec.Zone
		if t.region != region || t.draining() || e.view.EvacuatedZones[zone] || !t.allowCold(now.Mono, s, false) || !t.limit.allows(now.Mono) || now.Mono < t.pausedUntil {
			continue
		}
		if e.rank(now.Mono, s, t, granted[zone]).tier == tierHealthy {
			if t.consecutiveFailures > 0 {
				granted[zone]++
			}
			return true
		}
	}
	return false
}

// handOff hands shards off to a peer. siblings is the number of handoffs whose answers are
// expected at the same time, this one included.
func (e *Engine) handOff(now clock.Instant, r *request, p *peer, shards []int, siblings int, fx *Effects) {
	e.lastHandoffID++
	h := &handoff{id: e.lastHandoffID, peer: p, request: r, shards: shards, sentAt: now.Mono, open: true, senderRepeats: e.isHub(e.cfg.Host) && siblings == 1}
	e.handoffs[h.id] = h
	p.handoffs = append(p.handoffs, h)
	r.handoffs = append(r.handoffs, h)
	r.handoffCount++
	r.open++
	e.counters.Handoffs++
	services := make([]string, len(shards))
	attempts, repeat := r.route.MaxAttempts, false
	for n, i := range shards {
		sh := &r.shards[i]
		sh.handoff = h
		services[n] = sh.service.name
		attempts = min(attempts, r.route.MaxAttempts-sh.ran)
		repeat = repeat || sh.delivered > 0
		if h.senderRepeats && sh.delivered == 0 {
			sh.service.budget.deposit(e.cfg.Retry, handoffDepositShare)
		}
	}
	fx.Records = append(fx.Records, decision.New("handed_over",
		decision.String("request", r.ID), decision.String("route", r.route.Name), decision.String("peer", p.Host),
		decision.Int("shards", len(shards)), decision.Int("open_at_peer", len(p.handoffs)), decision.Millis("way", e.peerRTT(p)),
		decision.Millis("age", now.Mono-r.started)))
	fx.Handoffs = append(fx.Handoffs, Handoff{
		ID: h.id, Peer: p.Host, Request: r.Request, Deadline: r.deadline,
		Gather: GatherSpec{
			Route: r.route.Name, Services: services, TopK: r.route.TopK, MaxAttempts: attempts, Repeat: repeat, SenderRepeats: h.senderRepeats,
			Objective: r.route.LatencyObjective, Timeout: r.deadline - r.started, Regions: r.route.Regions,
			Age: now.Mono - r.started + r.replyMargin + e.peerRTT(p) + handoffMargin + e.lag.messages(siblings, r.route.LatencyObjective),
		},
	})
}

// handoffEnded handles the end of a handoff. Shards that the peer did not receive are
// gathered as if they were new; for the others at least one attempt counts as used.
func (e *Engine) handoffEnded(now clock.Instant, ev *HandoffEnded, fx *Effects) {
	h := e.handoffs[ev.ID]
	if h == nil {
		return
	}
	delete(e.handoffs, ev.ID)
	h.open = false
	h.peer.removeHandoff(h)
	h.request.open--
	refused := e.observeHandoffEnd(now, h, ev)
	r := h.request
	if r.ended {
		return
	}
	if ev.Answer != nil {
		e.mergeHandoff(r, h, ev.Answer)
	} else {
		fx.Records = append(fx.Records, decision.Warning("handoff_failed",
			decision.String("request", r.ID), decision.String("route", r.route.Name), decision.String("peer", h.peer.Host),
			decision.Int("shards", len(h.shards)), decision.String("reason", ev.Reason), decision.Millis("elapsed", now.Mono-h.sentAt)))
	}
	if refused {
		r.handoffCount--
	}
	e.reclaimShards(r, h, refused || ev.Answer == nil && ev.NotSent)
	if ev.Answer != nil && len(ev.Answer.Parts) > 0 {
		e.recordAnswer(now, r, fx)
	}
	if ev.Answer == nil || refused {
		e.delegate(now, r, fx)
	}
	e.poll(now, r, fx)
}

// observeHandoffEnd updates the state of a peer from the end of a handoff, and reports whether the peer
// refused it because it takes none at present.
func (e *Engine) observeHandoffEnd(now clock.Instant, h *handoff, ev *HandoffEnded) (refused bool) {
	p := h.peer
	switch {
	case ev.Withdrawn:
		return false
	case ev.Answer == nil:
		p.backoffUntil = now.Mono + peerBackoff
		return false
	}
	p.lastReply = now.Mono
	e.observePeerRTT(p, max(0, now.Mono-h.sentAt-ev.PeerElapsed))
	switch ev.Answer.Code {
	case result.TargetsUnreachable:
		p.backOffCutOff(now.Mono)
		return true
	case result.Draining:
		p.backoffUntil = now.Mono + peerBackoff
		return true
	}
	p.cutOffs = 0
	return false
}

// mergeHandoff merges the parts that a peer gathered into the request. The records of the
// parts cannot be told apart, so that an answer with a part that is not wanted, or not proved,
// is ignored as a whole.
func (e *Engine) mergeHandoff(r *request, h *handoff, a *Answer) {
	seen := make(map[int]bool, len(a.Parts))
	for _, part := range a.Parts {
		if part.Shard < 0 || part.Shard >= len(h.shards) || part.Proof == "" || seen[part.Shard] || r.shards[h.shards[part.Shard]].done {
			return
		}
		seen[part.Shard] = true
	}
	r.addRecords(a.Body)
	for _, part := range a.Parts {
		sh := &r.shards[h.shards[part.Shard]]
		sh.done = true
		sh.part = &Response{Proof: part.Proof}
		r.done++
	}
}

// reclaimShards returns the unfinished shards of a handoff to this host. Unless the handoff
// was not sent, the peer may have used all allowed attempts on different targets. If the
// service has more targets than allowed attempts, no attempt is left, as a further one could
// reach one target too many; otherwise one attempt counts as used.
func (e *Engine) reclaimShards(r *request, h *handoff, notSent bool) {
	for _, i := range h.shards {
		sh := &r.shards[i]
		sh.handoff = nil
		if notSent && sh.delivered == 0 && h.senderRepeats {
			sh.service.budget.revokeDeposit(e.cfg.Retry, handoffDepositShare)
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
		sh.delivered++
	}
}

// pollHandoff cancels a handoff whose answer is overdue. It returns when to poll again.
func (e *Engine) pollHandoff(now clock.Instant, r *request, h *handoff, fx *Effects) (due time.Duration) {
	due = min(r.deadline, max(r.cutoff, h.sentAt+handoffRTTFactor*e.peerRTT(h.peer))+handoffGrace)
	if now.Mono < due || !h.open {
		return due
	}
	fx.HandoffCancels = append(fx.HandoffCancels, HandoffCancel{ID: h.id, Peer: h.peer.Host})
	fx.Records = append(fx.Records, decision.Warning("handoff_overdue",
		decision.String("request", r.ID), decision.String("peer", h.peer.Host), decision.Millis("elapsed", now.Mono-h.sentAt)))
	delete(e.handoffs, h.id)
	h.open = false
	h.peer.removeHandoff(h)
	h.peer.backoffUntil = now.Mono + peerBackoff
	r.open--
	e.reclaimShards(r, h, false)
	return now.Mono
}

// cancelHandoffs cancels the handoffs of a request that are in progress.
func (e *Engine) cancelHandoffs(r *request, fx *Effects) {
	for _, h := range r.handoffs {
		if !h.open {
			continue
		}
		fx.HandoffCancels = append(fx.HandoffCancels, HandoffCancel{ID: h.id, Peer: h.peer.Host})
		delete(e.handoffs, h.id)
		h.open = false
		h.peer.removeHandoff(h)
	}
}
