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
	"pollentack.example/pollentack/internal/edge/wallclock"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/wire"
)

// Peers carries calls between hosts. The error of Call is mesh.ErrNotSent or
// mesh.ErrUnknown.
type Peers interface {
	Call(host string, kind wire.CallKind, payload []byte, timeout time.Duration) ([]byte, error)
	Handle(kind wire.CallKind, h mesh.Handler)
}

const (
	// handoverTimeout bounds the offer of one chunk.
	handoverTimeout = 2 * time.Second
	// ticketKeyBytes is the size of the key that signs tickets.
	ticketKeyBytes = 32
)

// onceConfig gives the table its key and incarnation, which no other process has: a
// repeated incarnation would call tickets of an earlier process forged.
func onceConfig(s *settings.Settings) (once.Config, error) {
	secret := make([]byte, ticketKeyBytes+8)
	if _, err := crand.Read(secret); err != nil {
		return once.Config{}, fmt.Errorf("draw the key of tickets: %w", err)
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

// oncePeers is the edge between the engine and other hosts for tickets' requests.
type oncePeers struct {
	peers   Peers
	clock   wallclock.Clock
	submit  func(engine.Event) bool
	waiters *await.Waiters[engine.OnceAnswer]
	// handedOver reports whether this host has ended its handover.
	handedOver func() bool
}

// handle takes the calls of peers.
func (p *oncePeers) handle() {
	p.peers.Handle(wire.CallKind_CALL_KIND_ONCE, p.serveOnce)
	p.peers.Handle(wire.CallKind_CALL_KIND_HANDOVER, p.serveHandover)
}

func (p *oncePeers) serveOnce(_ string, payload []byte) []byte {
	req, err := wire.DecodeOnceCall(payload)
	if err != nil {
		return response(&engine.OnceAnswer{Code: result.OutcomeUnknown, Detail: err.Error()})
	}
	answer, ok := p.waiters.Await(func(key uint64) bool {
		req.Key = key
		return p.submit(&engine.OnceSubmit{Request: req})
	})
	if !ok {
		answer = engine.OnceAnswer{Code: result.OutcomeUnknown, Detail: "the ring of the ticket's holder is full; send it again"}
		// A host that has handed its tickets over holds none.
		answer.NotHeld = p.handedOver()
	}
	return response(&answer)
}

func (p *oncePeers) serveHandover(_ string, payload []byte) []byte {
	chunk, err := wire.DecodeChunk(payload)
	if err != nil {
		return response(&engine.OnceAnswer{Code: result.BadRequest, Detail: err.Error()})
	}
	answer, ok := p.waiters.Await(func(key uint64) bool {
		return p.submit(&engine.TakeOver{Key: key, Chunk: chunk})
	})
	if !ok {
		answer = engine.OnceAnswer{Code: result.QueueFull, Detail: "the successor's ring is full"}
	}
	return response(&answer)
}

func response(a *engine.OnceAnswer) []byte {
	payload, err := wire.EncodeOnceReply(a)
	if err != nil {
		return nil
	}
	return payload
}

// forward asks a peer and blocks for its answer.
func (p *oncePeers) forward(f *engine.Forward) *engine.Forwarded {
	done := &engine.Forwarded{Key: f.Key}
	left := f.Deadline - p.clock.Now().Mono
	payload, err := wire.EncodeOnceCall(f.Request)
	if err != nil || left <= 0 {
		return done
	}
	reply, err := p.peers.Call(f.Host, wire.CallKind_CALL_KIND_ONCE, payload, left)
	if err != nil {
		return done
	}
	if answer, err := wire.DecodeOnceReply(reply); err == nil {
		done.Answer = answer
	}
	return done
}

// handOver offers a chunk to a successor and blocks for its word.
func (p *oncePeers) handOver(h *engine.Handover) *engine.HandoverDone {
	done := &engine.HandoverDone{Number: h.Chunk.Number}
	payload, err := wire.EncodeChunk(h.Chunk)
	if err != nil {
		return done
	}
	reply, err := p.peers.Call(h.To, wire.CallKind_CALL_KIND_HANDOVER, payload, handoverTimeout)
	if err != nil {
		done.NeverSent = errors.Is(err, mesh.ErrNotSent)
		return done
	}
	// A successor that says no has not taken the chunk and never will.
	answer, err := wire.DecodeOnceReply(reply)
	done.NeverSent = err == nil && answer.Code != result.OK
	return done
}

// noPeers is the mesh of a host without a mesh address.
type noPeers struct{}

// Call fails without sending anything.
func (noPeers) Call(host string, _ wire.CallKind, _ []byte, _ time.Duration) ([]byte, error) {
	return nil, fmt.Errorf("%w: this host has no mesh to reach %q", mesh.ErrNotSent, host)
}

// Handle does nothing: no peer can call.
func (noPeers) Handle(wire.CallKind, mesh.Handler) {}
