// Package engine is the data plane's core: it composes admission, queries and targets
// into one value that is stepped.
//
// The contract: one duty owns an Engine and calls Step for each event and Advance when
// NextWake has come. Both append to the Effects what is to be done; the caller does it
// and reports what happened as later events. The engine reads no clock, starts nothing,
// takes no lock and draws random numbers only from its seed: the same seed and the same
// instants and events give the same effects.
package engine

import (
	"math/rand/v2"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/once"
	"pollentack.example/pollentack/internal/core/quarantine"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

// Config is what a host's settings say to its engine.
type Config struct {
	Host string
	Zone string
	// Seed makes the engine's choices repeatable.
	Seed uint64
	// MaxQueries bounds the queries in progress.
	MaxQueries int
	// Hedge sends a second attempt to another replica when the first is late.
	Hedge bool
	// NoRetry is the baseline in which a shard has one attempt.
	NoRetry bool
	// Targets selects the baselines of limits, warm-up and selection.
	Targets target.Options
	// Queue bounds the admitted requests that wait; 0 admits without a queue.
	Queue int
	// MaxGap is the time between steps above which the host woke late; 0 does not look.
	MaxGap time.Duration
	// Once bounds the requests that run at most once.
	Once once.Config
	// Quarantine bounds what is kept of bodies that ran clean or killed targets.
	Quarantine quarantine.Config
}

// Counters are totals since the start, for metrics.
type Counters struct {
	Queries       uint64 `json:"queries"`
	Refusals      uint64 `json:"refusals"`
	FirstAttempts uint64 `json:"first_attempts"`
	Hedges        uint64 `json:"hedges"`
	Retries       uint64 `json:"retries"`
	// Resends are attempts in place of one that is known not to have run.
	Resends        uint64 `json:"resends"`
	LateReplies    uint64 `json:"late_replies"`
	WrongSnapshots uint64 `json:"wrong_snapshots"`
	// UnknownReplies match no open attempt: duplicates and crossed replies.
	UnknownReplies    uint64 `json:"unknown_replies"`
	TruncatedReplies  uint64 `json:"truncated_replies"`
	CrossedReplies    uint64 `json:"crossed_replies"`
	StaleIncarnations uint64 `json:"stale_incarnations"`
	SnapshotsDenied   uint64 `json:"snapshots_denied"`
	ShardsLost        uint64 `json:"shards_lost"`
	Restarts          uint64 `json:"restarts"`
	LateWakes         uint64 `json:"late_wakes"`
}

// Engine is the data plane's core.
type Engine struct {
	cfg      Config
	rng      *rand.Rand
	state    *release.State
	services map[string]*query.Service
	plans    map[planKey]*query.Plan
	// withdrawn holds plans that only pinned queries still use.
	withdrawn []*query.Plan
	// groupsOf lists by target ID the groups that the target is a replica of.
	groupsOf  [][]*query.Group
	nextGroup uint64
	targets   *target.Table
	queries   map[query.ID]*query.Query
	// ended holds queries that were answered and have attempts in progress.
	ended map[query.ID]*query.Query
	byKey map[uint64]query.ID
	// pool holds queries for reuse.
	pool []*query.Query
	// waiting is the number of waiters in all groups, turn where the next look begins.
	waiting  int
	turn     int
	timers   timerHeap
	nextID   query.ID
	draining bool
	isolated bool
	counters Counters
	gate     gate
	turnDue  bool
	once     onceState
	pause    pause
	canary   canaryState
}

// New returns an engine that refuses everything until a Release event.
func New(cfg Config) *Engine {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	e := &Engine{
		cfg:      cfg,
		rng:      rng,
		services: map[string]*query.Service{},
		plans:    map[planKey]*query.Plan{},
		targets:  target.NewTable(rng),
		queries:  map[query.ID]*query.Query{},
		ended:    map[query.ID]*query.Query{},
		byKey:    map[uint64]query.ID{},
		gate:     newGate(cfg.Queue),
		once:     newOnceState(&cfg.Once),
		canary:   newCanaryState(&cfg.Quarantine),
	}
	e.targets.Configure(cfg.Targets)
	return e
}

// Step handles one event.
func (e *Engine) Step(now clock.Instant, ev Event, fx *Effects) {
	e.advance(now, fx)
	if e.hold(now, ev, fx) {
		e.afterStep(now, fx)
		return
	}
	switch ev := ev.(type) {
	case *Submit:
		e.submit(now, ev.Request, fx)
	case *Reply:
		e.reply(now, ev, fx)
	case *CallerGone:
		e.callerGone(now, ev.Key, fx)
	case *Release:
		e.release(now, ev.State, fx)
	case *Health:
		e.health(ev)
	case *Drain:
		e.draining = true
	case *PeerFacts:
		e.peerFacts(now, ev)
	case *HostList:
		e.hostList(ev)
	case *Isolation:
		e.isolation(now, ev, fx)
	case *Word:
		e.word(now, ev, fx)
	case *CanaryAnswered:
		e.canaryAnswered(now, ev, fx)
	case *CanaryServe:
		e.serveCanary(now, ev, fx)
	default:
		e.stepOnce(now, ev, fx)
	}
	e.resumeRuns(now, fx)
	e.afterStep(now, fx)
}

// Advance ends what is due at now.
func (e *Engine) Advance(now clock.Instant, fx *Effects) {
	e.advance(now, fx)
	e.afterStep(now, fx)
}

func (e *Engine) advance(now clock.Instant, fx *Effects) {
	e.targets.Tick(now)
	e.noticeGap(now, fx)
	e.expireHeld(now, fx)
	for {
		t, ok := e.timers.popDue(now.Mono)
		if !ok {
			return
		}
		if e.ownTimer(now, t, fx) {
			continue
		}
		if t.kind == timerOnceRun || t.kind == timerOnceCall {
			e.onceDue(t, fx)
			continue
		}
		if t.kind == timerCanary {
			e.canaryDue(now, t, fx)
			continue
		}
		if t.kind == timerWake {
			e.wake(now, t, fx)
			continue
		}
		q, ok := e.queries[t.query]
		if !ok {
			continue
		}
		switch t.kind {
		case timerDeadline:
			e.finish(now, q, fx)
		case timerSweep:
			e.sweep(now, q, fx)
		}
	}
}

// NextWake returns when Advance must next be called, and false for never.
func (e *Engine) NextWake() (time.Duration, bool) {
	due, ok := e.timers.next()
	if wake, looks := e.pauseWake(); looks && (!ok || wake < due) {
		return wake, true
	}
	return due, ok
}

// InProgress returns the number of requests in progress, those that wait included.
func (e *Engine) InProgress() int {
	return len(e.queries) + e.gate.size + len(e.pause.held) + e.once.inProgress()
}

// Draining reports whether the engine refuses new work for a graceful shutdown.
func (e *Engine) Draining() bool { return e.draining }

// Counters returns the totals since the start.
func (e *Engine) Counters() Counters { return e.counters }

// State returns what is in force, nil before the first release.
func (e *Engine) State() *release.State { return e.state }

// Targets gives read access to the target table for status reports.
func (e *Engine) Targets() *target.Table { return e.targets }

// health takes a hint only: a target that its health endpoint alone calls leaving comes
// after its peers, and one that claims a snapshot is asked for it again.
func (e *Engine) health(ev *Health) {
	if ev.Name != "" {
		ev.Target = e.targets.Lookup(ev.Name)
	}
	if ev.Target == target.None {
		return
	}
	e.targets.HintLeaving(ev.Target, ev.Leaving)
	e.observeHealth(ev)
	service := e.targets.Entry(ev.Target).Spec.Service
	for _, key := range ev.Snapshots {
		e.claimed(service, key, ev.Target)
	}
}

// peerFacts takes hearsay of targets: only a newer incarnation or a departure counts.
func (e *Engine) peerFacts(now clock.Instant, ev *PeerFacts) {
	e.hearFacts(ev.Targets)
	e.hearConvictions(now, ev.Convictions)
}

func (e *Engine) refuse(key uint64, code result.Code, detail string, fx *Effects) {
	e.counters.Refusals++
	fx.Answers = append(fx.Answers, Answer{Key: key, Code: code, Detail: detail})
}
