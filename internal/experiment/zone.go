package experiment

import (
	"math/rand/v2"
	"strings"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/load"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

func init() {
	register(Experiment{
		Name:    "zone",
		Summary: "an availability zone goes out and comes back cold under load on nine hosts; baseline: no ramp",
		Run:     runZone,
	})
}

const (
	zoneShards = 4
	zoneRate   = 100
	// zoneSettle is the time before the zone goes out, zoneOut the time that it is out.
	zoneSettle = 3 * time.Second
	zoneOut    = 4 * time.Second
	// maxZoneStop bounds the time from the note to the last new work in the zone.
	maxZoneStop  = 2 * time.Second
	zoneBaseline = 6 * time.Second
	zoneSlots    = 8
)

// zoneOutcome is one run.
type zoneOutcome struct {
	load *load.Report
	// stop is the time from the note until the last work began in the zone; it is
	// negative where that was before the note. served is the work there until then.
	stop   time.Duration
	served uint64
	falls  int
	peak   int
	// warm is the time from the return until every host uses all targets of the zone.
	warm time.Duration
}

func runZone(seed uint64) (*Outcome, error) {
	ramped, err := zoneRun(seed, true, maxWarm)
	if err != nil {
		return nil, err
	}
	baseline, err := zoneRun(seed, false, zoneBaseline)
	if err != nil {
		return nil, err
	}
	served := ramped.load.Answered == ramped.load.Queries && ramped.load.CoverageMean == 1
	return &Outcome{
		Baseline: baseline.values(),
		Result:   ramped.values(),
		Bound:    Values{"stop_s_max": maxZoneStop.Seconds(), "falls_max": 0, "cold_peak_max": coldBudget, "warm_s_max": maxWarm.Seconds(), "coverage_mean_min": 1, "unanswered_max": 0},
		Holds:    served && ramped.served > 0 && ramped.stop <= maxZoneStop && ramped.falls == 0 && ramped.peak <= coldBudget && ramped.warm > 0,
	}, nil
}

func (o *zoneOutcome) values() Values {
	return Values{
		"stop_s":        o.stop.Seconds(),
		"served_before": o.served,
		"falls":         o.falls,
		"cold_peak":     o.peak,
		"warm_s":        o.warm.Seconds(),
		"queries":       o.load.Queries,
		"answered":      o.load.Answered,
		"failed":        o.load.Failed,
		"refusals":      o.load.Refusals,
		"coverage_mean": o.load.CoverageMean,
		"p99_ms":        o.load.P99MS,
	}
}

func zoneRun(seed uint64, warmUp bool, limit time.Duration) (*zoneOutcome, error) {
	bed, err := testbed.Start(licencesLayout(seed, zoneShards, len(testbed.ThreeZones()), zoneSlots), testbed.Options{Adjust: func(_ int, s *settings.Settings) { s.Policy.NoWarmUp = !warmUp }})
	if err != nil {
		return nil, err
	}
	defer bed.Stop()
	wait, err := inBackground(licencesLoad(bed, zoneRate, zoneSettle+zoneOut+limit))
	if err != nil {
		return nil, err
	}
	out := &zoneOutcome{}
	time.Sleep(zoneSettle + time.Duration(rand.New(rand.NewPCG(seed, 1)).Int64N(int64(time.Second))))
	zone := bed.Layout.Zones[0]
	targets := targetsOf(bed, zone.Name)
	noted := time.Now()
	changeZone(bed, zone, true)
	time.Sleep(zoneOut)
	out.stop = -zoneSettle
	for _, t := range targets {
		r := t.Report()
		out.stop = max(out.stop, r.LastBegan.Sub(noted))
		out.served += r.Served
		t.Restart(0)
	}
	time.Sleep(coldDown)
	changeZone(bed, zone, false)
	returned := time.Now()
	for time.Since(returned) < limit {
		time.Sleep(coldPollTime)
		if out.warm == 0 && allWarm(bed, targets) {
			out.warm = time.Since(returned)
		}
	}
	if out.load, err = wait(); err != nil {
		return nil, err
	}
	for _, t := range targets {
		r := t.Report()
		out.falls += r.Falls
		out.peak = max(out.peak, r.Peak)
	}
	return out, nil
}

func changeZone(bed *testbed.Testbed, zone release.Zone, out bool) {
	zone.Out = out
	bed.Change(release.Item{Op: release.Change, Zone: &zone})
}

// targetsOf returns the stand-ins of the targets in a zone.
func targetsOf(bed *testbed.Testbed, zone string) []*standin.Target {
	var targets []*standin.Target
	for name, t := range bed.Targets {
		if strings.HasPrefix(name, "licences-") && bed.ZoneOf(name) == zone {
			targets = append(targets, t)
		}
	}
	return targets
}

func allWarm(bed *testbed.Testbed, targets []*standin.Target) bool {
	for _, t := range targets {
		if t.Report().Cold || !warmEverywhere(bed, t.Name) {
			return false
		}
	}
	return true
}
