package mesh

import (
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/wire"
)

// TestLinkEndIsCheap guards against hosts that stand still for seconds when a link with many calls on it
// ends: each call that waits for its response used the processor until its stream was closed, in some
// orders of the threads.
func TestLinkEndIsCheap(t *testing.T) {
	const rounds, calls, allowed = 60, 300, 100 * time.Millisecond
	var conn net.Conn
	a := startPeer(t, "a", 1, func(o *Options) {
		o.Dial = func(address string, timeout time.Duration) (net.Conn, error) {
			c, err := net.DialTimeout("tcp", address, timeout)
			conn = c
			return c, err
		}
	})
	b := startPeer(t, "b", 2, nil)
	arrived, hold := make(chan struct{}, calls), make(chan struct{})
	b.Handle(wire.CallKind_CALL_KIND_NOTE, func(string, []byte) []byte {
		held := hold
		arrived <- struct{}{}
		<-held
		return nil
	})
	hosts := []release.Host{a.host(), b.host()}
	b.SetHosts(hosts, nil)
	a.SetHosts(hosts, nil)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for round := range rounds {
		if err := a.Link("b", soon); err != nil {
			t.Fatal(err)
		}
		var ended sync.WaitGroup
		for range calls {
			ended.Go(func() { _, _ = a.Call("b", wire.CallKind_CALL_KIND_NOTE, nil, time.Minute) })
		}
		for range calls {
			<-arrived
		}
		l, before := a.linkTo("b"), processorTime(t)
		if round%2 == 0 {
			l.close()
		} else {
			_ = conn.Close()
		}
		ended.Wait()
		if used := processorTime(t) - before; used > allowed {
			t.Errorf("round %d: the end of a link with %d calls took %v of processor time, want at most %v", round, calls, used, allowed)
		}
		waitUntil(t, "the end of the link", func() bool { return a.linkTo("b") != l })
		close(hold)
		hold = make(chan struct{})
	}
}

// processorTime returns the processor time that the process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
