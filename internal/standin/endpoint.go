package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"pollentack.example/pollentack/internal/edge/httpd"
)

// Endpoint is an additional address of the platform, meant for one host. It can be made to
// fail without affecting other hosts.
type Endpoint struct {
	platform *Platform
	down     atomic.Bool
	server   *httpd.Server
}

// StartEndpoint listens on address and serves the same calls as the platform itself.
func (p *Platform) StartEndpoint(address string) (*Endpoint, error) {
	e := &Endpoint{platform: p}
	s, err := httpd.Start(address, httpd.Options{MaxBodyBytes: maxBodyBytes}, func(h *server.Hertz) {
		h.Use(e.rejectWhenDown)
		p.routes(h)
	})
	if err != nil {
		return nil, fmt.Errorf("start stand-in platform endpoint: %w", err)
	}
	e.server = s
	return e, nil
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.server.Address() }

// SetDown makes every call through the endpoint fail with status 503, including watches in
// progress when they end, or work again.
func (e *Endpoint) SetDown(down bool) { e.down.Store(down) }

// Stop stops the endpoint.
func (e *Endpoint) Stop() { e.server.Close() }

// rejectWhenDown answers 503 if the endpoint is down before or after the call, so that a
// watch in progress fails too.
func (e *Endpoint) rejectWhenDown(ctx context.Context, c *app.RequestContext) {
	if !e.down.Load() {
		c.Next(ctx)
	}
	if e.down.Load() {
		c.Response.Reset()
		c.AbortWithStatus(http.StatusServiceUnavailable)
	}
}
