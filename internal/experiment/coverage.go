package experiment

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/loadgen"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

func init() {
	register(Experiment{
		Name:    "coverage",
		Summary: "the site layouts of Dakar and Bengal, with a tenth of the portals, at 70% of the slots with one replica of each service stopped; baseline: round robin, no retry",
		Run:     runCoverage,
	})
}

const (
	coverageHosts   = 9
	coverageShards  = 2
	coverageLatency = 40 * time.Millisecond
	// coverageUtilization is the mean share of the remaining slots that are in use.
	coverageUtilization = 0.7
	coverageWarmUpTime  = 2 * time.Second
	coverageMeasureTime = 8 * time.Second
)

// serviceKind describes count services of a site that are alike. Each target of a service
// holds all of its shards.
type serviceKind struct {
	name              string
	count             int
	targets           int
	slots             int
	connections       int
	allShardsRequired bool
}

// The two sites, each with a tenth of its twenty portals and thirty back-end services.
var (
	dakar = []serviceKind{
		{name: "counter-portal", count: 2, targets: 2, slots: 2, connections: 25},
		{name: "training-records", count: 3, targets: 2, slots: 2, connections: 25},
		{name: "fee-desk", count: 1, targets: 5, slots: 3, connections: 110},
		{name: "sms-reminders", count: 1, targets: 3, slots: 3, connections: 110},
	}
	bengal = []serviceKind{
		{name: "member-portal", count: 2, targets: 2, slots: 3, connections: 30},
		{name: "evidence-intake", count: 3, targets: 2, slots: 3, connections: 30},
		{name: "archive", count: 1, targets: 13, slots: 4, connections: 45, allShardsRequired: true},
		{name: "committee-board", count: 1, targets: 6, slots: 4, connections: 45, allShardsRequired: true},
	}
)

func runCoverage(seed uint64) (*Outcome, error) {
	out := &Outcome{Baseline: Values{}, Result: Values{}, Bound: Values{"coverage_mean_min": 1, "unanswered_max": 0}, Holds: true}
	sites := map[string][]serviceKind{"dakar": dakar, "bengal": bengal}
	for _, name := range slices.Sorted(maps.Keys(sites)) {
		baseline, err := measureCoverage(seed, sites[name], true)
		if err != nil {
			return nil, err
		}
		report, err := measureCoverage(seed, sites[name], false)
		if err != nil {
			return nil, err
		}
		out.Baseline[name] = coverageValues(baseline)
		out.Result[name] = coverageValues(report)
		out.Holds = out.Holds && report.Answered == report.Queries && report.CoverageMean == 1
	}
	return out, nil
}

func coverageValues(r *loadgen.Report) Values {
	return Values{
		"queries":       r.Queries,
		"answered":      r.Answered,
		"failed":        r.Failed,
		"refusals":      r.Refusals,
		"coverage_mean": r.CoverageMean,
		"extra_load":    r.ExtraLoad,
		"p99_ms":        r.P99MS,
	}
}

func measureCoverage(seed uint64, site []serviceKind, baseline bool) (*loadgen.Report, error) {
	layout, mix, rate := coverageLayout(seed, site)
	bed, err := testbed.Start(layout, testbed.Options{AdjustSettings: func(_ int, s *settings.Settings) {
		s.Policy.RoundRobin = baseline
		s.Policy.NoRetry = baseline
		s.Policy.Hedge = !baseline
	}})
	if err != nil {
		return nil, err
	}
	defer bed.Stop()
	config := loadgen.Config{Fronts: bed.FrontAddresses(), Mix: mix, QueriesPerSecond: rate, Seed: seed, MaxHits: 10}
	config.Queries = int(rate * coverageWarmUpTime.Seconds())
	if _, err := loadgen.Run(&config); err != nil {
		return nil, err
	}
	for i := range layout.Services {
		bed.Targets[layout.Services[i].Name+"-0"].Stop()
	}
	config.Queries = int(rate * coverageMeasureTime.Seconds())
	return loadgen.Run(&config)
}

// coverageLayout returns the testbed layout of a site, the traffic mix of its services
// and the query rate that uses coverageUtilization of the slots once one target of each
// service has stopped.
func coverageLayout(seed uint64, site []serviceKind) (testbed.Layout, []loadgen.MixEntry, float64) {
	layout := testbed.Layout{Seed: seed, Zones: testbed.ThreeZones(), Hosts: coverageHosts, Callers: 10, CallerRate: 10_000}
	var mix []loadgen.MixEntry
	total := 0.0
	for _, kind := range site {
		slots := float64((kind.targets - 1) * kind.slots)
		rate := coverageUtilization * slots / coverageLatency.Seconds() / coverageShards
		for i := range kind.count {
			name := fmt.Sprintf("%s-%d", kind.name, i+1)
			layout.Services = append(layout.Services, testbed.ServiceLayout{
				Name:               name,
				Shards:             coverageShards,
				Replicas:           kind.targets,
				AllShardsPerTarget: true,
				MaxConnections:     kind.connections,
				Policy:             coveragePolicy(kind.allShardsRequired),
				Behavior:           standin.Behavior{Latency: coverageLatency, Slots: kind.slots, ColdBudget: 1},
			})
			mix = append(mix, loadgen.MixEntry{Service: name, Keys: []string{testbed.CallerKey(0), testbed.CallerKey(1), testbed.CallerKey(2)}, Weight: rate})
			total += rate
		}
	}
	return layout, mix, total
}

func coveragePolicy(allShardsRequired bool) release.Policy {
	p := release.Policy{Deadline: 2 * time.Second, MinCoverage: 1, HedgeBudget: maxExtraLoad, Criticality: release.Standard, RequireAllShards: allShardsRequired}
	if allShardsRequired {
		p.Deadline = 5 * time.Second
	}
	return p
}
