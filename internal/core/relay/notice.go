package relay

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
)

// maxPause bounds how long a target gets no requests because it once said so.
const maxPause = 5 * time.Minute

// observeNotice applies what a target says of itself in a reply.
func (e *Engine) observeNotice(now clock.Instant, a *attempt, n *Notice, fx *Effects) {
	e.observeLimit(now, a, n, fx)
	e.observeLeaving(a, n, fx)
	e.observePause(now, a, n, fx)
}

// observeLeaving excludes a target that says that it leaves. Its entry in the store says so later,
// or not at all before it is removed. The next start of the target is another one.
func (e *Engine) observeLeaving(a *attempt, n *Notice, fx *Effects) {
	t := a.target
	if !n.Leaving || t.leaving {
		return
	}
	t.leaving = true
	fx.Records = append(fx.Records, decision.New("target_leaving",
		decision.String("request", a.request.ID), decision.String("target", t.spec.Instance), decision.String("service", t.spec.Service),
		decision.Bool("entry_draining", t.spec.Draining), decision.Uint("entry_revision", t.spec.Revision)))
}

// observePause gives a target no requests for as long as it wants none. Other hosts learn it from
// its replies to them.
func (e *Engine) observePause(now clock.Instant, a *attempt, n *Notice, fx *Effects) {
	if n.RetryAfter <= 0 {
		return
	}
	t := a.target
	t.pausedUntil = max(t.pausedUntil, now.Mono+min(n.RetryAfter, maxPause))
	e.restricted[t] = true
	fx.Records = append(fx.Records, decision.New("target_paused",
		decision.String("request", a.request.ID), decision.String("target", t.spec.Instance), decision.String("service", t.spec.Service),
		decision.Millis("retry_after", n.RetryAfter)))
}
