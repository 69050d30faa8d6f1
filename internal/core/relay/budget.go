package relay

// RetryPolicy bounds the requests beyond the first of each, over all hosts.
type RetryPolicy struct {
	// Ratio is the share of first requests that may be added.
	Ratio float64
	// Slack is the number that may be added in a window whatever the load.
	Slack float64
}

// retryBudget is one host's part of a service's retry budget: a token bucket that each
// first request fills by the ratio and that holds at most this host's part of the slack.
// The extra requests of any window are then at most ratio times the first ones in it plus
// the slack, summed over the hosts, without a message between them.
type retryBudget struct {
	tokens   float64
	capacity float64
}

// configure sets this host's part of the slack. Below one token it can never spend any.
func (b *retryBudget) configure(capacity float64) {
	if b.capacity == 0 {
		// A process that was killed may have spent its part just before.
		b.tokens = capacity / 2
	}
	b.capacity = capacity
	b.tokens = min(b.tokens, capacity)
}

// handedShare is the part of what a first request earns that goes to the host that hands
// it over; the rest goes to the peer that sends it. Either may have to repeat it.
const handedShare = 0.5

// earn takes the share of what a first request earns that is this host's.
func (b *retryBudget) earn(p RetryPolicy, share float64) {
	b.tokens = min(b.tokens+share*p.Ratio, b.capacity)
}

// unearn gives back what was earned for a request that was not sent.
func (b *retryBudget) unearn(p RetryPolicy, share float64) {
	b.tokens = max(0, b.tokens-share*p.Ratio)
}

// spend takes the token of one extra request and reports whether there was one.
func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refund returns the token of a request that did not arrive.
func (b *retryBudget) refund() { b.tokens = min(b.tokens+1, b.capacity) }
