package standin

import (
	"fmt"
	"net"
	"sync"
	"time"

	"pollentack.example/pollentack/internal/targetapi"
)

// Warming is how a stand-in target behaves while it is cold. With neither Requests nor
// Time it stays cold until its behaviour is changed.
type Warming struct {
	// Requests is the number of answers after which it is warm.
	Requests int
	// Time is how long after its start it is warm.
	Time time.Duration
	// FallsOver makes it restart when it gets more than its cold budget.
	FallsOver bool
	// Down is how long it refuses connections while it restarts.
	Down time.Duration
}

// coldCounts is what the target saw while cold.
type coldCounts struct {
	since    time.Time
	answered int
	peak     int
	excess   int
	falls    int
	warmAt   time.Time
}

// ColdReport is what a stand-in target counted itself.
type ColdReport struct {
	Cold bool
	// Peak is the most requests in progress while cold; Excess counts those refused
	// because they were above the budget.
	Peak   int
	Excess int
	// Falls counts the times that it fell over.
	Falls int
	// Warmed is how long it was cold, 0 while it is.
	Warmed time.Duration
	// Connections is the most that were open at a time.
	Connections int
	// LastBegan is when it last began work.
	LastBegan time.Time
	Served    uint64
}

// Report returns the target's own counts.
func (t *Target) Report() ColdReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmByTime()
	r := ColdReport{
		Cold:      t.behaviour.Cold,
		Peak:      t.cold.peak,
		Excess:    t.cold.excess,
		Falls:     t.cold.falls,
		LastBegan: t.lastBegan,

		Connections: t.listener.mostOpen(),
		Served:      t.served,
	}
	if !t.cold.warmAt.IsZero() {
		r.Warmed = t.cold.warmAt.Sub(t.cold.since)
	}
	return r
}

// Restart gives the target a new, cold incarnation, which refuses connections for down.
func (t *Target) Restart(down time.Duration) {
	t.mu.Lock()
	falls := t.cold.falls
	t.restart(down)
	t.cold = coldCounts{since: time.Now(), falls: falls}
	t.mu.Unlock()
}

func (t *Target) restart(down time.Duration) {
	t.incarnation++
	t.running = 0
	for ref, ch := range t.cancels {
		delete(t.cancels, ref)
		close(ch)
	}
	t.behaviour.Cold = true
	t.cold.answered = 0
	t.cold.warmAt = time.Time{}
	t.listener.restart(down)
}

// overloaded counts work above the capacity. A cold target that falls over restarts.
func (t *Target) overloaded() {
	if !t.behaviour.Cold {
		return
	}
	t.cold.excess++
	t.cold.peak = max(t.cold.peak, t.running+1)
	if t.behaviour.Warming.FallsOver {
		t.cold.falls++
		t.restart(t.behaviour.Warming.Down)
	}
}

func (t *Target) countBegin() {
	t.lastBegan = time.Now()
	if t.behaviour.Cold {
		t.cold.peak = max(t.cold.peak, t.running)
	}
}

func (t *Target) warmByRequest() {
	w := &t.behaviour.Warming
	if !t.behaviour.Cold || w.Requests == 0 {
		return
	}
	t.cold.answered++
	if t.cold.answered >= w.Requests {
		t.warm()
	}
}

func (t *Target) warmByTime() {
	w := &t.behaviour.Warming
	if t.behaviour.Cold && w.Time > 0 && time.Since(t.cold.since) >= w.Time {
		t.warm()
	}
}

func (t *Target) warm() {
	t.behaviour.Cold = false
	t.cold.warmAt = time.Now()
}

// expired reports whether the request came after the turn in which it was sent.
func expired(notAfterMicros int64) bool {
	return notAfterMicros > 0 && time.Now().UnixMicro() >= notAfterMicros
}

// timeLeft is how long the target may work on the request.
func timeLeft(req *targetapi.SearchRequest) time.Duration {
	left := time.Duration(req.DeadlineMicros) * time.Microsecond
	if req.NotAfterMicros > 0 {
		left = min(left, time.Until(time.UnixMicro(req.NotAfterMicros)))
	}
	return left
}

// restartListener is a listener that can refuse connections for a while, as a process
// does that restarts. It breaks the connections that it accepted before.
type restartListener struct {
	address net.Addr

	mu     sync.Mutex
	inner  net.Listener
	conns  map[net.Conn]bool
	peak   int
	upAt   time.Time
	closed bool
}

// relistenPause is the wait between attempts to listen again.
const relistenPause = 5 * time.Millisecond

func listenRestartable(address string) (*restartListener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &restartListener{address: inner.Addr(), inner: inner, conns: map[net.Conn]bool{}}, nil
}

// Addr returns the address, which stays the same.
func (l *restartListener) Addr() net.Addr { return l.address }

// Close ends the listener.
func (l *restartListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return l.inner.Close()
}

// restart breaks all connections and refuses new ones for down.
func (l *restartListener) restart(down time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upAt = time.Now().Add(down)
	_ = l.inner.Close()
	for conn := range l.conns {
		_ = conn.Close()
	}
	clear(l.conns)
}

// Accept returns the next connection, also after a restart.
func (l *restartListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.current().Accept()
		if err == nil {
			return l.track(conn), nil
		}
		if !l.listenAgain() {
			return nil, err
		}
	}
}

func (l *restartListener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner
}

// listenAgain waits for the end of the restart; it reports false once closed.
func (l *restartListener) listenAgain() bool {
	for {
		time.Sleep(relistenPause)
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			return false
		}
		if time.Now().Before(l.upAt) {
			l.mu.Unlock()
			continue
		}
		inner, err := net.Listen("tcp", l.address.String())
		if err == nil {
			l.inner = inner
		}
		l.mu.Unlock()
		if err == nil {
			return true
		}
	}
}

func (l *restartListener) mostOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak
}

func (l *restartListener) track(conn net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
	l.peak = max(l.peak, len(l.conns))
	return &trackedConn{Conn: conn, listener: l}
}

// trackedConn is a connection that the listener breaks on a restart.
type trackedConn struct {
	net.Conn
	listener *restartListener
}

// Close closes the connection and forgets it.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// ConnectionPeak returns the most connections that were open at a time.
func (t *Target) ConnectionPeak() int {
	t.listener.mu.Lock()
	defer t.listener.mu.Unlock()
	return t.listener.peak
}
