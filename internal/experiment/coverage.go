package experiment

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/load"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

func init() {
	register(Experiment{
		Name:    "coverage",
		Summary: "Dakar's and Bengal's sizes, a tenth of the portals, at 70% of the slots with one replica of each service lost; baseline: round robin, no retry",
		Run:     runCoverage,
	})
}

const (
	coverageHosts   = 9
	coverageShards  = 2
	coverageLatency = 40 * time.Millisecond
	// coverageLoad is the share of the slots that are left in use on average.
	coverageLoad   = 0.7
	coverageWarmUp = 2 * time.Second
	coverageTime   = 8 * time.Second
)

// siteService is one kind of service of a site: each target holds all its shards.
type siteService struct {
	name        string
	services    int
	targets     int
	slots       int
	connections int
	whole       bool
}

// Sites of the brief with a tenth of the twenty portals and the thirty services behind.
var (
	dakar = []siteService{
		{name: "counter-portal", services: 2, targets: 2, slots: 2, connections: 25},
		{name: "training-records", services: 3, targets: 2, slots: 2, connections: 25},
		{name: "fee-desk", services: 1, targets: 5, slots: 3, connections: 110},
		{name: "sms-reminders", services: 1, targets: 3, slots: 3, connections: 110},
	}
	bengal = []siteService{
		{name: "member-portal", services: 2, targets: 2, slots: 3, connections: 30},
		{name: "evidence-intake", services: 3, targets: 2, slots: 3, connections: 30},
		{name: "archive", services: 1, targets: 13, slots: 4, connections: 45, whole: true},
		{name: "committee-board", services: 1, targets: 6, slots: 4, connections: 45, whole: true},
	}
)

func runCoverage(seed uint64) (*Outcome, error) {
	out := &Outcome{Baseline: Values{}, Result: Values{}, Bound: Values{"coverage_mean_min": 1, "unanswered_max": 0}, Holds: true}
	sites := map[string][]siteService{"dakar": dakar, "bengal": bengal}
	for _, name := range slices.Sorted(maps.Keys(sites)) {
		baseline, err := coverageRun(seed, sites[name], true)
		if err != nil {
			return nil, err
		}
		report, err := coverageRun(seed, sites[name], false)
		if err != nil {
			return nil, err
		}
		out.Baseline[name] = coverageValues(baseline)
		out.Result[name] = coverageValues(report)
		out.Holds = out.Holds && report.Answered == report.Queries && report.CoverageMean == 1
	}
	return out, nil
}

func coverageValues(r *load.Report) Values {
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

func coverageRun(seed uint64, site []siteService, baseline bool) (*load.Report, error) {
	layout, mix, rate := coverageLayout(seed, site)
	bed, err := testbed.Start(layout, testbed.Options{Adjust: func(_ int, s *settings.Settings) {
		s.Policy.RoundRobin = baseline
		s.Policy.NoRetry = baseline
		s.Policy.Hedge = !baseline
	}})
	if err != nil {
		return nil, err
	}
	defer bed.Stop()
	config := load.Config{Fronts: bed.Fronts(), Mix: mix, Rate: rate, Seed: seed, Limit: 10}
	config.Queries = int(rate * coverageWarmUp.Seconds())
	if _, err := load.Run(&config); err != nil {
		return nil, err
	}
	for i := range layout.Services {
		bed.Targets[layout.Services[i].Name+"-0"].Stop()
	}
	config.Queries = int(rate * coverageTime.Seconds())
	return load.Run(&config)
}

// coverageLayout returns the testbed of a site, the mix of its services and the rate
// that uses coverageLoad of the slots once each service has lost a target.
func coverageLayout(seed uint64, site []siteService) (testbed.Layout, []load.Share, float64) {
	layout := testbed.Layout{Seed: seed, Zones: testbed.ThreeZones(), Hosts: coverageHosts, Callers: 10, CallerRate: 10_000}
	var mix []load.Share
	total := 0.0
	for _, kind := range site {
		slots := float64((kind.targets - 1) * kind.slots)
		rate := coverageLoad * slots / coverageLatency.Seconds() / coverageShards
		for i := range kind.services {
			name := fmt.Sprintf("%s-%d", kind.name, i+1)
			layout.Services = append(layout.Services, testbed.ServiceLayout{
				Name:        name,
				Shards:      coverageShards,
				Replicas:    kind.targets,
				Packed:      true,
				Connections: kind.connections,
				Policy:      coveragePolicy(kind.whole),
				Behaviour:   standin.Behaviour{Latency: coverageLatency, Slots: kind.slots, ColdBudget: 1},
			})
			mix = append(mix, load.Share{Service: name, Keys: []string{testbed.Key(0), testbed.Key(1), testbed.Key(2)}, Weight: rate})
			total += rate
		}
	}
	return layout, mix, total
}

func coveragePolicy(whole bool) release.Policy {
	p := release.Policy{Deadline: 2 * time.Second, MinCoverage: 1, HedgeBudget: maxExtraLoad, Criticality: release.Standard, Whole: whole}
	if whole {
		p.Deadline = 5 * time.Second
	}
	return p
}
