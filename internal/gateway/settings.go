package gateway

import (
	"time"

	"pollentack.example/pollentack/internal/core/relay"
)

// Settings are what one gateway process is told at its start.
type Settings struct {
	Host   string
	Zone   string
	Region string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	Listen  Listen
	// Store is the address of the platform's store.
	Store string
	// Seeds are mesh addresses of some hosts; they may be stale.
	Seeds []string
	Retry relay.RetryPolicy
	// Grace is the time between the request to stop and the end of the process by force.
	Grace time.Duration
	// Leave is the part of Grace for which a stopping host still takes what comes.
	Leave time.Duration
	// Capacity is the host's share of a core in thousandths.
	Capacity int
	// FirstStart tells that the whole system starts for the first time, so that no callers
	// wait yet.
	FirstStart bool
	// MemoryBytes bounds the process.
	MemoryBytes int64
}

// fixed is the part of settings that a reload does not change.
type fixed struct {
	host, zone, region string
	listen             Listen
	store              string
}

func (s *Settings) fixed() fixed {
	return fixed{host: s.Host, zone: s.Zone, region: s.Region, listen: s.Listen, store: s.Store}
}

// Listen holds the addresses that the gateway listens on.
type Listen struct {
	// Front takes callers, Ready the balancer's questions.
	Front string
	Ready string
	// Mesh takes links from other hosts.
	Mesh string
	// Metrics takes operators.
	Metrics string
}
