package gateway

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"pollentack.example/pollentack/internal/core/relay"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/ring"
)

// After a panic the state of the relay's engine cannot be relied on, and to end the process would cost
// the connections of all callers. The engine is replaced by a new one, which is given what the host
// knows of the catalog and the fleet. Requests in progress are answered as of unknown outcome, and what
// still comes for them is ignored, as the new engine knows none of their attempts.

const (
	// maxRelayRestarts is the number of panics within relayRestartWindow after which the host ends: the
	// cause then lies in what the new engines are given, or comes again and again.
	maxRelayRestarts   = 10
	relayRestartWindow = time.Minute
	// restartIDBits is the number of bits for the IDs of one engine, below the number of its restart.
	restartIDBits = 40
)

// relayRestarts is what a new engine needs of the events so far.
type relayRestarts struct {
	// open holds the keys of the requests that the engine has not answered.
	open    map[uint64]struct{}
	policy  *relay.RetryPolicyChanged
	view    *relay.ViewChanged
	members *relay.MembersChanged
	contact *relay.StoreContact
	drain   *relay.Drain
	count   atomic.Uint64
	// times are those of the last restarts.
	times []time.Duration
}

// begin records an event that the engine is about to be given, so that the caller of a request on which
// it panics is answered.
func (s *relayRestarts) begin(ev relay.Event) {
	switch ev := ev.(type) {
	case *relay.Submit:
		s.open[ev.Request.Key] = struct{}{}
	case *relay.CallerGone:
		delete(s.open, ev.Key)
	}
}

// end records an event that the engine has handled.
func (s *relayRestarts) end(ev relay.Event) {
	switch ev := ev.(type) {
	case *relay.RetryPolicyChanged:
		s.policy = ev
	case *relay.ViewChanged:
		s.view = ev
	case *relay.MembersChanged:
		s.members = ev
	case *relay.StoreContact:
		s.contact = ev
	case *relay.Drain:
		s.drain = ev
	}
}

// known returns the events with which a new engine learns what the one before knew of the host's world.
func (s *relayRestarts) known() []relay.Event {
	var events []relay.Event
	if s.policy != nil {
		events = append(events, s.policy)
	}
	if s.members != nil {
		events = append(events, s.members)
	}
	if s.view != nil {
		events = append(events, s.view)
	}
	if s.contact != nil {
		events = append(events, s.contact)
	}
	if s.drain != nil {
		events = append(events, s.drain)
	}
	return events
}

// allowed counts a restart, and reports whether it is one of maxRelayRestarts within the window.
func (s *relayRestarts) allowed(now time.Duration) bool {
	s.count.Add(1)
	s.times = append(s.times, now)
	if len(s.times) <= maxRelayRestarts {
		return true
	}
	s.times = s.times[1:]
	return now-s.times[0] > relayRestartWindow
}

// stepOrRestart is step with a new engine after each panic. The event that the engine panicked on is
// dropped. It returns the events that were not handled and false if the duty must end.
func (r *relayDuty) stepOrRestart(events []relay.Event) (rest []relay.Event, ok bool) {
	for {
		stepped := 0
		err := recovered(func() { r.step(events, &stepped) })
		if err == nil {
			return nil, true
		}
		handled(events[:stepped])
		events = events[stepped:]
		if !r.restarts.allowed(r.clock.Now().Mono) {
			r.onFailure(err)
			return events, false
		}
		r.onPanic(err)
		if err := recovered(r.restart); err != nil {
			r.onFailure(err)
			return events, false
		}
	}
}

// recovered runs f and returns its panic as an error, with its stack.
func recovered(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("panic: %v\n%s", v, debug.Stack())
		}
	}()
	f()
	return nil
}

// restart replaces the engine.
func (r *relayDuty) restart() {
	r.cancelAll()
	config := r.config
	config.FirstID = r.restarts.count.Load() << restartIDBits
	config.Seed += r.restarts.count.Load()
	r.engine, r.fx, r.undispatched = relay.New(config), relay.Effects{}, nil
	r.endOpen()
	now := r.clock.Now()
	for _, ev := range r.restarts.known() {
		r.engine.Step(now, ev, &r.fx)
	}
	r.applyEffects(&r.fx)
}

// endOpen answers the requests in progress.
func (r *relayDuty) endOpen() {
	open := r.restarts.open
	r.restarts.open = map[uint64]struct{}{}
	for key := range open {
		r.deliver(relay.Answer{Key: key, Code: result.OutcomeUnknown})
	}
}

// refuseAll answers all requests of a relay that has ended: those in progress, those among the events and
// in the ring, and with the closing of the ring all later ones.
func (r *relayDuty) refuseAll(events []relay.Event) {
	r.inbox.Close()
	r.endOpen()
	batch := make([]relay.Event, stepBatch)
	for ok := true; ok; {
		for _, ev := range events {
			if s, isSubmit := ev.(*relay.Submit); isSubmit {
				r.deliver(relay.Answer{Key: s.Request.Key, Code: result.QueueFull})
			}
		}
		var n int
		n, ok = r.inbox.Take(batch, ring.Forever)
		events = batch[:n]
	}
}
