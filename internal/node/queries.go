package node

import (
	"sync/atomic"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/wallclock"
	"pollentack.example/pollentack/internal/ring"
	"pollentack.example/pollentack/internal/settings"
)

const (
	// stepBatch is how many events the query duty takes at a time.
	stepBatch = 256
	// controlReserve is the room for events that are neither queries nor replies.
	controlReserve = 1024
	// maxStepGap is the time between steps above which the host woke late.
	maxStepGap = 500 * time.Millisecond
	// idlePoll is the wait between looks at a draining host.
	idlePoll = 10 * time.Millisecond
)

// work is one element of the dispatch ring; one field is set.
type work struct {
	send   *engine.Send
	cancel *engine.Cancel
}

// queries is the duty that owns the engine.
type queries struct {
	clock   wallclock.Clock
	engine  *engine.Engine
	inbox   *ring.Ring[engine.Event]
	reserve int

	dispatch func(work) bool
	deliver  atomic.Pointer[func(*engine.Answer)]

	// tell takes effects that concern the peers.
	tell func(*engine.Effects)

	// unsent are replies for sends that the dispatch ring refused.
	unsent  []*engine.Reply
	counted atomic.Pointer[engineStatus]
}

// engineStatus is what the duty last published of its engine.
type engineStatus struct {
	Counters   engine.Counters `json:"counters"`
	InProgress int             `json:"in_progress"`
	Draining   bool            `json:"draining"`
}

func newQueries(s *settings.Settings, clk wallclock.Clock) *queries {
	reserve := s.Limits.Connections + controlReserve
	q := &queries{
		clock:   clk,
		reserve: reserve,
		inbox:   ring.New[engine.Event]("queries", s.Limits.Queries+reserve),
		engine: engine.New(engine.Config{
			Host:       s.Host.Name,
			Zone:       s.Host.Zone,
			Seed:       uint64(s.Policy.Seed),
			MaxQueries: s.Limits.Queries,
			Hedge:      s.Policy.Hedge,
			MaxGap:     maxStepGap,
		}),
	}
	q.tell = func(*engine.Effects) {}
	q.setDeliver(func(*engine.Answer) {})
	q.counted.Store(&engineStatus{})
	return q
}

func (q *queries) setDeliver(deliver func(*engine.Answer)) { q.deliver.Store(&deliver) }

// submit puts a new query; a full ring refuses it as not run.
func (q *queries) submit(s *engine.Submit) bool { return q.inbox.PutReserving(s, q.reserve) }

// put puts any other event. Its room is reserved: there are no more replies in
// progress than workers.
func (q *queries) put(ev engine.Event) bool { return q.inbox.Put(ev) }

func (q *queries) duty() duty.Duty {
	return duty.Duty{Name: "queries", Run: q.run, Stop: q.inbox.Close}
}

func (q *queries) run() {
	batch := make([]engine.Event, stepBatch)
	var fx engine.Effects
	for {
		n, ok := q.inbox.Take(batch, q.wait())
		if !ok {
			return
		}
		now := q.clock.Now()
		for _, ev := range batch[:n] {
			q.engine.Step(now, ev, &fx)
			q.carryOut(&fx)
		}
		q.engine.Advance(now, &fx)
		q.carryOut(&fx)
		q.publish()
	}
}

// wait is the time until the engine's next timer.
func (q *queries) wait() time.Duration {
	due, ok := q.engine.NextWake()
	if !ok {
		return ring.Forever
	}
	return max(0, due-q.clock.Now().Mono)
}

func (q *queries) carryOut(fx *engine.Effects) {
	deliver := *q.deliver.Load()
	for {
		q.tell(fx)
		for i := range fx.Answers {
			deliver(&fx.Answers[i])
		}
		for i := range fx.Cancels {
			x := fx.Cancels[i]
			q.dispatch(work{cancel: &x})
		}
		for i := range fx.Sends {
			q.send(fx.Sends[i])
		}
		fx.Reset()
		if len(q.unsent) == 0 {
			return
		}
		q.stepUnsent(fx)
	}
}

func (q *queries) send(s engine.Send) {
	if !q.dispatch(work{send: &s}) {
		q.unsent = append(q.unsent, &engine.Reply{Attempt: s.Attempt, Target: s.Target, Outcome: engine.Unreachable})
	}
}

// stepUnsent tells the engine of the sends that found no room, which did not run.
func (q *queries) stepUnsent(fx *engine.Effects) {
	now := q.clock.Now()
	replies := q.unsent
	q.unsent = nil
	for _, r := range replies {
		q.engine.Step(now, r, fx)
	}
}

func (q *queries) publish() {
	q.counted.Store(&engineStatus{Counters: q.engine.Counters(), InProgress: q.engine.InProgress(), Draining: q.engine.Draining()})
}

// awaitIdle blocks until a draining engine has no query in progress.
func (q *queries) awaitIdle() {
	for {
		s := q.counted.Load()
		if s.Draining && s.InProgress == 0 {
			return
		}
		time.Sleep(idlePoll)
	}
}
