package engine

import (
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/quarantine"
)

// serveCanary answers a peer that treats this host as the home of a fingerprint.
func (e *Engine) serveCanary(now clock.Instant, ev *PeerCanaryCall, fx *Effects) {
	c := &ev.Call
	reply := CanaryReply{Key: ev.Key}
	switch {
	case c.Lease != 0:
		e.recordLeaseEnd(now, c.Fingerprint, c.Lease, leaseEnd{c.Outcome, c.Incarnation}, fx)
	case !e.peerStateSettled(now):
		reply.Answer = quarantine.LeaseAnswer{Verdict: quarantine.Busy}
	default:
		reply.Answer = e.canary.registry.RequestLease(now, c.Fingerprint, c.LeaseTime)
	}
	fx.CanaryReplies = append(fx.CanaryReplies, reply)
}

func (e *Engine) mergeQuarantineFacts(now clock.Instant, facts []QuarantineFact) {
	for _, fact := range facts {
		f := quarantine.Fingerprint(fact.Fingerprint)
		e.canary.registry.MarkConvicted(now, f, fact.QuarantinedUntil)
		e.canary.registry.MarkSuspect(now, f, fact.SuspectedUntil)
	}
}

// peerStateSettled reports whether this host has received its peers' records of crashing
// bodies, or has waited for them long enough. Until then it neither runs an unknown body
// nor grants a lease for one.
func (e *Engine) peerStateSettled(now clock.Instant) bool {
	return e.canary.peerStateReceived || now.Mono >= e.cfg.PeerStateTimeout
}

// publishDeath sends the death of a target to all peers from the host that observed it,
// so that it counts even if the home fails before it publishes the death.
func (e *Engine) publishDeath(now clock.Instant, f quarantine.Fingerprint, outcome quarantine.RunOutcome, fx *Effects) {
	if outcome != quarantine.TargetDied {
		return
	}
	until := e.canary.registry.SuspicionExpiry(now)
	e.canary.registry.MarkSuspect(now, f, until)
	fx.QuarantineFacts = append(fx.QuarantineFacts, QuarantineFact{Fingerprint: uint64(f), SuspectedUntil: until})
}

// recordLeaseEnd records the end of a lease granted by this host, and publishes the
// evidence against the fingerprint.
func (e *Engine) recordLeaseEnd(now clock.Instant, f quarantine.Fingerprint, lease uint64, end leaseEnd, fx *Effects) {
	s := e.canary.registry.EndLease(now, f, lease, end.outcome, end.incarnation)
	if end.outcome != quarantine.TargetDied || max(s.ConvictedUntil, s.SuspectUntil) <= now.Wall {
		return
	}
	fx.QuarantineFacts = append(fx.QuarantineFacts, QuarantineFact{Fingerprint: uint64(f), QuarantinedUntil: s.ConvictedUntil, SuspectedUntil: s.SuspectUntil})
}
