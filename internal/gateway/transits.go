package gateway

import (
	"sync"
	"time"

	"pollentack.example/pollentack/internal/core/relay"
	"pollentack.example/pollentack/internal/edge/sysclock"
)

// transits dates this host's messages and measures how long those of peers were on their way.
type transits struct {
	clock sysclock.Clock
	// process identifies this process, whose clock dates the messages.
	process uint64

	mu    sync.Mutex
	known *relay.Transits
}

func newTransits(clk sysclock.Clock) *transits {
	return &transits{clock: clk, process: uint64(clk.Now().Wall), known: relay.NewTransits()}
}

// stamp returns this process and the time on its clock.
func (t *transits) stamp() (process uint64, sentAt time.Duration) {
	return t.process, t.clock.Now().Mono
}

// observe returns how much longer than usual a message was on its way, 0 if the peer does not date its
// messages.
func (t *transits) observe(peer string, process uint64, sentAt, arrivedAt time.Duration) time.Duration {
	if process == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known.Observe(peer, process, sentAt, arrivedAt)
}

// observeHello is observe for the hello with which a link begins. It shows the usual transit before the
// first call of a process that has just started.
func (t *transits) observeHello(peer string, process uint64, sentAt time.Duration) {
	t.observe(peer, process, sentAt, t.clock.Now().Mono)
}
