package relay

import (
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/quantile"
	"pollentack.example/pollentack/internal/core/quarantine"
)

// attempt is a request to one target that is in progress.
type attempt struct {
	id      AttemptID
	request *request
	shard   int
	target  *target
	sent    time.Duration
	// lateAfter is the time after which the attempt counts as late.
	lateAfter time.Duration
	// via is the peer that forwards the attempt, nil for none.
	via *peer
	// extra is set if an earlier attempt may have reached a target.
	extra bool
	hedge bool
	// probe is set if the target had failed and not replied since.
	probe bool
	// alone is set if the request was suspect and ran nowhere else.
	alone bool
}

// shard is the state of a request at one of its services. A request to a single service has
// one shard.
type shard struct {
	service *service
	done    bool
	// ran counts the attempts that may have run, including those in progress.
	ran int
	// sends counts all attempts.
	sends int
	// delivered counts the attempts that may have reached a target.
	delivered int
	waiting   bool
	// handoff is set while a peer gathers the shard.
	handoff *handoff
	open    []*attempt
	tried   []*target
	// excluded are the targets that must not be tried again.
	excluded []*target
	// failure is the last error response of a target.
	failure *Response
	part    *Response
}

func (s *shard) hasTried(t *target) bool { return containsTarget(s.tried, t) }

// excludes reports whether the target has an attempt of the shard in progress, or a request
// to it was misdirected.
func (s *shard) excludes(t *target) bool {
	for _, a := range s.open {
		if a.target == t {
			return true
		}
	}
	return containsTarget(s.excluded, t)
}

func containsTarget(list []*target, t *target) bool {
	for _, x := range list {
		if x == t {
			return true
		}
	}
	return false
}

func (s *shard) removeAttempt(a *attempt) {
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
	// deadline is when the answer must be sent; from cutoff on a partial answer may be sent.
	deadline time.Duration
	cutoff   time.Duration
	// dispatchBy is when the request is refused if no target has had capacity for it.
	dispatchBy time.Duration
	// wakeAt is when the request is next polled.
	wakeAt  time.Duration
	shards  []shard
	done    int
	open    int
	hedges  int
	retries int
	// replyMargin is the part of the objective reserved for returning a partial answer.
	replyMargin  time.Duration
	handoffs     []*handoff
	handoffCount int
	// parts is the number of handoffs by which the query was divided among hubs.
	parts int
	// records are the greatest records of the parts that have arrived, in descending order.
	records []byte
	// ran is set if an ended attempt or handoff may have run the request.
	ran   bool
	ended bool

	fingerprint quarantine.Fingerprint
	// answered is set once a target has answered the request, whatever its status.
	answered bool
	// checks counts the checks in progress of targets that lost the request. They hold it up
	// until checkedBy.
	checks    int
	checkedBy time.Duration
	// suspect is set if targets crashed under earlier requests with the fingerprint. Only
	// soloShard is then tried until a target has answered.
	suspect   bool
	soloShard int
}

// isDirect reports whether a peer requests a single attempt at a target in this host's region.
func (r *request) isDirect() bool { return r.Gather != nil && r.Gather.Direct }

// depositShare returns this host's fraction of the retry budget deposit for a first attempt.
func (r *request) depositShare() float64 {
	if r.Gather != nil && r.Gather.SenderRepeats {
		return 1 - handoffDepositShare
	}
	return 1
}

func (r *request) isGather() bool { return len(r.route.ShardServices) > 0 }

// addRecords merges the records of a part into those that have arrived.
func (r *request) addRecords(part []byte) {
	r.records = addTop(r.records, part, r.route.TopK)
}

// coverage returns the fraction of the shards whose part has arrived.
func (r *request) coverage() float64 { return float64(r.done) / float64(len(r.shards)) }

func (r *request) hasMinCoverage() bool { return r.done > 0 && r.coverage() >= r.route.MinCoverage }

// routeState is the state that is kept for one route.
type routeState struct {
	// latency is the latency of attempts, without the network delay.
	latency quantile.MeanDeviation
	// credit is the smooth weighted round robin state of a split, by part.
	credit []float64
}

// pickSplit selects a service of a split by smooth weighted round robin: over any sequence of
// requests each part receives its share to within one request.
func (s *routeState) pickSplit(parts []catalog.WeightedService) string {
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
