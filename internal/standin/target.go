// Package standin implements stand-ins for the external systems, the targets and the
// platform, for tests and experiments. They implement the published protocols
// (docs/TARGET-PROTOCOL.md, docs/PLATFORM-INTERFACE.md).
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

// Behavior configures a stand-in target. Target.UpdateBehavior modifies it while the target
// runs.
type Behavior struct {
	// Latency is the minimum time to answer a request. A uniformly distributed time below
	// Jitter is added to it.
	Latency time.Duration
	Jitter  time.Duration
	// ExponentialMean is the mean of an exponentially distributed time that is added too.
	ExponentialMean time.Duration
	// SlowShare is the share of requests that take SlowFactor times as long.
	SlowShare  float64
	SlowFactor float64
	// Slots is the maximum number of concurrent requests, ColdBudget that of a cold target.
	Slots      int
	ColdBudget int
	Cold       bool
	Leaving    bool
	WarmUp     WarmUp
	Faults     Faults
	RunFaults  RunFaults
	Crash      Crash
}

// Target is one stand-in target.
type Target struct {
	Name string

	mu          sync.Mutex
	behavior    Behavior
	rng         *rand.Rand
	incarnation uint64
	running     int
	served      uint64
	cold        coldStats
	lastStart   time.Time
	cancels     map[targetapi.AttemptRef]chan struct{}
	executions  *ExecutionCounter
	crashCount  int

	listener *restartableListener
	server   *httpd.Server
}

// StartTarget starts a target on address; port 0 selects a free port. The random numbers of
// the target follow from seed and name.
func StartTarget(name, address string, seed uint64, b Behavior) (*Target, error) {
	t := &Target{
		Name:        name,
		behavior:    b,
		cold:        coldStats{start: time.Now()},
		rng:         rand.New(rand.NewPCG(seed, hash(name))),
		incarnation: 1,
		cancels:     map[targetapi.AttemptRef]chan struct{}{},
		executions:  NewExecutionCounter(),
	}
	listener, err := listenRestartable(address)
	if err != nil {
		return nil, fmt.Errorf("start stand-in target %q: %w", name, err)
	}
	t.listener = listener
	s, err := httpd.Serve(listener, httpd.Options{MaxBodyBytes: maxBodyBytes}, t.routes)
	if err != nil {
		return nil, fmt.Errorf("start stand-in target %q: %w", name, err)
	}
	t.server = s
	return t, nil
}

const maxBodyBytes = 4 << 20

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.server.Address() }

// Stop stops the target immediately.
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
		c.JSON(http.StatusServiceUnavailable, t.newReply(targetapi.StatusCold, &req))
		return
	}
	if t.lacksSnapshot(&req) {
		c.JSON(http.StatusGone, t.newReply(targetapi.StatusSnapshotGone, &req))
		return
	}
	job, ok := t.startJob(req.Attempt)
	if !ok {
		c.JSON(http.StatusServiceUnavailable, t.newReply(targetapi.StatusShed, &req))
		return
	}
	defer t.finishJob(req.Attempt, &job)
	if t.crashIfMarked(req.Body) {
		return
	}
	limit := workLimit(&req)
	timer := time.NewTimer(min(job.duration, limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		if job.duration > limit {
			c.JSON(http.StatusGatewayTimeout, t.newReply(targetapi.StatusDeadline, &req))
			return
		}
		job.answered = true
		c.JSON(http.StatusOK, t.newReply(targetapi.StatusOK, &req))
	case <-job.cancelled:
		c.JSON(http.StatusGone, t.newReply(targetapi.StatusCancelled, &req))
	}
}

// job is a request that the target is running.
type job struct {
	duration    time.Duration
	cancelled   chan struct{}
	incarnation uint64
	answered    bool
}

// startJob takes a slot and draws the duration of the request. It returns false if no slot
// is free.
func (t *Target) startJob(ref targetapi.AttemptRef) (job, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := &t.behavior
	t.checkWarmUpTime()
	capacity := b.Slots
	if b.Cold {
		capacity = b.ColdBudget
	}
	if t.running >= capacity {
		t.recordShed()
		return job{}, false
	}
	t.running++
	t.served++
	t.recordStart()
	duration := b.Latency
	if b.Jitter > 0 {
		duration += time.Duration(t.rng.Int64N(int64(b.Jitter)))
	}
	if b.ExponentialMean > 0 {
		duration += time.Duration(t.rng.ExpFloat64() * float64(b.ExponentialMean))
	}
	if t.rng.Float64() < b.SlowShare {
		duration = time.Duration(float64(duration) * b.SlowFactor)
	}
	ch := make(chan struct{})
	t.cancels[ref] = ch
	return job{duration: duration, cancelled: ch, incarnation: t.incarnation}, true
}

// finishJob frees the slot, unless the target has restarted since the job started.
func (t *Target) finishJob(ref targetapi.AttemptRef, j *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j.incarnation != t.incarnation {
		return
	}
	t.running--
	delete(t.cancels, ref)
	if j.answered {
		t.recordAnswer()
	}
}

func (t *Target) newReply(status string, req *targetapi.SearchRequest) targetapi.SearchReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := targetapi.SearchReply{
		Attempt:     req.Attempt,
		Target:      t.Name,
		Status:      status,
		Incarnation: t.incarnation,
		Cold:        t.behavior.Cold,
		Leaving:     t.behavior.Leaving,
	}
	if status == targetapi.StatusOK {
		r.Version, r.Layout, r.Shard = req.Version, req.Layout, req.Shard
		r.Hits = hitsFor(req)
		r.Count = len(r.Hits)
		if t.behavior.Faults.corruptsReplies() {
			t.corrupt(&r)
		}
	}
	return r
}

// hitsFor generates the hits of a shard from the query body; all replicas return the same.
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
	t.checkWarmUpTime()
	if override := t.behavior.Faults.HealthOverride; override != nil {
		c.JSON(http.StatusOK, override)
		return
	}
	c.JSON(http.StatusOK, targetapi.HealthReply{
		Snapshots:   t.behavior.Faults.Snapshots,
		Incarnation: t.incarnation,
		Cold:        t.behavior.Cold,
		Leaving:     t.behavior.Leaving,
		Running:     t.running,
	})
}

// UpdateBehavior applies f to the target's behavior.
func (t *Target) UpdateBehavior(f func(*Behavior)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.behavior)
}
