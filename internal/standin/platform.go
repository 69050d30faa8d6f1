package standin

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"pollentack.example/pollentack/internal/edge/httpd"
	"pollentack.example/pollentack/internal/platformapi"
)

// PathPublish takes a new note; it belongs to the stand-in alone.
const PathPublish = "/standin/notes"

// Platform is a stand-in configuration service.
type Platform struct {
	mu       sync.Mutex
	notes    map[uint64][]byte
	head     platformapi.Head
	changed  chan struct{}
	down     bool
	calls    uint64
	hosts    []platformapi.HostEntry
	server   *httpd.Server
	stopping chan struct{}
	stopOnce sync.Once
}

// StartPlatform listens on address, where port 0 takes a free one.
func StartPlatform(address string) (*Platform, error) {
	p := &Platform{notes: map[uint64][]byte{}, changed: make(chan struct{}), stopping: make(chan struct{})}
	s, err := httpd.Start(address, httpd.Limits{BodyBytes: maxBody}, p.routes)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	p.server = s
	return p, nil
}

// Address returns where the platform listens.
func (p *Platform) Address() string { return p.server.Address() }

// EndWatches answers all waiting watches; later ones do not wait.
func (p *Platform) EndWatches() { p.stopOnce.Do(func() { close(p.stopping) }) }

// Stop ends the platform; waiting watches are answered first.
func (p *Platform) Stop() {
	p.EndWatches()
	p.server.Close()
}

// Publish makes text note number. A baseline is where a starting host begins to read.
func (p *Platform) Publish(number uint64, baseline bool, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notes[number] = text
	p.head.Number = max(p.head.Number, number)
	if baseline {
		p.head.Baseline = max(p.head.Baseline, number)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown makes every call fail, or work again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Calls returns the number of calls taken so far, waiting watches included.
func (p *Platform) Calls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// SetHosts replaces the list of hosts.
func (p *Platform) SetHosts(hosts []platformapi.HostEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
}

func (p *Platform) routes(h *server.Hertz) {
	h.Use(p.count)
	h.GET(platformapi.PathHead, p.getHead)
	h.GET(platformapi.PathNote+"/:number", p.getNote)
	h.GET(platformapi.PathHosts, p.getHosts)
	h.POST(PathPublish, p.postNote)
}

func (p *Platform) count(ctx context.Context, c *app.RequestContext) {
	p.mu.Lock()
	p.calls++
	down := p.down
	p.mu.Unlock()
	if down {
		c.AbortWithStatus(http.StatusServiceUnavailable)
		return
	}
	c.Next(ctx)
}

func (p *Platform) getHead(_ context.Context, c *app.RequestContext) {
	after, _ := strconv.ParseUint(c.Query("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(c.Query("wait"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		head, changed := p.current()
		if head.Number > after || waitMillis == 0 {
			c.JSON(http.StatusOK, head)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waitMillis = 0
		case <-p.stopping:
			waitMillis = 0
		}
	}
}

func (p *Platform) current() (platformapi.Head, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.head, p.changed
}

func (p *Platform) getNote(_ context.Context, c *app.RequestContext) {
	number, err := strconv.ParseUint(c.Param("number"), 10, 64)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	text, ok := p.notes[number]
	p.mu.Unlock()
	if !ok {
		c.Status(http.StatusNotFound)
		return
	}
	c.Data(http.StatusOK, "text/plain", text)
}

func (p *Platform) getHosts(_ context.Context, c *app.RequestContext) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.JSON(http.StatusOK, p.hosts)
}

func (p *Platform) postNote(_ context.Context, c *app.RequestContext) {
	number, err := strconv.ParseUint(c.Query("number"), 10, 64)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	text := append([]byte(nil), c.Request.Body()...)
	p.Publish(number, c.Query("baseline") == "true", text)
	c.Status(http.StatusNoContent)
}
