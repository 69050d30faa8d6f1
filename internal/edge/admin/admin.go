// Package admin is the listener for operators: status and metrics.
package admin

import (
	"context"
	"expvar"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"pollentack.example/pollentack/internal/edge/httpd"
)

// Paths of the operator listener.
const (
	PathStatus  = "/v1/status"
	PathMetrics = "/debug/vars"
)

// Admin is the listener for operators.
type Admin struct {
	status func() any
	server *httpd.Server
}

// Start listens on address; status gives what PathStatus returns as JSON.
func Start(address string, limits httpd.Limits, status func() any) (*Admin, error) {
	a := &Admin{status: status}
	s, err := httpd.Start(address, limits, a.routes)
	if err != nil {
		return nil, err
	}
	a.server = s
	return a, nil
}

// Address returns where the listener is.
func (a *Admin) Address() string { return a.server.Address() }

// Stop ends the listener.
func (a *Admin) Stop() { a.server.Close() }

func (a *Admin) routes(h *server.Hertz) {
	h.GET(PathStatus, func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, a.status()) })
	h.GET(PathMetrics, a.metrics)
}

// metrics writes the process's expvar variables and the host's status under "host".
func (a *Admin) metrics(_ context.Context, c *app.RequestContext) {
	vars := map[string]any{"host": a.status()}
	expvar.Do(func(kv expvar.KeyValue) { vars[kv.Key] = rawJSON(kv.Value.String()) })
	c.JSON(http.StatusOK, vars)
}

// rawJSON is text that is JSON already.
type rawJSON string

// MarshalJSON returns the text unchanged.
func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }
