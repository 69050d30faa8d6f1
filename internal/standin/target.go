// Package standin plays the outside systems: targets and the platform. It speaks their
// published protocols (docs/TARGET-PROTOCOL.md, docs/PLATFORM-INTERFACE.md).
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"pollentack.example/pollentack/internal/edge/httpd"
	"pollentack.example/pollentack/internal/targetapi"
)

// Behaviour is how a stand-in target acts; it may be changed while it runs.
type Behaviour struct {
	// Latency is the usual time to answer, Jitter the spread added to it.
	Latency time.Duration
	Jitter  time.Duration
	// Spread is the mean of an exponential part of the time to answer.
	Spread time.Duration
	// SlowShare of the requests take SlowFactor times as long.
	SlowShare  float64
	SlowFactor float64
	Slots      int
	ColdBudget int
	Cold       bool
	Leaving    bool
	Warming    Warming
	Faults     Faults
	Runs       RunFaults
	Crash      Crash
}

// Target is one stand-in target.
type Target struct {
	Name string

	mu          sync.Mutex
	behaviour   Behaviour
	rng         *rand.Rand
	incarnation uint64
	running     int
	served      uint64
	cold        coldCounts
	lastBegan   time.Time
	cancels     map[targetapi.AttemptRef]chan struct{}
	ledger      *Ledger
	deaths      int

	listener *restartListener
	server   *httpd.Server
}

// StartTarget listens on address, where port 0 takes a free one.
func StartTarget(name, address string, seed uint64, b Behaviour) (*Target, error) {
	t := &Target{
		Name:        name,
		behaviour:   b,
		rng:         rand.New(rand.NewPCG(seed, hash(name))),
		incarnation: 1,
		cancels:     map[targetapi.AttemptRef]chan struct{}{},
		ledger:      NewLedger(),
	}
	listener, err := listenRestartable(address)
	if err != nil {
		return nil, fmt.Errorf("target %q: %w", name, err)
	}
	t.listener = listener
	s, err := httpd.Serve(listener, httpd.Limits{BodyBytes: maxBody}, t.routes)
	if err != nil {
		return nil, fmt.Errorf("target %q: %w", name, err)
	}
	t.server = s
	return t, nil
}

const maxBody = 4 << 20

// Address returns where the target listens.
func (t *Target) Address() string { return t.server.Address() }

// Stop ends the target at once.
func (t *Target) Stop() { t.server.Close() }

func (t *Target) routes(h *server.Hertz) {
	h.POST(targetapi.PathSearch, t.search)
	h.POST(targetapi.PathCancel, t.cancel)
	h.POST(targetapi.PathRun, t.run)
	h.GET(targetapi.PathHealth, t.health)
}

func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

func (t *Target) search(_ context.Context, c *app.RequestContext) {
	var req targetapi.SearchRequest
	if err := json.Unmarshal(c.Request.Body(), &req); err != nil {
		c.JSON(http.StatusBadRequest, targetapi.SearchReply{Status: targetapi.StatusBadRequest})
		return
	}
	if expired(req.NotAfterMicros) {
		c.JSON(http.StatusServiceUnavailable, t.reply(targetapi.StatusCold, &req))
		return
	}
	if t.denies(&req) {
		c.JSON(http.StatusGone, t.reply(targetapi.StatusSnapshotGone, &req))
		return
	}
	job, ok := t.begin(req.Attempt)
	if !ok {
		c.JSON(http.StatusServiceUnavailable, t.reply(targetapi.StatusShed, &req))
		return
	}
	defer t.end(req.Attempt, &job)
	if t.crashes(req.Body) {
		return
	}
	limit := timeLeft(&req)
	timer := time.NewTimer(min(job.work, limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		if job.work > limit {
			c.JSON(http.StatusGatewayTimeout, t.reply(targetapi.StatusDeadline, &req))
			return
		}
		job.answered = true
		c.JSON(http.StatusOK, t.reply(targetapi.StatusOK, &req))
	case <-job.cancelled:
		c.JSON(http.StatusGone, t.reply(targetapi.StatusCancelled, &req))
	}
}

// job is one request that the target runs.
type job struct {
	work        time.Duration
	cancelled   chan struct{}
	incarnation uint64
	answered    bool
}

// begin takes a slot and draws how long the request will take.
func (t *Target) begin(ref targetapi.AttemptRef) (job, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := &t.behaviour
	t.warmByTime()
	capacity := b.Slots
	if b.Cold {
		capacity = b.ColdBudget
	}
	if t.running >= capacity {
		t.overloaded()
		return job{}, false
	}
	t.running++
	t.served++
	t.countBegin()
	work := b.Latency
	if b.Jitter > 0 {
		work += time.Duration(t.rng.Int64N(int64(b.Jitter)))
	}
	if b.Spread > 0 {
		work += time.Duration(t.rng.ExpFloat64() * float64(b.Spread))
	}
	if t.rng.Float64() < b.SlowShare {
		work = time.Duration(float64(work) * b.SlowFactor)
	}
	ch := make(chan struct{})
	t.cancels[ref] = ch
	return job{work: work, cancelled: ch, incarnation: t.incarnation}, true
}

// end frees the slot, but for one of an incarnation that is gone.
func (t *Target) end(ref targetapi.AttemptRef, j *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j.incarnation != t.incarnation {
		return
	}
	t.running--
	delete(t.cancels, ref)
	if j.answered {
		t.warmByRequest()
	}
}

func (t *Target) reply(status string, req *targetapi.SearchRequest) targetapi.SearchReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := targetapi.SearchReply{
		Attempt:     req.Attempt,
		Target:      t.Name,
		Status:      status,
		Incarnation: t.incarnation,
		Cold:        t.behaviour.Cold,
		Leaving:     t.behaviour.Leaving,
	}
	if status == targetapi.StatusOK {
		r.Version, r.Layout, r.Shard = req.Version, req.Layout, req.Shard
		r.Hits = hitsFor(req)
		r.Count = len(r.Hits)
		if t.behaviour.Faults.faulty() {
			t.spoil(&r)
		}
	}
	return r
}

// hitsFor makes the documents of a shard up from the query, the same on every replica.
func hitsFor(req *targetapi.SearchRequest) []targetapi.Hit {
	hits := make([]targetapi.Hit, req.Limit)
	rng := rand.New(rand.NewPCG(hash(req.Body), uint64(req.Shard)))
	for i := range hits {
		hits[i] = targetapi.Hit{
			Doc:   fmt.Sprintf("%s-%d-%d", req.Service, req.Shard, i),
			Score: rng.Float64(),
			Title: fmt.Sprintf("document %d of shard %d", i, req.Shard),
		}
	}
	return hits
}

func (t *Target) cancel(_ context.Context, c *app.RequestContext) {
	var ref targetapi.AttemptRef
	if err := json.Unmarshal(c.Request.Body(), &ref); err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if ch, ok := t.cancels[ref]; ok {
		delete(t.cancels, ref)
		close(ch)
	}
	c.Status(http.StatusNoContent)
}

func (t *Target) health(_ context.Context, c *app.RequestContext) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmByTime()
	if lie := t.behaviour.Faults.HealthLie; lie != nil {
		c.JSON(http.StatusOK, lie)
		return
	}
	c.JSON(http.StatusOK, targetapi.HealthReply{
		Snapshots:   t.behaviour.Faults.Holds,
		Incarnation: t.incarnation,
		Cold:        t.behaviour.Cold,
		Leaving:     t.behaviour.Leaving,
		Running:     t.running,
	})
}

// Change applies f to the target's behaviour.
func (t *Target) Change(f func(*Behaviour)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.behaviour)
}
