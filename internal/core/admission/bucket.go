// Package admission decides which requests a host takes and in which order: a rate for
// each caller, and a bounded queue that is fair between callers and gives up first what
// has no hope of an answer in time.
package admission

import "time"

const (
	// burstTime is how long a caller's share of its rate may accumulate.
	burstTime = 2 * time.Second
	// minBurst lets a caller of a low rate send a few requests at once.
	minBurst = 8.0
)

// Bucket is the token bucket of one caller on one host. The zero value is full.
type Bucket struct {
	tokens float64
	// at is when tokens was right, on the monotonic clock.
	at   time.Duration
	used bool
}

// Share returns one host's part of a rate published over all hosts.
func Share(rate float64, hosts int) float64 { return rate / float64(max(1, hosts)) }

// Take takes one token at rate tokens a second and reports whether there was one. A rate
// of 0 is unlimited. However long the host was paused, a bucket holds one burst at most.
func (b *Bucket) Take(now time.Duration, rate float64) bool {
	if rate <= 0 {
		return true
	}
	burst := max(minBurst, rate*burstTime.Seconds())
	if !b.used {
		b.used = true
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*(now-b.at).Seconds())
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
