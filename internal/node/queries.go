package node

import (
	"sync/atomic"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/once"
	"pollentack.example/pollentack/internal/core/quarantine"
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
	// settleLimit bounds the wait of a starting host for its peers' knowledge.
	settleLimit = 2 * time.Second
)

// work is one element of the dispatch ring; one field is set.
type work struct {
	send     *engine.Send
	cancel   *engine.Cancel
	run      *engine.RunSend
	forward  *engine.Forward
	handover *engine.Handover
	canary   *engine.CanaryCall
}

// unsent is the end of work that was never begun.
func (w work) unsent() engine.Event {
	switch {
	case w.run != nil:
		return &engine.RunReply{Run: w.run.Run, Try: w.run.Try, Target: w.run.Target, Outcome: engine.Unreachable}
	case w.forward != nil:
		return &engine.Forwarded{Key: w.forward.Key}
	case w.canary != nil:
		return &engine.CanaryAnswered{Call: *w.canary}
	case w.handover != nil:
		return &engine.HandoverDone{Number: w.handover.Chunk.Number, NeverSent: true}
	}
	return &engine.Reply{Attempt: w.send.Attempt, Target: w.send.Target, Outcome: engine.Unsent}
}

// queries is the duty that owns the engine.
type queries struct {
	clock   wallclock.Clock
	engine  *engine.Engine
	inbox   *ring.Ring[engine.Event]
	reserve int

	dispatch func(work) bool
	// connections returns the number of open connections to an address.
	connections func(address string) int
	deliver     atomic.Pointer[func(*engine.Answer)]

	deliverOnce   func(uint64, engine.OnceAnswer)
	deliverCanary func(uint64, quarantine.Answer)
	// unsent are replies for work that the dispatch ring refused.
	unsent []engine.Event
	// targets is what status last said of the targets, at the time targetsAt.
	targets   []TargetStatus
	targetsAt time.Duration
	counted   atomic.Pointer[engineStatus]
	// changed holds at most one token, put after each change of counted.
	changed chan struct{}
	// tell takes effects that concern the peers.
	tell func(*engine.Effects)
}

// engineStatus is what the duty last published of its engine.
type engineStatus struct {
	Counters     engine.Counters          `json:"counters"`
	InProgress   int                      `json:"in_progress"`
	Draining     bool                     `json:"draining"`
	Admission    engine.AdmissionCounters `json:"admission"`
	Targets      []TargetStatus           `json:"targets"`
	Tickets      int                      `json:"tickets"`
	HandedOver   bool                     `json:"handed_over"`
	Fingerprints int                      `json:"fingerprints"`
}

func newQueries(s *settings.Settings, clk wallclock.Clock, tickets *once.Config) *queries {
	reserve := s.Limits.Connections + controlReserve
	q := &queries{
		clock:   clk,
		reserve: reserve,
		changed: make(chan struct{}, 1),
		inbox:   ring.New[engine.Event]("queries", s.Limits.Queries+reserve),
		engine: engine.New(engine.Config{
			Host:       s.Host.Name,
			Zone:       s.Host.Zone,
			Seed:       uint64(s.Policy.Seed),
			MaxQueries: s.Limits.Queries,
			Hedge:      s.Policy.Hedge,
			NoRetry:    s.Policy.NoRetry,
			Queue:      s.Limits.Queue,
			Targets:    targetOptions(s),
			MaxGap:     maxStepGap,
			Settle:     settleLimit,
			Once:       *tickets,
		}),
	}
	q.connections = func(string) int { return 0 }
	q.tell = func(*engine.Effects) {}
	q.setDeliver(func(*engine.Answer) {})
	q.counted.Store(&engineStatus{})
	return q
}

func (q *queries) setDeliver(deliver func(*engine.Answer)) { q.deliver.Store(&deliver) }

// submit puts a new query; a full ring refuses it as not run.
func (q *queries) submit(ev engine.Event) bool { return q.inbox.PutReserving(ev, q.reserve) }

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
			x := fx.Sends[i]
			q.send(work{send: &x})
		}
		q.carryOutOnce(&fx.OnceEffects)
		q.carryOutCanary(fx)
		fx.Reset()
		if len(q.unsent) == 0 {
			return
		}
		q.stepUnsent(fx)
	}
}

func (q *queries) carryOutOnce(fx *engine.OnceEffects) {
	for i := range fx.OnceAnswers {
		q.deliverOnce(fx.OnceAnswers[i].Key, fx.OnceAnswers[i])
	}
	for i := range fx.RunSends {
		x := fx.RunSends[i]
		q.send(work{run: &x})
	}
	for i := range fx.Forwards {
		x := fx.Forwards[i]
		q.send(work{forward: &x})
	}
	for i := range fx.Handovers {
		x := fx.Handovers[i]
		q.send(work{handover: &x})
	}
}

func (q *queries) carryOutCanary(fx *engine.Effects) {
	for i := range fx.CanaryReplies {
		q.deliverCanary(fx.CanaryReplies[i].Key, fx.CanaryReplies[i].Answer)
	}
	for i := range fx.CanaryCalls {
		x := fx.CanaryCalls[i]
		q.send(work{canary: &x})
	}
}

func (q *queries) send(w work) {
	if !q.dispatch(w) {
		q.unsent = append(q.unsent, w.unsent())
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
	q.counted.Store(&engineStatus{
		Counters:     q.engine.Counters(),
		InProgress:   q.engine.InProgress(),
		Draining:     q.engine.Draining(),
		Admission:    q.engine.Admission(),
		Targets:      q.targetStatuses(),
		Tickets:      q.engine.Tickets().Len(),
		HandedOver:   q.engine.HandedOver(),
		Fingerprints: q.engine.Quarantine().Len(),
	})
	select {
	case q.changed <- struct{}{}:
	default:
	}
}
