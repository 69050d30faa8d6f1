package experiment

import (
	"math/rand/v2"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/target"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/load"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

func init() {
	register(Experiment{
		Name:    "cold",
		Summary: "a target restarts cold with budget 1 under nine hosts that hear nothing of each other; baseline: no ramp",
		Run:     runCold,
	})
}

const (
	coldHosts    = 9
	coldReplicas = 3
	coldSlots    = 16
	coldRate     = 200
	coldBudget   = 1
	// coldRequests is how many answers warm the target.
	coldRequests = 30
	coldDown     = 200 * time.Millisecond
	// coldSettle is the time before the restart, in which all hosts learn the target.
	coldSettle = 3 * time.Second
	// coldBaseline is how long the baseline runs: it never becomes warm.
	coldBaseline = 8 * time.Second
	// maxWarm bounds the time from the restart until all hosts use the target as warm.
	maxWarm      = 30 * time.Second
	coldPollTime = 20 * time.Millisecond
)

// coldOutcome is one run of the cold target.
type coldOutcome struct {
	report standin.ColdReport
	load   *load.Report
	// warm is the time from the restart until every host used the target as warm, 0
	// where that did not come.
	warm time.Duration
}

func runCold(seed uint64) (*Outcome, error) {
	ramped, err := coldRun(seed, true, maxWarm)
	if err != nil {
		return nil, err
	}
	baseline, err := coldRun(seed, false, coldBaseline)
	if err != nil {
		return nil, err
	}
	holds := ramped.report.Peak <= coldBudget && ramped.report.Falls == 0 && ramped.warm > 0
	return &Outcome{
		Baseline: baseline.values(),
		Result:   ramped.values(),
		Bound:    Values{"cold_peak_max": coldBudget, "falls_max": 0, "warm_s_max": maxWarm.Seconds()},
		Holds:    holds,
	}, nil
}

func (o *coldOutcome) values() Values {
	return Values{
		"cold_peak":      o.report.Peak,
		"falls":          o.report.Falls,
		"warm_s":         o.warm.Seconds(),
		"target_warm_s":  o.report.Warmed.Seconds(),
		"queries":        o.load.Queries,
		"answered":       o.load.Answered,
		"refusals":       o.load.Refusals,
		"p99_ms":         o.load.P99MS,
		"target_is_cold": o.report.Cold,
	}
}

// licencesLayout is nine hosts and a service whose targets fall over above their cold
// budget.
func licencesLayout(seed uint64, shards, replicas, slots int) testbed.Layout {
	return testbed.Layout{
		Seed:  seed,
		Zones: testbed.ThreeZones(),
		Hosts: coldHosts,
		Services: []testbed.ServiceLayout{{
			Name:        "licences",
			Shards:      shards,
			Replicas:    replicas,
			Connections: 90,
			Policy:      release.Policy{Deadline: time.Second, MinCoverage: 1, HedgeBudget: maxExtraLoad},
			Behaviour: standin.Behaviour{
				Latency:    10 * time.Millisecond,
				Jitter:     5 * time.Millisecond,
				Slots:      slots,
				ColdBudget: coldBudget,
				Warming:    standin.Warming{Requests: coldRequests, FallsOver: true, Down: coldDown},
			},
		}},
		Callers:    10,
		CallerRate: 1000,
	}
}

// licencesLoad is a load on the licences of the testbed at a rate, in queries a second.
func licencesLoad(bed *testbed.Testbed, rate float64, lasts time.Duration) *load.Config {
	return &load.Config{
		Fronts:  bed.Fronts(),
		Mix:     []load.Share{{Service: "licences", Keys: []string{testbed.Key(0), testbed.Key(1)}, Weight: 1}},
		Rate:    rate,
		Queries: int(lasts.Seconds() * rate),
		Seed:    bed.Layout.Seed,
		Limit:   10,
	}
}

func coldRun(seed uint64, warmUp bool, limit time.Duration) (*coldOutcome, error) {
	bed, err := testbed.Start(licencesLayout(seed, 1, coldReplicas, coldSlots), testbed.Options{Adjust: func(_ int, s *settings.Settings) {
		s.Policy.NoWarmUp = !warmUp
		s.Listen.Mesh = ""
	}})
	if err != nil {
		return nil, err
	}
	defer bed.Stop()
	wait, err := inBackground(licencesLoad(bed, coldRate, coldSettle+target.TurnLength+limit))
	if err != nil {
		return nil, err
	}
	time.Sleep(coldSettle + phaseOf(seed))
	restarting := bed.Targets["licences-0-0"]
	restarting.Restart(coldDown)
	restarted := time.Now()
	out := &coldOutcome{}
	for time.Since(restarted) < limit {
		time.Sleep(coldPollTime)
		if out.warm == 0 && restarting.Report().Warmed > 0 && warmEverywhere(bed, "licences-0-0") {
			out.warm = time.Since(restarted)
		}
	}
	if out.load, err = wait(); err != nil {
		return nil, err
	}
	out.report = restarting.Report()
	return out, nil
}

// phaseOf draws the phase of a turn at which the target restarts.
func phaseOf(seed uint64) time.Duration {
	rng := rand.New(rand.NewPCG(seed, 0))
	begin := time.Duration(rng.Int64N(int64(target.TurnLength)))
	now := time.Duration(time.Now().UnixNano()) % target.TurnLength
	return (begin - now + target.TurnLength) % target.TurnLength
}

func warmEverywhere(bed *testbed.Testbed, name string) bool {
	for _, n := range bed.Nodes {
		for _, t := range n.Status().Targets {
			if t.Target == name && (t.Cold || t.Incarnation < 2) {
				return false
			}
		}
	}
	return true
}

// inBackground starts a run of the load; wait blocks until its end.
func inBackground(c *load.Config) (wait func() (*load.Report, error), err error) {
	worker, err := duty.NewWorkers(1)
	if err != nil {
		return nil, err
	}
	type end struct {
		report *load.Report
		err    error
	}
	ended := make(chan end, 1)
	err = worker.Submit(func() {
		report, err := load.Run(c)
		ended <- end{report, err}
	})
	if err != nil {
		return nil, err
	}
	return func() (*load.Report, error) {
		defer worker.Close()
		e := <-ended
		return e.report, e.err
	}, nil
}
