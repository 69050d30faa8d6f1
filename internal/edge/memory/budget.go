// Package memory bounds the bytes that the parts of a process hold together.
package memory

import "sync"

// Part is what bytes of a budget are held for.
type Part int

// The parts of a budget.
const (
	// Connections are those of callers, without the requests on them.
	Connections Part = iota
	// Requests are what is read of callers' requests, until they are answered.
	Requests
	// Messages are those on their way to other hosts.
	Messages
	// Answers are those on their way from the relay to the thread that writes them.
	Answers
	partCount
)

var partNames = [partCount]string{"connections", "requests", "messages", "answers"}

// Budget is a number of bytes that several parts share. It may be used by several threads.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  [partCount]int64
	total int64
	// peak is the highest total, denied the number of reservations that found no room.
	peak   int64
	denied uint64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// SetLimit changes the limit. What is reserved stays so.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Limit returns the limit.
func (b *Budget) Limit() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// Overrun returns the number of bytes that are reserved beyond the limit.
func (b *Budget) Overrun() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.total-b.limit)
}

// Reserve reserves n bytes for a part, and reports whether they were left.
func (b *Budget) Reserve(p Part, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.total+int64(n) > b.limit {
		b.denied++
		return false
	}
	b.used[p] += int64(n)
	b.total += int64(n)
	b.peak = max(b.peak, b.total)
	return true
}

// Exceeded reports whether more than the limit is reserved.
func (b *Budget) Exceeded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total > b.limit
}

// Force reserves n bytes for a part beyond the limit.
func (b *Budget) Force(p Part, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[p] += int64(n)
	b.total += int64(n)
	b.peak = max(b.peak, b.total)
}

// Release returns n reserved bytes of a part.
func (b *Budget) Release(p Part, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[p] -= int64(n)
	b.total -= int64(n)
}

// Usage is the state of a budget for metrics, in bytes.
type Usage struct {
	Limit  int64            `json:"limit"`
	Used   int64            `json:"used"`
	Peak   int64            `json:"peak"`
	Parts  map[string]int64 `json:"parts"`
	Denied uint64           `json:"denied"`
}

// Usage returns the state of the budget.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Usage{Limit: b.limit, Used: b.total, Peak: b.peak, Denied: b.denied, Parts: map[string]int64{}}
	for p, name := range partNames {
		u.Parts[name] = b.used[p]
	}
	return u
}
