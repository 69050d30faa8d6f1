// Package duty runs the long-lived threads of a process, one for each duty.
//
// It is the only package that starts goroutines, and it starts them on an ants pool.
// Duties stop in the reverse order of their start, so that a consumer outlives its
// producers. A panic in a duty is passed to a callback.
package duty

import (
	"fmt"
	"runtime/debug"
	"sync"

	"github.com/panjf2000/ants/v2"
)

// Duty is one long-lived thread.
type Duty struct {
	Name string
	// Run executes the duty and returns after Stop has been called.
	Run func()
	// Stop makes Run return and does not wait for it. It is called at most once.
	Stop func()
}

// Group is the set of duties of a process.
type Group struct {
	pool    *ants.Pool
	onPanic func(name string, err error)

	mu      sync.Mutex
	running []runningDuty
}

type runningDuty struct {
	duty Duty
	done chan struct{}
}

// NewGroup returns a group of at most capacity duties. onPanic is called once for each duty
// that panics, on the goroutine that panicked.
func NewGroup(capacity int, onPanic func(name string, err error)) (*Group, error) {
	pool, err := ants.NewPool(capacity, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, fmt.Errorf("pool of %d duties: %w", capacity, err)
	}
	return &Group{pool: pool, onPanic: onPanic}, nil
}

// Start runs d on its own goroutine. It fails if the group is at capacity.
func (g *Group) Start(d Duty) error {
	r := runningDuty{duty: d, done: make(chan struct{})}
	err := g.pool.Submit(func() {
		defer close(r.done)
		defer g.recoverPanic(d.Name)
		d.Run()
	})
	if err != nil {
		return fmt.Errorf("start duty %q: %w", d.Name, err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = append(g.running, r)
	return nil
}

func (g *Group) recoverPanic(name string) {
	if v := recover(); v != nil {
		g.onPanic(name, fmt.Errorf("duty %q: %v\n%s", name, v, debug.Stack()))
	}
}

// Stop stops the duties in the reverse order of their start and waits for each.
func (g *Group) Stop() {
	g.mu.Lock()
	stopping := g.running
	g.running = nil
	g.mu.Unlock()
	for i := len(stopping) - 1; i >= 0; i-- {
		stopping[i].duty.Stop()
		<-stopping[i].done
	}
	g.pool.Release()
}
