package standin

import (
	"fmt"
	"net"
	"sync"
	"time"

	"pollentack.example/pollentack/internal/targetapi"
)

// WarmUp configures a stand-in target while it is cold. If AfterAnswers and AfterTime are
// both 0, the target stays cold until its behavior is changed.
type WarmUp struct {
	// AfterAnswers is the number of answered requests after which the target is warm.
	AfterAnswers int
	// AfterTime is the time from its start, a Restart or a Crash until the target is warm.
	AfterTime time.Duration
	// RestartOnOverload makes the cold target restart when it receives more concurrent
	// requests than its cold budget.
	RestartOnOverload bool
	// Downtime is how long the target refuses connections while it restarts.
	Downtime time.Duration
}

// coldStats counts events of the target while it is cold.
type coldStats struct {
	start            time.Time
	answered         int
	peakRunning      int
	shed             int
	overloadRestarts int
	warmAt           time.Time
}

// TargetReport holds the counters of a stand-in target.
type TargetReport struct {
	Cold bool
	// ColdPeakRunning is the maximum number of concurrent requests while cold, including one
	// that was refused. ColdShed counts the requests refused while cold because they
	// exceeded the cold budget.
	ColdPeakRunning int
	ColdShed        int
	// OverloadRestarts counts the restarts caused by exceeding the cold budget.
	OverloadRestarts int
	// WarmUpTime is the time from the last Restart or Crash until the target was warm, 0
	// while it is cold.
	WarmUpTime time.Duration
	// PeakConnections is the maximum number of open connections.
	PeakConnections int
	// LastStart is the time at which the target last started a request.
	LastStart time.Time
	// Served counts the requests that were started.
	Served uint64
}

// Report returns the target's counters.
func (t *Target) Report() TargetReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkWarmUpTime()
	r := TargetReport{
		Cold:             t.behavior.Cold,
		ColdPeakRunning:  t.cold.peakRunning,
		ColdShed:         t.cold.shed,
		OverloadRestarts: t.cold.overloadRestarts,
		LastStart:        t.lastStart,

		PeakConnections: t.listener.peakConnections(),
		Served:          t.served,
	}
	if !t.cold.warmAt.IsZero() {
		r.WarmUpTime = t.cold.warmAt.Sub(t.cold.start)
	}
	return r
}

// Restart starts a new, cold incarnation of the target, which refuses connections for
// down. It resets ColdPeakRunning, ColdShed and WarmUpTime of the report.
func (t *Target) Restart(down time.Duration) {
	t.mu.Lock()
	overloadRestarts := t.cold.overloadRestarts
	t.restartLocked(down)
	t.cold = coldStats{start: time.Now(), overloadRestarts: overloadRestarts}
	t.mu.Unlock()
}

// restartLocked cancels all requests, closes all connections and starts a new, cold
// incarnation. The caller holds the lock.
func (t *Target) restartLocked(down time.Duration) {
	t.incarnation++
	t.running = 0
	for ref, ch := range t.cancels {
		delete(t.cancels, ref)
		close(ch)
	}
	t.behavior.Cold = true
	t.cold.answered = 0
	t.cold.warmAt = time.Time{}
	t.listener.restart(down)
}

// recordShed counts a request above the cold budget, and restarts the target if WarmUp
// says so. The caller holds the lock.
func (t *Target) recordShed() {
	if !t.behavior.Cold {
		return
	}
	t.cold.shed++
	t.cold.peakRunning = max(t.cold.peakRunning, t.running+1)
	if t.behavior.WarmUp.RestartOnOverload {
		t.cold.overloadRestarts++
		t.restartLocked(t.behavior.WarmUp.Downtime)
	}
}

// recordStart records the start of a request. The caller holds the lock.
func (t *Target) recordStart() {
	t.lastStart = time.Now()
	if t.behavior.Cold {
		t.cold.peakRunning = max(t.cold.peakRunning, t.running)
	}
}

// recordAnswer counts an answered request, after which the target may be warm. The caller
// holds the lock.
func (t *Target) recordAnswer() {
	w := &t.behavior.WarmUp
	if !t.behavior.Cold || w.AfterAnswers == 0 {
		return
	}
	t.cold.answered++
	if t.cold.answered >= w.AfterAnswers {
		t.markWarm()
	}
}

// checkWarmUpTime marks the target as warm once WarmUp.AfterTime has passed. The caller
// holds the lock.
func (t *Target) checkWarmUpTime() {
	w := &t.behavior.WarmUp
	if t.behavior.Cold && w.AfterTime > 0 && time.Since(t.cold.start) >= w.AfterTime {
		t.markWarm()
	}
}

func (t *Target) markWarm() {
	t.behavior.Cold = false
	t.cold.warmAt = time.Now()
}

// expired reports whether a request arrived after its NotAfterMicros, the end of the turn in
// which its host may use the cold target: a time in microseconds since the Unix epoch, or 0
// for none.
func expired(notAfterMicros int64) bool {
	return notAfterMicros > 0 && time.Now().UnixMicro() >= notAfterMicros
}

// workLimit returns how long the target may work on the request: until its deadline or its
// NotAfterMicros, whichever is earlier.
func workLimit(req *targetapi.SearchRequest) time.Duration {
	left := time.Duration(req.DeadlineMicros) * time.Microsecond
	if req.NotAfterMicros > 0 {
		left = min(left, time.Until(time.UnixMicro(req.NotAfterMicros)))
	}
	return left
}

// restartableListener is a listener that simulates a process restart: it closes all
// accepted connections and refuses new ones for a while.
type restartableListener struct {
	address net.Addr

	mu        sync.Mutex
	inner     net.Listener
	conns     map[net.Conn]bool
	peakConns int
	reopenAt  time.Time
	closed    bool
}

// relistenInterval is the pause between attempts to listen again.
const relistenInterval = 5 * time.Millisecond

func listenRestartable(address string) (*restartableListener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &restartableListener{address: inner.Addr(), inner: inner, conns: map[net.Conn]bool{}}, nil
}

// Addr returns the address, which restarts do not change.
func (l *restartableListener) Addr() net.Addr { return l.address }

// Close closes the listener; accepted connections stay open.
func (l *restartableListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return l.inner.Close()
}

// restart closes all connections and refuses new ones for down.
func (l *restartableListener) restart(down time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reopenAt = time.Now().Add(down)
	_ = l.inner.Close()
	for conn := range l.conns {
		_ = conn.Close()
	}
	clear(l.conns)
}

// Accept returns the next connection. It waits while the listener restarts, and fails only
// once the listener is closed.
func (l *restartableListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.current().Accept()
		if err == nil {
			return l.track(conn), nil
		}
		if !l.relisten() {
			return nil, err
		}
	}
}

func (l *restartableListener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner
}

// relisten waits until the restart is over and listens again. It returns false if the
// listener is closed.
func (l *restartableListener) relisten() bool {
	for {
		time.Sleep(relistenInterval)
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			return false
		}
		if time.Now().Before(l.reopenAt) {
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

func (l *restartableListener) peakConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peakConns
}

func (l *restartableListener) track(conn net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
	l.peakConns = max(l.peakConns, len(l.conns))
	return &trackedConn{Conn: conn, listener: l}
}

// trackedConn is a connection that the listener closes on a restart.
type trackedConn struct {
	net.Conn
	listener *restartableListener
}

// Close closes the connection and removes it from the listener.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// PeakConnections returns the maximum number of open connections.
func (t *Target) PeakConnections() int {
	t.listener.mu.Lock()
	defer t.listener.mu.Unlock()
	return t.listener.peakConns
}
