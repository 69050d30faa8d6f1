package relay

// RetryPolicy limits the extra attempts (retries and hedges) of all hosts together.
type RetryPolicy struct {
	// Ratio is the allowed number of extra attempts per first attempt.
	Ratio float64
	// Slack is the number of extra attempts allowed in any time window regardless of load.
	Slack float64
}

// retryBudget is one host's share of a service's retry budget: a token bucket into which
// each first attempt deposits the ratio and whose capacity is this host's share of the
// slack. In any time window the extra attempts of all hosts are therefore at most the ratio
// times the first attempts plus the slack, without coordination between the hosts.
type retryBudget struct {
	tokens   float64
	capacity float64
}

// configure sets the capacity, which is this host's share of the slack. With a capacity
// below one token no withdrawal ever succeeds.
func (b *retryBudget) configure(capacity float64) {
	if b.capacity == 0 {
		// Start half full: a previous process on this host may have spent its share just
		// before it was killed.
		b.tokens = capacity / 2
	}
	b.capacity = capacity
	b.tokens = min(b.tokens, capacity)
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
func (b *retryBudget) tryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refund returns the token of an extra attempt that did not reach its target.
func (b *retryBudget) refund() { b.tokens = min(b.tokens+1, b.capacity) }
