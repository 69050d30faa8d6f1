package gateway

import (
	"math"
	"time"

	"golang.org/x/sys/unix"

	"pollentack.example/pollentack/internal/core/relay"
)

// Settings are the settings of one gateway process.
type Settings struct {
	Host   string
	Zone   string
	Region string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	Listen  ListenAddresses
	// Store is the address of the platform's store.
	Store string
	// Seeds are mesh addresses of other hosts to contact first; some may be out of date.
	Seeds []string
	Retry relay.RetryPolicy
	// Cold bounds the requests to cold targets.
	Cold relay.ColdPolicy
	// ApplyBound is the longest time in which a published change must be in force, 0 for the
	// default.
	ApplyBound time.Duration
	// RemovalBound is the longest time in which a target whose entry was deleted must be out of use,
	// 0 for the default.
	RemovalBound time.Duration
	// ReportInterval is how often targets report to the store, 0 for the default.
	ReportInterval time.Duration
	// Grace is the time between the stop signal and the forced end of the process.
	Grace time.Duration
	// MinDrain is the minimum time for which a stopping host still accepts requests. It is part
	// of Grace.
	MinDrain time.Duration
	// Capacity is the CPU capacity of the host in thousandths of a core.
	Capacity int
	// FirstStart is true if the whole system is started for the first time. No callers wait
	// yet, so the host may first look for peers instead of calling the store.
	FirstStart bool
	// MemoryBytes is the memory limit of the process, 0 for none.
	MemoryBytes int64
	// MaxDescriptors is the limit on the descriptors of the process, 0 for that of the system.
	MaxDescriptors int
}

// staticSettings are settings that change only with a restart. Reload compares them to log
// whether a restart is needed.
type staticSettings struct {
	host, zone, region string
	listen             ListenAddresses
	store              string
	applyBound         time.Duration
	removalBound       time.Duration
	reportInterval     time.Duration
	cold               relay.ColdPolicy
	maxDescriptors     int
}

func (s *Settings) static() staticSettings {
	return staticSettings{
		host: s.Host, zone: s.Zone, region: s.Region, listen: s.Listen, store: s.Store,
		applyBound: s.ApplyBound, removalBound: s.RemovalBound, reportInterval: s.ReportInterval, cold: s.Cold,
		maxDescriptors: s.MaxDescriptors,
	}
}

// ListenAddresses holds the addresses that the gateway listens on.
type ListenAddresses struct {
	// Front is the address for callers.
	Front string
	// Ready is the address for the balancer's readiness checks.
	Ready string
	// Mesh is the address for connections from other hosts.
	Mesh string
	// Metrics is the address for operators.
	Metrics string
}

const (
	// replyMemoryDivisor is the divisor of the memory limit that gives the part for the bodies
	// of replies in progress.
	replyMemoryDivisor = 8
	// defaultReplyBytes is that part if there is no memory limit.
	defaultReplyBytes = 32 << 20
	// minReplyDivisor gives the least part of that.
	minReplyDivisor = 4
	// ownBytes is what the process needs without callers and messages. Of what is left,
	// requestMemoryDivisor gives the part for callers' connections, requests and answers and for messages
	// to peers; the rest is for replies and garbage.
	ownBytes             = 40 << 20
	requestMemoryDivisor = 2
	// minRequestDivisor gives the least such part of the whole limit.
	minRequestDivisor = 8
	// defaultRequestBytes is that part if there is no memory limit.
	defaultRequestBytes = 512 << 20
)

const (
	// fileDescriptors of the limit are left to files.
	fileDescriptors = 200
	// callerNumerator/callerDenominator of the others are for callers. The rest is for targets, the store,
	// other hosts and the other listeners.
	callerNumerator   = 3
	callerDenominator = 4
)

// maxCallerConnections returns the number of connections that callers may have together with a limit on
// descriptors, 0 for no bound.
func maxCallerConnections(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	sockets := max(descriptors-fileDescriptors, descriptors/2)
	return max(1, sockets*callerNumerator/callerDenominator)
}

// descriptors returns the limit on the descriptors of the process: that of the settings or of the system,
// whichever is less, 0 for none.
func (s *Settings) descriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return s.MaxDescriptors
	}
	if s.MaxDescriptors <= 0 {
		return int(limit.Cur)
	}
	return min(s.MaxDescriptors, int(limit.Cur))
}

// requestBytes returns the number of bytes that callers' connections and requests and messages to
// peers may occupy together.
func (s *Settings) requestBytes() int64 {
	if s.MemoryBytes <= 0 {
		return defaultRequestBytes
	}
	return max(s.MemoryBytes/minRequestDivisor, (s.MemoryBytes-ownBytes)/requestMemoryDivisor)
}

// replyBytes returns the number of bytes that the bodies of all replies in progress may occupy
// together.
func (s *Settings) replyBytes() int {
	if s.MemoryBytes <= 0 {
		return defaultReplyBytes
	}
	return int(s.MemoryBytes / replyMemoryDivisor)
}
