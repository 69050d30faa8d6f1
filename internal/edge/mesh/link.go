package mesh

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"pollentack.example/pollentack/internal/core/membership"
	"pollentack.example/pollentack/internal/ring"
	"pollentack.example/pollentack/internal/wire"
)

// link is one yamux session with a peer.
type link struct {
	mesh        *Mesh
	peer        string
	incarnation membership.Incarnation
	session     *yamux.Session
	heartbeats  *yamux.Stream
	outbox      *ring.Ring[*wire.Heartbeat]
	streams     streamPool
	inflow      *inflow
	// calls is the number of calls in progress, in both directions. lastUsed is when the last
	// one ended, in nanoseconds since the Unix epoch.
	calls    atomic.Int64
	lastUsed atomic.Int64
	// probedAt is when probe began to wait for the peer, in nanoseconds since the Unix epoch, 0
	// while it does not.
	probedAt  atomic.Int64
	closeOnce sync.Once
}

func newLink(m *Mesh, session *yamux.Session, framed *frameConn, heartbeats *yamux.Stream, h *wire.Hello) *link {
	framed.waits.add(heartbeats)
	framed.inflow.attach(heartbeats.StreamID(), func() { m.endTransfer(h.GetHost(), heartbeats) })
	l := &link{
		mesh:        m,
		peer:        h.GetHost(),
		incarnation: h.GetIncarnation().ToCore(),
		session:     session,
		heartbeats:  heartbeats,
		streams:     streamPool{session: session, waits: framed.waits, reusable: h.GetReusesStreams()},
		inflow:      framed.inflow,
		outbox:      ring.New[*wire.Heartbeat]("mesh "+h.GetHost(), outboxCapacity),
	}
	l.lastUsed.Store(time.Now().UnixNano())
	return l
}

// sessionConfig returns the configuration of a session, which this host has dialed or accepted.
func (m *Mesh) sessionConfig(dialed bool) *yamux.Config {
	c := yamux.DefaultConfig()
	// Heartbeats, where they are required, detect a dead link sooner than keep-alive. One probe
	// of each link is enough: a host of a large fleet has a hundred links, mostly idle ones.
	c.EnableKeepAlive = m.options.Insecure && dialed
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = heartbeatTimeout
	c.StreamOpenTimeout = heartbeatTimeout
	c.StreamCloseTimeout = heartbeatTimeout
	c.LogOutput = io.Discard
	return c
}

// endTransfer ends the waits on a stream whose request or reply was not transferred in time.
func (m *Mesh) endTransfer(peer string, stream *yamux.Stream) {
	m.counters.transfersExpired.Add(1)
	m.options.Log.Warn().Str("event", "mesh_transfer_expired").Str("peer", peer).
		Str("reason", "request or reply was not transferred in time").Dur("limit", transferTimeout).Send()
	_ = stream.SetDeadline(past)
}

// countCall counts a call in progress and returns the function that ends it.
func (l *link) countCall() (end func()) {
	l.calls.Add(1)
	return func() {
		l.lastUsed.Store(time.Now().UnixNano())
		l.calls.Add(-1)
	}
}

// idleFor returns the time since the last call ended, 0 while there is one.
func (l *link) idleFor() time.Duration {
	if l.calls.Load() > 0 {
		return 0
	}
	return time.Duration(time.Now().UnixNano() - l.lastUsed.Load())
}

// serve accepts calls until the link ends. Heartbeats are read and written by one further
// worker each.
func (l *link) serve() {
	defer l.mesh.unregister(l)
	defer l.close()
	l.mesh.options.Emit(&membership.LinkUp{Peer: l.peer, Incarnation: l.incarnation})
	if l.mesh.linkWorkers.Submit(l.writeHeartbeats) != nil || l.mesh.linkWorkers.Submit(l.readHeartbeats) != nil {
		return
	}
	for {
		stream, err := l.session.AcceptStream()
		if err != nil {
			return
		}
		if l.mesh.callWorkers.Submit(func() { l.serveCalls(stream) }) != nil {
			l.refuseCall(stream)
		}
	}
}

// probe has the dial duty close the link unless the peer answers within probeTimeout. Calls that
// time out ask for it, so that a silent link is replaced sooner than keep-alive would find it.
func (l *link) probe() {
	if !l.probedAt.CompareAndSwap(0, time.Now().UnixNano()) {
		return
	}
	err := l.mesh.linkWorkers.Submit(func() {
		if _, err := l.session.Ping(); err != nil {
			l.close()
			return
		}
		l.probedAt.Store(0)
	})
	if err != nil {
		l.probedAt.Store(0)
	}
}

// unresponsive reports whether the peer has not answered a probe within probeTimeout.
func (l *link) unresponsive() bool {
	at := l.probedAt.Load()
	return at != 0 && time.Now().UnixNano()-at > int64(probeTimeout)
}

func (l *link) close() {
	l.closeOnce.Do(func() {
		l.outbox.Close()
		l.streams.waits.end()
		_ = l.session.Close()
	})
}

func (l *link) writeHeartbeats() {
	defer l.close()
	batch := make([]*wire.Heartbeat, 1)
	for {
		if _, ok := l.outbox.Take(batch, ring.Forever); !ok {
			return
		}
		if err := writeFrame(l.heartbeats, batch[0], wire.MaxHeartbeatBytes); err != nil {
			return
		}
		l.mesh.counters.heartbeatsSent.Add(1)
	}
}

func (l *link) readHeartbeats() {
	defer l.close()
	for {
		if !l.mesh.options.Insecure {
			if err := l.streams.waits.setReadDeadline(l.heartbeats, time.Now().Add(l.mesh.heartbeatTimeoutFor(l.peer))); err != nil {
				return
			}
		}
		h := &wire.Heartbeat{}
		n, err := l.mesh.readFrame(l.heartbeats, h, wire.MaxHeartbeatBytes)
		if err != nil {
			return
		}
		l.inflow.done(l.heartbeats.StreamID(), n)
		l.mesh.counters.heartbeatsReceived.Add(1)
		l.mesh.options.Emit(&membership.HeartbeatReceived{Peer: l.peer, Incarnation: l.incarnation, Heartbeat: h.ToCore()})
	}
}

// heartbeatTimeoutFor returns the time without a heartbeat after which the link to a peer is
// closed. Heartbeats are less frequent on links made on demand.
func (m *Mesh) heartbeatTimeoutFor(peer string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.persistent[peer] {
		return heartbeatTimeout
	}
	return demandHeartbeatTimeout
}

// writeFrame writes msg as one frame of at most limit bytes.
func writeFrame(w io.Writer, msg proto.Message, limit int) error {
	if _, err := wire.WriteFrame(w, msg, limit); err != nil {
		return fmt.Errorf("mesh stream: %w", err)
	}
	return nil
}

// readFrame reads one frame of at most limit bytes into msg and returns its length. It counts oversized and
// malformed frames.
func (m *Mesh) readFrame(r io.Reader, msg proto.Message, limit int) (int, error) {
	n, err := wire.ReadFrame(r, msg, limit)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, wire.ErrOversized):
		m.counters.framesOversized.Add(1)
	case errors.Is(err, wire.ErrMalformed):
		m.counters.framesMalformed.Add(1)
	}
	return n, fmt.Errorf("mesh stream: %w", err)
}
