package settings

import (
	"time"

	"pollentack.example/pollentack/internal/inifile"
)

// Once bounds the requests that run at most once.
type Once struct {
	// Lifetime is how long a ticket may be used.
	Lifetime time.Duration
	// Tickets is the size of the table.
	Tickets int
	// OutputBytes bounds the kept outputs together.
	OutputBytes int
}

// Stop paces the graceful shutdown.
type Stop struct {
	// BalancerLag is how long the balancer takes to see the failing check.
	BalancerLag time.Duration
	// Limit ends the shutdown whatever is still in progress.
	Limit time.Duration
}

func (s *Settings) readOnce(sec *inifile.Section) {
	s.Once.Lifetime = sec.Duration("ticket-lifetime", 10*time.Minute, time.Second, 24*time.Hour)
	s.Once.Tickets = sec.Int("tickets", 65_536, 1, 1_000_000)
	s.Once.OutputBytes = sec.Int("output-bytes", 32<<20, 1<<10, 1<<30)
}

func (s *Settings) readStop(sec *inifile.Section) {
	s.Stop.BalancerLag = sec.Duration("balancer-lag", 5*time.Second, 0, 10*time.Minute)
	s.Stop.Limit = sec.Duration("limit", time.Minute, time.Second, time.Hour)
}
