package duty

import (
	"fmt"

	"github.com/panjf2000/ants/v2"
)

// Workers runs short blocking jobs, a bounded number at a time.
type Workers struct {
	pool *ants.Pool
}

// NewWorkers returns workers for at most capacity jobs at a time.
func NewWorkers(capacity int) (*Workers, error) {
	pool, err := ants.NewPool(capacity, ants.WithNonblocking(true))
	if err != nil {
		return nil, fmt.Errorf("pool of %d workers: %w", capacity, err)
	}
	return &Workers{pool: pool}, nil
}

// Submit runs job on a worker, or fails at once when all are busy.
func (w *Workers) Submit(job func()) error {
	if err := w.pool.Submit(job); err != nil {
		return fmt.Errorf("submit job: %w", err)
	}
	return nil
}

// Close releases the workers that are idle; jobs in progress end by themselves.
func (w *Workers) Close() { w.pool.Release() }
