// Package admission provides the token bucket and the queue of a host's admission control.
// The bucket limits the rate of one caller. The queue is fair between callers, and requests
// that can no longer meet their deadline can be removed from it.
package admission

import "time"

const (
	// maxAccrual is the longest time for which unused tokens accumulate.
	maxAccrual = 2 * time.Second
	// minBurst lets a caller with a low rate send a few requests at once.
	minBurst = 8.0
)

// Bucket is the token bucket of one caller on one host. The zero value is full.
type Bucket struct {
	tokens float64
	// refilled is the time of the last refill, on the monotonic clock.
	refilled    time.Duration
	initialized bool
}

// PerHostRate returns one host's part of a rate that is published for all hosts together.
func PerHostRate(rate float64, hosts int) float64 { return rate / float64(max(1, hosts)) }

// Take refills the bucket at rate tokens per second, takes one token and reports whether
// there was one. A rate of 0 is unlimited. The bucket holds at most one burst, however
// long the host was paused.
func (b *Bucket) Take(now time.Duration, rate float64) bool {
	if rate <= 0 {
		return true
	}
	burst := max(minBurst, rate*maxAccrual.Seconds())
	if !b.initialized {
		b.initialized = true
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*(now-b.refilled).Seconds())
	}
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
