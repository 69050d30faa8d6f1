package targetclient

import (
	"encoding/json"

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
	begin := c.clock.Now().Mono
	left := s.Deadline - begin
	dials := c.conns.acquire(s.Spec.Address, s.Spare)
	defer c.conns.release(s.Spec.Address)
	reply := &engine.RunReply{Run: s.Run, Try: s.Try, Target: s.Target, Outcome: engine.Unsent}
	if left <= 0 {
		return reply
	}
	if needsCheck(&s.Guard, dials) {
		if held := c.checkIncarnation(s.Spec.Address, &s.Guard, left); held.outcome != 0 {
			reply.Outcome = held.outcome
			reply.ClaimedIncarnation = held.claimed
			reply.Disconnected = held.disconnected
			return reply
		}
	}
	body, err := json.Marshal(&targetapi.RunRequest{
		ID:             targetapi.RequestID(s.Ticket),
		Service:        s.Service,
		Body:           string(s.Body),
		DeadlineMicros: left.Microseconds(),
		NotAfterMicros: s.NotAfter.Microseconds(),
	})
	if err != nil {
		return reply
	}
	span := c.tracer.Start(s.TraceParent, "run", attribute.String("target", s.Spec.Name), attribute.Int("try", int(s.Try)))
	call := call{address: s.Spec.Address, path: targetapi.PathRun, body: body, timeout: left + replyGrace, traceParent: span.Context()}
	var answer targetapi.RunReply
	err = c.do(&call, &answer)
	reply.Elapsed = c.clock.Now().Mono - begin
	if err != nil {
		reply.Outcome = outcomeOfError(err)
		reply.Disconnected = disconnected(err)
	} else {
		fillRun(reply, &answer)
	}
	span.End(attribute.String("outcome", reply.Outcome.String()))
	return reply
}

func fillRun(reply *engine.RunReply, answer *targetapi.RunReply) {
	outcome, ok := runOutcomes[answer.Status]
	if !ok {
		outcome = engine.Lost
	}
	reply.Outcome = outcome
	reply.Incarnation = answer.Incarnation
	reply.Cold = answer.Cold
	reply.Leaving = answer.Leaving
	reply.Output = []byte(answer.Output)
}
