package targetclient

import (
	"time"

	"go.opentelemetry.io/otel/attribute"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/targetapi"
)

// runOutcomes holds the outcomes of the statuses that state whether the request ran. Any other
// status is Lost.
var runOutcomes = map[string]engine.Outcome{
	targetapi.StatusOK:     engine.Answered,
	targetapi.StatusShed:   engine.Shed,
	targetapi.StatusCold:   engine.ColdRefused,
	targetapi.StatusNotRun: engine.Shed,
}

// Run makes one attempt to run a request that may not be repeated, and returns the result.
// It sends the request at most once.
func (c *Client) Run(s *engine.RunSend) *engine.RunResult {
	var answer targetapi.RunReply
	result := c.exchange(&exchange{
		spec:           s.Spec,
		guard:          &s.Guard,
		deadline:       s.Deadline,
		path:           targetapi.PathRun,
		spanName:       "run",
		traceParent:    s.TraceParent,
		spanAttributes: []attribute.KeyValue{attribute.Int("try", int(s.Try))},
		request:        func(left time.Duration) any { return runRequest(s, left) },
		classify:       func() engine.Outcome { return runOutcome(&answer) },
	}, &answer)
	reply := &engine.RunResult{
		Run:                s.Run,
		Try:                s.Try,
		Target:             s.Target,
		Outcome:            result.outcome,
		ClaimedIncarnation: result.reportedIncarnation,
		Disconnected:       result.disconnected,
		Elapsed:            result.elapsed,
	}
	if result.replied {
		reply.Incarnation = answer.Incarnation
		reply.Cold = answer.Cold
		reply.Leaving = answer.Leaving
		reply.Output = []byte(answer.Output)
	}
	return reply
}

func runRequest(s *engine.RunSend, left time.Duration) *targetapi.RunRequest {
	return &targetapi.RunRequest{
		ID:             targetapi.RequestID(s.Ticket),
		Service:        s.Service,
		Body:           string(s.Body),
		DeadlineMicros: left.Microseconds(),
		NotAfterMicros: s.NotAfter.Microseconds(),
	}
}

func runOutcome(answer *targetapi.RunReply) engine.Outcome {
	if outcome, ok := runOutcomes[answer.Status]; ok {
		return outcome
	}
	return engine.Lost
}
