package testbed

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/edge/front"
	"pollentack.example/pollentack/internal/standin"
)

// beside runs f on a thread of its own and returns what tells of its end.
func beside(t *testing.T, f func()) <-chan struct{} {
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
	if err := group.Start(duty.Duty{Name: "beside", Run: run, Stop: func() {}}); err != nil {
		t.Fatal(err)
	}
	return done
}

// slowCharge sends a request that takes the target long and waits until it runs.
func slowCharge(t *testing.T, b *onceBed, latency time.Duration) (answer **front.OnceAnswerBody, done <-chan struct{}) {
	t.Helper()
	for _, target := range b.Targets {
		target.Change(func(x *standin.Behaviour) { x.Latency = latency })
	}
	ticket, address := b.ticket(0), b.Nodes[0].FrontAddress()
	answer = new(*front.OnceAnswerBody)
	done = beside(t, func() {
		*answer, _ = b.client.Once(address, Key(0), "fee", &front.OnceBody{Ticket: ticket, Body: "slow"})
	})
	if err := Await("the run to begin", func() bool { return b.ledger.BodyCount("slow") == 1 }); err != nil {
		t.Fatal(err)
	}
	return answer, done
}

// TestStopAnswersWhatIsInProgress checks that a graceful stop cuts no request.
func TestStopAnswersWhatIsInProgress(t *testing.T) {
	b := startOnceBed(t)
	answer, done := slowCharge(t, b, 500*time.Millisecond)
	b.Leave(0)
	<-done
	if *answer == nil {
		t.Fatal("the request in progress was cut")
	}
	b.wantCode(*answer, result.OK)
}

// TestHurryEndsAStop checks the way out: a hurried stop hands the run that it does not
// wait for over as unknown.
func TestHurryEndsAStop(t *testing.T) {
	b := startOnceBed(t)
	ticket := b.ticket(0)
	_, done := slowCharge(t, b, 1500*time.Millisecond)
	node := b.Nodes[0]
	stopped := beside(t, node.Stop)
	node.Hurry()
	<-stopped
	if node.Status().InProgress == 0 {
		t.Fatal("the hurried stop waited for the run")
	}
	b.wantCode(b.once(1, Key(0), ticket, "unused"), result.OK)
	<-done
}

// TestLeavingHostEndsKeepAlive checks that a host whose check fails tells callers to
// open no further request on their connections.
func TestLeavingHostEndsKeepAlive(t *testing.T) {
	b := startOnceBed(t)
	client, err := callerclient.New()
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	address := b.Nodes[0].FrontAddress()
	if answer, err := client.Ticket(address, Key(0), "fee"); err != nil || answer.Code != result.OK {
		t.Fatalf("ticket: %+v, %v", answer, err)
	}
	b.Leave(0)
	if answer, err := client.Ticket(address, Key(0), "fee"); err == nil {
		t.Fatalf("a host that has left answers %+v on an old connection", answer)
	}
}
