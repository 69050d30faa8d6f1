// Package wallclock reads the clocks of the host for the duties that step a core.
package wallclock

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
)

// Clock reads both clocks of the host.
type Clock struct{ start time.Time }

// New returns a clock whose monotonic reading starts at zero.
func New() Clock { return Clock{start: time.Now()} }

// Now returns the instant.
func (c Clock) Now() clock.Instant {
	now := time.Now()
	return clock.Instant{Mono: now.Sub(c.start), Wall: time.Duration(now.UnixNano())}
}
