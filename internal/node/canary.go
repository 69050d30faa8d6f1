package node

import (
	"errors"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/quarantine"
	"pollentack.example/pollentack/internal/edge/await"
	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/wire"
)

// canaryTimeout bounds a call to the home of a fingerprint.
const canaryTimeout = time.Second

// canaryPeers exchanges canary calls between the engine and other hosts. The home of a
// fingerprint is the host that keeps its quarantine record.
type canaryPeers struct {
	peers   PeerTransport
	submit  func(engine.Event) bool
	waiters *await.Waiters[quarantine.LeaseAnswer]
}

func newCanaryPeers(peers PeerTransport, submit func(engine.Event) bool) *canaryPeers {
	return &canaryPeers{peers: peers, submit: submit, waiters: await.New[quarantine.LeaseAnswer]()}
}

func (p *canaryPeers) registerHandlers() { p.peers.Handle(wire.CallKind_CALL_KIND_CANARY, p.serveCall) }

func (p *canaryPeers) serveCall(_ string, payload []byte) []byte {
	call, err := wire.DecodeCanaryCall(payload)
	if err != nil {
		return nil
	}
	answer, ok := p.waiters.Await(func(key uint64) bool {
		return p.submit(&engine.PeerCanaryCall{Key: key, Call: *call})
	})
	if !ok {
		answer = quarantine.LeaseAnswer{Verdict: quarantine.Busy}
	}
	reply, err := wire.EncodeCanaryReply(&answer)
	if err != nil {
		return nil
	}
	return reply
}

// callHome sends a quarantine query or report to the home of a fingerprint and blocks for
// the reply. The Answer of the result is nil if the call failed.
func (p *canaryPeers) callHome(c *engine.CanaryCall) *engine.CanaryCallDone {
	result := &engine.CanaryCallDone{Call: *c}
	payload, err := wire.EncodeCanaryCall(c)
	if err != nil {
		return result
	}
	reply, err := p.peers.Call(c.Host, wire.CallKind_CALL_KIND_CANARY, payload, canaryTimeout)
	if err != nil {
		result.NeverSent = errors.Is(err, mesh.ErrNotSent)
		return result
	}
	if answer, err := wire.DecodeCanaryReply(reply); err == nil {
		result.Answer = answer
	}
	return result
}
