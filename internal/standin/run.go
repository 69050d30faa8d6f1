package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"pollentack.example/pollentack/internal/targetapi"
)

// RunFaults configures how a stand-in target fails requests that must run at most once.
type RunFaults struct {
	// NoReplyShare is the share of requests that run but whose connection closes without a
	// reply.
	NoReplyShare float64
	// TruncatedShare is the share of requests that run but whose reply is truncated.
	TruncatedShare float64
	// NotRunShare is the share of requests that do not run and are answered with not_run.
	NotRunShare float64
}

// ExecutionCounter counts the executions of each request on all targets that share it.
type ExecutionCounter struct {
	mu     sync.Mutex
	counts map[targetapi.RequestID]int
	bodies map[string]int
}

// NewExecutionCounter returns a counter without executions.
func NewExecutionCounter() *ExecutionCounter {
	return &ExecutionCounter{counts: map[targetapi.RequestID]int{}, bodies: map[string]int{}}
}

// record counts one execution and returns the number of executions of this request so far.
func (c *ExecutionCounter) record(req *targetapi.RunRequest) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[req.ID]++
	c.bodies[req.Body]++
	return c.counts[req.ID]
}

// Count returns the number of executions of a request.
func (c *ExecutionCounter) Count(id targetapi.RequestID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[id]
}

// BodyCount returns the number of executions of requests with this body and any ID.
func (c *ExecutionCounter) BodyCount(body string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bodies[body]
}

// SetExecutionCounter makes the target record its executions in l.
func (t *Target) SetExecutionCounter(counter *ExecutionCounter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.executions = counter
}

// runShard is the shard in the attempt references of run requests; it keeps them distinct
// from those of searches, whose shards start at 0.
const runShard = -1

func (t *Target) run(_ context.Context, c *app.RequestContext) {
	var req targetapi.RunRequest
	if err := json.Unmarshal(c.Request.Body(), &req); err != nil {
		c.JSON(http.StatusBadRequest, targetapi.RunReply{Status: targetapi.StatusNotRun})
		return
	}
	if expired(req.NotAfterMicros) {
		c.JSON(http.StatusServiceUnavailable, t.newRunReply(targetapi.StatusCold, ""))
		return
	}
	ref := targetapi.AttemptRef{Host: req.ID.Home, Query: req.ID.Serial, Shard: runShard}
	if t.randomShare() < t.runFaults().NotRunShare {
		c.JSON(http.StatusServiceUnavailable, t.newRunReply(targetapi.StatusNotRun, ""))
		return
	}
	j, ok := t.startJob(ref)
	if !ok {
		c.JSON(http.StatusServiceUnavailable, t.newRunReply(targetapi.StatusShed, ""))
		return
	}
	defer t.finishJob(ref, &j)
	n := t.recordExecution(&req)
	time.Sleep(j.duration)
	if t.randomShare() < t.runFaults().NoReplyShare {
		_ = c.GetConn().Close()
		return
	}
	j.answered = true
	if t.randomShare() < t.runFaults().TruncatedShare {
		c.Data(http.StatusOK, "application/json", []byte("{"))
		return
	}
	c.JSON(http.StatusOK, t.newRunReply(targetapi.StatusOK, fmt.Sprintf("%s ran %q as execution %d", t.Name, req.Body, n)))
}

func (t *Target) recordExecution(req *targetapi.RunRequest) int {
	t.mu.Lock()
	counter := t.executions
	t.mu.Unlock()
	return counter.record(req)
}

func (t *Target) runFaults() RunFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behavior.RunFaults
}

func (t *Target) randomShare() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Float64()
}

func (t *Target) newRunReply(status, output string) targetapi.RunReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return targetapi.RunReply{
		Status:      status,
		Incarnation: t.incarnation,
		Cold:        t.behavior.Cold,
		Leaving:     t.behavior.Leaving,
		Output:      output,
	}
}
