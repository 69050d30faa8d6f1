package node

import (
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/membership"
)

// Stop is the graceful shutdown. In this order: the balancer's check fails; the host
// serves on until the balancer has seen it; new queries are refused and all in progress
// end; the tickets are handed over; the last calls end; the duties stop. The limit of
// the settings or Hurry ends the waiting.
func (n *Node) Stop() { n.stopOnce.Do(n.stop) }

// Hurry ends every wait of Stop at once. It may be called more than once.
func (n *Node) Hurry() { n.hurryOnce.Do(func() { close(n.hurry) }) }

func (n *Node) stop() {
	began := time.Now()
	defer n.unpublishMetrics()
	if n.front != nil && n.queries != nil {
		n.log.Info().Str("event", "stop_began").Dur("balancer_lag", n.settings.Stop.BalancerLag).Send()
		if n.drain() {
			n.front.Stop()
		} else {
			n.once.waiters.Abandon()
			n.front.Abandon()
			n.front.Stop()
		}
	}
	if n.admin != nil {
		n.admin.Stop()
	}
	if n.duties != nil {
		n.duties.Stop()
	}
	if n.members != nil {
		n.members.close()
	}
	n.log.Info().Str("event", "host_stopped").Dur("took", time.Since(began)).Send()
}

// drain reports whether every request in progress has ended.
func (n *Node) drain() bool {
	limit := time.NewTimer(n.settings.Stop.Limit)
	defer limit.Stop()
	n.front.FailHealth()
	n.members.put(&membership.Drain{})
	n.waitForBalancer(limit.C)
	n.queries.put(&engine.Drain{})
	n.queries.put(&engine.HandOver{})
	if n.await("requests and handover", limit.C, func(s *engineStatus) bool {
		return s.Draining && s.HandedOver && s.InProgress == 0
	}) {
		return true
	}
	n.queries.put(&engine.HandOver{Force: true})
	last := time.NewTimer(handoverTimeout)
	defer last.Stop()
	n.awaitStatus(last.C, nil, func(s *engineStatus) bool { return s.HandedOver })
	return false
}

func (n *Node) waitForBalancer(limit <-chan time.Time) {
	lag := time.NewTimer(n.settings.Stop.BalancerLag)
	defer lag.Stop()
	select {
	case <-lag.C:
	case <-limit:
	case <-n.hurry:
	}
}

// await waits for a state of the query duty; it logs and reports false where the limit
// or Hurry came first.
func (n *Node) await(what string, limit <-chan time.Time, reached func(*engineStatus) bool) bool {
	if n.awaitStatus(limit, n.hurry, reached) {
		return true
	}
	s := n.queries.counted.Load()
	n.log.Warn().Str("event", "stop_cut_short").Str("waiting_for", what).Int("in_progress", s.InProgress).
		Bool("handed_over", s.HandedOver).Send()
	return false
}

// awaitStatus blocks until the status is reached, or until limit or hurry fires.
func (n *Node) awaitStatus(limit <-chan time.Time, hurry <-chan struct{}, reached func(*engineStatus) bool) bool {
	for !reached(n.queries.counted.Load()) {
		select {
		case <-n.queries.changed:
		case <-limit:
			return false
		case <-hurry:
			return false
		}
	}
	return true
}

// Abort ends the host as a crash does: nothing is waited for or handed over, and who
// waits gets no answer of the engine. It is for tests and experiments.
func (n *Node) Abort() {
	n.stopOnce.Do(func() {
		defer n.unpublishMetrics()
		n.members.close()
		n.queries.inbox.Close()
		n.front.Break()
		n.once.waiters.Abandon()
		n.canary.waiters.Abandon()
		n.front.Abandon()
		n.front.Stop()
		n.admin.Stop()
		n.duties.Stop()
		n.members.close()
	})
}
