package node

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/wallclock"
	"pollentack.example/pollentack/internal/ring"
)

const (
	controlCapacity = 1024
	controlBatch    = 64
)

// controller is the duty that owns the control core.
type controller struct {
	clock   wallclock.Clock
	log     zerolog.Logger
	core    *control.Control
	inbox   *ring.Ring[control.Event]
	queries func(engine.Event) bool
	// peers takes what peers may fetch whenever it changes.
	peers  func(*control.Shared)
	status atomic.Pointer[controlStatus]
}

type controlStatus struct {
	Note     uint64              `json:"note"`
	Rejected []control.Rejection `json:"rejected,omitempty"`
}

func newController(clk wallclock.Clock, log zerolog.Logger, queries func(engine.Event) bool) *controller {
	c := &controller{
		clock:   clk,
		log:     log,
		core:    control.New(),
		inbox:   ring.New[control.Event]("control", controlCapacity),
		queries: queries,
		peers:   func(*control.Shared) {},
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
		n, ok := c.inbox.Take(batch, ring.Forever)
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
	c.status.Store(&controlStatus{Note: c.core.Number(), Rejected: c.core.Rejected()})
	fx.Reset()
}
