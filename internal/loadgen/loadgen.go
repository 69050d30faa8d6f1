// Package loadgen generates open-loop load. Each query has an intended start time from a
// seeded Poisson process, and its latency is measured from that time. A slow answer does not
// delay later queries, so the latencies are free of coordinated omission.
package loadgen

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/callerapi"
	"pollentack.example/pollentack/internal/edge/callerclient"
)

// MixEntry is the share of one service in the query mix.
type MixEntry struct {
	Service string
	// Keys are the callers' keys; each query uses one of them, chosen uniformly at random.
	Keys []string
	// Weight is relative to the sum of all weights in the mix.
	Weight float64
}

// Config describes a load run.
type Config struct {
	// Fronts are the front addresses of the hosts; each query goes to one of them, chosen
	// uniformly at random.
	Fronts []string
	Mix    []MixEntry
	// QueriesPerSecond is the mean number of queries per second.
	QueriesPerSecond float64
	// Queries is the total number of queries of the run.
	Queries int
	// Seed determines the start times and the choice of service, key and host.
	Seed uint64
	// MaxHits is the maximum number of hits that each query asks for.
	MaxHits int
	// Timeout is the timeout that each query requests; 0 leaves it to the service's policy.
	Timeout time.Duration
	// OnAnswer, if not nil, is called with every answer, concurrently from several threads.
	OnAnswer func(*callerapi.QueryResponse)
	// OnProgress, if not nil, is called with the number of queries that have finished and
	// of those that failed, one call at a time.
	OnProgress func(ended, failed int)
}

// Report is the result of a load run.
type Report struct {
	Queries int `json:"queries"`
	// Answered counts the queries with an OK answer. The latencies and CoverageMean are of
	// these queries alone.
	Answered int `json:"answered"`
	// Failed counts the queries without any answer.
	Failed       int     `json:"failed"`
	P50MS        float64 `json:"p50_ms"`
	P99MS        float64 `json:"p99_ms"`
	P999MS       float64 `json:"p999_ms"`
	CoverageMean float64 `json:"coverage_mean"`
	// ExtraLoad is the number of attempts per shard beyond the first, averaged over the
	// shards of the answered queries.
	ExtraLoad float64 `json:"extra_load"`
	// Refusals counts the answers other than OK by the name of their code.
	Refusals map[string]int `json:"refusals"`
	// AnswersPerSecond is the number of answered queries per second.
	AnswersPerSecond float64 `json:"answers_per_second"`
}

const (
	// maxInFlight is the maximum number of queries in progress; a query beyond it is not
	// sent and counts as failed.
	maxInFlight       = 8192
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	microsPerMilli    = 1000
)

// Run sends the queries and blocks until all have finished.
func Run(c *Config) (*Report, error) {
	client, err := callerclient.New()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	workers, err := duty.NewWorkers(maxInFlight, nil)
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
	start := time.Now()
	r.schedule(workers, start)
	r.inFlight.Wait()
	return r.summarize(time.Since(start)), nil
}

// run is the state of a load run in progress.
type run struct {
	config   *Config
	client   *callerclient.Client
	inFlight sync.WaitGroup

	mu          sync.Mutex
	latency     *hdrhistogram.Histogram
	report      Report
	coverageSum float64
	attempts    int
	shards      int
}

// schedule sends each query at its intended start time.
func (r *run) schedule(workers *duty.Workers, start time.Time) {
	rng := rand.New(rand.NewPCG(r.config.Seed, 0))
	due := start
	for i := range r.config.Queries {
		due = due.Add(time.Duration(rng.ExpFloat64() / r.config.QueriesPerSecond * float64(time.Second)))
		time.Sleep(time.Until(due))
		entry := r.drawMixEntry(rng)
		key := entry.Keys[rng.IntN(len(entry.Keys))]
		address := r.config.Fronts[rng.IntN(len(r.config.Fronts))]
		intended := due
		body := &callerapi.QueryRequest{Query: fmt.Sprintf("query %d", i), Limit: r.config.MaxHits, TimeoutMS: r.config.Timeout.Milliseconds()}
		r.inFlight.Add(1)
		err := workers.Submit(func() {
			defer r.inFlight.Done()
			answer, _, err := r.client.Query(address, key, entry.Service, body)
			r.record(answer, err, time.Since(intended))
		})
		if err != nil {
			r.inFlight.Done()
			r.record(nil, err, 0)
		}
	}
}

// drawMixEntry picks a service of the mix at random, by weight.
func (r *run) drawMixEntry(rng *rand.Rand) *MixEntry {
	total := 0.0
	for i := range r.config.Mix {
		total += r.config.Mix[i].Weight
	}
	remaining := rng.Float64() * total
	for i := range r.config.Mix {
		remaining -= r.config.Mix[i].Weight
		if remaining < 0 {
			return &r.config.Mix[i]
		}
	}
	return &r.config.Mix[len(r.config.Mix)-1]
}

func (r *run) record(answer *callerapi.QueryResponse, err error, elapsed time.Duration) {
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
	r.coverageSum += answer.Coverage
	r.attempts += answer.Attempts
	r.shards += answer.Shards
	_ = r.latency.RecordValue(min(elapsed.Microseconds(), maxLatencyMicros))
}

func (r *run) summarize(elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &r.report
	out.P50MS = r.percentileMS(50)
	out.P99MS = r.percentileMS(99)
	out.P999MS = r.percentileMS(99.9)
	out.AnswersPerSecond = float64(out.Answered) / elapsed.Seconds()
	if out.Answered > 0 {
		out.CoverageMean = r.coverageSum / float64(out.Answered)
		out.ExtraLoad = float64(r.attempts)/float64(r.shards) - 1
	}
	return out
}

// percentileMS returns a percentile of the latency in milliseconds.
func (r *run) percentileMS(percentile float64) float64 {
	return float64(r.latency.ValueAtQuantile(percentile)) / microsPerMilli
}
