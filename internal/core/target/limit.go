package target

import (
	"math"
	"time"
)

const (
	// minLimit keeps one request in progress, without which a limit could not recover.
	minLimit = 1.0
	// shedCut and latencyCut are the factors of the multiplicative decrease.
	shedCut    = 0.7
	latencyCut = 0.9
	// strainFactor times the baseline is the latency above which the limit is cut.
	strainFactor = 2
	// outlierFactor times the baseline bounds one sample, so that a single straggler
	// does not cut the limit.
	outlierFactor = 4
	// recentWeight and baselineWeight are the shares of a new sample, as 1/n.
	recentWeight   = 8
	baselineWeight = 64
	// minCutPause is the least time between two cuts.
	minCutPause = 10 * time.Millisecond
)

// Limiter is the adaptive concurrency limit of one host at one target: additive
// increase while the limit is in use, multiplicative decrease when the target sheds or
// its latency leaves its own baseline.
type Limiter struct {
	limit    float64
	ceiling  int
	adaptive bool
	recent   time.Duration
	baseline time.Duration
	// nextCut is the monotonic time before which the limit is not cut again.
	nextCut time.Duration
}

// Configure sets the bound of the limit. It starts the limit where there was none.
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

// Restart begins again at start, for a target of which little is known.
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

// Shed cuts the limit because the target declined work.
func (l *Limiter) Shed(now time.Duration) { l.cut(now, shedCut) }

// Answered takes the latency of one reply, with the number of requests that were in
// progress when it arrived.
func (l *Limiter) Answered(now, elapsed time.Duration, inFlight int) {
	if !l.adaptive {
		return
	}
	if l.baseline == 0 {
		l.baseline = elapsed
		l.recent = elapsed
		return
	}
	sample := min(elapsed, outlierFactor*l.baseline)
	l.recent += (sample - l.recent) / recentWeight
	if l.recent > strainFactor*l.baseline {
		l.cut(now, latencyCut)
		l.baseline += l.baseline / (baselineWeight * baselineWeight)
		return
	}
	l.baseline += (sample - l.baseline) / baselineWeight
	if inFlight >= l.Limit() {
		l.limit = min(l.limit+1/l.limit, float64(l.ceiling))
	}
}

// cut reduces the limit, at most once in the time that a reply takes, so that the
// replies to one burst count once.
func (l *Limiter) cut(now time.Duration, factor float64) {
	if !l.adaptive || now < l.nextCut {
		return
	}
	l.nextCut = now + max(minCutPause, l.recent)
	l.limit = max(minLimit, l.limit*factor)
}

// quotaShare is the part of a target's published connections that hosts share out; the
// rest is free for the overlap while hosts are replaced.
const (
	quotaShareNumerator   = 4
	quotaShareDenominator = 5
)

// Quota returns one host's static share of a published connection limit, 0 for none.
func Quota(connections, hosts int) int {
	if connections == 0 {
		return math.MaxInt32
	}
	return max(1, connections*quotaShareNumerator/quotaShareDenominator/max(1, hosts))
}

// searchQuota leaves one connection of the quota to cancellations where it has two.
func searchQuota(quota int) int { return max(1, quota-1) }

// FairShare returns one host's share of a target's slots.
func FairShare(slots, hosts int) int { return max(1, slots/max(1, hosts)) }
