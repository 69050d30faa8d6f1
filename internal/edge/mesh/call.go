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

// Errors of Call. After ErrNotSent the handler has not run and will not run; after
// ErrOutcomeUnknown it may have run.
var (
	ErrNotSent        = errors.New("call was not sent")
	ErrOutcomeUnknown = errors.New("call was sent and its outcome is unknown")
)

const (
	// requestTimeout bounds the wait for the request on a stream that a peer has opened.
	requestTimeout = 5 * time.Second
	// refusalTimeout bounds the write of a refusal, which delays accepting the next stream.
	refusalTimeout = 100 * time.Millisecond
	// crossedDialWait is the wait after a failed dial. The peer may have refused it in favor
	// of its own simultaneous dial, which needs this time to become a link.
	crossedDialWait = 50 * time.Millisecond
)

// Call sends a request to a host and returns the payload of the response, waiting at most
// timeout. Every error wraps ErrNotSent or ErrOutcomeUnknown.
func (m *Mesh) Call(host string, kind wire.CallKind, payload []byte, timeout time.Duration) ([]byte, error) {
	return m.CallPending(host, kind, fixedCall(payload), timeout)
}

// fixedCall returns a call with a given request.
func fixedCall(payload []byte) *PendingCall {
	return NewPendingCall(func() ([]byte, error) { return payload, nil })
}

// CallPending is Call for a PendingCall.
func (m *Mesh) CallPending(host string, kind wire.CallKind, c *PendingCall, timeout time.Duration) ([]byte, error) {
	deadline := time.Now().Add(timeout)
	m.counters.callsMade.Add(1)
	l, err := m.linkOnDemand(host, deadline, c.done)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return m.callOn(l, deadline, kind, c)
}

// Link makes a link to a host, unless there is one.
func (m *Mesh) Link(host string, timeout time.Duration) error {
	_, err := m.linkOnDemand(host, time.Now().Add(timeout), nil)
	return err
}

// CallAddress is Call to a host whose address is known but not its name. It always dials.
func (m *Mesh) CallAddress(address string, kind wire.CallKind, payload []byte, timeout time.Duration) ([]byte, error) {
	deadline := time.Now().Add(timeout)
	m.counters.callsMade.Add(1)
	l, err := m.dialWithin(release.Host{MeshAddress: address}, deadline, nil, func() {})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return m.callOn(l, deadline, kind, fixedCall(payload))
}

func (m *Mesh) callOn(l *link, deadline time.Time, kind wire.CallKind, c *PendingCall) ([]byte, error) {
	defer l.countCall()()
	stream, err := l.streams.take()
	if err != nil {
		l.probeAfter(err)
		return nil, fmt.Errorf("%w: open stream to %q: %w", ErrNotSent, l.peer, err)
	}
	if err := l.streams.waits.setDeadline(stream, deadline); err != nil {
		l.streams.close(stream)
		return nil, fmt.Errorf("%w: set deadline: %w", ErrNotSent, err)
	}
	payload, err := c.begin(stream)
	if err != nil {
		l.streams.put(stream)
		return nil, err
	}
	start := time.Now()
	reply, err := m.roundTrip(stream, &wire.Request{Kind: kind, Payload: payload})
	c.end()
	if err == nil {
		l.streams.put(stream)
	} else {
		l.streams.close(stream)
	}
	if err == nil && m.options.ObserveRTT != nil {
		m.options.ObserveRTT(l.peer, kind, time.Since(start))
	}
	l.probeAfter(err)
	return reply, err
}

// probeAfter probes the link if a call on it timed out, waiting for the reply or, on a link that takes
// no more bytes, before the request was written.
func (l *link) probeAfter(err error) {
	if errors.Is(err, yamux.ErrTimeout) || errors.Is(err, yamux.ErrConnectionWriteTimeout) {
		l.probe()
	}
}

func (m *Mesh) roundTrip(stream *yamux.Stream, req *wire.Request) ([]byte, error) {
	err := writeFrame(stream, req, wire.MaxCallBytes)
	if errors.Is(err, wire.ErrOversized) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	resp := &wire.Response{}
	if _, err := m.readFrame(stream, resp, wire.MaxCallBytes); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if resp.GetStatus() != wire.Status_STATUS_OK {
		return nil, fmt.Errorf("%w: peer responded with %s", ErrNotSent, resp.GetStatus())
	}
	return resp.GetPayload(), nil
}

// linkOnDemand returns the link to a known host and dials it if there is none. It waits
// for a dial already in progress, until the deadline or until cancelled is closed. After a failed dial it waits for crossedDialWait and uses
// the link that the peer may have dialed at the same time.
func (m *Mesh) linkOnDemand(name string, deadline time.Time, cancelled <-chan struct{}) (*link, error) {
	for {
		host, dialing, l, err := m.claimDial(name)
		switch {
		case err != nil || l != nil:
			return l, err
		case dialing != nil:
			if err := waitFor(dialing, deadline, cancelled); err != nil {
				return nil, fmt.Errorf("wait for the dial to host %q: %w", name, err)
			}
			continue
		}
		if l, err = m.dialWithin(host, deadline, cancelled, func() { m.finishDial(name) }); err == nil {
			return l, nil
		}
		time.Sleep(min(crossedDialWait, max(0, time.Until(deadline))))
		if l = m.linkTo(name); l != nil {
			return l, nil
		}
		return nil, err
	}
}

// claimDial returns the current link to a host or, if a dial is in progress, the channel
// that is closed when it ends. If both are nil, the caller must dial the returned host.
func (m *Mesh) claimDial(name string) (release.Host, <-chan struct{}, *link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[name]; l != nil {
		return release.Host{}, nil, l, nil
	}
	host, ok := m.hosts[name]
	if !ok || name == m.options.Host {
		return host, nil, nil, fmt.Errorf("host %q is not a known peer", name)
	}
	if dialing := m.dialing[name]; dialing != nil {
		return host, dialing, nil, nil
	}
	m.dialing[name] = make(chan struct{})
	return host, nil, nil, nil
}

func waitFor(done <-chan struct{}, deadline time.Time, cancelled <-chan struct{}) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-done:
		return nil
	case <-cancelled:
		return ErrCancelled
	case <-timer.C:
		return os.ErrDeadlineExceeded
	}
}

// dialWithin makes a link to a host, on a worker that calls ended once the dial is over. A dial that
// takes longer than the deadline, or whose caller has cancelled, goes on for later calls.
func (m *Mesh) dialWithin(host release.Host, deadline time.Time, cancelled <-chan struct{}, ended func()) (*link, error) {
	type outcome struct {
		link *link
		err  error
	}
	done := make(chan outcome, 1)
	err := m.linkWorkers.Submit(func() {
		l, err := m.connectThen(host, func(l *link, err error) {
			ended()
			done <- outcome{l, err}
		})
		if err == nil {
			l.serve()
		}
	})
	if err != nil {
		ended()
		return nil, err
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case o := <-done:
		return o.link, o.err
	case <-cancelled:
		return nil, fmt.Errorf("dial host %q at %s: %w", host.Name, host.MeshAddress, ErrCancelled)
	case <-timer.C:
		return nil, fmt.Errorf("dial host %q at %s: %w", host.Name, host.MeshAddress, os.ErrDeadlineExceeded)
	}
}

// serveCalls serves the calls on a stream, one after another, until the peer closes it. The first
// request must arrive within requestTimeout. Once a request or a reply has begun, it must be transferred
// within transferTimeout.
func (l *link) serveCalls(stream *yamux.Stream) {
	l.streams.waits.add(stream)
	l.inflow.attach(stream.StreamID(), func() { l.mesh.endTransfer(l.peer, stream) })
	defer l.streams.close(stream)
	defer l.inflow.close(stream.StreamID())
	if err := l.streams.waits.setReadDeadline(stream, time.Now().Add(requestTimeout)); err != nil {
		return
	}
	for first := true; l.serveCall(stream); first = false {
		stream.Shrink()
		if first && l.streams.waits.setReadDeadline(stream, time.Time{}) != nil {
			return
		}
	}
}

// serveCall reads a request, runs its handler and writes the response. It reports whether the
// stream may be used again.
func (l *link) serveCall(stream *yamux.Stream) bool {
	req := &wire.Request{}
	id := stream.StreamID()
	n, err := l.mesh.readFrame(stream, req, wire.MaxCallBytes)
	if err != nil {
		return false
	}
	defer l.countCall()()
	if !l.inflow.serve(id, n) {
		l.mesh.counters.callsRefused.Add(1)
		l.mesh.options.Log.Warn().Str("event", "mesh_call_refused").Str("peer", l.peer).Str("reason", "no memory is left for calls").Send()
		defer l.inflow.done(id, n)
		return writeFrame(stream, &wire.Response{Status: wire.Status_STATUS_BUSY}, wire.MaxCallBytes) == nil
	}
	l.mesh.counters.callsServed.Add(1)
	resp := &wire.Response{Status: wire.Status_STATUS_UNKNOWN_KIND}
	if h := l.mesh.handler(req.GetKind()); h != nil {
		resp.Payload = h(l.peer, req.GetPayload())
		resp.Status = wire.Status_STATUS_OK
	}
	l.inflow.transfer(id, len(resp.GetPayload()))
	defer l.inflow.done(id, n+len(resp.GetPayload()))
	return writeFrame(stream, resp, wire.MaxCallBytes) == nil
}

// refuseCall responds with STATUS_BUSY without reading the request.
func (l *link) refuseCall(stream *yamux.Stream) {
	l.mesh.counters.callsRefused.Add(1)
	if stream.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_ = writeFrame(stream, &wire.Response{Status: wire.Status_STATUS_BUSY}, wire.MaxCallBytes)
	}
	l.inflow.close(stream.StreamID())
	_ = stream.Close()
}

func (m *Mesh) handler(kind wire.CallKind) Handler {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.handlers[kind]
}
