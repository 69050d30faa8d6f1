// Package quantile estimates one quantile of a stream in constant space.
package quantile

import "time"

// P95 is the quantile after which a request counts as late.
const P95 = 0.95

const (
	// coarseGain and fineGain are the relative steps of a settled estimate.
	coarseGain = 0.05
	fineGain   = 0.005
	// warmSamples is how many samples an estimate needs before it is trusted, and
	// warmTop how many of them are kept: the least of these is about their P95, and
	// one or two stragglers among them do not show in it.
	warmSamples = 48
	warmTop     = 3
)

// Estimator tracks the P95 of durations by stochastic approximation in the logarithm:
// a sample above the estimate raises it by gain*P95, one below lowers it by
// gain*(1-P95), so that it rests where one sample in twenty is above. Recent samples
// weigh more than old ones. The zero value is ready.
type Estimator struct {
	// Fine takes a tenth of the step: for many samples that come in runs, as the replies
	// to one query do, the fast ones first.
	Fine    bool
	value   float64
	samples uint32
	// top holds the largest of the first samples in descending order.
	top [warmTop]float64
}

// Add takes one sample.
func (e *Estimator) Add(d time.Duration) {
	x := float64(max(d, 1))
	if e.samples < warmSamples {
		e.warm(x)
		return
	}
	gain := coarseGain
	if e.Fine {
		gain = fineGain
	}
	if x > e.value {
		e.value *= 1 + gain*P95
		return
	}
	e.value *= 1 - gain*(1-P95)
}

func (e *Estimator) warm(x float64) {
	e.samples++
	for i := range e.top {
		if x > e.top[i] {
			x, e.top[i] = e.top[i], x
		}
	}
	e.value = e.top[warmTop-1]
}

// AddAtLeast takes a sample that was cut off at d: its true duration is d or more. It
// tells something only where d is above the estimate already.
func (e *Estimator) AddAtLeast(d time.Duration) {
	if float64(d) > e.value {
		e.Add(d)
	}
}

// Value returns the estimate, and false while there are too few samples.
func (e *Estimator) Value() (time.Duration, bool) {
	return time.Duration(e.value), e.samples >= warmSamples
}
