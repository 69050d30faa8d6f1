package node

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/watch"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/wallclock"
	"pollentack.example/pollentack/internal/ring"
	"pollentack.example/pollentack/internal/settings"
)

const (
	controlCapacity = 1024
	controlBatch    = 64
)

// controller is the duty that owns the control core.
type controller struct {
	clock    wallclock.Clock
	log      zerolog.Logger
	core     *control.Control
	inbox    *ring.Ring[control.Event]
	queries  func(engine.Event) bool
	platform func(watch.Call) bool
	// peers takes what peers may fetch whenever it changes.
	peers func(*control.Shared)
	// reached takes when a call to the platform that succeeded was made.
	reached func(time.Duration)
	status  atomic.Pointer[controlStatus]
}

type controlStatus struct {
	Note     uint64              `json:"note"`
	Rejected []control.Rejection `json:"rejected,omitempty"`
	Waiting  []uint64            `json:"waiting,omitempty"`
}

func newController(s *settings.Settings, clk wallclock.Clock, log zerolog.Logger, queries func(engine.Event) bool) *controller {
	c := &controller{
		clock: clk,
		log:   log,
		core: control.New(watch.Config{
			Host: s.Host.Name,
			Zone: s.Host.Zone,
			Wait: s.Platform.Poll,
			Seed: uint64(s.Policy.Seed),
			Poll: s.Platform.Mode == settings.PlatformPoll,
		}),
		inbox:   ring.New[control.Event]("control", controlCapacity),
		queries: queries,
		peers:   func(*control.Shared) {},
		reached: func(time.Duration) {},
	}
	c.status.Store(&controlStatus{})
	return c
}

func (c *controller) put(ev control.Event) bool { return c.inbox.Put(ev) }

func (c *controller) duty() duty.Duty {
	return duty.Duty{Name: "control", Run: c.run, Stop: c.inbox.Close}
}

func (c *controller) run() {
	batch := make([]control.Event, controlBatch)
	var fx control.Effects
	for {
		now := c.clock.Now()
		c.core.Advance(now, &fx)
		c.carryOut(&fx)
		n, ok := c.inbox.Take(batch, max(0, c.core.NextWake(now)-now.Mono))
		if !ok {
			return
		}
		for _, ev := range batch[:n] {
			c.core.Step(c.clock.Now(), ev, &fx)
			c.carryOut(&fx)
		}
	}
}

func (c *controller) carryOut(fx *control.Effects) {
	if fx.InForce != nil {
		c.queries(&engine.Release{State: fx.InForce})
		c.peers(c.core.Shared())
		c.log.Info().Str("event", "note_in_force").Uint64("note", fx.InForce.Number).Send()
	}
	for _, r := range fx.Rejected {
		c.log.Warn().Str("event", "note_rejected").Uint64("note", r.Number).Interface("faults", r.Faults).Send()
	}
	if len(fx.Leaving) > 0 {
		c.queries(&engine.HostList{Leaving: fx.Leaving})
		c.log.Info().Str("event", "hosts_leaving").Strs("names", fx.Leaving).Send()
	}
	if fx.Reached > 0 {
		c.reached(fx.Reached)
	}
	for _, call := range fx.Calls {
		c.platform(call)
	}
	c.status.Store(&controlStatus{Note: c.core.Number(), Rejected: c.core.Rejected(), Waiting: c.core.Waiting()})
	fx.Reset()
}
