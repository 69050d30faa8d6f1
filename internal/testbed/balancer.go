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

// Balancer is a stand-in for the platform's load balancer. It polls the health check of
// each host and applies a change of its result only after a lag.
type Balancer struct {
	lag    time.Duration
	client *client.Client
	group  *duty.Group
	stop   chan struct{}

	mu       sync.Mutex
	next     int
	backends []*backend
}

type backend struct {
	address string
	healthy bool
	// lastCheck is the newest result of the health check. It applies from effectiveAt on.
	lastCheck   bool
	effectiveAt time.Time
}

const (
	balancerPollPeriod   = 20 * time.Millisecond
	balancerCheckTimeout = 200 * time.Millisecond
)

// StartBalancer starts a balancer for the hosts' front addresses. A change of a health
// check applies lag after it was first observed.
func StartBalancer(fronts []string, lag time.Duration) (*Balancer, error) {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(balancerCheckTimeout))
	if err != nil {
		return nil, err
	}
	b := &Balancer{lag: lag, client: c, stop: make(chan struct{})}
	for _, address := range fronts {
		b.backends = append(b.backends, &backend{address: address, healthy: true, lastCheck: true})
	}
	if b.group, err = duty.NewGroup(1, func(string, error) {}); err != nil {
		return nil, err
	}
	watch := duty.Duty{Name: "balancer", Run: b.pollChecks, Stop: func() { close(b.stop) }}
	return b, b.group.Start(watch)
}

// Stop ends the polling.
func (b *Balancer) Stop() { b.group.Stop() }

// Replace sets the address of a new process at position i, which gets requests once its
// health check passes.
func (b *Balancer) Replace(i int, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backends[i] = &backend{address: address}
}

// Pick returns the next healthy front in round-robin order, or the first front if none is
// healthy.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.backends {
		b.next++
		if x := b.backends[b.next%len(b.backends)]; x.healthy {
			return x.address
		}
	}
	return b.backends[0].address
}

func (b *Balancer) pollChecks() {
	for {
		select {
		case <-b.stop:
			return
		case <-time.After(balancerPollPeriod):
		}
		b.mu.Lock()
		backends := append([]*backend(nil), b.backends...)
		b.mu.Unlock()
		for _, x := range backends {
			b.recordCheck(x, b.check(x.address))
		}
	}
}

func (b *Balancer) recordCheck(x *backend, healthy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if healthy != x.lastCheck {
		x.lastCheck, x.effectiveAt = healthy, now.Add(b.lag)
	}
	if !now.Before(x.effectiveAt) {
		x.healthy = x.lastCheck
	}
}

func (b *Balancer) check(address string) bool {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod("GET")
	req.SetRequestURI("http://" + address + "/healthz")
	err := b.client.DoTimeout(context.Background(), req, resp, balancerCheckTimeout)
	return err == nil && resp.StatusCode() == http.StatusOK
}

// AwaitHealthy waits until the balancer considers the host at position i healthy.
func (b *Balancer) AwaitHealthy(i int) error {
	return Await("the balancer to mark the new host healthy", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.backends[i].healthy
	})
}
