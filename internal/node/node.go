// Package node wires one host: its duties, the rings between them and its listeners.
//
// docs/DESIGN.md has the table of duties and rings. Decisions are in the cores; a duty
// only steps its core and carries out the effects.
package node

import (
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/membership"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/admin"
	"pollentack.example/pollentack/internal/edge/await"
	"pollentack.example/pollentack/internal/edge/front"
	"pollentack.example/pollentack/internal/edge/httpd"
	"pollentack.example/pollentack/internal/edge/mesh"
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
	options  Options
	log      zerolog.Logger
	tracer   *trace.Tracer
	clock    wallclock.Clock

	duties   *duty.Group
	queries  *queries
	dispatch *dispatch
	control  *controller
	health   *health
	reader   *platform.Reader
	members  *members
	front    *front.Front
	admin    *admin.Admin

	once    *oncePeers
	canary  *canaryPeers
	tickets *front.Once

	stopOnce  sync.Once
	drainOnce sync.Once
	drainCh   chan struct{}
	hurryOnce sync.Once
	hurry     chan struct{}
	failed    chan error
}

// Options are what the process gives its host beside the settings.
type Options struct {
	Log    zerolog.Logger
	Tracer *trace.Tracer
	// MeshDial replaces the dial of peers where it is set.
	MeshDial mesh.DialFunc
}

// Start runs a host until Stop. Listeners open last, so that no request meets a host
// whose duties do not run yet.
func Start(s *settings.Settings, o Options) (*Node, error) {
	n := &Node{
		settings: s, options: o, log: o.Log, tracer: o.Tracer, clock: wallclock.New(),
		failed: make(chan error, maxDuties), hurry: make(chan struct{}), drainCh: make(chan struct{}),
	}
	if err := n.start(); err != nil {
		n.Stop()
		return nil, fmt.Errorf("start host %q: %w", s.Host.Name, err)
	}
	n.publishMetrics()
	n.log.Info().Str("event", "host_started").Str("front", n.FrontAddress()).Str("admin", n.AdminAddress()).Send()
	return n, nil
}

func (n *Node) start() error {
	var err error
	if n.duties, err = duty.NewGroup(maxDuties, n.dutyFailed); err != nil {
		return err
	}
	if n.members, err = newMembers(n.settings, &n.options, n.clock); err != nil {
		return err
	}
	if err = n.startQueries(n.members.peers()); err != nil {
		return err
	}
	if err = n.startControl(); err != nil {
		return err
	}
	if err = n.startMembers(); err != nil {
		return err
	}
	return n.listen()
}

// startMembers starts the duty that the queries and the control duty hear from.
func (n *Node) startMembers() error {
	n.members.queries = n.queries.put
	n.members.control = n.control.put
	return n.duties.Start(n.members.duty())
}

func (n *Node) startQueries(peers Peers) error {
	client, err := targetclient.New(n.settings.Host.Name, n.clock, n.tracer)
	if err != nil {
		return err
	}
	tickets, err := onceConfig(n.settings)
	if err != nil {
		return err
	}
	n.queries = newQueries(n.settings, n.clock, &tickets)
	waiters := await.New[engine.OnceAnswer]()
	n.queries.deliverOnce = waiters.Deliver
	n.once = &oncePeers{peers: peers, clock: n.clock, submit: n.queries.submit, waiters: waiters}
	n.once.handedOver = func() bool { return n.queries.counted.Load().HandedOver }
	n.tickets = front.NewOnce(n.queries.submit, waiters, n.tracer)
	if n.dispatch, err = newDispatch(n.settings.Limits.Connections, client, n.queries.put); err != nil {
		return err
	}
	n.dispatch.peers = n.once
	n.canary = newCanaryPeers(peers, n.queries.submit)
	n.dispatch.canary = n.canary
	n.queries.deliverCanary = n.canary.waiters.Deliver
	n.queries.tell = n.members.tell
	n.queries.dispatch = n.dispatch.put
	n.queries.connections = client.Connections
	n.health = newHealth(client.Health, n.queries.put)
	for _, d := range []duty.Duty{n.dispatch.duty(), n.queries.duty(), n.health.duty()} {
		if err = n.duties.Start(d); err != nil {
			return err
		}
	}
	n.once.handle()
	n.canary.handle()
	return nil
}

func (n *Node) startControl() error {
	n.control = newController(n.settings, n.clock, n.log, n.inForce)
	n.control.peers = n.members.inForce
	n.control.reached = func(began time.Duration) { n.members.put(&membership.PlatformWord{Began: began}) }
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

// inForce hands a state that is in force to the duties that use it.
func (n *Node) inForce(ev engine.Event) bool {
	if r, ok := ev.(*engine.Release); ok {
		n.health.setState(r.State)
	}
	return n.queries.put(ev)
}

func (n *Node) listen() error {
	var err error
	limits := httpd.Limits{BodyBytes: n.settings.Limits.BodyBytes}
	n.front, err = front.Start(n.settings.Listen.Front, limits, n.tracer, func(s *engine.Submit) bool { return n.queries.submit(s) }, n.tickets.Routes)
	if err != nil {
		return err
	}
	n.queries.setDeliver(n.front.Deliver)
	n.members.setIsolated(n.front.SetIsolated)
	n.front.SetReady(n.Ready)
	n.admin, err = admin.Start(n.settings.Listen.Admin, httpd.Limits{BodyBytes: adminBodyBytes}, func() any { return n.Status() }, n.requestDrain)
	return err
}

// Ready reports whether the balancer may send callers here: a note is in force, and bodies
// that are not known need not wait for what peers hold against them.
func (n *Node) Ready() bool {
	return ready(n.control.status.Load().Note, n.members.settled.Load(), n.clock.Now().Mono)
}

func ready(note uint64, settled bool, sinceStart time.Duration) bool {
	return note > 0 && (settled || sinceStart >= settleLimit)
}

func (n *Node) dutyFailed(name string, err error) {
	n.log.Error().Str("event", "duty_panicked").Str("duty", name).Err(err).Send()
	n.failed <- err
}

// Failed yields the error of a duty that panicked; the process must then stop.
func (n *Node) Failed() <-chan error { return n.failed }

// DrainRequested is closed once an operator has asked for the graceful shutdown.
func (n *Node) DrainRequested() <-chan struct{} { return n.drainCh }

func (n *Node) requestDrain() { n.drainOnce.Do(func() { close(n.drainCh) }) }

// FrontAddress returns where callers reach the host.
func (n *Node) FrontAddress() string { return n.front.Address() }

// AdminAddress returns where operators reach the host.
func (n *Node) AdminAddress() string { return n.admin.Address() }
