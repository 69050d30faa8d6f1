// Package clock defines the time that is passed to every step of the core.
//
// The core never reads a clock. The caller reads both clocks once per step and passes the
// readings in, so that the same instants and events always produce the same effects.
package clock

import "time"

// Instant is one reading of a host's monotonic and wall clocks.
type Instant struct {
	// Mono is the monotonic time since the process started.
	Mono time.Duration
	// Wall is the wall-clock time since the Unix epoch; it may step forward or backward.
	Wall time.Duration
}

// Add returns the instant with both clocks advanced by d.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Mono: i.Mono + d, Wall: i.Wall + d}
}
