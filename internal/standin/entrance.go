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

// Entrance is an address of the platform's for one host, which can be cut by itself.
type Entrance struct {
	platform *Platform
	down     atomic.Bool
	server   *httpd.Server
}

// StartEntrance listens on address and serves what the platform serves.
func (p *Platform) StartEntrance(address string) (*Entrance, error) {
	e := &Entrance{platform: p}
	s, err := httpd.Start(address, httpd.Limits{BodyBytes: maxBody}, func(h *server.Hertz) {
		h.Use(e.guard)
		p.routes(h)
	})
	if err != nil {
		return nil, fmt.Errorf("entrance: %w", err)
	}
	e.server = s
	return e, nil
}

// Address returns where the entrance listens.
func (e *Entrance) Address() string { return e.server.Address() }

// SetDown makes every call through the entrance fail, watches in progress included, or
// work again.
func (e *Entrance) SetDown(down bool) { e.down.Store(down) }

// Stop ends the entrance.
func (e *Entrance) Stop() { e.server.Close() }

func (e *Entrance) guard(ctx context.Context, c *app.RequestContext) {
	if !e.down.Load() {
		c.Next(ctx)
	}
	if e.down.Load() {
		c.Response.Reset()
		c.AbortWithStatus(http.StatusServiceUnavailable)
	}
}
