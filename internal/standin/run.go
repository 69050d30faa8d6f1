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

// RunFaults is how a stand-in target fails requests that may not be repeated.
type RunFaults struct {
	// LostShare of the requests are run, and then the connection breaks.
	LostShare float64
	// CutShare of the requests are run, and then the reply is cut short.
	CutShare float64
	// DeclineShare of the requests are answered with not_run.
	DeclineShare float64
}

// Ledger counts the executions of each request over all targets that share it.
type Ledger struct {
	mu     sync.Mutex
	counts map[targetapi.RequestID]int
	bodies map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{counts: map[targetapi.RequestID]int{}, bodies: map[string]int{}}
}

// record counts one execution and returns how many there have been of this request.
func (l *Ledger) record(req *targetapi.RunRequest) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[req.ID]++
	l.bodies[req.Body]++
	return l.counts[req.ID]
}

// Count returns the executions of a request.
func (l *Ledger) Count(id targetapi.RequestID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[id]
}

// BodyCount returns the executions of requests with this body, whatever their ID.
func (l *Ledger) BodyCount(body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bodies[body]
}

// SetLedger makes the target count its executions in l.
func (t *Target) SetLedger(l *Ledger) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger = l
}

// runShard marks the slots that runs take among those of searches.
const runShard = -1

func (t *Target) run(_ context.Context, c *app.RequestContext) {
	var req targetapi.RunRequest
	if err := json.Unmarshal(c.Request.Body(), &req); err != nil {
		c.JSON(http.StatusBadRequest, targetapi.RunReply{Status: targetapi.StatusNotRun})
		return
	}
	if expired(req.NotAfterMicros) {
		c.JSON(http.StatusServiceUnavailable, t.runReply(targetapi.StatusCold, ""))
		return
	}
	ref := targetapi.AttemptRef{Host: req.ID.Home, Query: req.ID.Serial, Shard: runShard}
	if t.draw() < t.runFaults().DeclineShare {
		c.JSON(http.StatusServiceUnavailable, t.runReply(targetapi.StatusNotRun, ""))
		return
	}
	j, ok := t.begin(ref)
	if !ok {
		c.JSON(http.StatusServiceUnavailable, t.runReply(targetapi.StatusShed, ""))
		return
	}
	defer t.end(ref, &j)
	n := t.execution(&req)
	time.Sleep(j.work)
	if t.draw() < t.runFaults().LostShare {
		_ = c.GetConn().Close()
		return
	}
	j.answered = true
	if t.draw() < t.runFaults().CutShare {
		c.Data(http.StatusOK, "application/json", []byte("{"))
		return
	}
	c.JSON(http.StatusOK, t.runReply(targetapi.StatusOK, fmt.Sprintf("%s ran %q as execution %d", t.Name, req.Body, n)))
}

func (t *Target) execution(req *targetapi.RunRequest) int {
	t.mu.Lock()
	l := t.ledger
	t.mu.Unlock()
	return l.record(req)
}

func (t *Target) runFaults() RunFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour.Runs
}

func (t *Target) draw() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Float64()
}

func (t *Target) runReply(status, output string) targetapi.RunReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return targetapi.RunReply{
		Status:      status,
		Incarnation: t.incarnation,
		Cold:        t.behaviour.Cold,
		Leaving:     t.behaviour.Leaving,
		Output:      output,
	}
}
