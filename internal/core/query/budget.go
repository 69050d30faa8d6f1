package query

import "pollentack.example/pollentack/internal/core/release"

// MaxExtraShare bounds the share of first attempts that hedges and retries may add,
// whatever a service's policy says.
const MaxExtraShare = 0.05

const (
	// minBurst is the least number of tokens that a bucket can hold, and what it begins
	// with: a service with few queries must survive the loss of a target too.
	minBurst = 8
	// burstQueries is how many queries' worth of tokens a bucket can hold.
	burstQueries = 4
	// retryReserve is the number of tokens that hedges leave for retries: a late reply
	// still comes, a lost one costs its shard.
	retryReserve = 2
)

// Budget is the token bucket that hedges and retries of a service share. The tokens
// spent never exceed the share of the first attempts made by more than minBurst.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// Configure sets the share of the policy and the bound for queries of this fan-out.
func (b *Budget) Configure(policy *release.Policy, fanOut int) {
	if b.burst == 0 {
		b.tokens = minBurst
	}
	b.share = min(policy.HedgeBudget, MaxExtraShare)
	b.burst = max(minBurst, burstQueries*b.share*float64(fanOut))
	b.tokens = min(b.tokens, b.burst)
}

// Earn credits first attempts.
func (b *Budget) Earn(attempts int) {
	b.tokens = min(b.burst, b.tokens+b.share*float64(attempts))
}

// SpendRetry takes one token and reports whether there was one.
func (b *Budget) SpendRetry() bool { return b.spend(0) }

// SpendHedge takes one token of those above the retries' reserve and reports whether
// there was one.
func (b *Budget) SpendHedge() bool { return b.spend(retryReserve) }

func (b *Budget) spend(reserve float64) bool {
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// Fill is how full the bucket is, 0 to 1.
func (b *Budget) Fill() float64 {
	if b.burst == 0 {
		return 0
	}
	return b.tokens / b.burst
}

// Enabled reports whether the policy grants any extra attempts.
func (b *Budget) Enabled() bool { return b.share > 0 }
