package gateway

import (
	"sync/atomic"
	"time"

	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/relay"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/edge/upstream"
	"pollentack.example/pollentack/internal/ring"
)

const (
	// maxRequests is the maximum number of requests in progress on a host.
	maxRequests = 1024
	// maxExchanges is the maximum number of exchanges with targets and peers in progress.
	maxExchanges = 2048
	// controlSlots is the capacity in the relay's ring for events that are neither requests
	// nor replies.
	controlSlots = 256
	// stepBatch is the maximum number of events that a duty takes from its ring at a time.
	stepBatch = 128
)

// relayDuty is the duty that owns the relay engine.
type relayDuty struct {
	clock    sysclock.Clock
	config   relay.Config
	engine   *relay.Engine
	inbox    *ring.Ring[relay.Event]
	fx       relay.Effects
	restarts relayRestarts
	dispatch func(job) bool
	cancel   func(relay.AttemptID)
	// cancelUnsent and withdraw cancel what has not been sent, and do not block.
	cancelUnsent func(relay.AttemptID)
	withdraw     func(relay.HandoffID)
	deliver      func(relay.Answer)
	record       func(*decision.Record)
	// onPanic receives a panic after which the engine was replaced, and onFailure one after which the
	// duty ends. cancelAll cancels all attempts of this host.
	onPanic   func(error)
	onFailure func(error)
	cancelAll func()
	// undispatched holds the events that report the jobs for which the upstream ring had no
	// room.
	undispatched []relay.Event
	counters     atomic.Pointer[relay.Counters]
	publishedAt  time.Duration
}

// reservedSlots is the capacity in the relay's ring that new requests cannot use.
const reservedSlots = maxExchanges + controlSlots

func newRelayDuty(cfg relay.Config, clk sysclock.Clock) *relayDuty {
	r := &relayDuty{
		clock:    clk,
		config:   cfg,
		engine:   relay.New(cfg),
		inbox:    ring.New[relay.Event]("relay", maxRequests+reservedSlots),
		restarts: relayRestarts{open: map[uint64]struct{}{}},
	}
	r.counters.Store(&relay.Counters{})
	return r
}

// submit queues a new request. It returns false if the ring has no room for requests.
func (r *relayDuty) submit(ev relay.Event) bool { return r.inbox.PutWithReserve(ev, reservedSlots) }

// put queues any other event, for which room is reserved.
func (r *relayDuty) put(ev relay.Event) bool { return r.inbox.Put(ev) }

func (r *relayDuty) duty() duty.Duty {
	return duty.Duty{Name: "relay", Run: r.run, Stop: r.inbox.Close}
}

func (r *relayDuty) run() {
	batch := make([]relay.Event, stepBatch)
	for {
		n, ok := r.inbox.Take(batch, r.untilNextWake())
		if !ok {
			return
		}
		if rest, ok := r.stepOrRestart(batch[:n]); !ok {
			r.refuseAll(rest)
			return
		}
	}
}

// step passes events to the engine and carries out the effects. stepped counts the events that the engine
// has been given.
func (r *relayDuty) step(events []relay.Event, stepped *int) {
	now := r.clock.Now()
	for _, ev := range events {
		*stepped++
		r.restarts.begin(ev)
		r.engine.Step(now, ev, &r.fx)
		r.restarts.end(ev)
	}
	r.engine.Advance(now, &r.fx)
	r.applyEffects(&r.fx)
	r.publishCounters(now.Mono)
	handled(events)
}

// handled tells those that wait for it that events have been handled, or given up after a panic.
func handled(events []relay.Event) {
	for _, ev := range events {
		if a, ok := ev.(*relay.AttemptEnded); ok && a != nil && a.Handled != nil {
			a.Handled()
		}
	}
}

// untilNextWake returns the time until the relay's next timer expires.
func (r *relayDuty) untilNextWake() time.Duration {
	due, ok := r.engine.NextWake()
	if !ok {
		return ring.Forever
	}
	return max(0, due-r.clock.Now().Mono)
}

// applyEffects carries out the effects of a step. Requests and handoffs for which the upstream
// ring has no room are reported to the engine as not sent, and the effects of that are carried
// out too.
func (r *relayDuty) applyEffects(fx *relay.Effects) {
	for {
		for i := range fx.Sends {
			s := fx.Sends[i]
			if !r.dispatch(job{send: &s}) {
				r.undispatched = append(r.undispatched, &relay.AttemptEnded{Attempt: s.Attempt, Outcome: relay.Unsent, Reason: "too many exchanges in progress"})
			}
		}
		for i := range fx.Answers {
			delete(r.restarts.open, fx.Answers[i].Key)
			r.deliver(fx.Answers[i])
		}
		for i := range fx.Cancels {
			r.cancelAttempt(fx.Cancels[i])
		}
		r.applyHandoffs(fx)
		for i := range fx.Records {
			r.record(&fx.Records[i])
		}
		fx.Reset()
		if len(r.undispatched) == 0 {
			return
		}
		now := r.clock.Now()
		events := r.undispatched
		r.undispatched = nil
		for _, ev := range events {
			r.engine.Step(now, ev, fx)
		}
	}
}

// cancelAttempt cancels an attempt on this host, or on the peer that it was forwarded to.
func (r *relayDuty) cancelAttempt(c relay.Cancel) {
	switch {
	case c.Via != "":
		r.cancelHandoff(relay.HandoffCancel{ID: forwardedID(c.Attempt), Peer: c.Via, Unsent: c.Unsent})
	case c.Unsent:
		r.cancelUnsent(c.Attempt)
	default:
		r.cancel(c.Attempt)
	}
}

// cancelHandoff cancels a handoff, on a worker unless nothing is sent for it.
func (r *relayDuty) cancelHandoff(c relay.HandoffCancel) {
	if c.Unsent {
		r.withdraw(c.ID)
		return
	}
	// If the ring has no room, the peer only does work whose result is not used.
	r.dispatch(job{handoffCancel: &c})
}

// applyHandoffs carries out the effects that concern handoffs to peers.
func (r *relayDuty) applyHandoffs(fx *relay.Effects) {
	for i := range fx.Handoffs {
		x := fx.Handoffs[i]
		if !r.dispatch(job{handoff: &x}) {
			r.undispatched = append(r.undispatched, &relay.HandoffEnded{ID: x.ID, NotSent: true, Reason: "too many exchanges in progress"})
		}
	}
	for _, host := range fx.Links {
		// If the ring has no room, the first handoff makes the link.
		r.dispatch(job{link: host})
	}
	for i := range fx.Checks {
		x := fx.Checks[i]
		if !r.dispatch(job{check: &x}) {
			r.undispatched = append(r.undispatched, &relay.TargetChecked{ID: x.ID, NotMade: true})
		}
	}
	for i := range fx.Tells {
		x := fx.Tells[i]
		// If the ring has no room, the message is lost as one on the network may be.
		r.dispatch(job{tell: &x})
	}
	for i := range fx.ColdNews {
		x := fx.ColdNews[i]
		// If the ring has no room, the peer hears of it from the target's other host.
		r.dispatch(job{cold: &x})
	}
	for i := range fx.HandoffCancels {
		r.cancelHandoff(fx.HandoffCancels[i])
	}
}

// publishInterval is how often the counters are copied for metrics.
const publishInterval = time.Second

func (r *relayDuty) publishCounters(now time.Duration) {
	if now-r.publishedAt < publishInterval {
		return
	}
	r.publishedAt = now
	c := r.engine.Counters()
	r.counters.Store(&c)
}

// job is an element of the upstream ring. Exactly one field is set.
type job struct {
	send          *relay.Send
	handoff       *relay.Handoff
	handoffCancel *relay.HandoffCancel
	// link is the name of a peer to make a link to.
	link  string
	check *relay.Check
	tell  *relay.Tell
	cold  *relay.ColdNews
}

// upstreamDuty is the duty that passes the exchanges with targets and peers to workers.
type upstreamDuty struct {
	clock          sysclock.Clock
	inbox          *ring.Ring[job]
	workers        *duty.Workers
	client         *upstream.Client
	report         func(relay.Event) bool
	observeLatency func(time.Duration)
	handoffs       *handoffs
}

func newUpstreamDuty(client *upstream.Client, clk sysclock.Clock, report func(relay.Event) bool, onPanic func(error)) (*upstreamDuty, error) {
	workers, err := duty.NewWorkers(maxExchanges, onPanic)
	if err != nil {
		return nil, err
	}
	return &upstreamDuty{clock: clk, inbox: ring.New[job]("upstream", maxExchanges), workers: workers, client: client, report: report}, nil
}

// reapInterval is how often expired idle connections are closed.
const reapInterval = 500 * time.Millisecond

// put queues a job. An attempt or a handoff can be cancelled from then on.
func (u *upstreamDuty) put(j job) bool {
	switch {
	case j.handoff != nil:
		u.handoffs.registerOutbound(j.handoff.ID)
	case j.send != nil && j.send.Via != "":
		u.handoffs.registerOutbound(forwardedID(j.send.Attempt))
	case j.send != nil:
		u.client.Register(j.send.Attempt)
	}
	queued := u.inbox.Put(j)
	if !queued {
		u.unregister(j)
	}
	return queued
}

// unregister undoes what put has registered, for a job that is not carried out.
func (u *upstreamDuty) unregister(j job) {
	switch {
	case j.handoff != nil:
		u.handoffs.unregisterOutbound(j.handoff.ID)
	case j.send != nil && j.send.Via != "":
		u.handoffs.unregisterOutbound(forwardedID(j.send.Attempt))
	case j.send != nil:
		u.client.Unregister(j.send.Attempt)
	}
}

func (u *upstreamDuty) duty() duty.Duty {
	return duty.Duty{Name: "upstream", Run: u.run, Stop: u.inbox.Close}
}

func (u *upstreamDuty) run() {
	defer u.client.Close()
	defer u.workers.Close()
	batch := make([]job, stepBatch)
	var lastReap time.Duration
	for {
		n, ok := u.inbox.Take(batch, reapInterval)
		if !ok {
			return
		}
		for _, j := range batch[:n] {
			u.submit(j)
		}
		if now := u.clock.Now().Mono; now-lastReap >= reapInterval {
			lastReap = now
			u.client.CloseExpired()
		}
	}
}

// submit runs a job on a worker.
func (u *upstreamDuty) submit(j job) {
	switch {
	case j.handoff != nil:
		failed := &relay.HandoffEnded{ID: j.handoff.ID, Reason: panicReason}
		if err := u.runJob(func() { u.handoffs.send(j.handoff) }, failed); err != nil {
			u.unregister(j)
			u.report(&relay.HandoffEnded{ID: j.handoff.ID, NotSent: true, Reason: err.Error()})
		}
	case j.link != "":
		// If all workers are busy, the first handoff makes the link.
		_ = u.workers.Submit(func() { u.handoffs.link(j.link) })
	case j.check != nil:
		failed := &relay.TargetChecked{ID: j.check.ID, NotMade: true}
		if err := u.runJob(func() { u.report(u.checkTarget(j.check)) }, failed); err != nil {
			u.report(failed)
		}
	case j.tell != nil:
		// If all workers are busy, the message is lost as one on the network may be.
		_ = u.workers.Submit(func() { u.handoffs.tell(j.tell) })
	case j.cold != nil:
		// If all workers are busy, the message is lost as one on the network may be.
		_ = u.workers.Submit(func() { u.handoffs.tellCold(j.cold) })
	case j.handoffCancel != nil:
		// If all workers are busy, the peer only does work whose result is not used.
		_ = u.workers.Submit(func() { u.handoffs.cancel(*j.handoffCancel) })
	default:
		u.submitAttempt(j.send)
	}
}

// panicReason is the reason of an end that is reported for a job that panicked.
const panicReason = "panic on this host"

// runJob runs a job on a worker. If it panics, failed is reported to the relay, which waits for the end of
// what it has asked for.
func (u *upstreamDuty) runJob(job func(), failed relay.Event) error {
	return u.workers.Submit(func() {
		ended := false
		defer func() {
			if !ended {
				u.report(failed)
			}
		}()
		job()
		ended = true
	})
}

// checkTarget connects to a target, or makes a health check of it.
func (u *upstreamDuty) checkTarget(c *relay.Check) *relay.TargetChecked {
	if c.HealthPath == "" {
		refused, reached := u.client.Check(c.Target)
		return &relay.TargetChecked{ID: c.ID, Refused: refused, Reached: reached}
	}
	cold, refused, err := u.client.Health(c.Target, c.HealthPath)
	return &relay.TargetChecked{ID: c.ID, Refused: refused, Reached: err == nil, Cold: cold}
}

// submitAttempt runs an attempt on a worker, which sends it to the target or forwards it to a
// peer.
func (u *upstreamDuty) submitAttempt(s *relay.Send) {
	failed := &relay.AttemptEnded{Attempt: s.Attempt, Outcome: relay.Lost, Reason: panicReason, PeerFailed: s.Via != ""}
	err := u.runJob(func() {
		begin := time.Now()
		if s.Via != "" {
			u.report(u.handoffs.forwardAttempt(s))
		} else if ended := u.client.Do(s); !u.report(ended) {
			handled([]relay.Event{ended})
		}
		u.observeLatency(time.Since(begin))
	}, failed)
	if err != nil {
		u.unregister(job{send: s})
		u.report(&relay.AttemptEnded{Attempt: s.Attempt, Outcome: relay.Unsent, Reason: err.Error()})
	}
}
