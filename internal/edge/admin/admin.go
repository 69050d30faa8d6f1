// Package admin is the HTTP server for operators: status, metrics and drain.
package admin

import (
	"context"
	"expvar"
	"net"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"pollentack.example/pollentack/internal/edge/httpd"
)

// Paths of the operator endpoints.
const (
	PathStatus  = "/v1/status"
	PathMetrics = "/debug/vars"
	PathDrain   = "/v1/drain"
)

// Server is the HTTP server for operators.
type Server struct {
	status func() any
	drain  func()
	server *httpd.Server
}

// Start serves operators on socket. status returns the value that PathStatus encodes as JSON; drain
// begins the graceful shutdown and returns without waiting for it.
func Start(socket net.Listener, options httpd.Options, status func() any, drain func()) (*Server, error) {
	a := &Server{status: status, drain: drain}
	s, err := httpd.Serve(socket, options, a.routes)
	if err != nil {
		return nil, err
	}
	a.server = s
	return a, nil
}

// Address returns the host and port that the server listens on.
func (a *Server) Address() string { return a.server.Address() }

// Stop stops the server.
func (a *Server) Stop() { a.server.Close() }

func (a *Server) routes(h *server.Hertz) {
	h.GET(PathStatus, func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, a.status()) })
	h.GET(PathMetrics, a.metrics)
	h.POST(PathDrain, func(_ context.Context, c *app.RequestContext) {
		a.drain()
		c.Status(http.StatusAccepted)
	})
}

// metrics writes the expvar variables of the process as JSON. Each host has an entry in the
// map "hosts" or "gateways".
func (a *Server) metrics(_ context.Context, c *app.RequestContext) {
	vars := map[string]any{}
	expvar.Do(func(kv expvar.KeyValue) { vars[kv.Key] = rawJSON(kv.Value.String()) })
	c.JSON(http.StatusOK, vars)
}

// rawJSON is text that is already encoded as JSON.
type rawJSON string

// MarshalJSON returns the text unchanged.
func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }
