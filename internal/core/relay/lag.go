package relay

import (
	"time"

	"pollentack.example/pollentack/internal/core/quantile"
)

const (
	// maxLagDivisor bounds the lag that is reserved to objective/maxLagDivisor. With a longer lag
	// the host is overloaded, and an earlier cutoff only leaves out more parts.
	maxLagDivisor = 4
	// requestCost and messageCost are the processor time of a core that a host spends on the
	// connection, the request and the answer of a query over many shards, and on a handoff and
	// its answer.
	requestCost = 600 * time.Microsecond
	messageCost = 100 * time.Microsecond
	// wholeCore is the capacity of one core, in the unit of fleet.Member.
	wholeCore = 1000
)

// hostLag tracks how late this host acts: a small share of a core makes it miss the cutoff of a
// partial answer, and takes time to encode and write one.
type hostLag struct {
	// capacity is the host's share of a core in thousandths, 0 if it is unknown.
	capacity int
	timer    quantile.MeanDeviation
	write    quantile.MeanDeviation
}

// observeTimer records how long after its due time a timer was handled.
func (l *hostLag) observeTimer(d time.Duration) { l.timer.Add(max(0, d)) }

// observeWrite records the time between the decision on an answer and its write.
func (l *hostLag) observeWrite(d time.Duration) { l.write.Add(max(0, d)) }

// expected returns the time to reserve before the end of an objective: what was observed, but
// no less than the processor time of a request takes on this host: most of it passes where
// nothing is observed, before the request is read and while the answer is written.
func (l *hostLag) expected(objective time.Duration) time.Duration {
	return min(max(l.timer.Upper()+l.write.Upper(), l.elapsed(requestCost)), objective/maxLagDivisor)
}

// messages returns how long this host takes to receive the answers to n handoffs, which mostly
// arrive at the same time.
func (l *hostLag) messages(n int, objective time.Duration) time.Duration {
	return min(l.elapsed(time.Duration(n)*messageCost), objective/maxLagDivisor)
}

// elapsed returns how long the processor time of a core takes on this host's share.
func (l *hostLag) elapsed(cost time.Duration) time.Duration {
	if l.capacity <= 0 {
		return 0
	}
	return cost * wholeCore / time.Duration(l.capacity)
}
