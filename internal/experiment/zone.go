package experiment

import (
	"math/rand/v2"
	"strings"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/loadgen"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

func init() {
	register(Experiment{
		Name:    "zone",
		Summary: "an availability zone is evacuated and returns cold under load on nine hosts; baseline: no warm-up ramp",
		Run:     runZone,
	})
}

const (
	zoneShards = 4
	// zoneQueryRate is in queries per second.
	zoneQueryRate = 100
	// zoneSettleTime is the time before the zone is evacuated, zoneOutTime the time from
	// then until its targets restart.
	zoneSettleTime = 3 * time.Second
	zoneOutTime    = 4 * time.Second
	// maxEvacuationTime bounds the time from the note until the last request starts in the
	// zone.
	maxEvacuationTime = 2 * time.Second
	zoneBaselineTime  = 6 * time.Second
	zoneSlots         = 8
)

// zoneOutcome is the measurement of one run.
type zoneOutcome struct {
	load *loadgen.Report
	// evacuationTime is the time from the note until the last request started in the zone,
	// negative if that was before the note. servedBefore counts the requests that started
	// there before the targets restarted.
	evacuationTime   time.Duration
	servedBefore     uint64
	overloadRestarts int
	coldPeak         int
	// warmTime is the time from the return of the zone until every host treats all of its
	// targets as warm, or 0 if that did not happen within the run.
	warmTime time.Duration
}

func runZone(seed uint64) (*Outcome, error) {
	ramped, err := measureZone(seed, true, maxWarmTime)
	if err != nil {
		return nil, err
	}
	baseline, err := measureZone(seed, false, zoneBaselineTime)
	if err != nil {
		return nil, err
	}
	fullyAnswered := ramped.load.Answered == ramped.load.Queries && ramped.load.CoverageMean == 1
	return &Outcome{
		Baseline: baseline.values(),
		Result:   ramped.values(),
		Bound:    Values{"stop_s_max": maxEvacuationTime.Seconds(), "falls_max": 0, "cold_peak_max": coldBudget, "warm_s_max": maxWarmTime.Seconds(), "coverage_mean_min": 1, "unanswered_max": 0},
		Holds:    fullyAnswered && ramped.servedBefore > 0 && ramped.evacuationTime <= maxEvacuationTime && ramped.overloadRestarts == 0 && ramped.coldPeak <= coldBudget && ramped.warmTime > 0,
	}, nil
}

func (o *zoneOutcome) values() Values {
	return Values{
		"stop_s":        o.evacuationTime.Seconds(),
		"served_before": o.servedBefore,
		"falls":         o.overloadRestarts,
		"cold_peak":     o.coldPeak,
		"warm_s":        o.warmTime.Seconds(),
		"queries":       o.load.Queries,
		"answered":      o.load.Answered,
		"failed":        o.load.Failed,
		"refusals":      o.load.Refusals,
		"coverage_mean": o.load.CoverageMean,
		"p99_ms":        o.load.P99MS,
	}
}

func measureZone(seed uint64, warmUp bool, limit time.Duration) (*zoneOutcome, error) {
	bed, err := testbed.Start(licencesLayout(seed, zoneShards, len(testbed.ThreeZones()), zoneSlots), testbed.Options{AdjustSettings: func(_ int, s *settings.Settings) { s.Policy.NoWarmUp = !warmUp }})
	if err != nil {
		return nil, err
	}
	defer bed.Stop()
	wait, err := startLoad(licencesLoad(bed, zoneQueryRate, zoneSettleTime+zoneOutTime+limit))
	if err != nil {
		return nil, err
	}
	out := &zoneOutcome{}
	time.Sleep(zoneSettleTime + time.Duration(rand.New(rand.NewPCG(seed, 1)).Int64N(int64(time.Second))))
	zone := bed.Layout.Zones[0]
	targets := targetsInZone(bed, zone.Name)
	published := time.Now()
	setZoneOut(bed, zone, true)
	time.Sleep(zoneOutTime)
	out.evacuationTime = -zoneSettleTime
	for _, t := range targets {
		r := t.Report()
		out.evacuationTime = max(out.evacuationTime, r.LastStart.Sub(published))
		out.servedBefore += r.Served
		t.Restart(0)
	}
	time.Sleep(coldDowntime)
	setZoneOut(bed, zone, false)
	restored := time.Now()
	for time.Since(restored) < limit {
		time.Sleep(coldPollInterval)
		if out.warmTime == 0 && allTargetsWarm(bed, targets) {
			out.warmTime = time.Since(restored)
		}
	}
	if out.load, err = wait(); err != nil {
		return nil, err
	}
	for _, t := range targets {
		r := t.Report()
		out.overloadRestarts += r.OverloadRestarts
		out.coldPeak = max(out.coldPeak, r.ColdPeakRunning)
	}
	return out, nil
}

// setZoneOut publishes a note that evacuates the zone or restores it.
func setZoneOut(bed *testbed.Testbed, zone release.Zone, out bool) {
	zone.OutOfService = out
	bed.PublishChange(release.Item{Op: release.Change, Zone: &zone})
}

// targetsInZone returns the targets of the service licences in a zone.
func targetsInZone(bed *testbed.Testbed, zone string) []*standin.Target {
	var targets []*standin.Target
	for name, t := range bed.Targets {
		if strings.HasPrefix(name, "licences-") && bed.ZoneOf(name) == zone {
			targets = append(targets, t)
		}
	}
	return targets
}

// allTargetsWarm reports whether the targets are warm and all hosts treat them as warm.
func allTargetsWarm(bed *testbed.Testbed, targets []*standin.Target) bool {
	for _, t := range targets {
		if t.Report().Cold || !warmOnAllHosts(bed, t.Name) {
			return false
		}
	}
	return true
}
