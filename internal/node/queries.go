package node

import (
	"sync/atomic"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/once"
	"pollentack.example/pollentack/internal/core/quarantine"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/ring"
	"pollentack.example/pollentack/internal/settings"
)

const (
	// queryBatchSize is the maximum number of events that the query duty takes from its
	// ring at a time.
	queryBatchSize = 256
	// controlReserve is the inbox capacity reserved for events that are neither queries nor
	// replies.
	controlReserve = 1024
	// maxStepGap is the time between two steps above which the engine assumes that the
	// process was paused.
	maxStepGap = 500 * time.Millisecond
	// peerStateTimeout bounds the time that a starting host waits for the facts of its peers.
	peerStateTimeout = 2 * time.Second
)

// work is one element of the dispatch ring. Exactly one field is set.
type work struct {
	send     *engine.Send
	cancel   *engine.Cancel
	run      *engine.RunSend
	forward  *engine.Forward
	handover *engine.HandoverOffer
	canary   *engine.CanaryCall
}

// unsentEvent returns the event that reports to the engine that w was not sent.
func (w work) unsentEvent() engine.Event {
	switch {
	case w.run != nil:
		return &engine.RunResult{Run: w.run.Run, Try: w.run.Try, Target: w.run.Target, Outcome: engine.Unreachable}
	case w.forward != nil:
		return &engine.ForwardDone{Key: w.forward.Key}
	case w.canary != nil:
		return &engine.CanaryCallDone{Call: *w.canary}
	case w.handover != nil:
		return &engine.HandoverOfferDone{Number: w.handover.Chunk.Number, NeverSent: true}
	}
	return &engine.AttemptResult{Attempt: w.send.Attempt, Target: w.send.Target, Outcome: engine.Unsent}
}

// lostEvent returns the event that reports to the engine that the outcome of w is not known.
func (w work) lostEvent() engine.Event {
	switch {
	case w.run != nil:
		return &engine.RunResult{Run: w.run.Run, Try: w.run.Try, Target: w.run.Target, Outcome: engine.Lost}
	case w.forward != nil:
		return &engine.ForwardDone{Key: w.forward.Key}
	case w.canary != nil:
		return &engine.CanaryCallDone{Call: *w.canary}
	case w.handover != nil:
		return &engine.HandoverOfferDone{Number: w.handover.Chunk.Number}
	}
	return &engine.AttemptResult{Attempt: w.send.Attempt, Target: w.send.Target, Outcome: engine.Lost}
}

// queries is the duty that owns and steps the engine.
type queries struct {
	clock   sysclock.Clock
	engine  *engine.Engine
	inbox   *ring.Ring[engine.Event]
	reserve int

	dispatch func(work) bool
	// connections returns the number of open connections to an address.
	connections func(address string) int
	deliver     atomic.Pointer[func(*engine.Answer)]

	deliverOnce   func(uint64, engine.OnceAnswer)
	deliverCanary func(uint64, quarantine.LeaseAnswer)
	// unsentEvents reports the work that the dispatch ring refused.
	unsentEvents []engine.Event
	// cachedTargets is the status of the targets as computed at cachedTargetsAt.
	cachedTargets   []TargetStatus
	cachedTargetsAt time.Duration
	status          atomic.Pointer[engineStatus]
	// statusChanged holds at most one token, added after each update of status.
	statusChanged chan struct{}
	// putPeerEffects passes the effects that concern the peers to the membership duty.
	putPeerEffects func(*engine.Effects)
}

// engineStatus is the state of the engine that the duty published last.
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

func newQueries(s *settings.Settings, clk sysclock.Clock, tickets *once.Config) *queries {
	reserve := s.Limits.Connections + controlReserve
	q := &queries{
		clock:         clk,
		reserve:       reserve,
		statusChanged: make(chan struct{}, 1),
		inbox:         ring.New[engine.Event]("queries", s.Limits.Queries+reserve),
		engine: engine.New(engine.Config{
			Host:             s.Host.Name,
			Zone:             s.Host.Zone,
			Seed:             uint64(s.Policy.Seed),
			MaxQueries:       s.Limits.Queries,
			Hedge:            s.Policy.Hedge,
			NoRetry:          s.Policy.NoRetry,
			MaxQueued:        s.Limits.Queue,
			Targets:          targetOptions(s),
			MaxStepGap:       maxStepGap,
			PeerStateTimeout: peerStateTimeout,
			Once:             *tickets,
		}),
	}
	q.connections = func(string) int { return 0 }
	q.putPeerEffects = func(*engine.Effects) {}
	q.setDeliver(func(*engine.Answer) {})
	q.status.Store(&engineStatus{})
	return q
}

func (q *queries) setDeliver(deliver func(*engine.Answer)) { q.deliver.Store(&deliver) }

// submit adds a new query to the inbox. It returns false if the ring is full; the query
// then does not run.
func (q *queries) submit(ev engine.Event) bool { return q.inbox.PutWithReserve(ev, q.reserve) }

// put adds any other event to the inbox. Capacity is reserved for it: there are never more
// replies outstanding than workers.
func (q *queries) put(ev engine.Event) bool { return q.inbox.Put(ev) }

func (q *queries) duty() duty.Duty {
	return duty.Duty{Name: "queries", Run: q.run, Stop: q.inbox.Close}
}

func (q *queries) run() {
	batch := make([]engine.Event, queryBatchSize)
	var fx engine.Effects
	for {
		n, ok := q.inbox.Take(batch, q.waitTime())
		if !ok {
			return
		}
		now := q.clock.Now()
		for _, ev := range batch[:n] {
			q.engine.Step(now, ev, &fx)
			q.applyEffects(&fx)
		}
		q.engine.Advance(now, &fx)
		q.applyEffects(&fx)
		q.publishStatus()
	}
}

// waitTime returns the time until the next timer of the engine, or ring.Forever.
func (q *queries) waitTime() time.Duration {
	due, ok := q.engine.NextWake()
	if !ok {
		return ring.Forever
	}
	return max(0, due-q.clock.Now().Mono)
}

func (q *queries) applyEffects(fx *engine.Effects) {
	deliver := *q.deliver.Load()
	for {
		q.putPeerEffects(fx)
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
		q.applyOnceEffects(&fx.OnceEffects)
		q.applyCanaryEffects(fx)
		fx.Reset()
		if len(q.unsentEvents) == 0 {
			return
		}
		q.stepUnsent(fx)
	}
}

func (q *queries) applyOnceEffects(fx *engine.OnceEffects) {
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
	for i := range fx.HandoverOffers {
		x := fx.HandoverOffers[i]
		q.send(work{handover: &x})
	}
}

func (q *queries) applyCanaryEffects(fx *engine.Effects) {
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
		q.unsentEvents = append(q.unsentEvents, w.unsentEvent())
	}
}

// stepUnsent steps the engine with the events for work that did not fit into the dispatch
// ring and was therefore not sent.
func (q *queries) stepUnsent(fx *engine.Effects) {
	now := q.clock.Now()
	events := q.unsentEvents
	q.unsentEvents = nil
	for _, r := range events {
		q.engine.Step(now, r, fx)
	}
}

func (q *queries) publishStatus() {
	q.status.Store(&engineStatus{
		Counters:     q.engine.Counters(),
		InProgress:   q.engine.InProgress(),
		Draining:     q.engine.Draining(),
		Admission:    q.engine.Admission(),
		Targets:      q.targetStatuses(),
		Tickets:      q.engine.Tickets().Len(),
		HandedOver:   q.engine.HandoverEnded(),
		Fingerprints: q.engine.Quarantine().Len(),
	})
	select {
	case q.statusChanged <- struct{}{}:
	default:
	}
}
