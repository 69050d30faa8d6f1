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

// canaryTimeout bounds a question to a fingerprint's home.
const canaryTimeout = time.Second

// canaryPeers is the edge between the engine and the homes of fingerprints.
type canaryPeers struct {
	peers   Peers
	submit  func(engine.Event) bool
	waiters *await.Waiters[quarantine.Answer]
}

func newCanaryPeers(peers Peers, submit func(engine.Event) bool) *canaryPeers {
	return &canaryPeers{peers: peers, submit: submit, waiters: await.New[quarantine.Answer]()}
}

func (p *canaryPeers) handle() { p.peers.Handle(wire.CallKind_CALL_KIND_CANARY, p.serve) }

func (p *canaryPeers) serve(_ string, payload []byte) []byte {
	call, err := wire.DecodeCanaryCall(payload)
	if err != nil {
		return nil
	}
	answer, ok := p.waiters.Await(func(key uint64) bool {
		return p.submit(&engine.CanaryServe{Key: key, Call: *call})
	})
	if !ok {
		answer = quarantine.Answer{Verdict: quarantine.Busy}
	}
	reply, err := wire.EncodeCanaryReply(&answer)
	if err != nil {
		return nil
	}
	return reply
}

// ask carries a question or a report to a home and blocks for its word.
func (p *canaryPeers) ask(c *engine.CanaryCall) *engine.CanaryAnswered {
	done := &engine.CanaryAnswered{Call: *c}
	payload, err := wire.EncodeCanaryCall(c)
	if err != nil {
		return done
	}
	reply, err := p.peers.Call(c.Host, wire.CallKind_CALL_KIND_CANARY, payload, canaryTimeout)
	if err != nil {
		done.NeverSent = errors.Is(err, mesh.ErrNotSent)
		return done
	}
	if answer, err := wire.DecodeCanaryReply(reply); err == nil {
		done.Answer = answer
	}
	return done
}
