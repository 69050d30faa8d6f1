package platform

import (
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

var errStopped = errors.New("platform reader stopped")

// trackingDialer records the open connections of a client, so that closing them ends the
// calls in progress.
type trackingDialer struct {
	network.Dialer

	mu      sync.Mutex
	conns   map[*trackedConn]struct{}
	stopped bool
}

func newTrackingDialer() *trackingDialer {
	return &trackingDialer{Dialer: standard.NewDialer(), conns: map[*trackedConn]struct{}{}}
}

// trackedConn removes itself from its dialer when it is closed.
type trackedConn struct {
	network.Conn
	dialer *trackingDialer
}

// Close implements network.Conn.
func (c *trackedConn) Close() error {
	c.dialer.mu.Lock()
	delete(c.dialer.conns, c)
	c.dialer.mu.Unlock()
	return c.Conn.Close()
}

// DialConnection implements network.Dialer. The connection is recorded until it is closed.
func (d *trackingDialer) DialConnection(networkName, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	raw, err := d.Dialer.DialConnection(networkName, address, timeout, config)
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{Conn: raw, dialer: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		_ = raw.Close()
		return nil, errStopped
	}
	d.conns[conn] = struct{}{}
	return conn, nil
}

// closeAll closes all connections and makes further dials fail with errStopped.
func (d *trackingDialer) closeAll() {
	d.mu.Lock()
	d.stopped = true
	conns := d.conns
	d.conns = nil
	d.mu.Unlock()
	for c := range conns {
		_ = c.Conn.Close()
	}
}
