package node

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/callschedule"
	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/ring"
	"pollentack.example/pollentack/internal/settings"
)

const (
	controlInboxCapacity = 1024
	controlBatchSize     = 64
	// callResultReserve is the inbox capacity reserved for control.CallResult events.
	callResultReserve = 2
)

// controller is the duty that owns and steps the control core.
type controller struct {
	clock        sysclock.Clock
	log          zerolog.Logger
	core         *control.Control
	inbox        *ring.Ring[control.Event]
	queries      func(engine.Event) bool
	callPlatform func(callschedule.Call) bool
	// publishPeerSnapshot is called whenever a new state is in force, with the data that
	// peers may fetch.
	publishPeerSnapshot func(*control.PeerSnapshot)
	// platformReached is called after a successful platform call, with the time at which
	// the call began.
	platformReached func(time.Duration)
	status          atomic.Pointer[controlStatus]
}

type controlStatus struct {
	Note     uint64              `json:"note"`
	Rejected []control.Rejection `json:"rejected,omitempty"`
	Waiting  []uint64            `json:"waiting,omitempty"`
}

func newController(s *settings.Settings, clk sysclock.Clock, log zerolog.Logger, queries func(engine.Event) bool) *controller {
	c := &controller{
		clock: clk,
		log:   log,
		core: control.New(callschedule.Config{
			Host:     s.Host.Name,
			Zone:     s.Host.Zone,
			Wait:     s.Platform.MaxWait,
			Seed:     uint64(s.Policy.Seed),
			PollOnly: s.Platform.Mode == settings.PlatformPoll,
		}),
		inbox:               ring.New[control.Event]("control", controlInboxCapacity),
		queries:             queries,
		publishPeerSnapshot: func(*control.PeerSnapshot) {},
		platformReached:     func(time.Duration) {},
	}
	c.status.Store(&controlStatus{})
	return c
}

// put adds an event to the inbox and reports whether it was accepted. A CallResult event
// always fits: at most two platform calls are in progress, and losing the end of one would
// stop further platform reads permanently.
func (c *controller) put(ev control.Event) bool {
	if _, ok := ev.(*control.CallResult); ok {
		return c.inbox.Put(ev)
	}
	return c.inbox.PutWithReserve(ev, callResultReserve)
}

func (c *controller) duty() duty.Duty {
	return duty.Duty{Name: "control", Run: c.run, Stop: c.inbox.Close}
}

func (c *controller) run() {
	batch := make([]control.Event, controlBatchSize)
	var fx control.Effects
	for {
		now := c.clock.Now()
		c.core.Advance(now, &fx)
		c.applyEffects(&fx)
		n, ok := c.inbox.Take(batch, max(0, c.core.NextWake(now)-now.Mono))
		if !ok {
			return
		}
		for _, ev := range batch[:n] {
			c.core.Step(c.clock.Now(), ev, &fx)
			c.applyEffects(&fx)
		}
	}
}

func (c *controller) applyEffects(fx *control.Effects) {
	if fx.InForce != nil {
		c.queries(&engine.Release{State: fx.InForce})
		c.publishPeerSnapshot(c.core.PeerSnapshot())
		c.log.Info().Str("event", "note_in_force").Uint64("note", fx.InForce.Number).Send()
	}
	for _, r := range fx.Rejected {
		c.log.Warn().Str("event", "note_rejected").Uint64("note", r.Number).Interface("faults", r.Faults).Send()
	}
	if len(fx.LeavingHosts) > 0 {
		c.queries(&engine.HostsLeaving{Names: fx.LeavingHosts})
		c.log.Info().Str("event", "hosts_leaving").Strs("names", fx.LeavingHosts).Send()
	}
	if fx.PlatformReachedAt > 0 {
		c.platformReached(fx.PlatformReachedAt)
	}
	for _, call := range fx.Calls {
		c.callPlatform(call)
	}
	c.status.Store(&controlStatus{Note: c.core.Number(), Rejected: c.core.Rejected(), Waiting: c.core.Waiting()})
	fx.Reset()
}
