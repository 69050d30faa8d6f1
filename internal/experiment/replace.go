package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

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
		Name:    "replace",
		Summary: "all nine hosts are replaced one after the other under load; baseline: processes that exit without draining",
		Run:     runReplace,
	})
}

const (
	replaceHosts       = 9
	replaceClients     = 192
	replaceConnections = 30
	// replaceThinkTime is the mean think time of a client between two requests.
	replaceThinkTime = 100 * time.Millisecond
	// maxTicketHoldTime bounds the time between taking a ticket and using it. It is long
	// enough for the ticket's home to be replaced in between.
	maxTicketHoldTime = time.Second
	replaceOnceShare  = 0.3
	// balancerLag is the delay after which the balancer acts on a changed health check.
	balancerLag = 300 * time.Millisecond
	// hostBalancerLag is the lag that draining hosts assume. It covers balancerLag, the
	// interval between two health checks and one slow check.
	hostBalancerLag = 700 * time.Millisecond
	replaceDeadline = 2 * time.Second
	replaceShards   = 10
)

func runReplace(seed uint64) (*Outcome, error) {
	baseline, err := measureReplace(seed, false)
	if err != nil {
		return nil, err
	}
	graceful, err := measureReplace(seed, true)
	if err != nil {
		return nil, err
	}
	return &Outcome{
		Baseline: baseline.values(),
		Result:   graceful.values(),
		Bound:    Values{"cut_max": 0, "refused_max": 0, "run_twice_max": 0, "connection_peak_max": replaceConnections, "baseline_cut_min": 1},
		Holds:    graceful.withinBounds() && baseline.interrupted > 0,
	}, nil
}

// replaceReport summarizes one run.
type replaceReport struct {
	requests int
	answered int
	// interrupted counts requests whose connection broke or whose outcome is unknown.
	interrupted    int
	refused        int
	outcomeChanged int
	runTwice       int
	connectionPeak int
	slowestRequest time.Duration
	elapsed        time.Duration
	reasons        map[string]int
}

func (r *replaceReport) withinBounds() bool {
	return r.interrupted == 0 && r.refused == 0 && r.outcomeChanged == 0 && r.runTwice == 0 && r.connectionPeak <= replaceConnections
}

func (r *replaceReport) values() Values {
	return Values{
		"requests":           r.requests,
		"answered":           r.answered,
		"cut":                r.interrupted,
		"refused":            r.refused,
		"outcome_changed":    r.outcomeChanged,
		"run_twice":          r.runTwice,
		"connection_peak":    r.connectionPeak,
		"slowest_request_ms": r.slowestRequest.Milliseconds(),
		"seconds":            r.elapsed.Seconds(),
		"reasons":            r.reasons,
	}
}

// replaceWorkload is one run, in which clients send requests while hosts are replaced.
type replaceWorkload struct {
	bed        *testbed.Testbed
	balancer   *testbed.Balancer
	client     *callerclient.Client
	executions *standin.ExecutionCounter
	done       chan struct{}

	mu     sync.Mutex
	report replaceReport
}

func replaceLayout(seed uint64) testbed.Layout {
	policy := release.Policy{Deadline: replaceDeadline, MinCoverage: 1, HedgeBudget: 0.05}
	behavior := standin.Behavior{Latency: 10 * time.Millisecond, Jitter: 10 * time.Millisecond, Slots: 8, ColdBudget: 8}
	return testbed.Layout{
		Seed: seed, Zones: testbed.ThreeZones(), Hosts: replaceHosts, Callers: 1, CallerRate: 100_000,
		Services: []testbed.ServiceLayout{
			{Name: "portal", Shards: replaceShards, Replicas: 2, MaxConnections: replaceConnections, Policy: policy, Behavior: behavior},
			{Name: onceService, Shards: 1, Replicas: onceTargets, MaxConnections: replaceConnections, Policy: policy, Behavior: behavior, AtMostOnce: true},
		},
	}
}

func measureReplace(seed uint64, graceful bool) (*replaceReport, error) {
	bed, err := testbed.Start(replaceLayout(seed), testbed.Options{AdjustSettings: func(_ int, s *settings.Settings) {
		s.Platform.MaxWait = platformWatchTimeout
		s.Stop.BalancerLag = hostBalancerLag
	}})
	if err != nil {
		return nil, err
	}
	defer bed.Stop()
	client, err := callerclient.New()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	balancer, err := testbed.StartBalancer(bed.FrontAddresses(), balancerLag)
	if err != nil {
		return nil, err
	}
	defer balancer.Stop()
	w := &replaceWorkload{bed: bed, balancer: balancer, client: client, executions: standin.NewExecutionCounter(), done: make(chan struct{})}
	w.report.reasons = map[string]int{}
	for _, target := range bed.Targets {
		target.SetExecutionCounter(w.executions)
	}
	return w.run(seed, graceful)
}

func (w *replaceWorkload) run(seed uint64, graceful bool) (*replaceReport, error) {
	start := time.Now()
	wait, err := startClients(replaceClients, seed, w.runClient)
	if err != nil {
		return nil, err
	}
	err = w.replaceAll(graceful)
	close(w.done)
	wait()
	w.report.elapsed = time.Since(start)
	for _, target := range w.bed.Targets {
		w.report.connectionPeak = max(w.report.connectionPeak, target.PeakConnections())
	}
	return &w.report, err
}

// replaceAll replaces the hosts one after the other. It waits until the balancer sends
// requests to the new host before it stops the next one.
func (w *replaceWorkload) replaceAll(graceful bool) error {
	for i := range replaceHosts {
		if graceful {
			w.bed.StopHost(i)
		} else {
			w.bed.KillHost(i)
		}
		n, err := w.bed.RestartHost(i)
		if err != nil {
			return err
		}
		w.balancer.Replace(i, n.FrontAddress())
		if err := w.balancer.AwaitHealthy(i); err != nil {
			return err
		}
	}
	return nil
}

// runClient sends requests until all hosts have been replaced.
func (w *replaceWorkload) runClient(rng *rand.Rand, client int) {
	for i := 0; ; i++ {
		select {
		case <-w.done:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(replaceThinkTime))):
		}
		body := fmt.Sprintf("request %d of client %d", i, client)
		if rng.Float64() < replaceOnceShare {
			w.runOnceRequest(rng, body)
			continue
		}
		start := time.Now()
		answer, _, err := w.client.Query(w.balancer.Pick(), testbed.CallerKey(0), "portal", &callerapi.QueryRequest{Query: body, Limit: 10})
		if err != nil {
			w.record(start, result.OutcomeUnknown, err.Error())
			continue
		}
		w.record(start, answer.Code, answer.Detail)
	}
}

// runOnceRequest takes a ticket and sends the same request with it twice, each time after
// a random pause, and checks that it ran at most once with one output.
func (w *replaceWorkload) runOnceRequest(rng *rand.Rand, body string) {
	start := time.Now()
	ticket, err := w.client.Ticket(w.balancer.Pick(), testbed.CallerKey(0), onceService)
	if err != nil {
		w.record(start, result.OutcomeUnknown, err.Error())
		return
	}
	w.record(start, ticket.Code, ticket.Detail)
	if ticket.Code != result.OK {
		return
	}
	outputs := make([]string, 0, 2)
	for range 2 {
		time.Sleep(time.Duration(rng.Int64N(int64(maxTicketHoldTime))))
		start = time.Now()
		answer, err := w.client.Once(w.balancer.Pick(), testbed.CallerKey(0), onceService, &callerapi.OnceRequest{Ticket: ticket.Ticket, Body: body})
		if err != nil {
			w.record(start, result.OutcomeUnknown, err.Error())
			continue
		}
		w.record(start, answer.Code, answer.Detail)
		if answer.Code == result.OK {
			outputs = append(outputs, answer.Output)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(slices.Compact(outputs)) > 1 {
		w.report.outcomeChanged++
	}
	if w.executions.BodyCount(body) > 1 {
		w.report.runTwice++
	}
}

func (w *replaceWorkload) record(start time.Time, code result.Code, detail string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &w.report
	r.requests++
	r.slowestRequest = max(r.slowestRequest, time.Since(start))
	switch code.Kind() {
	case result.Answered:
		r.answered++
		return
	case result.Unknown:
		r.interrupted++
	default:
		r.refused++
	}
	reason := fmt.Sprintf("%s: %s", code, detail)
	if _, listed := r.reasons[reason]; listed || len(r.reasons) < maxReasons {
		r.reasons[reason]++
	}
}

// maxReasons bounds the kinds of failure that replaceReport lists.
const maxReasons = 5
