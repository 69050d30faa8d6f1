// Package load drives hosts with an open loop: each query has an intended start, drawn
// from a seeded Poisson process, and its latency counts from there, so that a slow
// answer cannot hold back the queries after it.
package load

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/edge/front"
)

// Share is one part of the mix.
type Share struct {
	Service string
	// Keys are the callers' keys, drawn evenly.
	Keys   []string
	Weight float64
}

// Config is one run.
type Config struct {
	Fronts []string
	Mix    []Share
	// Rate is the mean number of queries a second.
	Rate float64
	// Queries ends the run.
	Queries int
	Seed    uint64
	// Limit is the number of hits wanted.
	Limit int
	// Timeout is the callers' own bound, 0 for the service's policy.
	Timeout time.Duration
	// OnAnswer sees every answer, from several threads; nil for none.
	OnAnswer func(*front.AnswerBody)
	// OnProgress sees the number of queries that have ended and of those that failed,
	// one call at a time; nil for none.
	OnProgress func(ended, failed int)
}

// Report is the outcome of a run.
type Report struct {
	Queries      int            `json:"queries"`
	Answered     int            `json:"answered"`
	Failed       int            `json:"failed"`
	P50MS        float64        `json:"p50_ms"`
	P99MS        float64        `json:"p99_ms"`
	P999MS       float64        `json:"p999_ms"`
	CoverageMean float64        `json:"coverage_mean"`
	ExtraLoad    float64        `json:"extra_load"`
	Refusals     map[string]int `json:"refusals"`
	// PerSecond is the rate of answers.
	PerSecond float64 `json:"answers_per_second"`
}

const (
	// maxInFlight bounds the queries in progress; one more counts as failed.
	maxInFlight       = 8192
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	microsPerMilli    = 1000
)

// Run makes the queries and blocks until all have ended.
func Run(c *Config) (*Report, error) {
	client, err := callerclient.New()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	workers, err := duty.NewWorkers(maxInFlight)
	if err != nil {
		return nil, err
	}
	defer workers.Close()
	r := &run{
		config:  c,
		client:  client,
		latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		report:  Report{Refusals: map[string]int{}},
	}
	begin := time.Now()
	r.schedule(workers, begin)
	r.inFlight.Wait()
	return r.finish(time.Since(begin)), nil
}

type run struct {
	config   *Config
	client   *callerclient.Client
	inFlight sync.WaitGroup

	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	report   Report
	coverage float64
	attempts int
	shards   int
}

func (r *run) schedule(workers *duty.Workers, begin time.Time) {
	rng := rand.New(rand.NewPCG(r.config.Seed, 0))
	due := begin
	for i := range r.config.Queries {
		due = due.Add(time.Duration(rng.ExpFloat64() / r.config.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		share := r.draw(rng)
		key := share.Keys[rng.IntN(len(share.Keys))]
		address := r.config.Fronts[rng.IntN(len(r.config.Fronts))]
		intended := due
		body := &front.QueryBody{Query: fmt.Sprintf("query %d", i), Limit: r.config.Limit, TimeoutMS: r.config.Timeout.Milliseconds()}
		r.inFlight.Add(1)
		err := workers.Submit(func() {
			defer r.inFlight.Done()
			answer, _, err := r.client.Query(address, key, share.Service, body)
			r.record(answer, err, time.Since(intended))
		})
		if err != nil {
			r.inFlight.Done()
			r.record(nil, err, 0)
		}
	}
}

func (r *run) draw(rng *rand.Rand) *Share {
	total := 0.0
	for i := range r.config.Mix {
		total += r.config.Mix[i].Weight
	}
	at := rng.Float64() * total
	for i := range r.config.Mix {
		at -= r.config.Mix[i].Weight
		if at < 0 {
			return &r.config.Mix[i]
		}
	}
	return &r.config.Mix[len(r.config.Mix)-1]
}

func (r *run) record(answer *front.AnswerBody, err error, elapsed time.Duration) {
	if err == nil && r.config.OnAnswer != nil {
		r.config.OnAnswer(answer)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Queries++
	if err != nil {
		r.report.Failed++
	}
	if r.config.OnProgress != nil {
		r.config.OnProgress(r.report.Queries, r.report.Failed)
	}
	if err != nil {
		return
	}
	if answer.Code != result.OK {
		r.report.Refusals[answer.Name]++
		return
	}
	r.report.Answered++
	r.coverage += answer.Coverage
	r.attempts += answer.Attempts
	r.shards += answer.Shards
	_ = r.latency.RecordValue(min(elapsed.Microseconds(), maxLatencyMicros))
}

func (r *run) finish(elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &r.report
	out.P50MS = r.quantile(50)
	out.P99MS = r.quantile(99)
	out.P999MS = r.quantile(99.9)
	out.PerSecond = float64(out.Answered) / elapsed.Seconds()
	if out.Answered > 0 {
		out.CoverageMean = r.coverage / float64(out.Answered)
		out.ExtraLoad = float64(r.attempts)/float64(r.shards) - 1
	}
	return out
}

func (r *run) quantile(q float64) float64 {
	return float64(r.latency.ValueAtQuantile(q)) / microsPerMilli
}
