package experiment

import (
	"math/rand/v2"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/target"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/loadgen"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

func init() {
	register(Experiment{
		Name:    "cold",
		Summary: "a target restarts cold with budget 1 behind nine hosts without a mesh; baseline: no warm-up ramp",
		Run:     runCold,
	})
}

const (
	coldHosts    = 9
	coldReplicas = 3
	coldSlots    = 16
	// coldQueryRate is in queries per second.
	coldQueryRate = 200
	coldBudget    = 1
	// coldWarmUpAnswers is the number of answers after which the target is warm.
	coldWarmUpAnswers = 30
	coldDowntime      = 200 * time.Millisecond
	// coldSettleTime precedes the restart, so that all hosts have sent to the target.
	coldSettleTime = 3 * time.Second
	// coldBaselineTime is the length of the baseline run, in which the target never
	// becomes warm.
	coldBaselineTime = 8 * time.Second
	// maxWarmTime bounds the time from the restart until all hosts treat the target as warm.
	maxWarmTime      = 30 * time.Second
	coldPollInterval = 20 * time.Millisecond
)

// coldOutcome is the measurement of one run.
type coldOutcome struct {
	report standin.TargetReport
	load   *loadgen.Report
	// warmTime is the time from the restart until every host treated the target as warm,
	// or 0 if that did not happen within the run.
	warmTime time.Duration
}

func runCold(seed uint64) (*Outcome, error) {
	ramped, err := measureCold(seed, true, maxWarmTime)
	if err != nil {
		return nil, err
	}
	baseline, err := measureCold(seed, false, coldBaselineTime)
	if err != nil {
		return nil, err
	}
	holds := ramped.report.ColdPeakRunning <= coldBudget && ramped.report.OverloadRestarts == 0 && ramped.warmTime > 0
	return &Outcome{
		Baseline: baseline.values(),
		Result:   ramped.values(),
		Bound:    Values{"cold_peak_max": coldBudget, "falls_max": 0, "warm_s_max": maxWarmTime.Seconds()},
		Holds:    holds,
	}, nil
}

func (o *coldOutcome) values() Values {
	return Values{
		"cold_peak":      o.report.ColdPeakRunning,
		"falls":          o.report.OverloadRestarts,
		"warm_s":         o.warmTime.Seconds(),
		"target_warm_s":  o.report.WarmUpTime.Seconds(),
		"queries":        o.load.Queries,
		"answered":       o.load.Answered,
		"refusals":       o.load.Refusals,
		"p99_ms":         o.load.P99MS,
		"target_is_cold": o.report.Cold,
	}
}

// licencesLayout returns a layout with nine hosts and the service licences, whose cold
// targets restart when they receive more than their cold budget.
func licencesLayout(seed uint64, shards, replicas, slots int) testbed.Layout {
	return testbed.Layout{
		Seed:  seed,
		Zones: testbed.ThreeZones(),
		Hosts: coldHosts,
		Services: []testbed.ServiceLayout{{
			Name:           "licences",
			Shards:         shards,
			Replicas:       replicas,
			MaxConnections: 90,
			Policy:         release.Policy{Deadline: time.Second, MinCoverage: 1, HedgeBudget: maxExtraLoad},
			Behavior: standin.Behavior{
				Latency:    10 * time.Millisecond,
				Jitter:     5 * time.Millisecond,
				Slots:      slots,
				ColdBudget: coldBudget,
				WarmUp:     standin.WarmUp{AfterAnswers: coldWarmUpAnswers, RestartOnOverload: true, Downtime: coldDowntime},
			},
		}},
		Callers:    10,
		CallerRate: 1000,
	}
}

// licencesLoad returns a load on the service licences at rate queries per second.
func licencesLoad(bed *testbed.Testbed, rate float64, duration time.Duration) *loadgen.Config {
	return &loadgen.Config{
		Fronts:           bed.FrontAddresses(),
		Mix:              []loadgen.MixEntry{{Service: "licences", Keys: []string{testbed.CallerKey(0), testbed.CallerKey(1)}, Weight: 1}},
		QueriesPerSecond: rate,
		Queries:          int(duration.Seconds() * rate),
		Seed:             bed.Layout.Seed,
		MaxHits:          10,
	}
}

func measureCold(seed uint64, warmUp bool, limit time.Duration) (*coldOutcome, error) {
	bed, err := testbed.Start(licencesLayout(seed, 1, coldReplicas, coldSlots), testbed.Options{AdjustSettings: func(_ int, s *settings.Settings) {
		s.Policy.NoWarmUp = !warmUp
		s.Listen.Mesh = ""
	}})
	if err != nil {
		return nil, err
	}
	defer bed.Stop()
	wait, err := startLoad(licencesLoad(bed, coldQueryRate, coldSettleTime+target.TurnLength+limit))
	if err != nil {
		return nil, err
	}
	time.Sleep(coldSettleTime + delayToTurnPhase(seed))
	coldTarget := bed.Targets["licences-0-0"]
	coldTarget.Restart(coldDowntime)
	restartTime := time.Now()
	out := &coldOutcome{}
	for time.Since(restartTime) < limit {
		time.Sleep(coldPollInterval)
		if out.warmTime == 0 && coldTarget.Report().WarmUpTime > 0 && warmOnAllHosts(bed, "licences-0-0") {
			out.warmTime = time.Since(restartTime)
		}
	}
	if out.load, err = wait(); err != nil {
		return nil, err
	}
	out.report = coldTarget.Report()
	return out, nil
}

// delayToTurnPhase returns the time until the phase of a turn at which the target
// restarts; the phase is drawn from seed. A turn is a period of target.TurnLength in which
// a single host may use a cold target.
func delayToTurnPhase(seed uint64) time.Duration {
	rng := rand.New(rand.NewPCG(seed, 0))
	phase := time.Duration(rng.Int64N(int64(target.TurnLength)))
	now := time.Duration(time.Now().UnixNano()) % target.TurnLength
	return (phase - now + target.TurnLength) % target.TurnLength
}

// warmOnAllHosts reports whether every host treats the restarted target as warm.
func warmOnAllHosts(bed *testbed.Testbed, name string) bool {
	for _, n := range bed.Nodes {
		for _, t := range n.Status().Targets {
			if t.Target == name && (t.Cold || t.Incarnation < 2) {
				return false
			}
		}
	}
	return true
}

// startLoad starts the load in the background; wait blocks until it ends.
func startLoad(c *loadgen.Config) (wait func() (*loadgen.Report, error), err error) {
	worker, err := duty.NewWorkers(1, nil)
	if err != nil {
		return nil, err
	}
	type loadResult struct {
		report *loadgen.Report
		err    error
	}
	results := make(chan loadResult, 1)
	err = worker.Submit(func() {
		report, err := loadgen.Run(c)
		results <- loadResult{report, err}
	})
	if err != nil {
		return nil, err
	}
	return func() (*loadgen.Report, error) {
		defer worker.Close()
		r := <-results
		return r.report, r.err
	}, nil
}
