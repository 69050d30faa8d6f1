// Package node wires one host: its duties, the rings between them and its listeners.
//
// docs/DESIGN.md lists the duties and rings. All decisions are made in the cores: a duty
// only steps its core and applies the resulting effects.
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
	"pollentack.example/pollentack/internal/edge/callerapi"
	"pollentack.example/pollentack/internal/edge/httpd"
	"pollentack.example/pollentack/internal/edge/listen"
	"pollentack.example/pollentack/internal/edge/logs"
	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/edge/platform"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/edge/targetclient"
	"pollentack.example/pollentack/internal/edge/trace"
	"pollentack.example/pollentack/internal/settings"
)

// maxDuties bounds the number of duties of a host.
const maxDuties = 16

// adminBodyBytes bounds the body of a request to the admin listener.
const adminBodyBytes = 64 << 10

// Node is one running host.
type Node struct {
	settings *settings.Settings
	options  Options
	log      zerolog.Logger
	tracer   *trace.Tracer
	clock    sysclock.Clock

	duties     *duty.Group
	queries    *queries
	dispatch   *dispatch
	control    *controller
	health     *health
	reader     *platform.Reader
	membership *membershipDuty
	front      *callerapi.Server
	admin      *admin.Server

	panics *logs.Panics

	once    *oncePeers
	canary  *canaryPeers
	tickets *callerapi.OnceHandler

	stopOnce       sync.Once
	drainOnce      sync.Once
	drainRequested chan struct{}
	skipWaitsOnce  sync.Once
	skipWaits      chan struct{}
	failed         chan error
}

// Options are the dependencies that the process supplies to a host in addition to its
// settings.
type Options struct {
	Log    zerolog.Logger
	Tracer *trace.Tracer
	// MeshDial, if set, replaces the default function that dials peers.
	MeshDial mesh.DialFunc
}

// Start starts a host, which runs until Stop. Listeners open last, so that no request
// arrives before the duties run.
func Start(s *settings.Settings, o Options) (*Node, error) {
	n := &Node{
		settings: s, options: o, log: o.Log, tracer: o.Tracer, clock: sysclock.New(),
		failed: make(chan error, maxDuties), skipWaits: make(chan struct{}), drainRequested: make(chan struct{}),
		panics: logs.NewPanics(o.Log),
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
	if n.membership, err = newMembershipDuty(n.settings, &n.options, n.clock, n.panics.Report); err != nil {
		return err
	}
	if err = n.startQueries(n.membership.peers()); err != nil {
		return err
	}
	if err = n.startControl(); err != nil {
		return err
	}
	if err = n.startMembership(); err != nil {
		return err
	}
	return n.listen()
}

// startMembership connects the membership duty to the query and control duties and starts
// it.
func (n *Node) startMembership() error {
	n.membership.queries = n.queries.put
	n.membership.control = n.control.put
	return n.duties.Start(n.membership.duty())
}

func (n *Node) startQueries(peers PeerTransport) error {
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
	n.once.handedOver = func() bool { return n.queries.status.Load().HandedOver }
	n.tickets = callerapi.NewOnceHandler(n.queries.submit, waiters, n.tracer)
	if n.dispatch, err = newDispatch(n.settings.Limits.Connections, client, n.queries.put, n.panics.Report); err != nil {
		return err
	}
	n.dispatch.peers = n.once
	n.canary = newCanaryPeers(peers, n.queries.submit)
	n.dispatch.canary = n.canary
	n.queries.deliverCanary = n.canary.waiters.Deliver
	n.queries.putPeerEffects = n.membership.putEngineEffects
	n.queries.dispatch = n.dispatch.put
	n.queries.connections = client.OpenConnections
	n.health = newHealth(client.CheckHealth, n.queries.put)
	for _, d := range []duty.Duty{n.dispatch.duty(), n.queries.duty(), n.health.duty()} {
		if err = n.duties.Start(d); err != nil {
			return err
		}
	}
	n.once.registerHandlers()
	n.canary.registerHandlers()
	return nil
}

func (n *Node) startControl() error {
	n.control = newController(n.settings, n.clock, n.log, n.putControlEvent)
	n.control.publishPeerSnapshot = n.membership.setPeerSnapshot
	n.control.platformReached = func(began time.Duration) { n.membership.put(&membership.PlatformReached{Began: began}) }
	reader, err := platform.NewReader(n.settings.Platform.Address, n.clock, n.control.put)
	if err != nil {
		return err
	}
	n.reader = reader
	n.control.callPlatform = reader.Put
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

// putControlEvent passes an event of the control duty to the query duty, and a new state
// also to the health duty.
func (n *Node) putControlEvent(ev engine.Event) bool {
	if r, ok := ev.(*engine.Release); ok {
		n.health.setState(r.State)
	}
	return n.queries.put(ev)
}

func (n *Node) listen() error {
	limits := httpd.Options{MaxBodyBytes: n.settings.Limits.BodyBytes, OnPanic: n.panics.Report}
	socket, err := listen.TCP(n.settings.Listen.Front, n.log)
	if err != nil {
		return err
	}
	n.front, err = callerapi.Start(socket, limits, n.tracer, func(s *engine.Submit) bool { return n.queries.submit(s) }, n.tickets.Routes)
	if err != nil {
		return err
	}
	n.queries.setDeliver(n.front.Deliver)
	n.membership.setIsolationHandler(n.front.SetIsolated)
	n.front.SetReadinessCheck(n.Ready)
	if socket, err = listen.TCP(n.settings.Listen.Admin, n.log); err != nil {
		return err
	}
	n.admin, err = admin.Start(socket, httpd.Options{MaxBodyBytes: adminBodyBytes, OnPanic: n.panics.Report}, func() any { return n.Status() }, n.requestDrain)
	return err
}

// Ready reports whether the balancer may send requests to this host: a note is in force,
// and either the facts of the peers have been received or peerStateTimeout has passed, so
// that requests with unknown bodies need not wait for the quarantine facts of the peers.
func (n *Node) Ready() bool {
	return ready(n.control.status.Load().Note, n.membership.peerStateReceived.Load(), n.clock.Now().Mono)
}

func ready(note uint64, peerStateReceived bool, sinceStart time.Duration) bool {
	return note > 0 && (peerStateReceived || sinceStart >= peerStateTimeout)
}

func (n *Node) dutyFailed(name string, err error) {
	n.log.Error().Str("event", "duty_panicked").Str("duty", name).Err(err).Send()
	n.failed <- err
}

// Failed returns a channel that receives the error of a duty that panicked. The process
// must then stop.
func (n *Node) Failed() <-chan error { return n.failed }

// DrainRequested returns a channel that is closed once an operator has requested a
// graceful shutdown.
func (n *Node) DrainRequested() <-chan struct{} { return n.drainRequested }

func (n *Node) requestDrain() { n.drainOnce.Do(func() { close(n.drainRequested) }) }

// FrontAddress returns the address of the listener for callers.
func (n *Node) FrontAddress() string { return n.front.Address() }

// AdminAddress returns the address of the listener for operators.
func (n *Node) AdminAddress() string { return n.admin.Address() }
