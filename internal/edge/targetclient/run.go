package targetclient

import (
	"time"

	"go.opentelemetry.io/otel/attribute"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/targetapi"
)

// runOutcomes has no status that leaves open whether the request ran: those are Lost.
var runOutcomes = map[string]engine.Outcome{
	targetapi.StatusOK:     engine.Answered,
	targetapi.StatusShed:   engine.Shed,
	targetapi.StatusCold:   engine.ColdRefused,
	targetapi.StatusNotRun: engine.Shed,
}

// Run carries out one attempt to run a request and returns how it ended. It sends the
// request at most once.
func (c *Client) Run(s *engine.RunSend) *engine.RunReply {
	var answer targetapi.RunReply
	end := c.exchange(&exchange{
		spec:        s.Spec,
		guard:       &s.Guard,
		deadline:    s.Deadline,
		path:        targetapi.PathRun,
		name:        "run",
		traceParent: s.TraceParent,
		attributes:  []attribute.KeyValue{attribute.Int("try", int(s.Try))},
		request:     func(left time.Duration) any { return runRequest(s, left) },
		take:        func() engine.Outcome { return runOutcomeOf(&answer) },
	}, &answer)
	reply := &engine.RunReply{
		Run:                s.Run,
		Try:                s.Try,
		Target:             s.Target,
		Outcome:            end.outcome,
		ClaimedIncarnation: end.claimed,
		Disconnected:       end.disconnected,
		Elapsed:            end.elapsed,
	}
	if end.replied {
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

func runOutcomeOf(answer *targetapi.RunReply) engine.Outcome {
	if outcome, ok := runOutcomes[answer.Status]; ok {
		return outcome
	}
	return engine.Lost
}
