package relay

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
)

// A cold target accepts few requests a second from all hosts together, and crashes at well more. The
// hosts that connect to it share that without a message. Their buckets hold little together: the
// requests that wait at all hosts while a service is back cold would otherwise come at the same
// moment, one from each host, however small the rate is.

// ColdPolicy bounds the requests that a cold target gets from all hosts together in any second:
// Factor times the rate that its service names, plus Slack.
type ColdPolicy struct {
	Factor float64
	Slack  float64
}

// coldBurstShare is the fraction of what ColdPolicy allows beyond the rate that the buckets of all
// hosts hold together. The rest is for hosts that don't know the same members yet.
const coldBurstShare = 0.8

// presumedColdFor is how long a target is taken for cold after its host refused a connection: it is
// cold once it is back, and takes requests before its new entry has reached every host.
const presumedColdFor = 3 * time.Second

// burst returns the requests that the buckets of all hosts may hold together.
func (p ColdPolicy) burst(rate float64) float64 {
	return max(1, coldBurstShare*(p.Slack+max(0, p.Factor-1)*rate))
}

// coldShare is this host's share of the requests to a cold target, as a token bucket.
type coldShare struct {
	// rate is in tokens per second. tokens is the level at filledAt.
	rate     float64
	capacity float64
	tokens   float64
	filledAt time.Duration
}

func (c *coldShare) fill(now time.Duration) {
	c.tokens = min(c.tokens+c.rate*max(0, now-c.filledAt).Seconds(), c.capacity)
	c.filledAt = now
}

// limitsCold reports whether the service limits the requests to a target because it is cold.
func (s *service) limitsCold(now time.Duration, t *target) bool {
	return s != nil && s.spec != nil && s.spec.MaxColdRate > 0 && now < t.coldUntil
}

// allowCold reports whether this host's share of a cold target's rate limit allows one more
// request, and consumes a token if consume is set. It allows every request to a warm target.
func (t *target) allowCold(now time.Duration, s *service, consume bool) bool {
	if !s.limitsCold(now, t) {
		return true
	}
	t.cold.fill(now)
	if t.cold.tokens < 1 {
		return false
	}
	if consume {
		t.cold.tokens--
	}
	return true
}

// extendCold sets how long the target is cold, and begins with an empty bucket if it was warm.
func (t *target) extendCold(now, remaining time.Duration) {
	if now >= t.coldUntil {
		t.cold = coldShare{filledAt: now}
	}
	t.coldUntil = now + remaining
}

// presumeCold takes a target for cold whose process has ended.
func (e *Engine) presumeCold(now clock.Instant, t *target) {
	s := e.services[t.spec.Service]
	if t.removed || t.coldUntil-now.Mono >= presumedColdFor || s == nil || s.spec == nil || s.spec.MaxColdRate <= 0 {
		return
	}
	t.extendCold(now.Mono, presumedColdFor)
	e.restricted[t] = true
	e.shareCold(now, t)
}

// shareCold sets this host's share of the requests to a cold target: an equal part, or nothing on a
// host whose turn it is not, if there are more hosts than requests that may come at once. A host
// that has just started does not know yet how many share them.
func (e *Engine) shareCold(now clock.Instant, t *target) {
	c := &t.cold
	c.fill(now.Mono)
	rate := e.services[t.spec.Service].spec.MaxColdRate
	burst := e.cfg.Cold.burst(rate)
	hosts := e.connectingHosts(t.spec.Service, t.region)
	if now.Mono < e.slackFrom {
		hosts = max(hosts, e.cfg.InitialHosts)
	}
	sharers := int(min(burst, float64(hosts)))
	switch {
	case sharers >= hosts || len(e.members) == 0:
		sharers = max(1, hosts)
	case !e.isLimitSharer(t, sharers):
		c.rate, c.tokens = 0, 0
		return
	}
	c.rate, c.capacity = rate/float64(sharers), max(1, burst/float64(sharers))
}
