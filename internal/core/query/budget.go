package query

import "pollentack.example/pollentack/internal/core/release"

// MaxExtraShare is the upper bound, for any service policy, on the ratio of hedges and
// retries to first attempts.
const MaxExtraShare = 0.05

const (
	// minBurst is the smallest capacity of a bucket and its initial number of tokens. It
	// lets a service with few queries survive the loss of a target.
	minBurst = 8
	// burstQueries is the number of queries whose earned tokens a bucket can hold.
	burstQueries = 4
	// retryReserve is the number of tokens reserved for retries. A late reply can still
	// arrive without a hedge, but without a retry the shard of a lost one is not answered.
	retryReserve = 2
)

// Budget is the token bucket that the hedges and retries of a service share. The number
// of tokens spent exceeds the share of the first attempts by at most minBurst.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// Configure sets the share from the policy, limited to MaxExtraShare, and the capacity
// from the fan-out, which is the number of shards of a query.
func (b *Budget) Configure(policy *release.Policy, fanOut int) {
	if b.burst == 0 {
		b.tokens = minBurst
	}
	b.share = min(policy.HedgeBudget, MaxExtraShare)
	b.burst = max(minBurst, burstQueries*b.share*float64(fanOut))
	b.tokens = min(b.tokens, b.burst)
}

// Credit adds the tokens for a number of first attempts.
func (b *Budget) Credit(attempts int) {
	b.tokens = min(b.burst, b.tokens+b.share*float64(attempts))
}

// SpendRetry takes one token and reports whether there was one.
func (b *Budget) SpendRetry() bool { return b.spend(0) }

// SpendHedge takes one token if more than retryReserve remain, and reports whether it did.
func (b *Budget) SpendHedge() bool { return b.spend(retryReserve) }

func (b *Budget) spend(reserve float64) bool {
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// FillRatio returns the fill level of the bucket, 0 to 1.
func (b *Budget) FillRatio() float64 {
	if b.burst == 0 {
		return 0
	}
	return b.tokens / b.burst
}

// Enabled reports whether the policy allows any hedges or retries.
func (b *Budget) Enabled() bool { return b.share > 0 }
