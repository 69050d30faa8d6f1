package targetclient

import (
	"crypto/tls"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/targetapi"
)

// connections counts the open and the busy connections to each target.
type connections struct {
	mu      sync.Mutex
	targets map[string]*usage
}

// usage is the part of one target's address.
type usage struct {
	open int
	busy int
	// spare is the number that calls which may be left out have, of those allowed.
	spare   int
	allowed int
	known   bool
}

func newConnections() *connections { return &connections{targets: map[string]*usage{}} }

func (c *connections) of(address string) *usage {
	u, ok := c.targets[address]
	if !ok {
		u = &usage{}
		c.targets[address] = u
	}
	return u
}

// acquire counts one busy connection and reports whether a new one must be made for it.
// The engine's limits keep the number within the quota.
func (c *connections) acquire(address string, spare int) (dials bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.of(address)
	u.known = true
	u.allowed = spare
	u.busy++
	return u.busy > u.open
}

// acquireSpare counts one busy connection for a call that may be left out, where the
// part of the quota that requests never use has one. Before the first request the quota
// is not known, and one call at a time is within any.
func (c *connections) acquireSpare(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.of(address)
	allowed := u.allowed
	if !u.known {
		allowed = 1
	}
	if u.spare >= allowed {
		return false
	}
	u.spare++
	u.busy++
	return true
}

func (c *connections) releaseSpare(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.of(address)
	u.spare--
	u.busy--
}

func (c *connections) release(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of(address).busy--
}

func (c *connections) opened(address string, by int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of(address).open += by
}

// Connections returns the number of open connections to a target's address.
func (c *Client) Connections(address string) int {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if u, ok := c.conns.targets[address]; ok {
		return u.open
	}
	return 0
}

// countingDialer counts the connections that it makes until they are closed.
type countingDialer struct {
	network.Dialer
	conns *connections
}

// DialConnection makes a connection that is counted.
func (d *countingDialer) DialConnection(netw, address string, timeout time.Duration, cfg *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(netw, address, timeout, cfg)
	if err != nil {
		return nil, err
	}
	d.conns.opened(address, 1)
	return &countedConn{Conn: conn, closed: sync.OnceFunc(func() { d.conns.opened(address, -1) })}, nil
}

type countedConn struct {
	network.Conn
	closed func()
}

// Close closes the connection and counts it off, once.
func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// holdback is why a request was not sent after the check of its target; the zero value
// lets it go out.
type holdback struct {
	outcome engine.Outcome
	// claimed is the incarnation that the health endpoint spoke of, where it differs.
	claimed      uint64
	disconnected bool
}

// needsCheck reports whether a request must follow a check of its target.
func needsCheck(g *engine.Guard, dials bool) bool {
	return g.NotAfter != 0 || g.Probe || dials && g.Check
}

// checkIncarnation asks the health endpoint, over a connection that the request will
// use, whether the target is the one that the engine knows. A target whose health
// endpoint fails is not held to it.
//
// For a cold target within its published budget only the connection matters: the call
// is repeated by the HTTP client until it meets one that the target's restart did not
// break.
func (c *Client) checkIncarnation(address string, g *engine.Guard, left time.Duration) holdback {
	var health targetapi.HealthReply
	err := c.do(&call{address: address, path: targetapi.PathHealth, timeout: left}, &health)
	if err != nil && outcomeOfError(err) == engine.Unreachable {
		return holdback{outcome: engine.Unreachable, disconnected: true}
	}
	if err != nil || !g.Check {
		return holdback{}
	}
	if g.Incarnation == 0 && !health.Cold || g.Incarnation == health.Incarnation {
		return holdback{}
	}
	return holdback{outcome: engine.ColdRefused, claimed: health.Incarnation}
}
