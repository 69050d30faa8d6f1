package platform

import (
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

var errStopped = errors.New("the reader has been stopped")

// dialer keeps the connections of a client, so that a stop can end the calls that wait
// on them.
type dialer struct {
	network.Dialer

	mu      sync.Mutex
	conns   map[*trackedConn]struct{}
	stopped bool
}

func newDialer() *dialer {
	return &dialer{Dialer: standard.NewDialer(), conns: map[*trackedConn]struct{}{}}
}

// trackedConn leaves its dialer when it is closed.
type trackedConn struct {
	network.Conn
	dialer *dialer
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.dialer.mu.Lock()
	delete(c.dialer.conns, c)
	c.dialer.mu.Unlock()
	return c.Conn.Close()
}

// DialConnection connects and keeps the connection until it is closed.
func (d *dialer) DialConnection(n, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	raw, err := d.Dialer.DialConnection(n, address, timeout, config)
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

// closeAll closes all connections and refuses new ones.
func (d *dialer) closeAll() {
	d.mu.Lock()
	d.stopped = true
	open := d.conns
	d.conns = nil
	d.mu.Unlock()
	for c := range open {
		_ = c.Conn.Close()
	}
}
