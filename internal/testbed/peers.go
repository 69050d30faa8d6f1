package testbed

import (
	"fmt"
	"sync"
	"time"

	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/wire"
)

// localPeers carries calls between the hosts of one process in place of the mesh.
type localPeers struct {
	mu       sync.Mutex
	handlers map[string]map[wire.CallKind]mesh.Handler
}

func newLocalPeers() *localPeers {
	return &localPeers{handlers: map[string]map[wire.CallKind]mesh.Handler{}}
}

// join returns the peers of a host that has just started, with no handler yet.
func (p *localPeers) join(host string) *localPeer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[host] = map[wire.CallKind]mesh.Handler{}
	return &localPeer{peers: p, host: host}
}

func (p *localPeers) leave(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.handlers, host)
}

func (p *localPeers) handler(host string, kind wire.CallKind) mesh.Handler {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.handlers[host][kind]
}

type localPeer struct {
	peers *localPeers
	host  string
}

// Handle takes calls of a kind.
func (p *localPeer) Handle(kind wire.CallKind, h mesh.Handler) {
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	p.peers.handlers[p.host][kind] = h
}

// Call runs the peer's handler.
func (p *localPeer) Call(host string, kind wire.CallKind, payload []byte, _ time.Duration) ([]byte, error) {
	h := p.peers.handler(host, kind)
	if h == nil {
		return nil, fmt.Errorf("%w: host %q is gone", mesh.ErrNotSent, host)
	}
	return h(p.host, payload), nil
}
