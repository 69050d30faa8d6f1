package relay

import "time"

// RetryPolicy limits the extra attempts (retries and hedges) of all hosts together.
type RetryPolicy struct {
	// Ratio is the allowed number of extra attempts per first attempt.
	Ratio float64
	// Slack is the number of extra attempts allowed in any Window regardless of load.
	Slack float64
	// Window is the length of time that Slack applies to, 0 if it is unknown.
	Window time.Duration
}

// refilledShare is the fraction of a host's share of the slack that refills its bucket over a
// window. The rest is the bucket's capacity, so that both add up to the share in any window.
const refilledShare = 0.5

// fleetSettleTime is how long after its first view a host has no part of the slack: it does not know
// yet how many hosts share it, and its previous process may have spent its part. Hosts that start
// again one after another, or several times, would otherwise add a part each time. First attempts
// pay for extra ones meanwhile.
const fleetSettleTime = 2 * time.Second

// retryBudget is one host's share of a service's retry budget: a token bucket into which
// each first attempt deposits the ratio, and which refills with time from this host's share of
// the slack. In any window the extra attempts of all hosts are therefore at most the ratio
// times the first attempts plus the slack, without coordination between the hosts.
type retryBudget struct {
	tokens   float64
	capacity float64
	// refill is the number of tokens per second since refilledAt.
	refill     float64
	refilledAt time.Duration
}

// configure sets this host's share of the slack, which it has from slackFrom on. With a share below
// one token no withdrawal ever succeeds.
func (b *retryBudget) configure(now time.Duration, share float64, window, slackFrom time.Duration) {
	b.refillTo(now)
	first := b.capacity == 0
	b.capacity, b.refill = share, 0
	if window > 0 {
		b.capacity = max((1-refilledShare)*share, min(share, 1))
		b.refill = (share - b.capacity) / window.Seconds()
	}
	switch {
	case first && window > 0 && now < slackFrom:
		b.refilledAt = slackFrom
	case first: // a new service, or no window over which the slack could refill
		b.tokens = b.capacity / 2
	}
	b.tokens = min(b.tokens, b.capacity)
}

// refillTo adds the tokens of the time that has passed.
func (b *retryBudget) refillTo(now time.Duration) {
	b.tokens = min(b.tokens+b.refill*max(0, now-b.refilledAt).Seconds(), b.capacity)
	b.refilledAt = max(b.refilledAt, now)
}

// available reports whether a token is available.
func (b *retryBudget) available(now time.Duration) bool {
	b.refillTo(now)
	return b.tokens >= 1
}

// untilAvailable returns how long the refill takes to a whole token. Deposits may be sooner, on
// which alone a bucket without refill depends.
func (b *retryBudget) untilAvailable() time.Duration {
	if b.refill <= 0 {
		return 0
	}
	return time.Duration(max(0, 1-b.tokens) / b.refill * float64(time.Second))
}

// handoffDepositShare is the fraction of the deposit for a handed-off shard that goes to
// the host that hands it off. The rest goes to the peer that sends the first attempt, since
// either of them may have to retry it.
const handoffDepositShare = 0.5

// deposit adds the given share of the tokens for one first attempt.
func (b *retryBudget) deposit(p RetryPolicy, share float64) {
	b.tokens = min(b.tokens+share*p.Ratio, b.capacity)
}

// revokeDeposit removes the deposit for a first attempt that was not sent.
func (b *retryBudget) revokeDeposit(p RetryPolicy, share float64) {
	b.tokens = max(0, b.tokens-share*p.Ratio)
}

// tryWithdraw takes one token for an extra attempt and reports whether one was available.
func (b *retryBudget) tryWithdraw(now time.Duration) bool {
	if !b.available(now) {
		return false
	}
	b.tokens--
	return true
}

// refund returns the token of an extra attempt that did not reach its target.
func (b *retryBudget) refund() { b.tokens = min(b.tokens+1, b.capacity) }
