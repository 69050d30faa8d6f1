package quantile

import "time"

const (
	// A new sample enters the mean with the weight 1/meanDivisor and the mean deviation with
	// the weight 1/deviationDivisor. A sample is late if it exceeds the mean by more than
	// deviationFactor mean deviations. The values are those of the retransmission timer of
	// RFC 6298.
	meanDivisor      = 8
	deviationDivisor = 4
	deviationFactor  = 4
	// Samples are capped at outlierFactor times the late threshold, so that a single outlier
	// raises the threshold only a little.
	outlierFactor = 1.5
	// minDeviationSamples is the number of samples needed before the late threshold is valid.
	minDeviationSamples = 8
)

// MeanDeviation tracks the mean and the mean deviation of durations, as the retransmission
// timer of TCP does. It adapts to a change within a few samples, where an Estimator needs
// many. The zero value is ready to use.
type MeanDeviation struct {
	mean      time.Duration
	deviation time.Duration
	samples   int
}

// Add records one sample.
func (s *MeanDeviation) Add(d time.Duration) {
	if s.samples == 0 {
		s.mean, s.deviation, s.samples = d, d/2, 1
		return
	}
	if s.samples >= minDeviationSamples {
		d = min(d, time.Duration(outlierFactor*float64(s.lateThreshold())))
	}
	s.samples++
	s.deviation += ((d - s.mean).Abs() - s.deviation) / deviationDivisor
	s.mean += (d - s.mean) / meanDivisor
}

// Mean returns the exponentially weighted moving average, or 0 before the first sample.
func (s *MeanDeviation) Mean() time.Duration { return s.mean }

// Upper returns the mean plus twice the mean deviation, which few samples exceed, or 0 before
// the first sample.
func (s *MeanDeviation) Upper() time.Duration { return s.mean + 2*s.deviation }

// LateThreshold returns the duration above which a sample is late, and false while there are
// too few samples for it to be valid.
func (s *MeanDeviation) LateThreshold() (time.Duration, bool) {
	return s.lateThreshold(), s.samples >= minDeviationSamples
}

func (s *MeanDeviation) lateThreshold() time.Duration { return s.mean + deviationFactor*s.deviation }
