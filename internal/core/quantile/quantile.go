// Package quantile estimates in constant space the threshold above which a duration of a
// stream counts as late: a quantile, or the mean plus a multiple of the mean deviation.
package quantile

import "time"

// P95 is the quantile above which a request counts as late.
const P95 = 0.95

const (
	// coarseGain and fineGain are the relative step sizes once the estimate is initialized.
	coarseGain = 0.05
	fineGain   = 0.005
	// minSamples is the number of samples needed before the estimate is valid. The
	// initialTop largest of them are kept: the smallest of these is about their P95 and
	// is not affected by one or two outliers.
	minSamples = 48
	initialTop = 3
)

// Estimator tracks the P95 of durations by stochastic approximation with relative steps:
// a sample above the estimate raises it by the fraction gain*P95, a sample below lowers it
// by gain*(1-P95), so that it converges to the value that one sample in twenty exceeds.
// Recent samples weigh more than old ones. The zero value is ready to use.
type Estimator struct {
	// SmallSteps selects steps of a tenth of the size. Use it for many samples that arrive in
	// ordered bursts, such as the replies to one query, which arrive fastest first.
	SmallSteps bool
	value      float64
	samples    uint32
	// top holds the largest of the first minSamples samples in descending order.
	top [initialTop]float64
}

// Add records one sample.
func (e *Estimator) Add(d time.Duration) {
	x := float64(max(d, 1))
	if e.samples < minSamples {
		e.addInitial(x)
		return
	}
	gain := coarseGain
	if e.SmallSteps {
		gain = fineGain
	}
	if x > e.value {
		e.value *= 1 + gain*P95
		return
	}
	e.value *= 1 - gain*(1-P95)
}

func (e *Estimator) addInitial(x float64) {
	e.samples++
	for i := range e.top {
		if x > e.top[i] {
			x, e.top[i] = e.top[i], x
		}
	}
	e.value = e.top[initialTop-1]
}

// AddCensored records a censored sample, whose true duration is at least d. It is ignored
// unless d is above the estimate, since it carries no information otherwise.
func (e *Estimator) AddCensored(d time.Duration) {
	if float64(d) > e.value {
		e.Add(d)
	}
}

// Value returns the estimate, and false while there are too few samples for it to be valid.
func (e *Estimator) Value() (time.Duration, bool) {
	return time.Duration(e.value), e.samples >= minSamples
}
