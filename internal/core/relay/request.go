package relay

import (
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/quantile"
)

// attempt is one request to one target in progress.
type attempt struct {
	id      AttemptID
	request *request
	shard   int
	target  *target
	sent    time.Duration
	// lateAfter is the time after which the attempt counts as late.
	lateAfter time.Duration
	// via is the peer that carries the attempt, nil for none.
	via   *peer
	extra bool
	hedge bool
}

// shard is the state of one service that a request goes to. A request to a single
// service has one.
type shard struct {
	service *service
	done    bool
	// ran counts the attempts that run or may have run, open included.
	ran int
	// sends counts all attempts.
	sends int
	// arrived counts the attempts that reached a target, as far as is known.
	arrived int
	waiting bool
	// group is set while a peer gathers the shard.
	group *group
	open  []*attempt
	tried []*target
	// barred are targets that must not be asked again.
	barred []*target
	// failure is the last failure that a target itself gave.
	failure *Response
	part    *Response
}

func (s *shard) hasTried(t *target) bool { return containsTarget(s.tried, t) }

// excludes reports whether the target has an open attempt of the shard, or told that it is
// not the one that was meant.
func (s *shard) excludes(t *target) bool {
	for _, a := range s.open {
		if a.target == t {
			return true
		}
	}
	return containsTarget(s.barred, t)
}

func containsTarget(list []*target, t *target) bool {
	for _, x := range list {
		if x == t {
			return true
		}
	}
	return false
}

func (s *shard) endAttempt(a *attempt) {
	for i, o := range s.open {
		if o == a {
			s.open = append(s.open[:i], s.open[i+1:]...)
			return
		}
	}
}

// request is one request in progress.
type request struct {
	*Request
	route   *catalog.Route
	version uint64
	started time.Duration
	// deadline is when the answer must leave, cutoff when one that lacks shards may.
	deadline time.Duration
	cutoff   time.Duration
	// offerBy is when a request that no target had room for is refused.
	offerBy time.Duration
	// wakeAt is when the request is next looked at.
	wakeAt  time.Duration
	shards  []shard
	done    int
	open    int
	hedges  int
	retries int
	// margin is kept from the objective for the way of a partial answer.
	margin   time.Duration
	groups   []*group
	handoffs int
	// ran tells that a target may have run the request.
	ran   bool
	ended bool
}

// direct reports whether a peer wants this host to ask a target of its own region, once.
func (r *request) direct() bool { return r.Gather != nil && r.Gather.Direct }

// earnedShare is the part of what a first request earns that is this host's.
func (r *request) earnedShare() float64 {
	if r.Gather != nil && r.Gather.SenderRepeats {
		return 1 - handedShare
	}
	return 1
}

func (r *request) gathers() bool { return len(r.route.Gather) > 0 }

// coverage is the share of shards whose part is in.
func (r *request) coverage() float64 { return float64(r.done) / float64(len(r.shards)) }

func (r *request) enough() bool { return r.done > 0 && r.coverage() >= r.route.MinCoverage }

// routeState is what the host learns of one route by its name.
type routeState struct {
	// spread is the latency of attempts, without the way to the target's zone.
	spread quantile.Spread
	// credit holds the smooth weighted round robin of a split.
	credit []float64
}

// pickSplit returns the service of a split whose turn it is, by smooth weighted round
// robin: over any run of requests each part gets its share to within one request.
func (s *routeState) pickSplit(parts []catalog.Share) string {
	if len(s.credit) != len(parts) {
		s.credit = make([]float64, len(parts))
	}
	total, best := 0.0, 0
	for i := range parts {
		s.credit[i] += parts[i].Weight
		total += parts[i].Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return parts[best].Service
}
