// Package sysclock reads the monotonic clock and the wall clock for the duties that step a
// core.
package sysclock

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
)

// Clock reads the monotonic clock and the wall clock.
type Clock struct{ start time.Time }

// New returns a clock whose monotonic time starts at zero.
func New() Clock { return Clock{start: time.Now()} }

// Now returns the monotonic time since New and the wall-clock time since the Unix epoch.
func (c Clock) Now() clock.Instant {
	now := time.Now()
	return clock.Instant{Mono: now.Sub(c.start), Wall: time.Duration(now.UnixNano())}
}
