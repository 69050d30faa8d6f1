package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"google.golang.org/protobuf/proto"

	"pollentack.example/pollentack/internal/core/relay"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/await"
	"pollentack.example/pollentack/internal/edge/memory"
	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/edge/trace"
	"pollentack.example/pollentack/internal/wire"
)

// cancelTimeout is the timeout of the message that cancels a handoff at a peer.
const cancelTimeout = 500 * time.Millisecond

// handoffs sends parts of queries and single attempts to peers, and serves those that it
// receives from peers.
type handoffs struct {
	clock   sysclock.Clock
	mesh    *mesh.Mesh
	budget  *memory.Budget
	submit  func(relay.Event) bool
	put     func(relay.Event) bool
	waiters *await.Waiters[relay.Answer]
	log     zerolog.Logger
	tracer  *trace.Tracer

	transits *transits
	mu       sync.Mutex
	// outbound holds the handoffs and forwarded attempts to peers in progress, from the time when
	// they were decided on.
	outbound map[relay.HandoffID]*outboundHandoff
	// inbound holds the handoffs from peers in progress. Closing the channel cancels a handoff.
	inbound map[inboundKey]chan struct{}
}

// outboundHandoff is a handoff or a forwarded attempt on its way to a peer.
type outboundHandoff struct {
	call      *mesh.PendingCall
	decidedAt time.Duration
	// message is complete but for the times that its way to the link takes.
	message *wire.GatherCall
	// reserved are the bytes that the message takes from the budget.
	reserved int
}

// inboundKey identifies a handoff from a peer.
type inboundKey struct {
	peer string
	id   uint64
}

func newHandoffs(clk sysclock.Clock, tr *transits, m *mesh.Mesh, r *relayDuty, waiters *await.Waiters[relay.Answer], budget *memory.Budget, log zerolog.Logger, tracer *trace.Tracer) *handoffs {
	h := &handoffs{
		clock: clk, mesh: m, budget: budget, submit: r.submit, put: r.put, waiters: waiters, log: log, tracer: tracer, inbound: map[inboundKey]chan struct{}{}, outbound: map[relay.HandoffID]*outboundHandoff{},
		transits: tr,
	}
	m.Handle(wire.CallKind_CALL_KIND_GATHER, h.serve)
	m.Handle(wire.CallKind_CALL_KIND_GATHER_CANCEL, h.serveCancel)
	m.Handle(wire.CallKind_CALL_KIND_CRASHES, h.serveCrashes)
	m.Handle(wire.CallKind_CALL_KIND_COLD_TARGETS, h.serveCold)
	return h
}

// send sends a handoff to its peer, waits for the answer and reports the result to the relay.
func (h *handoffs) send(x *relay.Handoff) {
	ended := &relay.HandoffEnded{ID: x.ID}
	remaining := x.Deadline - h.clock.Now().Mono
	reply, err := h.call(x, remaining)
	if err != nil {
		ended.NotSent = errors.Is(err, mesh.ErrNotSent)
		ended.Withdrawn = errors.Is(err, mesh.ErrCancelled)
		ended.Reason = err.Error()
		h.put(ended)
		return
	}
	ended.Answer = reply.ToAnswer()
	ended.PeerElapsed = time.Duration(reply.GetSpent())
	h.put(ended)
}

// registerOutbound makes a handoff known that is about to be queued, so that it can be cancelled from then on.
func (h *handoffs) registerOutbound(id relay.HandoffID) {
	o := &outboundHandoff{decidedAt: h.clock.Now().Mono}
	o.call = mesh.NewPendingCall(func() ([]byte, error) { return h.encode(o) })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outbound[id] = o
}

func (h *handoffs) unregisterOutbound(id relay.HandoffID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.outbound, id)
}

func (h *handoffs) outboundOf(id relay.HandoffID) *outboundHandoff {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outbound[id]
}

// encode returns the message of a handoff that is sent now: the time that it has waited is not left any
// more.
func (h *handoffs) encode(o *outboundHandoff) ([]byte, error) {
	now := h.clock.Now().Mono
	m := o.message
	m.Age += int64(now - o.decidedAt)
	if left := time.Duration(m.GetTimeout() - m.GetAge()); left <= 0 {
		return nil, fmt.Errorf("the request's time was over %v ago", -left)
	}
	m.SentAt, m.Process = int64(now), h.transits.process
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode the handoff of request %q: %w", m.GetId(), err)
	}
	size := len(payload)
	if !h.budget.Reserve(memory.Messages, size) {
		return nil, fmt.Errorf("no memory is left for a message of %d bytes", size)
	}
	o.reserved = size
	return payload, nil
}

// call sends a gather call to a peer and waits for the reply.
func (h *handoffs) call(x *relay.Handoff, remaining time.Duration) (*wire.GatherReply, error) {
	span := h.tracer.Start(x.Request.TraceParent, "handoff",
		attribute.String("peer", x.Peer), attribute.Int("shards", len(x.Gather.Services)))
	o := h.outboundOf(x.ID)
	defer h.unregisterOutbound(x.ID)
	o.message = wire.FromHandoff(x)
	o.message.TraceParent = span.TraceParent()
	defer func() { h.budget.Release(memory.Messages, o.reserved) }()
	payload, err := h.mesh.CallPending(x.Peer, wire.CallKind_CALL_KIND_GATHER, o.call, max(0, remaining))
	out := &wire.GatherReply{}
	if err == nil {
		err = proto.Unmarshal(payload, out)
	}
	span.End(attribute.Bool("answered", err == nil))
	return out, err
}

// forwardedBit distinguishes the ids of forwarded attempts from those of handoffs.
const forwardedBit = 1 << 63

func forwardedID(id relay.AttemptID) relay.HandoffID { return relay.HandoffID(id) | forwardedBit }

// forwardAttempt sends an attempt to a peer in the region of its target and returns the outcome.
func (h *handoffs) forwardAttempt(s *relay.Send) *relay.AttemptEnded {
	x := &relay.Handoff{ID: forwardedID(s.Attempt), Peer: s.Via, Request: s.Request, Gather: s.Gather, Deadline: s.Deadline}
	remaining := s.Deadline - h.clock.Now().Mono
	reply := &relay.AttemptEnded{Attempt: s.Attempt}
	out, err := h.call(x, remaining)
	switch {
	case errors.Is(err, mesh.ErrCancelled):
		reply.Outcome, reply.Reason = relay.Unsent, err.Error()
		return reply
	case errors.Is(err, mesh.ErrNotSent):
		reply.Outcome, reply.Reason, reply.PeerFailed = relay.Unsent, err.Error(), true
		return reply
	case err != nil:
		reply.Outcome, reply.Reason, reply.PeerFailed = relay.Lost, err.Error(), true
		return reply
	}
	answer := out.ToAnswer()
	switch {
	case answer.Code == result.TargetsUnreachable:
		reply.Outcome, reply.Reason = relay.Unsent, "peer answered "+answer.Code.String()
		reply.PeerFailed, reply.PeerCutOff = true, true
	case answer.Code == result.OK && answer.Response != nil:
		reply.Outcome, reply.Response = relay.Answered, answer.Response
	case answer.Code == result.OK && len(answer.Parts) == 1 && !s.Gather.Whole:
		reply.Outcome = relay.Answered
		reply.Response = &relay.Response{Status: http.StatusOK, Proof: answer.Parts[0].Proof, Body: answer.Body}
	case answer.Code.Kind() == result.NotRun:
		reply.Outcome, reply.Reason = relay.Declined, "peer answered "+answer.Code.String()
	default:
		reply.Outcome, reply.Reason = relay.Lost, "peer answered "+answer.Code.String()
	}
	return reply
}

// cancel cancels a handoff, at the peer too if it may have got there. If that message fails, the peer
// only does work whose result is not used.
func (h *handoffs) cancel(x relay.HandoffCancel) {
	if o := h.outboundOf(x.ID); o != nil && !o.call.Cancel() {
		return
	}
	_, _ = h.mesh.Call(x.Peer, wire.CallKind_CALL_KIND_GATHER_CANCEL, marshal(&wire.GatherCancel{Handoff: uint64(x.ID)}), cancelTimeout)
}

// withdraw cancels a handoff that has not been sent.
func (h *handoffs) withdraw(id relay.HandoffID) {
	if o := h.outboundOf(id); o != nil {
		o.call.CancelUnsent()
	}
}

// tellTimeout is the timeout of a message about crashes.
const tellTimeout = time.Second

// tell sends a peer what this host knows about crashes. If the message is lost, a later one
// repeats it.
func (h *handoffs) tell(x *relay.Tell) {
	if _, err := h.mesh.Call(x.Peer, wire.CallKind_CALL_KIND_CRASHES, marshal(wire.FromTell(x)), tellTimeout); err != nil {
		h.log.Debug().Str("event", "crashes_not_told").Str("peer", x.Peer).Err(err).Send()
	}
}

// serveCrashes handles what a peer knows about crashes.
func (h *handoffs) serveCrashes(from string, payload []byte) []byte {
	in := &wire.CrashFacts{}
	if err := proto.Unmarshal(payload, in); err != nil {
		h.log.Warn().Str("event", "peer_call_malformed").Str("peer", from).Err(err).Send()
		return nil
	}
	// If the ring is full, the facts are lost; the peer sends them again.
	h.put(in.ToEvent(from))
	return nil
}

// tellCold tells a peer which targets are cold. If the message is lost, the target's other host makes up
// for it.
func (h *handoffs) tellCold(n *relay.ColdNews) {
	if _, err := h.mesh.Call(n.Peer, wire.CallKind_CALL_KIND_COLD_TARGETS, marshal(wire.FromColdNews(n)), tellTimeout); err != nil {
		h.log.Debug().Str("event", "cold_targets_not_told").Str("peer", n.Peer).Err(err).Send()
	}
}

// serveCold handles what a peer has heard of cold targets.
func (h *handoffs) serveCold(from string, payload []byte) []byte {
	in := &wire.ColdTargets{}
	if err := proto.Unmarshal(payload, in); err != nil {
		h.log.Warn().Str("event", "peer_call_malformed").Str("peer", from).Err(err).Send()
		return nil
	}
	// If the ring is full, the target's other host tells it too.
	h.put(in.ToEvent())
	return nil
}

// linkTimeout bounds the time to make a link ahead of the first handoff.
const linkTimeout = 2 * time.Second

// link makes a link to a peer. If that fails, the first handoff tries again.
func (h *handoffs) link(peer string) {
	if err := h.mesh.Link(peer, linkTimeout); err != nil {
		h.log.Debug().Str("event", "link_failed").Str("peer", peer).Err(err).Send()
	}
}

// serve handles a gather call of a peer: it submits the request to the relay and returns the
// encoded answer.
func (h *handoffs) serve(from string, payload []byte) []byte {
	arrivedAt := h.clock.Now().Mono
	call := &wire.GatherCall{}
	if err := proto.Unmarshal(payload, call); err != nil {
		h.log.Warn().Str("event", "peer_call_malformed").Str("peer", from).Err(err).Send()
		return marshal(wire.FromAnswer(&relay.Answer{Code: result.BadRequest}))
	}
	key := inboundKey{peer: from, id: call.GetHandoff()}
	cancelled := h.register(key)
	defer h.unregister(key, cancelled)
	request := call.ToRequest()
	request.Gather.From = from
	request.ArrivedAt = arrivedAt
	request.Delay = h.transits.observe(from, call.GetProcess(), time.Duration(call.GetSentAt()), arrivedAt)
	submit := func(key uint64) bool {
		request.Key = key
		return h.submit(&relay.Submit{Request: request})
	}
	callerGone := func(key uint64) { h.put(&relay.CallerGone{Key: key}) }
	answer, ok := h.waiters.AwaitUntil(cancelled, submit, callerGone)
	if !ok {
		answer = relay.Answer{Code: result.QueueFull}
	}
	defer h.budget.Release(memory.Answers, answer.BodyBytes())
	return marshal(wire.FromAnswer(&answer))
}

// register adds a handoff from a peer and returns the channel that cancels it.
func (h *handoffs) register(key inboundKey) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	cancelled := make(chan struct{})
	h.inbound[key] = cancelled
	return cancelled
}

// unregister removes a handoff, unless a later one with the same key has replaced it.
func (h *handoffs) unregister(key inboundKey, cancelled chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inbound[key] == cancelled {
		delete(h.inbound, key)
	}
}

// serveCancel handles a peer's message that cancels a handoff.
func (h *handoffs) serveCancel(from string, payload []byte) []byte {
	in := &wire.GatherCancel{}
	if err := proto.Unmarshal(payload, in); err != nil {
		h.log.Warn().Str("event", "peer_call_malformed").Str("peer", from).Err(err).Send()
		return nil
	}
	key := inboundKey{peer: from, id: in.GetHandoff()}
	h.mu.Lock()
	defer h.mu.Unlock()
	if cancelled := h.inbound[key]; cancelled != nil {
		close(cancelled)
		delete(h.inbound, key)
	}
	return nil
}
