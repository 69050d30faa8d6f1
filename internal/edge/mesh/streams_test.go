package mesh

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/wire"
)

// TestStreamIsKeptAfterCall checks that calls after the first open no stream, unless a call failed
// or the peer serves one call a stream.
func TestStreamIsKeptAfterCall(t *testing.T) {
	insecure := func(o *Options) { o.Insecure = true }
	a, b := startPeer(t, "a", 1, insecure), startPeer(t, "b", 2, insecure)
	var replyAfter atomic.Int64
	b.Handle(wire.CallKind_CALL_KIND_NOTE, func(_ string, payload []byte) []byte {
		time.Sleep(time.Duration(replyAfter.Load()))
		return payload
	})
	a.SetHosts([]release.Host{b.host()}, nil)
	call := func(text string, timeout time.Duration) error {
		got, err := a.Call("b", wire.CallKind_CALL_KIND_NOTE, []byte(text), timeout)
		if err == nil && string(got) != text {
			t.Errorf("call %q got the reply %q", text, got)
		}
		return err
	}
	for i := range 5 {
		if err := call(fmt.Sprint(i), time.Second); err != nil {
			t.Fatal(err)
		}
	}
	l := a.linkTo("b")
	kept := l.streams.idle[0].StreamID()
	if n := l.session.NumStreams(); n != 2 {
		t.Errorf("%d streams after 5 calls, want 2: heartbeats and calls", n)
	}
	replyAfter.Store(int64(200 * time.Millisecond))
	if err := call("late", 20*time.Millisecond); err == nil {
		t.Fatal("the call succeeded, want a time-out")
	}
	replyAfter.Store(0)
	if err := call("next", time.Second); err != nil {
		t.Fatal(err)
	}
	if id := l.streams.idle[0].StreamID(); id == kept {
		t.Error("the stream of a call that timed out was used again")
	}
	l.streams.reusable = false
	if err := call("last", time.Second); err != nil || len(l.streams.idle) != 0 {
		t.Errorf("%d streams kept for a peer that serves one call each (%v)", len(l.streams.idle), err)
	}
}

// TestIdlestLinkGivesWay checks which link gives way to a new one.
func TestIdlestLinkGivesWay(t *testing.T) {
	m := &Mesh{persistent: map[string]bool{"wanted": true}, links: map[string]*link{}}
	add := func(peer string, idle time.Duration, calls int64) {
		l := &link{peer: peer}
		l.lastUsed.Store(time.Now().Add(-idle).UnixNano())
		l.calls.Store(calls)
		m.links[peer] = l
	}
	add("wanted", time.Hour, 0)
	add("in use", time.Hour, 1)
	add("new", 0, 0)
	if l := m.idlestLink(); l != nil {
		t.Errorf("the link to %q would give way, want none", l.peer)
	}
	add("idle", 3*time.Second, 0)
	add("idlest", 4*time.Second, 0)
	if l := m.idlestLink(); l == nil || l.peer != "idlest" {
		t.Errorf("the link %+v would give way, want the idlest", l)
	}
}

// TestSilentLinkIsClosedAfterCall checks that a link whose peer is no longer heard of is closed
// soon after a call timed out, and that idle links cost few probes.
func TestSilentLinkIsClosedAfterCall(t *testing.T) {
	const idle = 2 * time.Second
	var tap *tappedConn
	insecure := func(o *Options) { o.Insecure = true }
	b := startPeer(t, "b", 2, insecure)
	a := startPeer(t, "a", 1, func(o *Options) {
		insecure(o)
		o.Dial = func(address string, timeout time.Duration) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, timeout)
			tap = &tappedConn{Conn: conn}
			return tap, err
		}
	})
	b.Handle(wire.CallKind_CALL_KIND_NOTE, func(string, []byte) []byte { return nil })
	a.SetHosts([]release.Host{b.host()}, nil)
	if _, err := a.Call("b", wire.CallKind_CALL_KIND_NOTE, nil, time.Second); err != nil {
		t.Fatal(err)
	}
	before := tap.writes.Load()
	time.Sleep(idle)
	if n := tap.writes.Load() - before; n > 1 {
		t.Errorf("%d writes on an idle link in %v, want at most 1", n, idle)
	}
	tap.silent.Store(true)
	if _, err := a.Call("b", wire.CallKind_CALL_KIND_NOTE, nil, 50*time.Millisecond); err == nil {
		t.Fatal("a call on a silent link succeeded")
	}
	begin := time.Now()
	waitUntil(t, "the end of the link", func() bool { return len(a.Peers()) == 0 })
	if took, want := time.Since(begin), probeTimeout+redialInterval+300*time.Millisecond; took > want {
		t.Errorf("the silent link was closed after %v, want at most %v", took, want)
	}
}
