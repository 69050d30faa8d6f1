package node

import (
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/membership"
)

// Stop shuts the host down gracefully, in this order: it fails the health check of the
// balancer, serves on until the balancer has noticed, refuses new queries while those in
// progress end, hands the tickets over, ends the remaining calls and stops the duties. The
// waits end early at the time limit of the settings or on SkipWaits.
func (n *Node) Stop() { n.stopOnce.Do(n.stop) }

// SkipWaits ends all current and future waits of Stop. It may be called more than once.
func (n *Node) SkipWaits() { n.skipWaitsOnce.Do(func() { close(n.skipWaits) }) }

func (n *Node) stop() {
	start := time.Now()
	defer n.unpublishMetrics()
	if n.front != nil && n.queries != nil {
		n.log.Info().Str("event", "stop_began").Dur("balancer_lag", n.settings.Stop.BalancerLag).Send()
		if n.drain() {
			n.front.Stop()
		} else {
			n.once.waiters.Abandon()
			n.front.AbortPending()
			n.front.Stop()
		}
	}
	if n.admin != nil {
		n.admin.Stop()
	}
	if n.duties != nil {
		n.duties.Stop()
	}
	if n.membership != nil {
		n.membership.close()
	}
	n.log.Info().Str("event", "host_stopped").Dur("took", time.Since(start)).Send()
}

// drain waits until the requests in progress and the handover have ended, and reports
// whether they did in time. If not, it hands the tickets over without waiting for the
// requests.
func (n *Node) drain() bool {
	limit := time.NewTimer(n.settings.Stop.Limit)
	defer limit.Stop()
	n.front.StartDraining()
	n.membership.put(&membership.Drain{})
	n.waitForBalancer(limit.C)
	n.queries.put(&engine.Drain{})
	n.queries.put(&engine.StartHandover{})
	if n.waitFor("requests and handover", limit.C, func(s *engineStatus) bool {
		return s.Draining && s.HandedOver && s.InProgress == 0
	}) {
		return true
	}
	n.queries.put(&engine.StartHandover{Force: true})
	handoverLimit := time.NewTimer(handoverTimeout)
	defer handoverLimit.Stop()
	n.waitForStatus(handoverLimit.C, nil, func(s *engineStatus) bool { return s.HandedOver })
	return false
}

func (n *Node) waitForBalancer(limit <-chan time.Time) {
	balancerLag := time.NewTimer(n.settings.Stop.BalancerLag)
	defer balancerLag.Stop()
	select {
	case <-balancerLag.C:
	case <-limit:
	case <-n.skipWaits:
	}
}

// waitFor waits until the status of the query duty satisfies done. If limit fires or SkipWaits
// is called first, it logs what it waited for and returns false.
func (n *Node) waitFor(what string, limit <-chan time.Time, done func(*engineStatus) bool) bool {
	if n.waitForStatus(limit, n.skipWaits, done) {
		return true
	}
	s := n.queries.status.Load()
	n.log.Warn().Str("event", "stop_cut_short").Str("waiting_for", what).Int("in_progress", s.InProgress).
		Bool("handed_over", s.HandedOver).Send()
	return false
}

// waitForStatus blocks until the status of the query duty satisfies done, and returns false
// if limit or skipWaits fires first.
func (n *Node) waitForStatus(limit <-chan time.Time, skipWaits <-chan struct{}, done func(*engineStatus) bool) bool {
	for !done(n.queries.status.Load()) {
		select {
		case <-n.queries.statusChanged:
		case <-limit:
			return false
		case <-skipWaits:
			return false
		}
	}
	return true
}

// Abort stops the host as a crash would: it does not wait for requests or hand tickets
// over, and requests in progress get no answer from the engine. It is intended for tests
// and experiments.
func (n *Node) Abort() {
	n.stopOnce.Do(func() {
		defer n.unpublishMetrics()
		n.membership.close()
		n.queries.inbox.Close()
		n.front.CloseConnections()
		n.once.waiters.Abandon()
		n.canary.waiters.Abandon()
		n.front.AbortPending()
		n.front.Stop()
		n.admin.Stop()
		n.duties.Stop()
		n.membership.close()
	})
}
