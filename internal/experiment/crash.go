package experiment

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/callerapi"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

func init() {
	register(Experiment{
		Name:    "crash",
		Summary: "a query that crashes every target that runs it, sent repeatedly through all hosts during background load; baseline: no canary",
		Run:     runCrash,
	})
}

const (
	crashHosts            = 9
	crashShards           = 20
	crashReplicas         = 2
	crashClients          = 16
	crashQueriesPerClient = 20
	// crashBodiesPerClient is the number of different bodies that a background client sends.
	crashBodiesPerClient = 10
	crashPoisonSends     = 12
	crashPoisonInterval  = 50 * time.Millisecond
	crashDeadline        = 500 * time.Millisecond
	crashDowntime        = 500 * time.Millisecond
	crashThinkTime       = 30 * time.Millisecond
	crashMarker          = "boom"
	// maxTargetCrashes bounds the target crashes while all hosts are connected.
	maxTargetCrashes = 2
	// maxBackgroundSends bounds the attempts of a background client at one query.
	maxBackgroundSends     = 3
	maxCrashLatencyMicros  = int64(time.Minute / time.Microsecond)
	crashSignificantDigits = 3
)

func runCrash(seed uint64) (*Outcome, error) {
	baseline, err := measureCrash(seed, false, true)
	if err != nil {
		return nil, err
	}
	noCrashBaseline, err := measureCrash(seed, false, false)
	if err != nil {
		return nil, err
	}
	noCrashCanary, err := measureCrash(seed, true, false)
	if err != nil {
		return nil, err
	}
	canary, err := measureCrash(seed, true, true)
	if err != nil {
		return nil, err
	}
	return &Outcome{
		Baseline: Values{"crashing": baseline.values(), "no_crash_all_at_once": noCrashBaseline.values()},
		Result:   Values{"crashing": canary.values(), "no_crash_canary": noCrashCanary.values()},
		Bound:    Values{"deaths_max": maxTargetCrashes, "innocent_failed_max": 0, "baseline_deaths_min": maxTargetCrashes + 1},
		Holds:    canary.targetCrashes <= maxTargetCrashes && canary.backgroundFailed == 0 && baseline.targetCrashes > maxTargetCrashes,
	}, nil
}

// crashReport summarizes one run.
type crashReport struct {
	targetCrashes int
	quarantined   int
	// backgroundFailed counts background queries whose last attempt was not answered,
	// backgroundResent those that were sent more than once.
	backgroundQueries int
	backgroundFailed  int
	backgroundResent  int
	reasons           map[string]int
	// newBodyLatency covers the first query with a body, knownBodyLatency later ones; both
	// are in microseconds.
	newBodyLatency, knownBodyLatency *hdrhistogram.Histogram
}

func (r *crashReport) values() Values {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return Values{
		"target_deaths": r.targetCrashes, "crashing_quarantined": r.quarantined,
		"innocents": r.backgroundQueries, "innocents_failed": r.backgroundFailed, "innocents_sent_again": r.backgroundResent, "reasons": r.reasons,
		"new_body_p50_ms": ms(r.newBodyLatency, 50), "new_body_p99_ms": ms(r.newBodyLatency, 99),
		"known_body_p50_ms": ms(r.knownBodyLatency, 50), "known_body_p99_ms": ms(r.knownBodyLatency, 99),
	}
}

// crashWorkload is one run: background clients, and one client that sends poison queries.
type crashWorkload struct {
	bed    *testbed.Testbed
	client *callerclient.Client

	mu     sync.Mutex
	report crashReport
}

func crashLayout(seed uint64, canary bool) testbed.Layout {
	return testbed.Layout{
		Seed: seed, Zones: testbed.ThreeZones(), Hosts: crashHosts, Callers: 1, CallerRate: 100_000,
		Services: []testbed.ServiceLayout{{
			Name: "portal", Shards: crashShards, Replicas: crashReplicas, MaxConnections: 110,
			Policy: release.Policy{Deadline: crashDeadline, MinCoverage: 1, HedgeBudget: 0.05, Canary: canary},
			Behavior: standin.Behavior{
				Latency: 5 * time.Millisecond, Jitter: 2 * time.Millisecond, Slots: 64, ColdBudget: 64,
				Crash: standin.Crash{Marker: crashMarker, Downtime: crashDowntime},
			},
		}},
	}
}

func measureCrash(seed uint64, canary, crashing bool) (*crashReport, error) {
	bed, err := testbed.Start(crashLayout(seed, canary), testbed.Options{AdjustSettings: func(_ int, s *settings.Settings) {
		s.Platform.MaxWait = platformWatchTimeout
	}})
	if err != nil {
		return nil, err
	}
	defer bed.Stop()
	if err := bed.AwaitReady(); err != nil {
		return nil, err
	}
	client, err := callerclient.New()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	w := &crashWorkload{bed: bed, client: client, report: crashReport{
		reasons:          map[string]int{},
		newBodyLatency:   hdrhistogram.New(1, maxCrashLatencyMicros, crashSignificantDigits),
		knownBodyLatency: hdrhistogram.New(1, maxCrashLatencyMicros, crashSignificantDigits),
	}}
	return w.run(seed, crashing)
}

func (w *crashWorkload) run(seed uint64, crashing bool) (*crashReport, error) {
	wait, err := startClients(crashClients+1, seed, func(rng *rand.Rand, i int) {
		switch {
		case i < crashClients:
			w.runBackgroundClient(rng, i)
		case crashing:
			w.sendPoisonQueries()
		}
	})
	if err != nil {
		return nil, err
	}
	wait()
	for _, target := range w.bed.Targets {
		w.report.targetCrashes += target.CrashCount()
	}
	return &w.report, nil
}

// sendPoisonQueries sends a query that crashes targets through one host after the other.
func (w *crashWorkload) sendPoisonQueries() {
	fronts := w.bed.FrontAddresses()
	for i := range crashPoisonSends {
		time.Sleep(crashPoisonInterval)
		answer, _, err := w.client.Query(fronts[i%len(fronts)], testbed.CallerKey(0), "portal", &callerapi.QueryRequest{Query: crashMarker, Limit: 1})
		if err == nil && answer.Code == result.Quarantined {
			w.update(func(r *crashReport) { r.quarantined++ })
		}
	}
}

// runBackgroundClient sends queries that do not crash targets and records their latency.
func (w *crashWorkload) runBackgroundClient(rng *rand.Rand, client int) {
	fronts := w.bed.FrontAddresses()
	sent := map[int]bool{}
	for range crashQueriesPerClient {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(crashThinkTime)))
		n := rng.IntN(crashBodiesPerClient)
		body := &callerapi.QueryRequest{Query: fmt.Sprintf("body %d of client %d", n, client), Limit: 1}
		start := time.Now()
		code, detail, sends := w.queryUntilOK(rng, fronts, body)
		elapsed := time.Since(start).Microseconds()
		w.update(func(r *crashReport) {
			r.backgroundQueries++
			h := r.knownBodyLatency
			if !sent[n] {
				h = r.newBodyLatency
			}
			_ = h.RecordValue(min(elapsed, maxCrashLatencyMicros))
			if sends > 1 {
				r.backgroundResent++
			}
			if code != result.OK {
				r.backgroundFailed++
				r.reasons[fmt.Sprintf("%s: %s", code, detail)]++
			}
		})
		sent[n] = true
	}
}

// queryUntilOK sends a query until it is answered, at most maxBackgroundSends times.
func (w *crashWorkload) queryUntilOK(rng *rand.Rand, fronts []string, body *callerapi.QueryRequest) (code result.Code, detail string, sends int) {
	for sends < maxBackgroundSends {
		sends++
		answer, _, err := w.client.Query(fronts[rng.IntN(len(fronts))], testbed.CallerKey(0), "portal", body)
		if err != nil {
			code, detail = result.OutcomeUnknown, "connection lost"
			continue
		}
		code, detail = answer.Code, answer.Detail
		if code == result.OK {
			break
		}
	}
	return code, detail, sends
}

func (w *crashWorkload) update(f func(*crashReport)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.report)
}
