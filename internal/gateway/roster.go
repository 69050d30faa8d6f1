package gateway

import (
	"sync/atomic"
	"time"

	"pollentack.example/pollentack/internal/core/fleet"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/ring"
)

// rosterInterval is the least time between two rosters that reach the duties which divide work
// among the members, and rosterIntervalPerMember the same for rosters of few members. A roster
// costs these duties time in proportion to its members, about a millisecond of a core at 300, and
// a fleet that starts or is replaced changes it dozens of times a second. The first roster of a
// host is itself alone, and must not delay the one that names its peers.
const (
	rosterInterval          = 200 * time.Millisecond
	rosterIntervalPerMember = time.Millisecond
)

// rosterDuty is the duty that passes rosters on at limited intervals. Only the
// newest matters: a roster that arrives meanwhile replaces the one that waits.
type rosterDuty struct {
	apply  func([]fleet.Member)
	newest atomic.Pointer[[]fleet.Member]
	wake   *ring.Ring[struct{}]
	stop   chan struct{}
}

func newRosterDuty(apply func([]fleet.Member)) *rosterDuty {
	return &rosterDuty{apply: apply, wake: ring.New[struct{}]("roster", 1), stop: make(chan struct{})}
}

// put replaces the roster that waits. A full ring means that the duty will look for it anyway.
func (r *rosterDuty) put(members []fleet.Member) {
	r.newest.Store(&members)
	r.wake.Put(struct{}{})
}

func (r *rosterDuty) duty() duty.Duty {
	return duty.Duty{Name: "roster", Run: r.run, Stop: func() { close(r.stop); r.wake.Close() }}
}

func (r *rosterDuty) run() {
	batch := make([]struct{}, 1)
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		if _, ok := r.wake.Take(batch, ring.Forever); !ok {
			return
		}
		members := r.newest.Swap(nil)
		if members == nil {
			continue
		}
		r.apply(*members)
		pause.Reset(min(rosterInterval, time.Duration(len(*members))*rosterIntervalPerMember))
		select {
		case <-pause.C:
		case <-r.stop:
			return
		}
	}
}
