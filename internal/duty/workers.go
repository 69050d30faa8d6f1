package duty

import (
	"fmt"
	"runtime/debug"

	"github.com/panjf2000/ants/v2"
)

// Workers runs a bounded number of short blocking jobs concurrently.
type Workers struct {
	pool *ants.Pool
}

// NewWorkers returns Workers that run at most capacity jobs at a time. A panic ends only its job; onPanic
// receives it with its stack, on the goroutine that panicked. If onPanic is nil, it is written to standard
// error.
func NewWorkers(capacity int, onPanic func(error)) (*Workers, error) {
	options := []ants.Option{ants.WithNonblocking(true)}
	if onPanic != nil {
		options = append(options, ants.WithPanicHandler(func(v any) { onPanic(fmt.Errorf("panic in a job: %v\n%s", v, debug.Stack())) }))
	}
	pool, err := ants.NewPool(capacity, options...)
	if err != nil {
		return nil, fmt.Errorf("pool of %d workers: %w", capacity, err)
	}
	return &Workers{pool: pool}, nil
}

// Submit runs job on a worker. It returns an error at once if all workers are busy.
func (w *Workers) Submit(job func()) error {
	if err := w.pool.Submit(job); err != nil {
		return fmt.Errorf("submit job: %w", err)
	}
	return nil
}

// Close releases the idle workers. It does not wait for jobs in progress.
func (w *Workers) Close() { w.pool.Release() }
