// Package clock holds the instant that every step of the core is given.
//
// The core never reads a clock. The caller of a step reads both clocks once and
// passes them in, so that the same instants and events give the same effects.
package clock

import "time"

// Instant is one reading of both clocks of a host.
type Instant struct {
	// Mono is the time since the process started; it never goes back.
	Mono time.Duration
	// Wall is the wall-clock time since the Unix epoch; it may step either way.
	Wall time.Duration
}

// Add returns the instant d later on both clocks.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Mono: i.Mono + d, Wall: i.Wall + d}
}
