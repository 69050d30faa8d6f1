package mesh

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/wire"
)

// TestCallEndsInTimeWhileDialHangs guards against a host that learns of the loss of a peer only when
// a dial to it times out: a peer without power does not answer the dial, and the call has less time
// than that.
func TestCallEndsInTimeWhileDialHangs(t *testing.T) {
	const timeout = 100 * time.Millisecond
	hang := make(chan struct{})
	a := startPeer(t, "a", 1, func(o *Options) {
		o.Dial = func(string, time.Duration) (net.Conn, error) {
			<-hang
			return nil, errors.New("no answer")
		}
	})
	t.Cleanup(func() { close(hang) })
	a.SetHosts([]release.Host{a.host(), {Name: "dark", MeshAddress: loopbackPort}}, nil)
	calls := map[string]func() error{
		"Call": func() error {
			_, err := a.Call("dark", wire.CallKind_CALL_KIND_NOTE, nil, timeout)
			return err
		},
		"CallAddress": func() error {
			_, err := a.CallAddress(loopbackPort, wire.CallKind_CALL_KIND_NOTE, nil, timeout)
			return err
		},
	}
	for name, call := range calls {
		ended := make(chan error, 1)
		go func() { ended <- call() }()
		select {
		case err := <-ended:
			if !errors.Is(err, ErrNotSent) || !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%s: error is %v, want ErrNotSent and a time-out", name, err)
			}
		case <-time.After(handshakeTimeout / 2):
			t.Errorf("%s with a timeout of %v has not ended after %v", name, timeout, handshakeTimeout/2)
		}
	}
}

// TestDialOutlivesShortCall checks that calls with less time than a dial takes do not keep a link to
// a distant peer from being made.
func TestDialOutlivesShortCall(t *testing.T) {
	const dialTime = 300 * time.Millisecond
	a := startPeer(t, "a", 1, func(o *Options) {
		o.Dial = func(address string, timeout time.Duration) (net.Conn, error) {
			time.Sleep(dialTime)
			return dialTCP(address, timeout)
		}
	})
	b := startPeer(t, "b", 2, nil)
	b.Handle(wire.CallKind_CALL_KIND_NOTE, func(string, []byte) []byte { return []byte("reply") })
	hosts := []release.Host{a.host(), b.host()}
	b.SetHosts(hosts, nil)
	a.SetHosts(hosts, nil)
	if _, err := a.Call("b", wire.CallKind_CALL_KIND_NOTE, nil, 10*time.Millisecond); !errors.Is(err, ErrNotSent) {
		t.Errorf("error of the first call is %v, want ErrNotSent", err)
	}
	if reply, err := a.Call("b", wire.CallKind_CALL_KIND_NOTE, nil, 5*time.Second); err != nil || string(reply) != "reply" {
		t.Errorf("second call returned %q, %v", reply, err)
	}
}

// TestPanicOfDialLosesNoLaterCall guards against a host that never reaches a peer again, since every
// call waits for a dial that has panicked.
func TestPanicOfDialLosesNoLaterCall(t *testing.T) {
	panics := make(chan error, 1)
	first := make(chan struct{}, 1)
	first <- struct{}{}
	a := startPeer(t, "a", 1, func(o *Options) {
		o.OnPanic = func(err error) { panics <- err }
		o.Dial = func(address string, timeout time.Duration) (net.Conn, error) {
			select {
			case <-first:
				panic("dial")
			default:
				return dialTCP(address, timeout)
			}
		}
	})
	b := startPeer(t, "b", 2, nil)
	b.Handle(wire.CallKind_CALL_KIND_NOTE, func(string, []byte) []byte { return []byte("reply") })
	hosts := []release.Host{a.host(), b.host()}
	b.SetHosts(hosts, nil)
	a.SetHosts(hosts, nil)
	if _, err := a.Call("b", wire.CallKind_CALL_KIND_NOTE, nil, time.Second); !errors.Is(err, ErrNotSent) {
		t.Errorf("error of the first call is %v, want ErrNotSent", err)
	}
	if err := <-panics; err == nil {
		t.Error("the panic is not reported")
	}
	if reply, err := a.Call("b", wire.CallKind_CALL_KIND_NOTE, nil, 5*time.Second); err != nil || string(reply) != "reply" {
		t.Errorf("second call: reply %q, error %v", reply, err)
	}
}
