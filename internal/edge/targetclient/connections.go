package targetclient

import (
	"crypto/tls"
	"fmt"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/targetapi"
)

// connections counts the open and the busy connections to each target, by address. Part of
// this host's quota of connections to a target is reserved for calls that may be dropped:
// cancellations and health checks.
type connections struct {
	mu      sync.Mutex
	targets map[string]*targetUsage
}

// targetUsage counts the connections to one target.
type targetUsage struct {
	open int
	busy int
	// reservedBusy is the number of reserved connections in use.
	reservedBusy int
	reserved     int
	// quotaKnown is set by the first request, which gives the value of reserved.
	quotaKnown bool
}

func newConnections() *connections { return &connections{targets: map[string]*targetUsage{}} }

func (c *connections) usageOf(address string) *targetUsage {
	u, ok := c.targets[address]
	if !ok {
		u = &targetUsage{}
		c.targets[address] = u
	}
	return u
}

// acquire counts one busy connection for a request and reports whether it needs a new
// connection. It sets the number of reserved connections. The engine's concurrency limits
// keep requests within the rest of the quota.
func (c *connections) acquire(address string, reserved int) (dials bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.usageOf(address)
	u.quotaKnown = true
	u.reserved = reserved
	u.busy++
	return u.busy > u.open
}

// acquireReserved counts one busy connection for a call that may be dropped, and reports
// false if no reserved connection is free. Before the first request the quota is unknown,
// and one call at a time is allowed, which is within any quota.
func (c *connections) acquireReserved(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.usageOf(address)
	reserved := u.reserved
	if !u.quotaKnown {
		reserved = 1
	}
	if u.reservedBusy >= reserved {
		return false
	}
	u.reservedBusy++
	u.busy++
	return true
}

func (c *connections) releaseReserved(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.usageOf(address)
	u.reservedBusy--
	u.busy--
}

func (c *connections) release(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usageOf(address).busy--
}

func (c *connections) addOpen(address string, delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usageOf(address).open += delta
}

// OpenConnections returns the number of open connections to the target at address.
func (c *Client) OpenConnections(address string) int {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if u, ok := c.conns.targets[address]; ok {
		return u.open
	}
	return 0
}

// countingDialer counts the open connections that it has dialed.
type countingDialer struct {
	network.Dialer
	conns *connections
}

// DialConnection implements network.Dialer. The connection is counted until it is closed.
func (d *countingDialer) DialConnection(networkName, address string, timeout time.Duration, cfg *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(networkName, address, timeout, cfg)
	if err != nil {
		return nil, err
	}
	d.conns.addOpen(address, 1)
	return &countedConn{Conn: conn, closed: sync.OnceFunc(func() { d.conns.addOpen(address, -1) })}, nil
}

type countedConn struct {
	network.Conn
	closed func()
}

var errHeadTooLarge = fmt.Errorf("head of a reply has more than %d bytes", maxReplyHeadBytes)

// Peek implements network.Reader. The HTTP client peeks only at heads and trailers, and asks
// for more bytes until one is complete.
func (c *countedConn) Peek(n int) ([]byte, error) {
	if n > maxReplyHeadBytes && n > c.Len() {
		return nil, errHeadTooLarge
	}
	return c.Conn.Peek(n)
}

// Close closes the connection. Only the first call changes the count of open connections.
func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// checkResult is the reason not to send a request, as found by the check of its target. With
// the zero value the request may be sent.
type checkResult struct {
	outcome engine.Outcome
	// reportedIncarnation is the incarnation that the health endpoint returned, if it is not
	// the expected one.
	reportedIncarnation uint64
	disconnected        bool
}

// needsCheck reports whether the target must be checked before a request is sent.
func needsCheck(g *engine.Guard, dials bool) bool {
	return g.NotAfter != 0 || g.ProbeConnection || dials && g.CheckIncarnation
}

// checkTarget calls the health endpoint, over a connection that the request will use, and
// compares the incarnation of the target with the one that the engine expects. The request
// is sent even if the health endpoint fails, unless the target is unreachable.
//
// Without Guard.CheckIncarnation, as for a cold target within its published budget, only the
// connection matters: the HTTP client repeats the call until it uses a connection that was not
// broken by a restart of the target.
func (c *Client) checkTarget(address string, g *engine.Guard, left time.Duration) checkResult {
	var health targetapi.HealthReply
	err := c.send(&httpCall{address: address, path: targetapi.PathHealth, timeout: left}, &health)
	if err != nil && errorOutcome(err) == engine.Unreachable {
		return checkResult{outcome: engine.Unreachable, disconnected: true}
	}
	if err != nil || !g.CheckIncarnation {
		return checkResult{}
	}
	if g.Incarnation == 0 && !health.Cold || g.Incarnation == health.Incarnation {
		return checkResult{}
	}
	return checkResult{outcome: engine.ColdRefused, reportedIncarnation: health.Incarnation}
}
