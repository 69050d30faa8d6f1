package testbed

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/callerapi"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/standin"
)

// runAsync runs f on a thread of its own and returns a channel that is closed at its end.
func runAsync(t *testing.T, f func()) <-chan struct{} {
	t.Helper()
	group, err := duty.NewGroup(1, func(_ string, err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	run := func() {
		defer close(done)
		f()
	}
	if err := group.Start(duty.Duty{Name: "async", Run: run, Stop: func() {}}); err != nil {
		t.Fatal(err)
	}
	return done
}

// startSlowRequest sends a request that runs for latency and waits until it has started. The
// answer is set once done is closed.
func startSlowRequest(t *testing.T, b *onceTestbed, latency time.Duration) (answer **callerapi.OnceResponse, done <-chan struct{}) {
	t.Helper()
	for _, target := range b.Targets {
		target.UpdateBehavior(func(x *standin.Behavior) { x.Latency = latency })
	}
	ticket, address := b.ticket(0), b.Nodes[0].FrontAddress()
	answer = new(*callerapi.OnceResponse)
	done = runAsync(t, func() {
		*answer, _ = b.client.Once(address, CallerKey(0), "fee", &callerapi.OnceRequest{Ticket: ticket, Body: "slow"})
	})
	if err := Await("the run to start", func() bool { return b.counter.BodyCount("slow") == 1 }); err != nil {
		t.Fatal(err)
	}
	return answer, done
}

// TestStopAnswersRequestsInProgress checks that a graceful stop answers the requests in
// progress.
func TestStopAnswersRequestsInProgress(t *testing.T) {
	b := startOnceTestbed(t)
	answer, done := startSlowRequest(t, b, 500*time.Millisecond)
	b.StopHost(0)
	<-done
	if *answer == nil {
		t.Fatal("the request in progress got no answer")
	}
	b.wantCode(*answer, result.OK)
}

// TestHurriedStopDoesNotWaitForRuns checks that a hurried stop ends while a run is in
// progress, and that an unused ticket of the host can still run at a successor.
func TestHurriedStopDoesNotWaitForRuns(t *testing.T) {
	b := startOnceTestbed(t)
	ticket := b.ticket(0)
	_, done := startSlowRequest(t, b, 1500*time.Millisecond)
	node := b.Nodes[0]
	stopped := runAsync(t, node.Stop)
	node.SkipWaits()
	<-stopped
	if node.Status().InProgress == 0 {
		t.Fatal("the hurried stop waited for the run in progress")
	}
	b.wantCode(b.once(1, CallerKey(0), ticket, "unused"), result.OK)
	<-done
}

// TestStoppedHostClosesKeptConnections checks that a stopped host answers no further request
// on a caller's kept connection.
func TestStoppedHostClosesKeptConnections(t *testing.T) {
	b := startOnceTestbed(t)
	client, err := callerclient.New()
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	address := b.Nodes[0].FrontAddress()
	if answer, err := client.Ticket(address, CallerKey(0), "fee"); err != nil || answer.Code != result.OK {
		t.Fatalf("ticket: %+v, %v", answer, err)
	}
	b.StopHost(0)
	if answer, err := client.Ticket(address, CallerKey(0), "fee"); err == nil {
		t.Fatalf("a stopped host answered %+v on a kept connection", answer)
	}
}
