package engine

import (
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/quarantine"
)

// serveCanary answers a peer for a fingerprint whose home this host is taken for.
func (e *Engine) serveCanary(now clock.Instant, ev *CanaryServe, fx *Effects) {
	c := &ev.Call
	reply := CanaryReply{Key: ev.Key}
	switch {
	case c.Lease != 0:
		e.judge(now, c.Fingerprint, c.Lease, ending{c.End, c.Victim}, fx)
	case !e.settled(now):
		reply.Answer = quarantine.Answer{Verdict: quarantine.Busy}
	default:
		reply.Answer = e.canary.book.Ask(now, c.Fingerprint, c.Within)
	}
	fx.CanaryReplies = append(fx.CanaryReplies, reply)
}

func (e *Engine) hearConvictions(now clock.Instant, convictions []Conviction) {
	for _, c := range convictions {
		f := quarantine.Fingerprint(c.Fingerprint)
		e.canary.book.Convict(now, f, c.Until)
		e.canary.book.Suspect(now, f, c.Suspect)
	}
}

// settled reports whether this host knows what its peers hold against bodies, or has
// waited long enough for them. Before, it neither runs an unknown body nor lets another.
func (e *Engine) settled(now clock.Instant) bool {
	return e.canary.settled || now.Mono >= e.cfg.Settle
}

// tellDeath spreads the death of a target by the host that saw it, so that it counts
// also where the home is lost before it can.
func (e *Engine) tellDeath(now clock.Instant, f quarantine.Fingerprint, end quarantine.End, fx *Effects) {
	if end != quarantine.TargetDied {
		return
	}
	until := e.canary.book.Suspicion(now)
	e.canary.book.Suspect(now, f, until)
	fx.Convictions = append(fx.Convictions, Conviction{Fingerprint: uint64(f), Suspect: until})
}

// judge takes the end of a lease that this host gave, and spreads what counts against
// the fingerprint.
func (e *Engine) judge(now clock.Instant, f quarantine.Fingerprint, lease uint64, end ending, fx *Effects) {
	s := e.canary.book.Report(now, f, lease, end.end, end.victim)
	if end.end != quarantine.TargetDied || max(s.Convicted, s.Suspect) <= now.Wall {
		return
	}
	fx.Convictions = append(fx.Convictions, Conviction{Fingerprint: uint64(f), Until: s.Convicted, Suspect: s.Suspect})
}
