package settings

import (
	"time"

	"pollentack.example/pollentack/internal/inifile"
)

// Once holds the limits of requests that run at most once.
type Once struct {
	// Lifetime is the time for which a ticket is valid.
	Lifetime time.Duration
	// Tickets is the maximum number of records in the ticket table.
	Tickets int
	// OutputBytes bounds the total size of the stored outputs.
	OutputBytes int
}

// Stop holds the times of the graceful shutdown.
type Stop struct {
	// BalancerLag is the time that the balancer needs to notice the failing health check.
	BalancerLag time.Duration
	// Limit bounds the total time that the shutdown waits for the balancer, the requests in
	// progress and the handover of tickets.
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
