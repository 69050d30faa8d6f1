// Package node wires one host: its duties, the rings between them and its listeners.
//
// docs/DESIGN.md has the table of duties and rings. Decisions are in the cores; a duty
// only steps its core and carries out the effects.
package node

import (
	"fmt"
	"sync"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/admin"
	"pollentack.example/pollentack/internal/edge/front"
	"pollentack.example/pollentack/internal/edge/httpd"
	"pollentack.example/pollentack/internal/edge/platform"
	"pollentack.example/pollentack/internal/edge/targetclient"
	"pollentack.example/pollentack/internal/edge/trace"
	"pollentack.example/pollentack/internal/edge/wallclock"
	"pollentack.example/pollentack/internal/settings"
)

// maxDuties bounds the threads of a host.
const maxDuties = 16

// adminBodyBytes bounds a request to the operator listener.
const adminBodyBytes = 64 << 10

// Node is one running host.
type Node struct {
	settings *settings.Settings
	log      zerolog.Logger
	tracer   *trace.Tracer
	clock    wallclock.Clock

	duties   *duty.Group
	queries  *queries
	dispatch *dispatch
	control  *controller
	reader   *platform.Reader
	front    *front.Front
	admin    *admin.Admin

	stopOnce sync.Once
	failed   chan error
}

// Options are what the process gives its host beside the settings.
type Options struct {
	Log    zerolog.Logger
	Tracer *trace.Tracer
}

// Start runs a host until Stop. Listeners open last, so that no request meets a host
// whose duties do not run yet.
func Start(s *settings.Settings, o Options) (*Node, error) {
	n := &Node{settings: s, log: o.Log, tracer: o.Tracer, clock: wallclock.New(), failed: make(chan error, maxDuties)}
	if err := n.start(); err != nil {
		n.Stop()
		return nil, fmt.Errorf("start host %q: %w", s.Host.Name, err)
	}
	n.log.Info().Str("event", "host_started").Str("front", n.FrontAddress()).Str("admin", n.AdminAddress()).Send()
	return n, nil
}

func (n *Node) start() error {
	var err error
	if n.duties, err = duty.NewGroup(maxDuties, n.dutyFailed); err != nil {
		return err
	}
	if err = n.startQueries(); err != nil {
		return err
	}
	if err = n.startControl(); err != nil {
		return err
	}
	return n.listen()
}

func (n *Node) startQueries() error {
	client, err := targetclient.New(n.settings.Host.Name, n.clock, n.tracer)
	if err != nil {
		return err
	}
	n.queries = newQueries(n.settings, n.clock)
	if n.dispatch, err = newDispatch(n.settings.Limits.Connections, client, n.queries.put); err != nil {
		return err
	}
	n.queries.dispatch = n.dispatch.put
	if err = n.duties.Start(n.dispatch.duty()); err != nil {
		return err
	}
	return n.duties.Start(n.queries.duty())
}

func (n *Node) startControl() error {
	n.control = newController(n.settings, n.clock, n.log, func(ev engine.Event) bool { return n.queries.put(ev) })
	reader, err := platform.NewReader(n.settings.Platform.Address, n.clock, n.control.put)
	if err != nil {
		return err
	}
	n.reader = reader
	n.control.platform = reader.Put
	if err := n.duties.Start(n.control.duty()); err != nil {
		return err
	}
	for _, d := range reader.Duties() {
		if err := n.duties.Start(d); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) listen() error {
	var err error
	limits := httpd.Limits{BodyBytes: n.settings.Limits.BodyBytes}
	n.front, err = front.Start(n.settings.Listen.Front, limits, n.tracer, func(s *engine.Submit) bool { return n.queries.submit(s) })
	if err != nil {
		return err
	}
	n.queries.setDeliver(n.front.Deliver)
	n.admin, err = admin.Start(n.settings.Listen.Admin, httpd.Limits{BodyBytes: adminBodyBytes}, func() any { return n.Status() })
	return err
}

func (n *Node) dutyFailed(name string, err error) {
	n.log.Error().Str("event", "duty_panicked").Str("duty", name).Err(err).Send()
	n.failed <- err
}

// Failed yields the error of a duty that panicked; the process must then stop.
func (n *Node) Failed() <-chan error { return n.failed }

// FrontAddress returns where callers reach the host.
func (n *Node) FrontAddress() string { return n.front.Address() }

// AdminAddress returns where operators reach the host.
func (n *Node) AdminAddress() string { return n.admin.Address() }

// Stop is the graceful shutdown: it fails the balancer's check, lets every request in
// progress end and then stops the duties.
func (n *Node) Stop() { n.stopOnce.Do(n.stop) }

func (n *Node) stop() {
	if n.front != nil {
		n.front.FailHealth()
		n.queries.put(&engine.Drain{})
		n.queries.awaitIdle()
		n.front.Stop()
	}
	if n.admin != nil {
		n.admin.Stop()
	}
	if n.duties != nil {
		n.duties.Stop()
	}
	n.log.Info().Str("event", "host_stopped").Send()
}
