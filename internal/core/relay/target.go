package relay

import (
	"math"
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/quantile"
)

const (
	// minBackoff and maxBackoff bound the backoff after a failure, before jitter. It doubles
	// with each consecutive failure.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// A new outcome enters the failure rate with the weight 1/failureRateDivisor. Without new
	// outcomes the rate halves every failureHalfLife, so that the target is tried again.
	failureRateDivisor = 4
	failureHalfLife    = 2 * time.Second
	// failureRateThreshold is the failure rate above which other targets are preferred.
	failureRateThreshold = 0.2
	// quotaShare is the fraction of a target's connection limit that is divided among the
	// hosts. A target still counts the connections of hosts that lost power, so all hosts can
	// reconnect at once only if less than half of the limit was in use.
	quotaShare = 0.45
	// remoteCostFactor is the cost factor for targets in other regions, to which traffic is
	// billed by the byte.
	remoteCostFactor = 1.25
	// latencyTTL is how long a target's own latency is used without a new reply.
	latencyTTL = 3 * time.Second
)

// distance classifies how far a target or peer is from this host.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
	distanceCount
)

// target is the state that this host keeps for one target.
type target struct {
	spec     *catalog.Target
	region   string
	distance distance
	// removed is set once the target is no longer in the view.
	removed bool
	// quota is this host's share of the target's connections.
	quota int
	// open are the attempts in progress, oldest first.
	open []*attempt
	// lastReply is the time of the last reply.
	lastReply time.Duration
	// latency excludes the network delay to the target's availability zone.
	latency quantile.MeanDeviation

	backoffUntil        time.Duration
	consecutiveFailures int
	// lastFailureRate is the failure rate at lastFailureRateAt.
	lastFailureRate   float64
	lastFailureRateAt time.Duration

	// Until coldUntil the target is cold, and cold limits the requests to it.
	coldUntil time.Duration
	cold      coldShare

	// limit is set while the target names one.
	limit *rateLimit
	// leaving is set once a reply of the target has said that it leaves.
	leaving bool
	// pausedUntil is how long the target wants no requests from this host.
	pausedUntil time.Duration
}

// draining reports whether the target takes no new requests, as its entry or a reply has said.
func (t *target) draining() bool { return t.spec.Draining || t.leaving }

// expectedLatency returns the expected duration of a request to the target, including the
// network delay. The target's own latency is used until latencyTTL after its last reply,
// then the latency of the service.
func (e *Engine) expectedLatency(now time.Duration, s *service, t *target) time.Duration {
	own := s.latency.Mean()
	if t.latency.Mean() > 0 && now-t.lastReply < latencyTTL {
		own = t.latency.Mean()
	}
	return e.zones.delayTo(t) + max(own, minLateAfter)
}

// cost returns the expected duration of one more request, scaled by the load of this host's
// own requests and the distance.
func (e *Engine) cost(now time.Duration, s *service, t *target) float64 {
	c := float64(e.expectedLatency(now, s, t)) * (1 + float64(len(t.open))/float64(max(1, t.spec.Slots)))
	if t.distance == otherRegion {
		c *= remoteCostFactor
	}
	return c
}

// stalled reports whether the oldest attempt in progress is late and the target has not
// replied to anything since it was sent. A target that pauses or stops responding is stalled
// until it replies.
func (t *target) stalled(now time.Duration) bool {
	if len(t.open) == 0 {
		return false
	}
	oldest := t.open[0]
	return t.lastReply < oldest.sent && now-oldest.sent > oldest.lateAfter
}

func (t *target) failureRate(now time.Duration) float64 {
	if t.lastFailureRate == 0 {
		return 0
	}
	return t.lastFailureRate * math.Exp2(-float64(now-t.lastFailureRateAt)/float64(failureHalfLife))
}

func (t *target) observeFailure(now time.Duration, failed bool) {
	rate := t.failureRate(now)
	sample := 0.0
	if failed {
		sample = 1
	}
	t.lastFailureRate = rate + (sample-rate)/failureRateDivisor
	t.lastFailureRateAt = now
}

// backOff starts a backoff, which doubles with each consecutive failure. jitter is in [0, 1).
func (t *target) backOff(now time.Duration, jitter float64) {
	pause := min(minBackoff<<min(t.consecutiveFailures, 10), maxBackoff)
	t.consecutiveFailures++
	t.backoffUntil = now + time.Duration(float64(pause)*(0.5+jitter))
}

// backsOff reports whether nothing may be sent to the target because it failed lately.
func (e *Engine) backsOff(now clock.Instant, t *target) bool {
	return now.Mono < t.backoffUntil && !e.reach.cutOff
}

func (t *target) removeAttempt(a *attempt) {
	for i, o := range t.open {
		if o == a {
			t.open = append(t.open[:i], t.open[i+1:]...)
			return
		}
	}
}

// service is the state that this host keeps for one service.
type service struct {
	name    string
	spec    *catalog.Service
	targets []*target
	// latency is that of all targets, without the network delay.
	latency quantile.MeanDeviation
	budget  retryBudget
	// waiting are the shards that wait for a target with capacity, oldest first.
	waiting []waiter
}

type waiter struct {
	request *request
	shard   int
}

// rank orders candidates by tier, then by cost; lower is better.
type rank struct {
	tier int
	cost float64
}

const (
	tierHealthy = iota
	tierFailing
	tierStalled
	tierBackoff
)

// rank ranks a target. granted is the number of probes of its availability zone that have been
// granted and not started.
func (e *Engine) rank(now time.Duration, s *service, t *target, granted int) rank {
	r := rank{tier: tierHealthy, cost: e.cost(now, s, t)}
	switch {
	case e.reach.cutOff: // the failures may be this host's
	case now < t.backoffUntil:
		r.tier = tierBackoff
	case t.stalled(now):
		r.tier = tierStalled
	case t.consecutiveFailures > 0 && len(t.open) > 0:
		// After a backoff one request at a time probes whether the target has recovered.
		r.tier = tierBackoff
	case t.failureRate(now) > failureRateThreshold, t.consecutiveFailures > 0 && !e.probesOf(t.spec.Zone).allow(granted):
		r.tier = tierFailing
	}
	return r
}

func (r rank) less(o rank) bool {
	if r.tier != o.tier {
		return r.tier < o.tier
	}
	return r.cost < o.cost
}

// mayServe reports whether a target may serve a shard, regardless of its capacity.
func (e *Engine) mayServe(r *request, sh *shard, t *target) bool {
	if t.removed || t.draining() || e.view.EvacuatedZones[t.spec.Zone] || !r.route.AllowsRegion(t.region) {
		return false
	}
	return !sh.excludes(t) && (!r.isDirect() || !r.isGather() || t.distance != otherRegion)
}

// chooseTarget returns the best target of the service that has capacity for the request, or
// nil. It prefers targets that the shard has not tried. eligible reports whether any target
// may serve the request, regardless of its capacity.
func (e *Engine) chooseTarget(now clock.Instant, s *service, r *request, sh *shard) (best *target, eligible bool) {
	var bestRank rank
	for _, t := range s.targets {
		if !e.mayServe(r, sh, t) {
			continue
		}
		eligible = true
		full := len(t.open) >= t.quota || !t.limit.allows(now.Mono) || now.Mono < t.pausedUntil
		if (full || e.reach.cutOff) && e.forwarder(now, r, t) == nil || !t.allowCold(now.Mono, s, false) {
			continue
		}
		rk := e.rank(now.Mono, s, t, 0)
		if sh.hasTried(t) {
			rk.tier = max(rk.tier, tierStalled)
		}
		if best == nil || rk.less(bestRank) {
			best, bestRank = t, rk
		}
	}
	return best, eligible
}
