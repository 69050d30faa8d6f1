package mesh

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"pollentack.example/pollentack/internal/edge/memory"
	"pollentack.example/pollentack/internal/wire"
)

// startInsecure starts a mesh that takes any peer, with a budget of limit bytes and an echo handler.
func startInsecure(t *testing.T, name string, limit int64) *peer {
	t.Helper()
	p := startPeer(t, name, 1, func(o *Options) {
		o.Insecure = true
		o.Memory = memory.NewBudget(limit)
	})
	p.Handle(wire.CallKind_CALL_KIND_NOTE, func(_ string, payload []byte) []byte { return payload })
	return p
}

// linkRaw makes a link with a session of yamux alone.
func linkRaw(t *testing.T, p *peer, name string) *yamux.Session {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	session, err := yamux.Client(conn, config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = session.Close() })
	stream := openRaw(t, session)
	hello := &wire.Hello{Version: wire.ProtocolVersion, Host: name, Incarnation: &wire.Incarnation{Started: 1}}
	if _, err = wire.WriteFrame(stream, hello, wire.MaxHelloBytes); err != nil {
		t.Fatal(err)
	}
	if _, err = wire.ReadFrame(stream, &wire.Hello{}, wire.MaxHelloBytes); err != nil {
		t.Fatal(err)
	}
	return session
}

func openRaw(t *testing.T, session *yamux.Session) *yamux.Stream {
	t.Helper()
	stream, err := session.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	_ = stream.SetDeadline(time.Now().Add(5 * time.Second))
	return stream
}

func requireClosed(t *testing.T, session *yamux.Session) {
	t.Helper()
	select {
	case <-session.CloseChan():
	case <-time.After(10 * time.Second):
		t.Error("the link is still open")
	}
}

// messageBytes returns what calls hold of a peer's budget.
func messageBytes(p *peer) int64 { return p.ledger.budget.Usage().Parts["messages"] }

// TestUnfinishedCallsEndThePeerWithTheMost guards against peers that fill the memory with calls that stop
// short of their end.
func TestUnfinishedCallsEndThePeerWithTheMost(t *testing.T) {
	const limit = 4 << 20
	p := startInsecure(t, "p", limit)
	small, large := linkRaw(t, p, "small"), linkRaw(t, p, "large")
	half := append([]byte{0, 1, 0, 0}, make([]byte, 1000)...)
	if _, err := openRaw(t, small).Write(half); err != nil {
		t.Fatal(err)
	}
	for range 16 {
		stream, err := large.OpenStream()
		if err != nil {
			break // the link has been closed
		}
		_, _ = stream.Write(append([]byte{0, 8, 0, 0}, make([]byte, 200<<10)...))
	}
	requireClosed(t, large)
	if peak := p.ledger.budget.Usage().Peak; peak > limit/unfinishedDivisor+(1<<20) {
		t.Errorf("calls held up to %d bytes, want about %d", peak, limit/unfinishedDivisor)
	}
	waitUntil(t, "the large peer's bytes to be released", func() bool { return messageBytes(p) == int64(len(half)*copiesPerByte) })
	if n := p.counters.connectionsMisused.Load(); n != 1 || small.IsClosed() {
		t.Errorf("%d connections ended, the small peer's %v, want 1 and false", n, small.IsClosed())
	}
	a := startInsecure(t, "a", limit)
	if _, err := a.CallAddress(p.Address(), wire.CallKind_CALL_KIND_NOTE, make([]byte, 100<<10), 5*time.Second); err != nil {
		t.Errorf("call of another peer: %v", err)
	}
	waitUntil(t, "the call's bytes to be released", func() bool { return messageBytes(p) == int64(len(half)*copiesPerByte) })
	_ = small.Close()
	waitUntil(t, "all bytes to be released", func() bool { return messageBytes(p) == 0 })
}

// TestCallWithoutMemoryIsNotRun verifies that a whole request is refused if too much is held already.
func TestCallWithoutMemoryIsNotRun(t *testing.T) {
	p, a := startInsecure(t, "p", 1<<20), startInsecure(t, "a", 1<<20)
	served := make(chan struct{})
	p.Handle(wire.CallKind_CALL_KIND_GOSSIP, func(string, []byte) []byte {
		<-served
		return nil
	})
	first := make(chan error, 1)
	go func() {
		_, err := a.CallAddress(p.Address(), wire.CallKind_CALL_KIND_GOSSIP, make([]byte, 100<<10), 5*time.Second)
		first <- err
	}()
	waitUntil(t, "the first call to be served", func() bool { return p.counters.callsServed.Load() == 1 })
	p.ledger.budget.Force(memory.Requests, 1<<20)
	_, err := a.CallAddress(p.Address(), wire.CallKind_CALL_KIND_NOTE, nil, 5*time.Second)
	if !errors.Is(err, ErrNotSent) || p.counters.callsServed.Load() != 1 || p.counters.callsRefused.Load() != 1 {
		t.Errorf("error %v, %d calls served, %d refused, want %v, 1, 1", err, p.counters.callsServed.Load(), p.counters.callsRefused.Load(), ErrNotSent)
	}
	close(served)
	if err := <-first; err != nil {
		t.Errorf("the call in progress: %v", err)
	}
}

// TestTransferThatHasBegunMustEnd guards against workers that a peer holds with half of a request, after a
// whole one on the same stream, or by not reading a reply.
func TestTransferThatHasBegunMustEnd(t *testing.T) {
	p := startInsecure(t, "p", 64<<20)
	p.Handle(wire.CallKind_CALL_KIND_GOSSIP, func(string, []byte) []byte { return make([]byte, 1<<20) })
	session := linkRaw(t, p, "raw")
	halfRequest, unread := openRaw(t, session), openRaw(t, session)
	request := &wire.Request{Kind: wire.CallKind_CALL_KIND_NOTE}
	if _, err := wire.WriteFrame(halfRequest, request, wire.MaxCallBytes); err != nil {
		t.Fatal(err)
	}
	if _, err := wire.ReadFrame(halfRequest, &wire.Response{}, wire.MaxCallBytes); err != nil {
		t.Fatal(err)
	}
	_, _ = halfRequest.Write([]byte{0, 0})
	request.Kind = wire.CallKind_CALL_KIND_GOSSIP
	if _, err := wire.WriteFrame(unread, request, wire.MaxCallBytes); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the transfers to begin", func() bool { return messageBytes(p) >= copiesPerByte*(1<<20+2) })
	for _, end := range p.ledger.expire(time.Now().Add(transferTimeout - time.Second)) {
		t.Error("a transfer ends before its time")
		end()
	}
	for _, end := range p.ledger.expire(time.Now().Add(transferTimeout + time.Second)) {
		end()
	}
	for name, stream := range map[string]*yamux.Stream{"half a request": halfRequest, "an unread reply": unread} {
		if _, err := io.Copy(io.Discard, stream); err != nil {
			t.Errorf("%s: read until the peer closes the stream: %v", name, err)
		}
		_ = stream.Close()
	}
	if n := p.counters.transfersExpired.Load(); n != 2 || session.IsClosed() {
		t.Errorf("%d transfers expired, link closed %v, want 2 and false", n, session.IsClosed())
	}
	waitUntil(t, "all bytes to be released", func() bool { return messageBytes(p) == 0 })
}

// TestManyStreamsEndTheLink guards against streams without end that this host keeps account of.
func TestManyStreamsEndTheLink(t *testing.T) {
	f := newLedger(nil).newInflow(func(error) {})
	h := frameHeader{0, frameTypeWindowUpdate, 0, frameFlagSYN}
	open := func(id int) error {
		h[frameStreamOffset+2], h[frameStreamOffset+3] = byte(id>>8), byte(id)
		return f.frame(&h)
	}
	for id := range maxStreams {
		if err := open(id); err != nil {
			t.Fatalf("stream %d: %v", id, err)
		}
	}
	if err := open(maxStreams); err == nil {
		t.Errorf("%d streams are open, want an error", maxStreams+1)
	}
	f.close(0)
	f.ledger.expire(time.Now().Add(heartbeatTimeout + time.Second))
	if err := open(maxStreams); err != nil {
		t.Errorf("after a stream was given up: %v", err)
	}
}
