package mesh

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/hashicorp/yamux"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/wire"
)

// Errors of Call. ErrNotSent means that the handler has not run and never will;
// ErrUnknown means that it may have run.
var (
	ErrNotSent = errors.New("call was not sent")
	ErrUnknown = errors.New("call was sent and its outcome is unknown")
)

const (
	// requestTimeout bounds how long the serving side waits for a request on a new stream.
	requestTimeout = 5 * time.Second
	// refusalTimeout bounds the write of a refusal, which holds up the next stream.
	refusalTimeout = 100 * time.Millisecond
	// crossedPause lets the peer's dial, which made it refuse ours, become a link.
	crossedPause = 50 * time.Millisecond
)

// Call asks a peer's handler and waits for at most timeout. The error is ErrNotSent or
// ErrUnknown.
func (m *Mesh) Call(host string, kind wire.CallKind, payload []byte, timeout time.Duration) ([]byte, error) {
	deadline := time.Now().Add(timeout)
	m.counters.callsMade.Add(1)
	l, err := m.linkOnDemand(host, deadline)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return m.callOn(l, deadline, kind, payload)
}

// CallAddress is Call to a host of which only the address is known.
func (m *Mesh) CallAddress(address string, kind wire.CallKind, payload []byte, timeout time.Duration) ([]byte, error) {
	deadline := time.Now().Add(timeout)
	m.counters.callsMade.Add(1)
	l, err := m.connect(release.Host{Mesh: address})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := m.workers.Submit(l.serve); err != nil {
		l.close()
		m.unregister(l)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return m.callOn(l, deadline, kind, payload)
}

func (m *Mesh) callOn(l *link, deadline time.Time, kind wire.CallKind, payload []byte) ([]byte, error) {
	l.touch()
	defer l.touch()
	stream, err := l.session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: open stream to %q: %w", ErrNotSent, l.peer, err)
	}
	defer func() { _ = stream.Close() }()
	if err := stream.SetDeadline(deadline); err != nil {
		return nil, fmt.Errorf("%w: set deadline: %w", ErrNotSent, err)
	}
	begin := time.Now()
	reply, err := m.roundTrip(stream, &wire.Request{Kind: kind, Payload: payload})
	if err == nil && m.options.Trip != nil {
		m.options.Trip(l.peer, kind, time.Since(begin))
	}
	return reply, err
}

func (m *Mesh) roundTrip(stream *yamux.Stream, req *wire.Request) ([]byte, error) {
	err := write(stream, req, wire.MaxCallBytes)
	if errors.Is(err, wire.ErrOversized) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	resp := &wire.Response{}
	if err := m.read(stream, resp, wire.MaxCallBytes); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if resp.GetStatus() != wire.Status_STATUS_OK {
		return nil, fmt.Errorf("%w: peer says %s", ErrNotSent, resp.GetStatus())
	}
	return resp.GetPayload(), nil
}

// linkOnDemand returns the link to a published host, dialing it where none stands. A
// dial in progress is waited for, and after one that failed the peer's own dial, which
// may have crossed it.
func (m *Mesh) linkOnDemand(name string, deadline time.Time) (*link, error) {
	for {
		host, dialing, l, err := m.claimDial(name)
		switch {
		case err != nil || l != nil:
			return l, err
		case dialing != nil:
			if !waitFor(dialing, deadline) {
				return nil, fmt.Errorf("host %q is being dialed: %w", name, os.ErrDeadlineExceeded)
			}
			continue
		}
		if l, err = m.dialOnDemand(host); err == nil {
			return l, nil
		}
		time.Sleep(min(crossedPause, max(0, time.Until(deadline))))
		if l = m.linkTo(name); l != nil {
			return l, nil
		}
		return nil, err
	}
}

// claimDial returns the link that stands, the end of a dial in progress, or the host that
// the caller must now dial.
func (m *Mesh) claimDial(name string) (release.Host, <-chan struct{}, *link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[name]; l != nil {
		return release.Host{}, nil, l, nil
	}
	host, ok := m.published[name]
	if !ok || name == m.options.Host {
		return host, nil, nil, fmt.Errorf("host %q is not a published peer", name)
	}
	if dialing := m.dialing[name]; dialing != nil {
		return host, dialing, nil, nil
	}
	m.dialing[name] = make(chan struct{})
	return host, nil, nil, nil
}

func waitFor(done <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

func (m *Mesh) dialOnDemand(host release.Host) (*link, error) {
	defer m.dialed(host.Name)
	l, err := m.connect(host)
	if err != nil {
		return nil, err
	}
	if err := m.workers.Submit(l.serve); err != nil {
		l.close()
		m.unregister(l)
		return nil, err
	}
	return l, nil
}

// serveCall reads one request, runs its handler and sends the response.
func (l *link) serveCall(stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	l.touch()
	defer l.touch()
	if err := stream.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
		return
	}
	req := &wire.Request{}
	if err := l.mesh.read(stream, req, wire.MaxCallBytes); err != nil {
		return
	}
	l.mesh.counters.callsServed.Add(1)
	resp := &wire.Response{Status: wire.Status_STATUS_UNKNOWN_KIND}
	if h := l.mesh.handler(req.GetKind()); h != nil {
		resp.Payload = h(l.peer, req.GetPayload())
		resp.Status = wire.Status_STATUS_OK
	}
	_ = write(stream, resp, wire.MaxCallBytes)
}

// refuseCall tells the caller that its request will not be read.
func (l *link) refuseCall(stream *yamux.Stream) {
	l.mesh.counters.callsRefused.Add(1)
	if stream.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_ = write(stream, &wire.Response{Status: wire.Status_STATUS_BUSY}, wire.MaxCallBytes)
	}
	_ = stream.Close()
}

func (m *Mesh) handler(kind wire.CallKind) Handler {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.handlers[kind]
}
