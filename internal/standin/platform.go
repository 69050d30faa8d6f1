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

// PathPublish accepts a new note. Only the stand-in has this endpoint; it is not part of
// the platform interface.
const PathPublish = "/standin/notes"

// Platform is a stand-in configuration service.
type Platform struct {
	mu             sync.Mutex
	notes          map[uint64][]byte
	head           platformapi.Head
	changed        chan struct{}
	down           bool
	calls          uint64
	hosts          []platformapi.HostEntry
	server         *httpd.Server
	watchesEnded   chan struct{}
	endWatchesOnce sync.Once
}

// StartPlatform starts a platform on address; port 0 selects a free port.
func StartPlatform(address string) (*Platform, error) {
	p := &Platform{notes: map[uint64][]byte{}, changed: make(chan struct{}), watchesEnded: make(chan struct{})}
	s, err := httpd.Start(address, httpd.Options{MaxBodyBytes: maxBodyBytes}, p.routes)
	if err != nil {
		return nil, fmt.Errorf("start stand-in platform: %w", err)
	}
	p.server = s
	return p, nil
}

// Address returns the address that the platform listens on.
func (p *Platform) Address() string { return p.server.Address() }

// EndWatches answers all waiting watches immediately; later ones do not wait.
func (p *Platform) EndWatches() { p.endWatchesOnce.Do(func() { close(p.watchesEnded) }) }

// Stop answers all waiting watches and stops the platform.
func (p *Platform) Stop() {
	p.EndWatches()
	p.server.Close()
}

// Publish publishes text as the note with this number. A starting host reads notes from
// the newest baseline on.
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

// SetDown makes every new call fail with status 503, or work again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Calls returns the number of calls received so far, including waiting watches.
func (p *Platform) Calls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// SetHosts replaces the published list of hosts.
func (p *Platform) SetHosts(hosts []platformapi.HostEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
}

func (p *Platform) routes(h *server.Hertz) {
	h.Use(p.countCall)
	h.GET(platformapi.PathHead, p.getHead)
	h.GET(platformapi.PathNotes+"/:number", p.getNote)
	h.GET(platformapi.PathHosts, p.getHosts)
	h.POST(PathPublish, p.postNote)
}

// countCall counts the call, and answers 503 while the platform is down.
func (p *Platform) countCall(ctx context.Context, c *app.RequestContext) {
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

// getHead returns the head. With a wait it blocks until there is a note above after, the
// wait in milliseconds is over, or EndWatches is called.
func (p *Platform) getHead(_ context.Context, c *app.RequestContext) {
	after, _ := strconv.ParseUint(c.Query("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(c.Query("wait"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		head, changed := p.currentHead()
		if head.Number > after || waitMillis == 0 {
			c.JSON(http.StatusOK, head)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waitMillis = 0
		case <-p.watchesEnded:
			waitMillis = 0
		}
	}
}

func (p *Platform) currentHead() (platformapi.Head, <-chan struct{}) {
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
