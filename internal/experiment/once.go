package experiment

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/callerapi"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

func init() {
	register(Experiment{
		Name:    "once",
		Summary: "requests that must run at most once while hosts are killed and replies are lost; baseline: a client that retries with a new ticket each time",
		Run:     runOnce,
	})
}

const (
	onceHosts    = 9
	onceTargets  = 5
	onceRequests = 20_000
	onceClients  = 48
	// maxOnceSends bounds how often a client sends one request.
	maxOnceSends = 6
	// onceKillInterval is the time between the restart of a host and the next kill.
	onceKillInterval   = 50 * time.Millisecond
	onceTruncatedShare = 0.05
	onceNotRunShare    = 0.05
	onceService        = "fee"
	// platformWatchTimeout bounds one watch call to the platform.
	platformWatchTimeout = 100 * time.Millisecond
)

func runOnce(seed uint64) (*Outcome, error) {
	baseline, err := measureOnce(seed, false)
	if err != nil {
		return nil, err
	}
	tickets, err := measureOnce(seed, true)
	if err != nil {
		return nil, err
	}
	return &Outcome{
		Baseline: baseline.values(),
		Result:   tickets.values(),
		Bound:    Values{"run_twice_max": 0, "false_not_run_max": 0, "baseline_run_twice_min": 1},
		Holds:    tickets.runTwice == 0 && tickets.falseNotRun == 0 && baseline.runTwice > 0,
	}, nil
}

// onceReport summarizes one run. It compares the outcomes that clients saw with the
// executions that the targets counted.
type onceReport struct {
	answered    int
	unknown     int
	notRun      int
	runTwice    int
	falseNotRun int
	resends     int
	hostKills   int
	elapsed     time.Duration
}

func (r *onceReport) values() Values {
	return Values{
		"requests":      onceRequests,
		"answered":      r.answered,
		"unknown":       r.unknown,
		"not_run":       r.notRun,
		"run_twice":     r.runTwice,
		"false_not_run": r.falseNotRun,
		"resends":       r.resends,
		"host_kills":    r.hostKills,
		"seconds":       r.elapsed.Seconds(),
	}
}

// onceWorkload is one run, in which clients resend requests while hosts are killed.
type onceWorkload struct {
	bed        *testbed.Testbed
	client     *callerclient.Client
	executions *standin.ExecutionCounter
	// reuseTicket makes resends use the first ticket; the baseline takes a new one each time.
	reuseTicket bool

	mu     sync.Mutex
	fronts []string
	report onceReport
}

func measureOnce(seed uint64, reuseTicket bool) (*onceReport, error) {
	bed, err := testbed.Start(testbed.Layout{
		Seed: seed, Zones: testbed.ThreeZones(), Hosts: onceHosts, Callers: 1, CallerRate: 100_000,
		Services: []testbed.ServiceLayout{{
			Name: onceService, Shards: 1, Replicas: onceTargets, MaxConnections: 110, AtMostOnce: true,
			Policy: release.Policy{Deadline: time.Second, MinCoverage: 1},
			Behavior: standin.Behavior{
				Latency: 5 * time.Millisecond, Jitter: 5 * time.Millisecond, Slots: 16, ColdBudget: 16,
				RunFaults: standin.RunFaults{TruncatedShare: onceTruncatedShare, NotRunShare: onceNotRunShare},
			},
		}},
	}, testbed.Options{AdjustSettings: func(_ int, s *settings.Settings) { s.Platform.MaxWait = platformWatchTimeout }})
	if err != nil {
		return nil, err
	}
	defer bed.Stop()
	client, err := callerclient.New()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	w := &onceWorkload{bed: bed, client: client, executions: standin.NewExecutionCounter(), reuseTicket: reuseTicket, fronts: bed.FrontAddresses()}
	for _, target := range bed.Targets {
		target.SetExecutionCounter(w.executions)
	}
	return w.run(seed)
}

func (w *onceWorkload) run(seed uint64) (*onceReport, error) {
	start := time.Now()
	wait, err := startClients(onceClients, seed, func(rng *rand.Rand, client int) {
		for i := client; i < onceRequests; i += onceClients {
			w.sendRequest(rng, fmt.Sprintf("request %d", i))
		}
	})
	if err != nil {
		return nil, err
	}
	if err := w.killHosts(rand.New(rand.NewPCG(seed, onceClients)), wait); err != nil {
		return nil, err
	}
	w.report.elapsed = time.Since(start)
	for i := range onceRequests {
		if w.executions.BodyCount(fmt.Sprintf("request %d", i)) > 1 {
			w.report.runTwice++
		}
	}
	return &w.report, nil
}

// killHosts kills and restarts randomly chosen hosts, one at a time, until the clients
// have finished.
func (w *onceWorkload) killHosts(rng *rand.Rand, waitForClients func()) error {
	done := make(chan struct{})
	group, err := duty.NewGroup(1, func(string, error) {})
	if err != nil {
		return err
	}
	defer group.Stop()
	wait := func() {
		waitForClients()
		close(done)
	}
	if err := group.Start(duty.Duty{Name: "await clients", Run: wait, Stop: func() {}}); err != nil {
		return err
	}
	for {
		select {
		case <-done:
			return nil
		case <-time.After(onceKillInterval):
		}
		host := rng.IntN(onceHosts)
		w.bed.KillHost(host)
		n, err := w.bed.RestartHost(host)
		if err != nil {
			return err
		}
		w.mu.Lock()
		w.fronts[host] = n.FrontAddress()
		w.report.hostKills++
		w.mu.Unlock()
	}
}

func (w *onceWorkload) randomFront(rng *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fronts[rng.IntN(len(w.fronts))]
}

// sendRequest sends a request until its outcome is known, at most maxOnceSends times.
func (w *onceWorkload) sendRequest(rng *rand.Rand, body string) {
	ticket, code := "", result.OutcomeUnknown
	for send := range maxOnceSends {
		if ticket == "" || !w.reuseTicket {
			ticket = w.fetchTicket(rng)
		}
		answer, err := w.client.Once(w.randomFront(rng), testbed.CallerKey(0), onceService, &callerapi.OnceRequest{Ticket: ticket, Body: body})
		if send > 0 {
			w.update(func(r *onceReport) { r.resends++ })
		}
		if err != nil {
			continue
		}
		code = answer.Code
		if code.Kind() != result.Unknown {
			break
		}
	}
	w.recordOutcome(code, body)
}

// recordOutcome counts the final outcome. A request that is reported as not run but that a
// target has executed counts as falseNotRun.
func (w *onceWorkload) recordOutcome(code result.Code, body string) {
	ran := w.executions.BodyCount(body) > 0
	w.update(func(r *onceReport) {
		switch code.Kind() {
		case result.Answered:
			r.answered++
		case result.NotRun:
			r.notRun++
			if ran {
				r.falseNotRun++
			}
		default:
			r.unknown++
		}
	})
}

func (w *onceWorkload) update(f func(*onceReport)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.report)
}

// maxTicketAttempts bounds the calls made to get one ticket.
const maxTicketAttempts = 20

// fetchTicket returns a ticket, or "" if no attempt got one.
func (w *onceWorkload) fetchTicket(rng *rand.Rand) string {
	for range maxTicketAttempts {
		answer, err := w.client.Ticket(w.randomFront(rng), testbed.CallerKey(0), onceService)
		if err == nil && answer.Code == result.OK {
			return answer.Ticket
		}
	}
	return ""
}
