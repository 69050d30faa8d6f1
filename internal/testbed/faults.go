package testbed

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

var errCut = errors.New("the testbed has cut this path")

// network carries the mesh links between hosts and can cut pairs of them.
type network struct {
	mu    sync.Mutex
	names map[string]int
	cut   map[[2]int]bool
	conns map[*pairConn]bool
}

func newNetwork() *network {
	return &network{names: map[string]int{}, cut: map[[2]int]bool{}, conns: map[*pairConn]bool{}}
}

// pairConn is a link between two hosts.
type pairConn struct {
	net.Conn
	network *network
	pair    [2]int
}

// Close closes the link.
func (c *pairConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("close link: %w", err)
	}
	return nil
}

func pairOf(i, j int) [2]int { return [2]int{min(i, j), max(i, j)} }

// dialer returns how host i reaches its peers.
func (n *network) dialer(i int) func(string, time.Duration) (net.Conn, error) {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		pair, err := n.path(i, address)
		if err != nil {
			return nil, err
		}
		raw, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		conn := &pairConn{Conn: raw, network: n, pair: pair}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cut[pair] {
			_ = raw.Close()
			return nil, errCut
		}
		n.conns[conn] = true
		return conn, nil
	}
}

func (n *network) path(from int, address string) ([2]int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pair := pairOf(from, n.names[address])
	if n.cut[pair] {
		return pair, errCut
	}
	return pair, nil
}

// setCut cuts or restores a pair; a cut ends the links that stand.
func (n *network) setCut(pair [2]int, cut bool) {
	n.mu.Lock()
	n.cut[pair] = cut
	var ended []*pairConn
	for c := range n.conns {
		if cut && c.pair == pair {
			ended = append(ended, c)
		}
	}
	n.mu.Unlock()
	for _, c := range ended {
		_ = c.Close()
	}
}

// CutMesh cuts or restores the path between hosts i and j.
func (t *Testbed) CutMesh(i, j int, cut bool) { t.network.setCut(pairOf(i, j), cut) }

// CutHost cuts or restores all mesh paths of host i.
func (t *Testbed) CutHost(i int, cut bool) {
	for j := range t.hosts {
		if j != i {
			t.CutMesh(i, j, cut)
		}
	}
}

// Partition cuts every path between the hosts below count and the others, or restores it.
func (t *Testbed) Partition(count int, cut bool) {
	for i := range count {
		for j := count; j < len(t.hosts); j++ {
			t.CutMesh(i, j, cut)
		}
	}
}

// CutPlatform makes every call of host i to the platform fail, or work again.
func (t *Testbed) CutPlatform(i int, cut bool) { t.entrances[i].SetDown(cut) }
