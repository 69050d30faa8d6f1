package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/wire"
)

// incarnationRetention is how long an older incarnation of a peer is refused after the link
// to the newer one has ended. It is limited so that a host whose clock was set back can
// join again.
const incarnationRetention = 30 * time.Second

// helloTimeout bounds the handshake on a connection once TLS is set up: the wait for the heartbeat
// stream, and the exchange of hellos. The deadline of a stream does not end a read while the session
// waits for the rest of a frame of that stream.
const helloTimeout = 2 * handshakeTimeout

var (
	errStopped   = errors.New("mesh is stopping")
	errDuplicate = errors.New("there is already a link to this peer")
	errTooMany   = errors.New("too many links")
)

// refusedError is the refusal of a peer's hello.
type refusedError struct {
	reason wire.Refusal
	peer   string
}

func (e *refusedError) Error() string {
	return fmt.Sprintf("hello of peer %q refused: %s", e.peer, e.reason)
}

func (m *Mesh) newHello(to string) *wire.Hello {
	h := &wire.Hello{
		Version:       wire.ProtocolVersion,
		Host:          m.options.Host,
		Zone:          m.options.Zone,
		Incarnation:   wire.FromIncarnation(m.options.Incarnation),
		To:            to,
		ReusesStreams: true,
	}
	if m.options.Stamp != nil {
		process, sentAt := m.options.Stamp()
		h.Process, h.SentAt = process, int64(sentAt)
	}
	return h
}

// observeHello passes on when a peer's hello was sent, which has just arrived.
func (m *Mesh) observeHello(h *wire.Hello) {
	if m.options.Observe != nil && h.GetProcess() != 0 {
		m.options.Observe(h.GetHost(), h.GetProcess(), time.Duration(h.GetSentAt()))
	}
}

var errDialPanicked = errors.New("dial panicked")

// connectThen is connect, and calls ended with its result, also if it panics: calls wait for that.
func (m *Mesh) connectThen(host release.Host, ended func(*link, error)) (*link, error) {
	var l *link
	err := errDialPanicked
	defer func() { ended(l, err) }()
	l, err = m.connect(host)
	return l, err
}

// connect dials a host, performs the handshake and registers the link.
func (m *Mesh) connect(host release.Host) (*link, error) {
	conn, err := m.dial(host)
	if err != nil {
		m.counters.dialsFailed.Add(1)
		return nil, err
	}
	l, err := m.dialSession(conn, host.Name)
	if err != nil {
		m.counters.dialsFailed.Add(1)
		_ = conn.Close()
		return nil, err
	}
	return l, nil
}

// dial opens the connection to a host, with TLS if certificates are configured.
func (m *Mesh) dial(host release.Host) (net.Conn, error) {
	config, err := m.security.clientConfig(host)
	if err != nil {
		m.counters.countRefusal(wire.Refusal_REFUSAL_CERTIFICATE)
		return nil, err
	}
	conn, err := m.options.Dial(host.MeshAddress, handshakeTimeout)
	if err != nil {
		return nil, err
	}
	conn = m.countBytes(conn)
	if config == nil {
		return conn, nil
	}
	return m.tlsHandshake(tls.Client(conn, config))
}

// tlsHandshake completes the TLS handshake within handshakeTimeout. A failure is counted as
// REFUSAL_CERTIFICATE.
func (m *Mesh) tlsHandshake(conn *tls.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		m.counters.countRefusal(wire.Refusal_REFUSAL_CERTIFICATE)
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return conn, nil
}

// dialSession performs the dialing side of the handshake: it opens the session and the
// heartbeat stream, exchanges hellos and registers the link.
func (m *Mesh) dialSession(conn net.Conn, peer string) (*link, error) {
	framed := newFrameConn(conn, m.ledger)
	framed.onMisuse = m.misuse(conn)
	if err := framed.limitHandshake(); err != nil {
		return nil, err
	}
	session, err := yamux.Client(framed, m.sessionConfig(true))
	if err != nil {
		return nil, fmt.Errorf("open session: %w", err)
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("open stream: %w", err), session.Close())
	}
	remote := &wire.Hello{}
	err = m.exchangeHellos(stream, m.newHello(peer), remote)
	if err == nil && remote.GetRefusal() != wire.Refusal_REFUSAL_NONE {
		err = fmt.Errorf("hello refused by %q: %s", peer, remote.GetRefusal())
	}
	if err == nil {
		err = m.checkHello(remote, conn, peer)
	}
	if err == nil {
		err = framed.establish()
	}
	if err != nil {
		return nil, errors.Join(err, session.Close())
	}
	m.observeHello(remote)
	l := newLink(m, session, framed, stream, remote)
	if err := m.register(l, m.options.Host); err != nil {
		return nil, errors.Join(err, session.Close())
	}
	return l, nil
}

// exchangeHellos writes the local hello and reads the peer's into remote.
func (m *Mesh) exchangeHellos(stream *yamux.Stream, local, remote *wire.Hello) error {
	if err := stream.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	if err := writeFrame(stream, local, wire.MaxHelloBytes); err != nil {
		return err
	}
	if _, err := m.readFrame(stream, remote, wire.MaxHelloBytes); err != nil {
		return err
	}
	if err := stream.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	return nil
}

// acceptSession performs the accepting side of the handshake.
func (m *Mesh) acceptSession(conn net.Conn) (*link, error) {
	conn = m.countBytes(conn)
	if config := m.security.serverConfig(); config != nil {
		var err error
		if conn, err = m.tlsHandshake(tls.Server(conn, config)); err != nil {
			return nil, err
		}
	}
	stranger := &strangerConn{Conn: conn}
	framed := newFrameConn(stranger, m.ledger)
	framed.onMisuse = m.misuse(conn)
	if err := framed.limitHandshake(); err != nil {
		return nil, err
	}
	session, err := yamux.Server(framed, m.sessionConfig(false))
	if err != nil {
		return nil, fmt.Errorf("open session: %w", err)
	}
	l, err := m.answerHello(conn, session, framed, func() error {
		stranger.known.Store(true)
		return framed.establish()
	})
	if err != nil {
		return nil, errors.Join(err, session.Close())
	}
	return l, nil
}

// answerHello accepts the heartbeat stream, checks the dialer's hello, registers the link
// and writes the local hello, with the reason if the link is refused. It calls accepted before it tells
// the peer that the link is accepted.
func (m *Mesh) answerHello(conn net.Conn, session *yamux.Session, framed *frameConn, accepted func() error) (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	stream, err := session.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, fmt.Errorf("accept stream: %w", err)
	}
	if err := stream.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	remote := &wire.Hello{}
	n, err := m.readFrame(stream, remote, wire.MaxHelloBytes)
	if err != nil {
		return nil, err
	}
	framed.inflow.done(stream.StreamID(), n)
	local := m.newHello(remote.GetHost())
	l := newLink(m, session, framed, stream, remote)
	err = m.checkHello(remote, conn, remote.GetHost())
	if err == nil {
		m.observeHello(remote)
		err = m.register(l, remote.GetHost())
	}
	if err != nil {
		local.Refusal = refusalReason(err)
		// Wait until the peer closes the stream: closing the session at once could lose the
		// refusal before the peer reads it.
		_ = writeFrame(stream, local, wire.MaxHelloBytes)
		_, _ = io.ReadFull(stream, make([]byte, 1))
		return nil, err
	}
	if err = accepted(); err == nil {
		err = writeFrame(stream, local, wire.MaxHelloBytes)
	}
	if err != nil {
		m.unregister(l)
		return nil, err
	}
	if err := stream.SetDeadline(time.Time{}); err != nil {
		m.unregister(l)
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	return l, nil
}

// refusalReason returns the reason to send for an error. Errors other than refusedError
// are sent as REFUSAL_TOO_MANY.
func refusalReason(err error) wire.Refusal {
	var refused *refusedError
	if errors.As(err, &refused) {
		return refused.reason
	}
	return wire.Refusal_REFUSAL_TOO_MANY
}

// checkHello compares a hello with the known hosts and with the certificate of the peer, and
// counts and logs a refusal.
func (m *Mesh) checkHello(h *wire.Hello, conn net.Conn, want string) error {
	reason := m.helloRefusal(h, want)
	if reason == wire.Refusal_REFUSAL_NONE && !certificateMatches(conn, h.GetHost()) {
		reason = wire.Refusal_REFUSAL_CERTIFICATE
	}
	if reason == wire.Refusal_REFUSAL_NONE {
		return nil
	}
	if reason == wire.Refusal_REFUSAL_OLD_INCARNATION {
		// If the link to the newer one is silent, the peer may have started again with its clock set back.
		if l := m.linkTo(h.GetHost()); l != nil {
			l.probe()
		}
	}
	m.counters.countRefusal(reason)
	m.options.Log.Warn().Str("event", "mesh_peer_refused").Str("peer", h.GetHost()).Str("reason", reason.String()).Send()
	return &refusedError{reason: reason, peer: h.GetHost()}
}

// helloRefusal returns why a hello is refused, or REFUSAL_NONE. want is the expected name of
// the peer. A host without a configuration knows only its seeds, and not their zones.
func (m *Mesh) helloRefusal(h *wire.Hello, want string) wire.Refusal {
	m.mu.Lock()
	defer m.mu.Unlock()
	host, ok := m.hosts[h.GetHost()]
	last := m.lastSeen[h.GetHost()]
	switch {
	case h.GetVersion() != wire.ProtocolVersion:
		return wire.Refusal_REFUSAL_VERSION
	case !m.nameMatches(h.GetTo(), m.options.Host), !m.nameMatches(want, h.GetHost()), h.GetHost() == m.options.Host:
		return wire.Refusal_REFUSAL_WRONG_HOST
	case !ok && !m.options.Insecure:
		return wire.Refusal_REFUSAL_UNKNOWN_HOST
	case host.Zone != h.GetZone() && !m.bootstrap && !m.options.Insecure:
		return wire.Refusal_REFUSAL_WRONG_ZONE
	case h.GetIncarnation().ToCore().Compare(last.incarnation) < 0 && m.recentlySeen(h.GetHost(), last):
		return wire.Refusal_REFUSAL_OLD_INCARNATION
	}
	return wire.Refusal_REFUSAL_NONE
}

// nameMatches reports whether host is the expected name. In an insecure mesh the dialer may
// not know the name, and an empty want matches any host.
func (m *Mesh) nameMatches(want, host string) bool {
	return want == host || m.options.Insecure && want == ""
}

// recentlySeen reports whether there is a link to the peer, or last was seen within
// incarnationRetention. In an insecure mesh, links are made on demand and only the link counts: a
// host that starts again with its clock set back needs its peers at once.
func (m *Mesh) recentlySeen(peer string, last seenIncarnation) bool {
	return m.links[peer] != nil || !m.options.Insecure && time.Since(last.at) < incarnationRetention
}
