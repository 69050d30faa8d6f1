package relay

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/result"
)

// A target in need names how many requests a second it accepts from all hosts together. The hosts
// that connect to it share that without a message: each uses its part of the limit, as a token
// bucket. Requests that the limits leave no room for are refused at once, before any of their
// shards is sent, so that they use up no part of a limit that another request needs.

const (
	// limitBurst is the time whose tokens a bucket holds.
	limitBurst = 500 * time.Millisecond
	// hostsPerLimit is the number of hosts that share a limit of one request a second. With
	// more hosts, the single requests that each may send at any time would add up to more than
	// the limit.
	hostsPerLimit = 2
	// minLimit is the least limit that hosts use, in requests per second: a target that accepts
	// none is asked now and then whether it still does not.
	minLimit = 0.2
	// limitTurn is how long the same hosts share a small limit. Each host gets its turn, also to
	// see whether the target still names a limit.
	limitTurn = 10 * time.Second
	// maxLimitRetryAfter bounds the Retry-After delay of requests that limits leave no room for.
	maxLimitRetryAfter = time.Second
)

// rateLimit is this host's share of the limit that a target names, as a token bucket.
type rateLimit struct {
	// perSecond is the limit of all hosts together.
	perSecond float64
	// namedAt is when the target last named it.
	namedAt time.Duration
	// rate is this host's share, in tokens per second. tokens is the level at filledAt.
	rate     float64
	tokens   float64
	filledAt time.Duration
}

func (l *rateLimit) capacity() float64 { return max(1, l.rate*limitBurst.Seconds()) }

func (l *rateLimit) fill(now time.Duration) {
	l.tokens = min(l.tokens+l.rate*max(0, now-l.filledAt).Seconds(), l.capacity())
	l.filledAt = now
}

// allows reports whether the limit allows one more request.
func (l *rateLimit) allows(now time.Duration) bool {
	if l == nil {
		return true
	}
	l.fill(now)
	return l.tokens >= 1
}

// take uses up a token, and refund returns that of a request that did not reach its target.
func (l *rateLimit) take(now time.Duration) {
	if l != nil {
		l.fill(now)
		l.tokens--
	}
}

func (l *rateLimit) refund() {
	if l != nil {
		l.tokens = min(l.tokens+1, l.capacity())
	}
}

// observeLimit applies the limit, or its absence, in a reply.
func (e *Engine) observeLimit(now clock.Instant, a *attempt, n *Notice, fx *Effects) {
	t, before := a.target, 0.0
	if t.limit != nil {
		before = t.limit.perSecond
	}
	switch {
	case n.Limited && t.limit == nil:
		t.limit = &rateLimit{perSecond: n.RateLimit, filledAt: now.Mono}
		e.shareLimit(now, t)
		// The hosts begin at different levels, so that their first requests do not coincide.
		t.limit.tokens = e.rng.Float64() * min(1, t.limit.capacity())
		e.restricted[t] = true
	case n.Limited:
		t.limit.perSecond = n.RateLimit
		e.shareLimit(now, t)
	case t.limit != nil && a.sent > t.limit.namedAt:
		// The reply to a request that was sent before the limit was named may be older.
		t.limit = nil
	default:
		return
	}
	if n.Limited {
		t.limit.namedAt = now.Mono
	}
	if t.limit == nil || n.RateLimit != before {
		record := decision.New("target_limit",
			decision.String("request", a.request.ID), decision.String("target", t.spec.Instance), decision.String("service", t.spec.Service),
			decision.Bool("limited", n.Limited), decision.Float("per_second", n.RateLimit), decision.Float("before", before))
		if t.limit != nil {
			record.Attrs = append(record.Attrs, decision.Float("share", t.limit.rate))
		}
		fx.Records = append(fx.Records, record)
	}
}

// shareLimit sets this host's share of a target's limit: an equal part of it, or nothing on a host
// whose turn it is not to share a small limit.
func (e *Engine) shareLimit(now clock.Instant, t *target) {
	l := t.limit
	l.fill(now.Mono)
	hosts := e.connectingHosts(t.spec.Service, t.region)
	limit := max(l.perSecond, minLimit)
	sharers := max(1, int(min(hostsPerLimit*limit, float64(hosts))))
	switch {
	case sharers >= hosts || len(e.members) == 0:
		l.rate = limit / float64(max(1, hosts))
	case e.isLimitSharer(t, sharers):
		l.rate = limit / float64(sharers)
	default:
		l.rate, l.tokens = 0, 0
	}
}

// isLimitSharer reports whether this host is one of the given number of hosts whose turn it is to
// share a target's limit, or its requests while it is cold. All hosts with the same members and
// about the same time come to the same choice.
func (e *Engine) isLimitSharer(t *target, sharers int) bool {
	var names []string
	for i := range e.members {
		m := &e.members[i]
		if e.gatheredServices[t.spec.Service] && (!e.isHub(m.Host) || m.Region != t.region && e.hubsInRegion[t.region] > 0) {
			continue
		}
		names = append(names, m.Host)
	}
	turn := strconv.FormatInt(e.limitTurn, 10)
	rank := func(host string) uint64 { return xxhash.Sum64String(t.spec.Instance + "\x00" + turn + "\x00" + host) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	at := slices.Index(names, e.cfg.Host)
	return at >= 0 && at < sharers
}

// updateLimitShares recalculates this host's shares after the members or the turn changed, and
// forgets the targets that were removed.
func (e *Engine) updateLimitShares(now clock.Instant) {
	e.limitTurn = int64(now.Wall / limitTurn)
	for t := range e.restricted {
		cold := e.services[t.spec.Service].limitsCold(now.Mono, t)
		if t.removed || t.limit == nil && !cold && now.Mono >= t.pausedUntil {
			delete(e.restricted, t)
			continue
		}
		if t.limit != nil {
			e.shareLimit(now, t)
		}
		if cold {
			e.shareCold(now, t)
		}
	}
}

// limitWait returns how long a shard must wait for the limits and pauses of its targets, behind the
// shards that wait already. It is 0 if a target without either may serve it, or if no target may.
func (e *Engine) limitWait(now clock.Instant, r *request, sh *shard) time.Duration {
	room := limitedRoom{wait: r.deadline - now.Mono}
	usable := false
	for _, t := range sh.service.targets {
		if !e.mayServe(r, sh, t) {
			continue
		}
		usable = true
		// The pause of a target that a peer forwards to is this host's alone.
		if room.add(now.Mono, t) || e.forwarder(now, r, t) != nil {
			return 0
		}
	}
	if !usable {
		return 0
	}
	return room.waitFor(1 + len(sh.service.waiting))
}

// limitedRoom is the room that the limits and pauses of a service's targets leave.
type limitedRoom struct {
	// tokens and rate are those of the targets with a limit, in requests and requests per
	// second.
	tokens, rate float64
	// wait is the time until the first pause ends.
	wait time.Duration
}

// add adds a target, and reports whether it has neither a limit nor a pause.
func (l *limitedRoom) add(now time.Duration, t *target) (free bool) {
	switch pause := t.pausedUntil - now; {
	case pause > 0:
		l.wait = min(l.wait, pause)
	case t.limit == nil:
		return true
	default:
		t.limit.fill(now)
		l.tokens += math.Floor(t.limit.tokens)
		l.rate += t.limit.rate
	}
	return false
}

// waitFor returns how long it takes until there is room for n requests.
func (l *limitedRoom) waitFor(n int) time.Duration {
	missing := float64(n) - l.tokens
	switch {
	case missing <= 0:
		return 0
	case l.rate <= 0:
		return l.wait
	}
	return min(l.wait, time.Duration(missing/l.rate*float64(time.Second)))
}

// limitPatience returns how long a shard may wait for a limit: a query until its parts are due, any
// other request until it is refused for want of capacity.
func (e *Engine) limitPatience(now clock.Instant, r *request, sh *shard) time.Duration {
	if r.isGather() {
		return r.cutoff - now.Mono - max(sh.service.latency.Mean(), minLateAfter)
	}
	return r.dispatchBy - now.Mono
}

// overLimit reports whether the limits of targets leave no room for a new request: for a query, if
// too many of its shards would have to wait longer than limitPatience. retryAfter is when there
// should be room.
func (e *Engine) overLimit(now clock.Instant, r *request) (retryAfter time.Duration, over bool) {
	if len(e.restricted) == 0 {
		return 0, false
	}
	if e.limitTurn != int64(now.Wall/limitTurn) {
		e.updateLimitShares(now)
	}
	var waits []time.Duration
	for i := range r.shards {
		sh := &r.shards[i]
		if wait := e.limitWait(now, r, sh); wait > e.limitPatience(now, r, sh) {
			waits = append(waits, wait)
		}
	}
	spare := 0
	if r.isGather() && r.Gather == nil {
		spare = max(0, len(r.shards)-int(math.Ceil(r.route.MinCoverage*float64(len(r.shards)))))
	}
	if len(waits) <= spare || r.Gather != nil && len(waits) < len(r.shards) {
		return 0, false
	}
	// Once all but the spare ones have room, the request does.
	slices.Sort(waits)
	wait := min(waits[len(waits)-1-min(spare, len(waits)-1)], maxLimitRetryAfter)
	return wait + time.Duration(e.rng.Int64N(int64(wait)/2+1)), true
}

// refuseOverLimit refuses a new request if the limits of targets leave no room for it, and reports
// whether it did.
func (e *Engine) refuseOverLimit(now clock.Instant, r *request, fx *Effects) bool {
	retryAfter, over := e.overLimit(now, r)
	if over {
		e.counters.OverLimit++
		e.refuseFor(r.Request, r.route, result.Shed, retryAfter, fx)
	}
	return over
}
