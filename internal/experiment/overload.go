package experiment

import (
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/loadgen"
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
	// overloadCapacity is the number of queries per second that the slots can serve. Each
	// query takes a slot of every shard.
	overloadCapacity   = float64(overloadReplicas*overloadSlots) * float64(time.Second/overloadLatency)
	overloadPhaseTime  = 6 * time.Second
	overloadFullFactor = 1.0
	overloadPeakFactor = 3.0
	overloadLowFactor  = 0.5
	// minGoodputRatio is the minimum goodput at overload, relative to the peak goodput.
	minGoodputRatio = 0.9
	// minRecoveredShare is the minimum share of queries answered after the overload.
	minRecoveredShare = 0.95
)

// overloadOutcome holds the reports of one run, whose phases use the same hosts. Of the
// two phases before the overload, it keeps the one with the higher goodput.
type overloadOutcome struct {
	before, during, after *loadgen.Report
}

func runOverload(seed uint64) (*Outcome, error) {
	adaptive, err := measureOverload(seed, true)
	if err != nil {
		return nil, err
	}
	baseline, err := measureOverload(seed, false)
	if err != nil {
		return nil, err
	}
	return &Outcome{
		Baseline: baseline.values(),
		Result:   adaptive.values(),
		Bound:    Values{"goodput_ratio_min": minGoodputRatio, "recovered_share_min": minRecoveredShare},
		Holds:    adaptive.goodputRatio() >= minGoodputRatio && adaptive.recoveredShare() >= minRecoveredShare,
	}, nil
}

// goodputRatio returns the goodput at overload divided by the peak goodput.
func (o *overloadOutcome) goodputRatio() float64 {
	return o.during.AnswersPerSecond / max(o.before.AnswersPerSecond, o.during.AnswersPerSecond)
}

// recoveredShare returns the share of queries answered after the overload.
func (o *overloadOutcome) recoveredShare() float64 {
	return float64(o.after.Answered) / float64(o.after.Queries)
}

func (o *overloadOutcome) values() Values {
	return Values{
		"goodput_before_per_s": o.before.AnswersPerSecond,
		"goodput_over_per_s":   o.during.AnswersPerSecond,
		"goodput_ratio":        o.goodputRatio(),
		"recovered_share":      o.recoveredShare(),
		"refusals_over":        o.during.Refusals,
		"p99_ms_before":        o.before.P99MS,
		"p99_ms_over":          o.during.P99MS,
		"p99_ms_after":         o.after.P99MS,
		"offered_per_s":        overloadCapacity * overloadPeakFactor,
	}
}

func measureOverload(seed uint64, adaptive bool) (*overloadOutcome, error) {
	bed, err := testbed.Start(testbed.Layout{
		Seed:  seed,
		Zones: testbed.ThreeZones(),
		Hosts: overloadHosts,
		Services: []testbed.ServiceLayout{{
			Name:           "licences",
			Shards:         overloadShards,
			Replicas:       overloadReplicas,
			MaxConnections: 90,
			Policy:         release.Policy{Deadline: overloadDeadline, RequireAllShards: true, HedgeBudget: maxExtraLoad},
			Behavior: standin.Behavior{
				Latency:    overloadLatency,
				Jitter:     overloadLatency / 4,
				Slots:      overloadSlots,
				ColdBudget: 1,
			},
		}},
		Callers:    10,
		CallerRate: 0,
	}, testbed.Options{AdjustSettings: func(_ int, s *settings.Settings) {
		if !adaptive {
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
		report **loadgen.Report
	}{{overloadLowFactor, &out.before}, {overloadFullFactor, &out.before}, {overloadPeakFactor, &out.during}, {overloadLowFactor, &out.after}} {
		rate := overloadCapacity * phase.factor
		report, err := loadgen.Run(&loadgen.Config{
			Fronts:           bed.FrontAddresses(),
			Mix:              []loadgen.MixEntry{{Service: "licences", Keys: []string{testbed.CallerKey(0), testbed.CallerKey(1), testbed.CallerKey(2)}, Weight: 1}},
			QueriesPerSecond: rate,
			Queries:          int(rate * overloadPhaseTime.Seconds()),
			Seed:             seed,
			MaxHits:          10,
		})
		if err != nil {
			return nil, err
		}
		if *phase.report == nil || report.AnswersPerSecond > (*phase.report).AnswersPerSecond {
			*phase.report = report
		}
	}
	return out, nil
}
