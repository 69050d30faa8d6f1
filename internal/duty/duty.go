// Package duty runs the long-lived threads of a process, one for each duty.
//
// It is the only package that starts goroutines, and it starts them on an ants pool.
// Duties start in the order in which they are added and stop in the reverse order,
// so that a consumer outlives its producers. A panic is reported and stops the group.
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
	// Run returns when the duty has been stopped.
	Run func()
	// Stop makes Run return; it does not wait. It is called at most once.
	Stop func()
}

// Group is the set of duties of a process.
type Group struct {
	pool    *ants.Pool
	onPanic func(name string, err error)

	mu      sync.Mutex
	running []running
}

type running struct {
	duty Duty
	done chan struct{}
}

// NewGroup returns a group of at most capacity duties. onPanic is called once for
// each duty that panics, on the thread that panicked.
func NewGroup(capacity int, onPanic func(name string, err error)) (*Group, error) {
	pool, err := ants.NewPool(capacity, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, fmt.Errorf("pool of %d duties: %w", capacity, err)
	}
	return &Group{pool: pool, onPanic: onPanic}, nil
}

// Start runs d on a thread of its own.
func (g *Group) Start(d Duty) error {
	r := running{duty: d, done: make(chan struct{})}
	err := g.pool.Submit(func() {
		defer close(r.done)
		defer g.report(d.Name)
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

func (g *Group) report(name string) {
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
