package testbed

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

var errLinkCut = errors.New("the testbed has cut the link between the hosts")

// meshNetwork tracks the mesh links between hosts and can cut the links of a pair.
type meshNetwork struct {
	mu        sync.Mutex
	hostIndex map[string]int
	cut       map[[2]int]bool
	links     map[*link]bool
}

func newMeshNetwork() *meshNetwork {
	return &meshNetwork{hostIndex: map[string]int{}, cut: map[[2]int]bool{}, links: map[*link]bool{}}
}

// link is a connection between two hosts.
type link struct {
	net.Conn
	network *meshNetwork
	pair    [2]int
}

// Close closes the link.
func (c *link) Close() error {
	c.network.mu.Lock()
	delete(c.network.links, c)
	c.network.mu.Unlock()
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("close link: %w", err)
	}
	return nil
}

func pairOf(i, j int) [2]int { return [2]int{min(i, j), max(i, j)} }

// dialer returns the function with which host i dials its peers.
func (n *meshNetwork) dialer(i int) func(string, time.Duration) (net.Conn, error) {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		pair, err := n.pairTo(i, address)
		if err != nil {
			return nil, err
		}
		raw, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		conn := &link{Conn: raw, network: n, pair: pair}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cut[pair] {
			_ = raw.Close()
			return nil, errLinkCut
		}
		n.links[conn] = true
		return conn, nil
	}
}

func (n *meshNetwork) pairTo(from int, address string) ([2]int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pair := pairOf(from, n.hostIndex[address])
	if n.cut[pair] {
		return pair, errLinkCut
	}
	return pair, nil
}

// setCut cuts or restores the links of a pair. A cut closes the open links.
func (n *meshNetwork) setCut(pair [2]int, cut bool) {
	n.mu.Lock()
	n.cut[pair] = cut
	var ended []*link
	for c := range n.links {
		if cut && c.pair == pair {
			ended = append(ended, c)
		}
	}
	n.mu.Unlock()
	for _, c := range ended {
		_ = c.Close()
	}
}

// SetLinkCut cuts or restores the mesh link between hosts i and j.
func (t *Testbed) SetLinkCut(i, j int, cut bool) { t.mesh.setCut(pairOf(i, j), cut) }

// SetHostCut cuts or restores all mesh links of host i.
func (t *Testbed) SetHostCut(i int, cut bool) {
	for j := range t.hosts {
		if j != i {
			t.SetLinkCut(i, j, cut)
		}
	}
}

// SetPartitioned cuts or restores every mesh link between the first count hosts and the
// others.
func (t *Testbed) SetPartitioned(count int, cut bool) {
	for i := range count {
		for j := count; j < len(t.hosts); j++ {
			t.SetLinkCut(i, j, cut)
		}
	}
}

// SetPlatformCut cuts or restores the path of host i to the platform. Every call of the host
// fails while the path is cut.
func (t *Testbed) SetPlatformCut(i int, cut bool) { t.platformEndpoints[i].SetDown(cut) }
