package mesh

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/wire"
)

// soon is a time in which a cancelled call must have ended, far below its time-out.
const soon = time.Second

// callLater makes a call to host b and returns its error.
func callLater(a *peer, c *PendingCall) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := a.CallPending("b", wire.CallKind_CALL_KIND_NOTE, c, time.Minute)
		ended <- err
	}()
	return ended
}

func wantEndSoon(t *testing.T, ended <-chan error, want error) {
	t.Helper()
	select {
	case err := <-ended:
		if !errors.Is(err, want) {
			t.Errorf("call ended with %v, want %v", err, want)
		}
	case <-time.After(soon):
		t.Fatalf("call has not ended after %v", soon)
	}
}

// TestCallGivenUpBeforeItsLinkIsNeverSent guards against requests that wait for the link to a host without
// power and reach it once it is back, although their caller has left.
func TestCallGivenUpBeforeItsLinkIsNeverSent(t *testing.T) {
	powered := make(chan struct{})
	a := startPeer(t, "a", 1, func(o *Options) {
		o.Dial = func(address string, timeout time.Duration) (net.Conn, error) {
			<-powered
			return net.DialTimeout("tcp", address, timeout)
		}
	})
	b := startPeer(t, "b", 2, nil)
	var served atomic.Int32
	b.Handle(wire.CallKind_CALL_KIND_NOTE, func(string, []byte) []byte { served.Add(1); return nil })
	hosts := []release.Host{a.host(), b.host()}
	b.SetHosts(hosts, nil)
	a.SetHosts(hosts, nil)

	var made atomic.Int32
	payload := func() ([]byte, error) { made.Add(1); return nil, nil }
	first, second := NewPendingCall(payload), NewPendingCall(payload)
	firstEnded, secondEnded := callLater(a, first), callLater(a, second)
	time.Sleep(50 * time.Millisecond)
	if first.Cancel() || made.Load() > 0 {
		t.Error("a call without a link counts as sent")
	}
	wantEndSoon(t, firstEnded, ErrNotSent)
	close(powered)
	wantEndSoon(t, secondEnded, nil)
	if made.Load() != 1 || served.Load() != 1 || !second.Cancel() {
		t.Errorf("%d requests were made and %d served, want that of the second call", made.Load(), served.Load())
	}
}

// TestCancelEndsWaitForResponse checks that a call that was sent ends when it is cancelled, and that the
// link serves others.
func TestCancelEndsWaitForResponse(t *testing.T) {
	a, b := startPeer(t, "a", 1, nil), startPeer(t, "b", 2, nil)
	arrived, hold := make(chan struct{}, 2), make(chan struct{})
	b.Handle(wire.CallKind_CALL_KIND_NOTE, func(string, []byte) []byte {
		arrived <- struct{}{}
		<-hold
		return nil
	})
	connectPeers(t, a, b)
	c := fixedCall(nil)
	ended := callLater(a, c)
	<-arrived
	c.CancelUnsent()
	select {
	case err := <-ended:
		t.Fatalf("a call that was sent ended with %v, although only an unsent one was to be cancelled", err)
	case <-time.After(50 * time.Millisecond):
	}
	if !c.Cancel() {
		t.Error("a call that has arrived counts as not sent")
	}
	wantEndSoon(t, ended, ErrOutcomeUnknown)
	close(hold)
	wantEndSoon(t, callLater(a, fixedCall(nil)), nil)
}
