package experiment

import (
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/load"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

func init() {
	register(Experiment{
		Name:    "overload",
		Summary: "load to three times the capacity and back; baseline: static limits and no queue",
		Run:     runOverload,
	})
}

const (
	overloadHosts    = 3
	overloadShards   = 4
	overloadReplicas = 2
	overloadSlots    = 6
	overloadLatency  = 40 * time.Millisecond
	overloadDeadline = 500 * time.Millisecond
	// overloadCapacity is the queries a second that the slots bear.
	overloadCapacity = float64(overloadReplicas*overloadSlots) * float64(time.Second/overloadLatency)
	overloadPhase    = 6 * time.Second
	overloadWhole    = 1.0
	overloadFactor   = 3.0
	overloadAfter    = 0.5
	// minGoodput bounds the goodput at overload against the peak.
	minGoodput = 0.9
	// minRecovery bounds the share of the queries answered after the overload.
	minRecovery = 0.95
)

// overloadOutcome is one run: the same hosts take the phases one after the other.
type overloadOutcome struct {
	before, over, after *load.Report
}

func runOverload(seed uint64) (*Outcome, error) {
	controlled, err := overloadRun(seed, true)
	if err != nil {
		return nil, err
	}
	baseline, err := overloadRun(seed, false)
	if err != nil {
		return nil, err
	}
	return &Outcome{
		Baseline: baseline.values(),
		Result:   controlled.values(),
		Bound:    Values{"goodput_ratio_min": minGoodput, "recovered_share_min": minRecovery},
		Holds:    controlled.ratio() >= minGoodput && controlled.recovered() >= minRecovery,
	}, nil
}

// ratio is the goodput at overload over the peak.
func (o *overloadOutcome) ratio() float64 {
	return o.over.PerSecond / max(o.before.PerSecond, o.over.PerSecond)
}

// recovered is the share of the queries answered after the overload.
func (o *overloadOutcome) recovered() float64 {
	return float64(o.after.Answered) / float64(o.after.Queries)
}

func (o *overloadOutcome) values() Values {
	return Values{
		"goodput_before_per_s": o.before.PerSecond,
		"goodput_over_per_s":   o.over.PerSecond,
		"goodput_ratio":        o.ratio(),
		"recovered_share":      o.recovered(),
		"refusals_over":        o.over.Refusals,
		"p99_ms_before":        o.before.P99MS,
		"p99_ms_over":          o.over.P99MS,
		"p99_ms_after":         o.after.P99MS,
		"offered_per_s":        overloadCapacity * overloadFactor,
	}
}

func overloadRun(seed uint64, controlled bool) (*overloadOutcome, error) {
	bed, err := testbed.Start(testbed.Layout{
		Seed:  seed,
		Zones: testbed.ThreeZones(),
		Hosts: overloadHosts,
		Services: []testbed.ServiceLayout{{
			Name:        "licences",
			Shards:      overloadShards,
			Replicas:    overloadReplicas,
			Connections: 90,
			Policy:      release.Policy{Deadline: overloadDeadline, Whole: true, HedgeBudget: maxExtraLoad},
			Behaviour: standin.Behaviour{
				Latency:    overloadLatency,
				Jitter:     overloadLatency / 4,
				Slots:      overloadSlots,
				ColdBudget: 1,
			},
		}},
		Callers:    10,
		CallerRate: 0,
	}, testbed.Options{Adjust: func(_ int, s *settings.Settings) {
		if !controlled {
			s.Policy.StaticLimit = true
			s.Limits.Queue = 0
		}
	}})
	if err != nil {
		return nil, err
	}
	defer bed.Stop()
	out := &overloadOutcome{}
	for _, phase := range []struct {
		factor float64
		report **load.Report
	}{{overloadAfter, &out.before}, {overloadWhole, &out.before}, {overloadFactor, &out.over}, {overloadAfter, &out.after}} {
		rate := overloadCapacity * phase.factor
		report, err := load.Run(&load.Config{
			Fronts:  bed.Fronts(),
			Mix:     []load.Share{{Service: "licences", Keys: []string{testbed.Key(0), testbed.Key(1), testbed.Key(2)}, Weight: 1}},
			Rate:    rate,
			Queries: int(rate * overloadPhase.Seconds()),
			Seed:    seed,
			Limit:   10,
		})
		if err != nil {
			return nil, err
		}
		if *phase.report == nil || report.PerSecond > (*phase.report).PerSecond {
			*phase.report = report
		}
	}
	return out, nil
}
