package target

import (
	"math"
	"time"
)

const (
	// minLimit allows one request in progress, because without replies a limit could not
	// recover.
	minLimit = 1.0
	// shedCutFactor and latencyCutFactor are the factors of the multiplicative decrease.
	shedCutFactor    = 0.7
	latencyCutFactor = 0.9
	// maxLatencyFactor times the baseline is the latency above which the limit is cut.
	maxLatencyFactor = 2
	// maxSampleFactor times the baseline is the maximum of one sample, so that a single
	// straggler does not cut the limit.
	maxSampleFactor = 4
	// recentWeight and baselineWeight are the inverse weights of a new sample in the moving
	// averages.
	recentWeight   = 8
	baselineWeight = 64
	// minCutInterval is the minimum time between two cuts.
	minCutInterval = 10 * time.Millisecond
)

// Limiter is the adaptive concurrency limit of one host at one target: additive increase
// while the limit is fully used, multiplicative decrease when the target sheds a request or
// its latency rises above maxLatencyFactor times its baseline.
type Limiter struct {
	limit    float64
	ceiling  int
	adaptive bool
	// recent and baseline are the fast and the slow moving average of the latency.
	recent   time.Duration
	baseline time.Duration
	// nextCut is the monotonic time before which the limit is not cut again.
	nextCut time.Duration
}

// Configure sets the upper bound of the limit, and starts a new Limiter at start. A limit
// that is not adaptive stays at the bound.
func (l *Limiter) Configure(start, ceiling int, adaptive bool) {
	l.ceiling = max(1, ceiling)
	l.adaptive = adaptive
	if !adaptive {
		l.limit = float64(l.ceiling)
		return
	}
	if l.limit == 0 {
		l.Restart(start)
	}
	l.limit = min(l.limit, float64(l.ceiling))
}

// Restart resets an adaptive limit to start and forgets the latency, for a target whose
// capacity is unknown.
func (l *Limiter) Restart(start int) {
	if !l.adaptive {
		return
	}
	l.limit = max(minLimit, min(float64(start), float64(l.ceiling)))
	l.recent = 0
	l.baseline = 0
}

// Limit returns the number of requests that may be in progress.
func (l *Limiter) Limit() int { return int(l.limit) }

// Shed cuts the limit after the target shed a request.
func (l *Limiter) Shed(now time.Duration) { l.cut(now, shedCutFactor) }

// Answered adjusts the limit by the latency of one reply. inFlight is the number of
// requests in progress when it arrived, including its own.
func (l *Limiter) Answered(now, elapsed time.Duration, inFlight int) {
	if !l.adaptive {
		return
	}
	if l.baseline == 0 {
		l.baseline = elapsed
		l.recent = elapsed
		return
	}
	sample := min(elapsed, maxSampleFactor*l.baseline)
	l.recent += (sample - l.recent) / recentWeight
	if l.recent > maxLatencyFactor*l.baseline {
		l.cut(now, latencyCutFactor)
		l.baseline += l.baseline / (baselineWeight * baselineWeight)
		return
	}
	l.baseline += (sample - l.baseline) / baselineWeight
	if inFlight >= l.Limit() {
		l.limit = min(l.limit+1/l.limit, float64(l.ceiling))
	}
}

// cut multiplies the limit by factor, at most once within the recent latency, so that the
// replies to one burst count once.
func (l *Limiter) cut(now time.Duration, factor float64) {
	if !l.adaptive || now < l.nextCut {
		return
	}
	l.nextCut = now + max(minCutInterval, l.recent)
	l.limit = max(minLimit, l.limit*factor)
}

// The quota share is the fraction of a target's published connections that is divided
// between the hosts. The rest is a reserve for the overlap while hosts are replaced.
const (
	quotaShareNumerator   = 4
	quotaShareDenominator = 5
)

// Quota returns one host's static share of a published connection limit, at least 1. A
// limit of 0 is unlimited.
func Quota(connections, hosts int) int {
	if connections == 0 {
		return math.MaxInt32
	}
	return max(1, connections*quotaShareNumerator/quotaShareDenominator/max(1, hosts))
}

// requestQuota returns the part of the quota for requests: all but one connection, which
// is kept for cancellations, but at least 1.
func requestQuota(quota int) int { return max(1, quota-1) }

// FairShare returns one host's equal share of a target's slots, at least 1.
func FairShare(slots, hosts int) int { return max(1, slots/max(1, hosts)) }
