package node

import (
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/once"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/await"
	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/wire"
)

// PeerTransport is the transport for calls between hosts. Errors of Call wrap
// mesh.ErrNotSent or mesh.ErrOutcomeUnknown.
type PeerTransport interface {
	Call(host string, kind wire.CallKind, payload []byte, timeout time.Duration) ([]byte, error)
	Handle(kind wire.CallKind, h mesh.Handler)
}

const (
	// handoverTimeout bounds the call that offers one chunk to a successor.
	handoverTimeout = 2 * time.Second
	// ticketKeyBytes is the size of the key that signs tickets.
	ticketKeyBytes = 32
)

// onceConfig returns the configuration of the ticket table with a random key and
// incarnation. The incarnation must be unique to the process: tickets of an earlier process
// with the same incarnation would fail the signature check and be treated as forged.
func onceConfig(s *settings.Settings) (once.Config, error) {
	secret := make([]byte, ticketKeyBytes+8)
	if _, err := crand.Read(secret); err != nil {
		return once.Config{}, fmt.Errorf("generate ticket key: %w", err)
	}
	return once.Config{
		Home:           s.Host.Name,
		Incarnation:    binary.BigEndian.Uint64(secret[ticketKeyBytes:]),
		Key:            secret[:ticketKeyBytes],
		Lifetime:       s.Once.Lifetime,
		MaxRecords:     s.Once.Tickets,
		MaxOutputBytes: s.Once.OutputBytes,
	}, nil
}

// oncePeers exchanges ticketed requests and ticket handovers between the engine and other
// hosts.
type oncePeers struct {
	peers   PeerTransport
	clock   sysclock.Clock
	submit  func(engine.Event) bool
	waiters *await.Waiters[engine.OnceAnswer]
	// handedOver reports whether this host has completed its handover.
	handedOver func() bool
}

// registerHandlers registers the handlers for calls from peers.
func (p *oncePeers) registerHandlers() {
	p.peers.Handle(wire.CallKind_CALL_KIND_ONCE, p.serveOnce)
	p.peers.Handle(wire.CallKind_CALL_KIND_HANDOVER, p.serveHandover)
}

func (p *oncePeers) serveOnce(_ string, payload []byte) []byte {
	req, err := wire.DecodeOnceCall(payload)
	if err != nil {
		return encodeOnceReply(&engine.OnceAnswer{Code: result.OutcomeUnknown, Detail: err.Error()})
	}
	answer, ok := p.waiters.Await(func(key uint64) bool {
		req.Key = key
		return p.submit(&engine.OnceSubmit{Request: req})
	})
	if !ok {
		answer = engine.OnceAnswer{Code: result.OutcomeUnknown, Detail: "the ring of the ticket's holder is full; send it again"}
		// After the handover this host holds no tickets, so the sender may ask another host.
		answer.NotHeld = p.handedOver()
	}
	return encodeOnceReply(&answer)
}

func (p *oncePeers) serveHandover(_ string, payload []byte) []byte {
	chunk, err := wire.DecodeHandoverChunk(payload)
	if err != nil {
		return encodeOnceReply(&engine.OnceAnswer{Code: result.BadRequest, Detail: err.Error()})
	}
	answer, ok := p.waiters.Await(func(key uint64) bool {
		return p.submit(&engine.ImportChunk{Key: key, Chunk: chunk})
	})
	if !ok {
		answer = engine.OnceAnswer{Code: result.QueueFull, Detail: "the successor's ring is full"}
	}
	return encodeOnceReply(&answer)
}

func encodeOnceReply(a *engine.OnceAnswer) []byte {
	payload, err := wire.EncodeOnceReply(a)
	if err != nil {
		return nil
	}
	return payload
}

// forward sends a request to the peer that may hold its ticket and blocks for the answer.
// The Answer of the result is nil if there was none before the deadline.
func (p *oncePeers) forward(f *engine.Forward) *engine.ForwardDone {
	forwarded := &engine.ForwardDone{Key: f.Key}
	remaining := f.Deadline - p.clock.Now().Mono
	payload, err := wire.EncodeOnceCall(f.Request)
	if err != nil || remaining <= 0 {
		return forwarded
	}
	reply, err := p.peers.Call(f.Host, wire.CallKind_CALL_KIND_ONCE, payload, remaining)
	if err != nil {
		return forwarded
	}
	if answer, err := wire.DecodeOnceReply(reply); err == nil {
		forwarded.Answer = answer
	}
	return forwarded
}

// handOver offers a chunk of tickets to a successor and blocks for the reply.
func (p *oncePeers) handOver(h *engine.HandoverOffer) *engine.HandoverOfferDone {
	outcome := &engine.HandoverOfferDone{Number: h.Chunk.Number}
	payload, err := wire.EncodeHandoverChunk(h.Chunk)
	if err != nil {
		return outcome
	}
	reply, err := p.peers.Call(h.Host, wire.CallKind_CALL_KIND_HANDOVER, payload, handoverTimeout)
	if err != nil {
		outcome.NeverSent = errors.Is(err, mesh.ErrNotSent)
		return outcome
	}
	// A successor that refuses a chunk has not stored it and will not store it later, so
	// the chunk may be offered to another host.
	answer, err := wire.DecodeOnceReply(reply)
	outcome.NeverSent = err == nil && answer.Code != result.OK
	return outcome
}

// noPeers implements PeerTransport for a host without a mesh address.
type noPeers struct{}

// Call returns an error that wraps mesh.ErrNotSent.
func (noPeers) Call(host string, _ wire.CallKind, _ []byte, _ time.Duration) ([]byte, error) {
	return nil, fmt.Errorf("%w: this host has no mesh to reach %q", mesh.ErrNotSent, host)
}

// Handle does nothing: no peer can call.
func (noPeers) Handle(wire.CallKind, mesh.Handler) {}
