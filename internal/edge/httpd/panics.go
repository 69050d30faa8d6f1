package httpd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
)

// A panic on a thread of a connection would end the process, and hertz recovers none. Its parser
// panics on some request targets.

// recoverRequest returns the handler that hertz calls after a panic in a handler, or in the parser of
// the request target. The request is answered, and its connection closed.
func recoverRequest(onPanic func(error)) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		onPanic(fmt.Errorf("panic in a request handler:\n%s", debug.Stack()))
		c.Response.Header.ResetSkipNormalize()
		c.Response.ResetBody()
		c.SetStatusCode(http.StatusInternalServerError)
		c.Response.SetConnectionClose()
	}
}

// recoveringTransporter ends the connection whose thread panics anywhere else.
type recoveringTransporter struct {
	network.Transporter
	onPanic func(error)
}

// recoverConnections returns a constructor of transporters that recover.
func recoverConnections(create func(*config.Options) network.Transporter, onPanic func(error)) func(*config.Options) network.Transporter {
	return func(o *config.Options) network.Transporter {
		return &recoveringTransporter{Transporter: create(o), onPanic: onPanic}
	}
}

// Listener returns the listener, nil until there is one.
func (t *recoveringTransporter) Listener() net.Listener {
	if v, ok := t.Transporter.(interface{ Listener() net.Listener }); ok {
		return v.Listener()
	}
	return nil
}

// ListenAndServe implements network.Transporter.
func (t *recoveringTransporter) ListenAndServe(onData network.OnData) error {
	return t.Transporter.ListenAndServe(func(ctx context.Context, conn any) (err error) {
		defer func() {
			if v := recover(); v != nil {
				err = fmt.Errorf("panic on a connection: %v\n%s", v, debug.Stack())
				t.onPanic(err)
			}
		}()
		return onData(ctx, conn)
	})
}
