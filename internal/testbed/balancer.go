package testbed

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"pollentack.example/pollentack/internal/duty"
)

// Balancer is a stand-in for the platform's balancer: it reads each host's check and
// acts on what it saw only after a lag.
type Balancer struct {
	lag    time.Duration
	client *client.Client
	group  *duty.Group
	stop   chan struct{}

	mu      sync.Mutex
	next    int
	backend []*backend
}

type backend struct {
	address string
	healthy bool
	// seen is the newest reading, which counts from due on.
	seen bool
	due  time.Time
}

const (
	balancerPause   = 20 * time.Millisecond
	balancerTimeout = 200 * time.Millisecond
)

// StartBalancer watches the fronts; a change counts lag after it was seen.
func StartBalancer(fronts []string, lag time.Duration) (*Balancer, error) {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(balancerTimeout))
	if err != nil {
		return nil, err
	}
	b := &Balancer{lag: lag, client: c, stop: make(chan struct{})}
	for _, address := range fronts {
		b.backend = append(b.backend, &backend{address: address, healthy: true, seen: true})
	}
	if b.group, err = duty.NewGroup(1, func(string, error) {}); err != nil {
		return nil, err
	}
	watch := duty.Duty{Name: "balancer", Run: b.watch, Stop: func() { close(b.stop) }}
	return b, b.group.Start(watch)
}

// Stop ends the watch.
func (b *Balancer) Stop() { b.group.Stop() }

// Replace tells of a new process at position i, which takes work once its check is good.
func (b *Balancer) Replace(i int, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backend[i] = &backend{address: address}
}

// Pick returns the next front in turn that the balancer takes for healthy.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.backend {
		b.next++
		if x := b.backend[b.next%len(b.backend)]; x.healthy {
			return x.address
		}
	}
	return b.backend[0].address
}

func (b *Balancer) watch() {
	for {
		select {
		case <-b.stop:
			return
		case <-time.After(balancerPause):
		}
		b.mu.Lock()
		backends := append([]*backend(nil), b.backend...)
		b.mu.Unlock()
		for _, x := range backends {
			b.note(x, b.check(x.address))
		}
	}
}

func (b *Balancer) note(x *backend, healthy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if healthy != x.seen {
		x.seen, x.due = healthy, now.Add(b.lag)
	}
	if !now.Before(x.due) {
		x.healthy = x.seen
	}
}

func (b *Balancer) check(address string) bool {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod("GET")
	req.SetRequestURI("http://" + address + "/healthz")
	err := b.client.DoTimeout(context.Background(), req, resp, balancerTimeout)
	return err == nil && resp.StatusCode() == http.StatusOK
}

// AwaitHealthy waits until the balancer gives work to position i.
func (b *Balancer) AwaitHealthy(i int) error {
	return Await("the balancer to take the new host", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.backend[i].healthy
	})
}
