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
}

// Counters are totals since the start, for metrics.
type Counters struct {
	Queries        uint64 `json:"queries"`
	Refusals       uint64 `json:"refusals"`
	FirstAttempts  uint64 `json:"first_attempts"`
	Hedges         uint64 `json:"hedges"`
	Retries        uint64 `json:"retries"`
	LateReplies    uint64 `json:"late_replies"`
	WrongSnapshots uint64 `json:"wrong_snapshots"`
}

// Engine is the data plane's core.
type Engine struct {
	cfg      Config
	rng      *rand.Rand
	state    *release.State
	plans    map[*release.Snapshot]plan
	targets  *target.Table
	queries  map[query.ID]*query.Query
	byKey    map[uint64]query.ID
	waiting  map[string][]query.AttemptID
	timers   timerHeap
	nextID   query.ID
	draining bool
	isolated bool
	counters Counters
}

// plan is a snapshot's replicas by target ID.
type plan [][]target.ID

// New returns an engine that refuses everything until a Release event.
func New(cfg Config) *Engine {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	return &Engine{
		cfg:     cfg,
		rng:     rng,
		plans:   map[*release.Snapshot]plan{},
		targets: target.NewTable(rng),
		queries: map[query.ID]*query.Query{},
		byKey:   map[uint64]query.ID{},
		waiting: map[string][]query.AttemptID{},
	}
}

// Step handles one event.
func (e *Engine) Step(now clock.Instant, ev Event, fx *Effects) {
	e.Advance(now, fx)
	switch ev := ev.(type) {
	case *Submit:
		e.submit(now, ev.Request, fx)
	case *Reply:
		e.reply(now, ev, fx)
	case *CallerGone:
		e.callerGone(now, ev.Key, fx)
	case *Release:
		e.release(ev.State)
	case *Health:
		e.health(ev)
	case *Drain:
		e.draining = true
	case *PeerFacts:
		e.peerFacts(ev)
	case *HostList:
		e.hostList(ev)
	case *Isolation:
		e.isolated = ev.Isolated
	}
}

// Advance ends what is due at now.
func (e *Engine) Advance(now clock.Instant, fx *Effects) {
	for {
		t, ok := e.timers.popDue(now.Mono)
		if !ok {
			return
		}
		q, ok := e.queries[t.query]
		if !ok {
			continue
		}
		switch t.kind {
		case timerDeadline:
			e.finish(now, q, fx)
		case timerHedge:
			e.hedge(now, q, fx)
		}
	}
}

// NextWake returns when Advance must next be called, and false for never.
func (e *Engine) NextWake() (time.Duration, bool) { return e.timers.next() }

// InProgress returns the number of queries in progress.
func (e *Engine) InProgress() int { return len(e.queries) }

// Draining reports whether the engine refuses new work for a graceful shutdown.
func (e *Engine) Draining() bool { return e.draining }

// Counters returns the totals since the start.
func (e *Engine) Counters() Counters { return e.counters }

// State returns what is in force, nil before the first release.
func (e *Engine) State() *release.State { return e.state }

// Targets gives read access to the target table for status reports.
func (e *Engine) Targets() *target.Table { return e.targets }

func (e *Engine) release(s *release.State) {
	e.state = s
	e.targets.Apply(s)
	e.plans = map[*release.Snapshot]plan{}
	for _, svc := range s.Services {
		for _, snap := range svc.Snapshots {
			e.plans[snap] = e.planOf(snap)
		}
	}
}

func (e *Engine) planOf(snap *release.Snapshot) plan {
	p := make(plan, len(snap.Shards))
	for i, shard := range snap.Shards {
		for _, name := range shard.Replicas {
			p[i] = append(p[i], e.targets.Lookup(name))
		}
	}
	return p
}

func (e *Engine) health(h *Health) {
	entry := e.targets.Entry(h.Target)
	entry.Leaving = entry.Leaving || h.Leaving
}

// peerFacts takes hearsay of targets: only a newer incarnation or a departure counts.
func (e *Engine) peerFacts(ev *PeerFacts) {
	for _, fact := range ev.Targets {
		id := e.targets.Lookup(fact.Target)
		if id == target.None {
			continue
		}
		entry := e.targets.Entry(id)
		entry.Leaving = entry.Leaving || fact.Leaving
	}
}

func (e *Engine) refuse(key uint64, code result.Code, detail string, fx *Effects) {
	e.counters.Refusals++
	fx.Answers = append(fx.Answers, Answer{Key: key, Code: code, Detail: detail})
}
