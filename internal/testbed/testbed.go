package testbed

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/edge/trace"
	"pollentack.example/pollentack/internal/node"
	"pollentack.example/pollentack/internal/note"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
)

// loopbackAnyPort is a listen address with a port that the system selects.
const loopbackAnyPort = "127.0.0.1:0"

// Options are the settings of a testbed in addition to its layout.
type Options struct {
	Log    zerolog.Logger
	Tracer *trace.Tracer
	// AdjustSettings changes the settings of host i before it starts; nil changes nothing.
	AdjustSettings func(i int, s *settings.Settings)
}

// Testbed is a running stand-in platform with its targets and hosts.
type Testbed struct {
	Layout   Layout
	Platform *standin.Platform
	Targets  map[string]*standin.Target
	Nodes    []*node.Node

	options  Options
	hosts    []release.Host
	lastNote uint64
	mesh     *meshNetwork
	// platformEndpoints are addresses of the platform, one for each host, so that each host
	// can be cut off from the platform separately.
	platformEndpoints []*standin.Endpoint
}

// Start starts the layout and waits until the first note is active on every host.
func Start(layout Layout, options Options) (*Testbed, error) {
	if options.Tracer == nil {
		options.Tracer = trace.NewDisabled()
	}
	t := &Testbed{Layout: layout, Targets: map[string]*standin.Target{}, options: options, mesh: newMeshNetwork()}
	if err := t.start(); err != nil {
		t.Stop()
		return nil, fmt.Errorf("start testbed: %w", err)
	}
	return t, nil
}

func (t *Testbed) start() error {
	platform, err := standin.StartPlatform(loopbackAnyPort)
	if err != nil {
		return err
	}
	t.Platform = platform
	if err := t.startTargets(); err != nil {
		return err
	}
	if err := t.assignHosts(); err != nil {
		return err
	}
	t.Publish(t.baseline())
	for i := range t.hosts {
		n, err := t.StartNode(i)
		if err != nil {
			return err
		}
		t.Nodes = append(t.Nodes, n)
	}
	return t.AwaitNote(t.lastNote)
}

func (t *Testbed) startTargets() error {
	for i := range t.Layout.Services {
		s := &t.Layout.Services[i]
		for _, shard := range s.targetNames() {
			for _, name := range shard {
				if t.Targets[name] != nil {
					continue
				}
				target, err := standin.StartTarget(name, loopbackAnyPort, t.Layout.Seed, s.Behavior)
				if err != nil {
					return err
				}
				t.Targets[name] = target
			}
		}
	}
	return nil
}

// assignHosts assigns each host a mesh address, which the first note must contain before the
// hosts start, and a platform endpoint.
func (t *Testbed) assignHosts() error {
	for i := range t.Layout.Hosts {
		address, err := freeAddress(meshIP(i))
		if err != nil {
			return err
		}
		endpoint, err := t.Platform.StartEndpoint(loopbackAnyPort)
		if err != nil {
			return err
		}
		t.platformEndpoints = append(t.platformEndpoints, endpoint)
		t.mesh.hostIndex[address] = i
		zone := t.Layout.Zones[i%len(t.Layout.Zones)]
		t.hosts = append(t.hosts, release.Host{Name: fmt.Sprintf("host-%d", i+1), Zone: zone.Name, MeshAddress: address})
	}
	return nil
}

// meshIP returns a loopback IP address that only the mesh listener of host i uses. The first
// note contains the mesh port before the host listens on it; on an IP address of its own, no
// other listener of the testbed can take the port in between. The process ID separates
// testbeds that run at the same time.
func meshIP(i int) string {
	const perOctet = 250
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, i/perOctet, 1+i%perOctet)
}

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress() (string, error) { return freeAddress("127.0.0.1") }

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func (t *Testbed) baseline() *release.Note {
	n := &release.Note{Number: 1, Baseline: true}
	for i := range t.Layout.Zones {
		n.Items = append(n.Items, release.Item{Op: release.Add, Zone: &t.Layout.Zones[i]})
	}
	for i := range t.hosts {
		n.Items = append(n.Items, release.Item{Op: release.Add, Host: &t.hosts[i]})
	}
	addresses := map[string]string{}
	for name, target := range t.Targets {
		addresses[name] = target.Address()
	}
	for i := range t.Layout.Services {
		n.Items = append(n.Items, t.Layout.Services[i].items(t.Layout.Zones, addresses)...)
	}
	n.Items = append(n.Items, t.Layout.callerItems()...)
	return n
}

// Publish publishes a note on the platform.
func (t *Testbed) Publish(n *release.Note) {
	t.lastNote = max(t.lastNote, n.Number)
	t.Platform.Publish(n.Number, n.Baseline, note.Format(n))
}

// PublishChange publishes items as a note that follows the last one, and returns its number.
func (t *Testbed) PublishChange(items ...release.Item) uint64 {
	t.Publish(&release.Note{Number: t.lastNote + 1, Follows: t.lastNote, Items: items})
	return t.lastNote
}

// StartNode starts a node for host i. The caller must stop the node or store it in Nodes.
func (t *Testbed) StartNode(i int) (*node.Node, error) {
	s := settings.Default()
	s.Host.Name = t.hosts[i].Name
	s.Host.Zone = t.hosts[i].Zone
	s.Listen.Front = loopbackAnyPort
	s.Listen.Admin = loopbackAnyPort
	s.Listen.Mesh = t.hosts[i].MeshAddress
	for _, h := range t.hosts {
		s.Mesh.Seeds = append(s.Mesh.Seeds, settings.Seed{Name: h.Name, Address: h.MeshAddress})
	}
	s.Platform.Address = t.platformEndpoints[i].Address()
	s.Platform.MaxWait = time.Second
	s.Policy.Seed = int(t.Layout.Seed) + i
	s.Stop.BalancerLag = 0
	if t.options.AdjustSettings != nil {
		t.options.AdjustSettings(i, s)
	}
	log := t.options.Log.With().Str("host", s.Host.Name).Str("availability_zone", s.Host.Zone).Logger()
	return node.Start(s, node.Options{Log: log, Tracer: t.options.Tracer, MeshDial: t.mesh.dialer(i)})
}

const (
	awaitTimeout    = 10 * time.Second
	awaitPollPeriod = 5 * time.Millisecond
)

// AwaitNote waits until note number is active on every host.
func (t *Testbed) AwaitNote(number uint64) error {
	return Await(fmt.Sprintf("note %d to be active on %d hosts", number, len(t.Nodes)), func() bool {
		for _, n := range t.Nodes {
			if n.Status().Note < number {
				return false
			}
		}
		return true
	})
}

// AwaitReady waits until every host reports to balancers that it is ready.
func (t *Testbed) AwaitReady() error {
	return Await(fmt.Sprintf("%d hosts to be ready", len(t.Nodes)), func() bool {
		return !slices.ContainsFunc(t.Nodes, func(n *node.Node) bool { return !n.Ready() })
	})
}

// Await waits until condition holds, or returns an error that names what after awaitTimeout.
func Await(what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("timed out after %s waiting for %s", awaitTimeout, what)
		case <-time.After(awaitPollPeriod):
		}
	}
	return nil
}

// ZoneOf returns the published availability zone of a target, or "" if there is none.
func (t *Testbed) ZoneOf(target string) string {
	for i := range t.Layout.Services {
		for shard, names := range t.Layout.Services[i].targetNames() {
			if replica := slices.Index(names, target); replica >= 0 {
				return t.Layout.Zones[(shard+replica)%len(t.Layout.Zones)].Name
			}
		}
	}
	return ""
}

// FrontAddresses returns the front addresses of the hosts, for callers.
func (t *Testbed) FrontAddresses() []string {
	fronts := make([]string, len(t.Nodes))
	for i, n := range t.Nodes {
		fronts[i] = n.FrontAddress()
	}
	return fronts
}

// Stop stops the hosts gracefully, then the targets and the platform.
func (t *Testbed) Stop() {
	for _, n := range t.Nodes {
		n.Stop()
	}
	for _, target := range t.Targets {
		target.Stop()
	}
	if t.Platform != nil {
		t.Platform.EndWatches()
		for _, e := range t.platformEndpoints {
			e.Stop()
		}
		t.Platform.Stop()
	}
}
