// Package engine is the core of the data plane: a deterministic state machine that
// combines admission, queries and targets.
//
// A single goroutine owns an Engine. It calls Step for each event and Advance when the
// time returned by NextWake has come. Both append the required actions to the Effects;
// the owner carries them out and reports their results as later events. The engine reads
// no clock, starts no goroutines, takes no locks and draws random numbers only from its
// seed, so the same seed, times and events always give the same effects.
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

// Config holds the engine's settings for one host.
type Config struct {
	Host string
	Zone string
	// Seed initialises the random number generator, which makes the engine's choices
	// reproducible.
	Seed uint64
	// MaxQueries is the maximum number of queries in progress.
	MaxQueries int
	// Hedge enables hedging: a second attempt goes to another replica when the first is
	// late.
	Hedge bool
	// NoRetry limits each shard to one attempt, as a baseline for comparison.
	NoRetry bool
	// Targets selects the variants of the concurrency limits, the warm-up and the replica
	// selection, some of which are baselines for comparison.
	Targets target.Options
	// MaxQueued is the maximum number of admitted requests that wait; 0 disables the queue.
	MaxQueued int
	// MaxStepGap is the time between two steps above which the process is taken to have
	// been paused; 0 disables the check.
	MaxStepGap time.Duration
	// PeerStateTimeout is how long after its start a host waits for its peers' state before
	// it runs an unknown body.
	PeerStateTimeout time.Duration
	// Once holds the limits for requests that run at most once.
	Once once.Config
	// Quarantine limits the records of bodies that ran clean or crashed targets.
	Quarantine quarantine.Config
}

// Counters are totals since the start, exported as metrics.
type Counters struct {
	Queries       uint64 `json:"queries"`
	Refusals      uint64 `json:"refusals"`
	FirstAttempts uint64 `json:"first_attempts"`
	Hedges        uint64 `json:"hedges"`
	Retries       uint64 `json:"retries"`
	// Resends counts attempts that replace one known not to have run.
	Resends        uint64 `json:"resends"`
	LateReplies    uint64 `json:"late_replies"`
	WrongSnapshots uint64 `json:"wrong_snapshots"`
	// UnknownReplies counts replies that match no open attempt: duplicates and replies to
	// other attempts.
	UnknownReplies    uint64 `json:"unknown_replies"`
	TruncatedReplies  uint64 `json:"truncated_replies"`
	CrossedReplies    uint64 `json:"crossed_replies"`
	StaleIncarnations uint64 `json:"stale_incarnations"`
	SnapshotsDenied   uint64 `json:"snapshots_denied"`
	ShardsLost        uint64 `json:"shards_lost"`
	Restarts          uint64 `json:"restarts"`
	ProcessPauses     uint64 `json:"late_wakes"`
}

// Engine is the state machine of the data plane.
type Engine struct {
	cfg      Config
	rng      *rand.Rand
	state    *release.State
	services map[string]*query.Service
	plans    map[planKey]*query.Plan
	// withdrawn holds the plans of withdrawn snapshots to which queries are still pinned.
	withdrawn []*query.Plan
	// groupsOf lists, by target ID, the groups in which the target is a replica.
	groupsOf  [][]*query.ReplicaGroup
	nextGroup uint64
	targets   *target.Table
	queries   map[query.ID]*query.Query
	// detached holds queries that have ended but still have attempts in progress.
	detached map[query.ID]*query.Query
	byKey    map[uint64]query.ID
	// pool holds ended queries for reuse.
	pool []*query.Query
	// parkedCount is the number of waiters in all groups. resumeOffset rotates the group
	// that resumeTarget serves first.
	parkedCount    int
	resumeOffset   int
	timers         timerHeap
	nextID         query.ID
	draining       bool
	isolated       bool
	counters       Counters
	gate           gate
	turnTimerArmed bool
	once           onceState
	pause          pauseState
	canary         canaryState
}

// New returns an engine that refuses all requests until the first Release event.
func New(cfg Config) *Engine {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	e := &Engine{
		cfg:      cfg,
		rng:      rng,
		services: map[string]*query.Service{},
		plans:    map[planKey]*query.Plan{},
		targets:  target.NewTable(rng),
		queries:  map[query.ID]*query.Query{},
		detached: map[query.ID]*query.Query{},
		byKey:    map[uint64]query.ID{},
		gate:     newGate(cfg.MaxQueued),
		once:     newOnceState(&cfg.Once),
		canary:   newCanaryState(&cfg.Quarantine),
	}
	e.targets.Configure(cfg.Targets)
	return e
}

// Step fires the due timers and handles one event.
func (e *Engine) Step(now clock.Instant, ev Event, fx *Effects) {
	e.fireTimers(now, fx)
	if e.holdNewRequest(now, ev, fx) {
		e.afterStep(now, fx)
		return
	}
	switch ev := ev.(type) {
	case *Submit:
		e.submit(now, ev.Request, fx)
	case *AttemptResult:
		e.attemptEnded(now, ev, fx)
	case *CallerGone:
		e.callerGone(now, ev.Key, fx)
	case *Release:
		e.release(now, ev.State, fx)
	case *HealthReport:
		e.applyHealth(ev)
	case *Drain:
		e.draining = true
	case *PeerFacts:
		e.applyPeerFacts(now, ev)
	case *HostsLeaving:
		e.markHostsLeaving(ev)
	case *PeerStateReceived:
		e.canary.peerStateReceived = true
	case *Isolation:
		e.setIsolation(now, ev, fx)
	case *ContactConfirmed:
		e.contactConfirmed(now, ev, fx)
	case *CanaryCallDone:
		e.canaryAnswered(now, ev, fx)
	case *PeerCanaryCall:
		e.serveCanary(now, ev, fx)
	default:
		e.stepOnce(now, ev, fx)
	}
	e.sendQueuedRuns(now, fx)
	e.afterStep(now, fx)
}

// Advance fires the timers that are due at now.
func (e *Engine) Advance(now clock.Instant, fx *Effects) {
	e.fireTimers(now, fx)
	e.afterStep(now, fx)
}

func (e *Engine) fireTimers(now clock.Instant, fx *Effects) {
	e.targets.SetNow(now)
	e.detectPause(now, fx)
	e.expireHeld(now, fx)
	for {
		t, ok := e.timers.popDue(now.Mono)
		if !ok {
			return
		}
		if e.handleGlobalTimer(now, t, fx) {
			continue
		}
		if t.kind == timerOnceRun || t.kind == timerOnceCall {
			e.onceTimerDue(t, fx)
			continue
		}
		if t.kind == timerCanary {
			e.canaryDue(now, t, fx)
			continue
		}
		if t.kind == timerGroupRetry {
			e.retryGroup(now, t, fx)
			continue
		}
		q, ok := e.queries[t.query]
		if !ok {
			continue
		}
		switch t.kind {
		case timerDeadline:
			e.finish(now, q, fx)
		case timerLateCheck:
			e.checkLateShards(now, q, fx)
		}
	}
}

// NextWake returns the monotonic time at which Advance must next be called, and false if
// no call is needed.
func (e *Engine) NextWake() (time.Duration, bool) {
	due, ok := e.timers.next()
	if wake, enabled := e.pauseCheckDue(); enabled && (!ok || wake < due) {
		return wake, true
	}
	return due, ok
}

// InProgress returns the number of requests in progress, including queued and held ones.
func (e *Engine) InProgress() int {
	return len(e.queries) + e.gate.size + len(e.pause.held) + e.once.inProgress()
}

// Draining reports whether the engine refuses new requests during a graceful shutdown.
func (e *Engine) Draining() bool { return e.draining }

// Counters returns the totals since the start.
func (e *Engine) Counters() Counters { return e.counters }

// State returns the configuration in force, or nil before the first Release event.
func (e *Engine) State() *release.State { return e.state }

// Targets returns the target table, which status reports may only read.
func (e *Engine) Targets() *target.Table { return e.targets }

// applyHealth treats a health report as a hint only: a target that only its health
// endpoint reports as leaving is selected after its peers, and one that claims a snapshot
// is asked for it again.
func (e *Engine) applyHealth(ev *HealthReport) {
	if ev.Name != "" {
		ev.Target = e.targets.Lookup(ev.Name)
	}
	if ev.Target == target.None {
		return
	}
	e.targets.SetLeavingHint(ev.Target, ev.Leaving)
	e.observeHealth(ev)
	service := e.targets.Entry(ev.Target).Spec.Service
	for _, key := range ev.Snapshots {
		e.snapshotClaimed(service, key, ev.Target)
	}
}

// applyPeerFacts merges what peers know of targets and of crashing bodies.
func (e *Engine) applyPeerFacts(now clock.Instant, ev *PeerFacts) {
	e.mergePeerFacts(ev.TargetFacts)
	e.mergeQuarantineFacts(now, ev.QuarantineFacts)
}

func (e *Engine) refuse(key uint64, code result.Code, detail string, fx *Effects) {
	e.counters.Refusals++
	fx.Answers = append(fx.Answers, Answer{Key: key, Code: code, Detail: detail})
}
