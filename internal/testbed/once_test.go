package testbed

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/callerapi"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
)

type onceTestbed struct {
	*Testbed
	t       *testing.T
	client  *callerclient.Client
	counter *standin.ExecutionCounter
}

func startOnceTestbed(t *testing.T) *onceTestbed {
	t.Helper()
	bed, err := Start(Layout{
		Seed: 1, Zones: ThreeZones(), Hosts: 4, Callers: 2, CallerRate: 1000,
		Services: []ServiceLayout{{
			Name: "fee", Shards: 1, Replicas: 3, MaxConnections: 90, AtMostOnce: true,
			Policy:   release.Policy{Deadline: 2 * time.Second, MinCoverage: 1},
			Behavior: standin.Behavior{Latency: time.Millisecond, Slots: 4, ColdBudget: 1},
		}},
	}, Options{AdjustSettings: func(_ int, s *settings.Settings) { s.Platform.MaxWait = 100 * time.Millisecond }})
	if err != nil {
		t.Fatal(err)
	}
	client, err := callerclient.New()
	if err != nil {
		t.Fatal(err)
	}
	b := &onceTestbed{Testbed: bed, t: t, client: client, counter: standin.NewExecutionCounter()}
	for _, target := range bed.Targets {
		target.SetExecutionCounter(b.counter)
	}
	t.Cleanup(func() {
		client.Close()
		bed.Stop()
	})
	return b
}

func (b *onceTestbed) ticket(host int) string {
	b.t.Helper()
	answer, err := b.client.Ticket(b.Nodes[host].FrontAddress(), CallerKey(0), "fee")
	if err != nil || answer.Code != result.OK {
		b.t.Fatalf("ticket: %+v, %v", answer, err)
	}
	return answer.Ticket
}

func (b *onceTestbed) once(host int, key, ticket, body string) *callerapi.OnceResponse {
	b.t.Helper()
	answer, err := b.client.Once(b.Nodes[host].FrontAddress(), key, "fee", &callerapi.OnceRequest{Ticket: ticket, Body: body})
	if err != nil {
		b.t.Fatal(err)
	}
	return answer
}

func (b *onceTestbed) wantCode(got *callerapi.OnceResponse, want result.Code) {
	b.t.Helper()
	if got.Code != want {
		b.t.Fatalf("got %+v, want code %s", got, want)
	}
}

// TestResendReturnsFirstOutcome checks that a request resent through any host returns the
// first outcome and runs once.
func TestResendReturnsFirstOutcome(t *testing.T) {
	b := startOnceTestbed(t)
	ticket := b.ticket(0)
	first := b.once(1, CallerKey(0), ticket, "fee 1")
	b.wantCode(first, result.OK)
	for host := range b.Nodes {
		if again := b.once(host, CallerKey(0), ticket, "fee 1"); again.Output != first.Output {
			t.Fatalf("host %d returned %q, the first outcome is %q", host, again.Output, first.Output)
		}
	}
	if n := b.Nodes[0].Status().Tickets; n != 1 {
		t.Fatalf("the status of the home host counts %d tickets, want 1", n)
	}
	if n := b.counter.BodyCount("fee 1"); n != 1 {
		t.Fatalf("the request ran %d times", n)
	}
}

// TestTicketRefusals checks the codes for missing, malformed and forged tickets, and for a
// ticket of another caller.
func TestTicketRefusals(t *testing.T) {
	b := startOnceTestbed(t)
	ticket := b.ticket(0)
	b.wantCode(b.once(0, CallerKey(0), "", "fee"), result.TicketMissing)
	b.wantCode(b.once(1, CallerKey(0), "nonsense", "fee"), result.TicketInvalid)
	b.wantCode(b.once(1, CallerKey(1), ticket, "fee"), result.TicketInvalid)
	decoded, err := callerapi.DecodeTicket(ticket)
	if err != nil {
		t.Fatal(err)
	}
	decoded.Serial++
	b.wantCode(b.once(1, CallerKey(0), callerapi.EncodeTicket(decoded), "fee"), result.TicketInvalid)
	if n := b.counter.BodyCount("fee"); n != 0 {
		t.Fatalf("refused requests ran %d times", n)
	}
}

// TestLostReplyIsOutcomeUnknown checks that a request whose reply was lost is not run again
// and is answered with outcome_unknown, also when it is resent.
func TestLostReplyIsOutcomeUnknown(t *testing.T) {
	b := startOnceTestbed(t)
	for _, target := range b.Targets {
		target.UpdateBehavior(func(x *standin.Behavior) { x.RunFaults.NoReplyShare = 1 })
	}
	ticket := b.ticket(0)
	for host := range b.Nodes {
		b.wantCode(b.once(host, CallerKey(0), ticket, "fee"), result.OutcomeUnknown)
	}
	if n := b.counter.BodyCount("fee"); n != 1 {
		t.Fatalf("the request ran %d times", n)
	}
}

// TestDeclinedRunGoesToAnotherTarget checks that a request that a target reports as not run
// is sent to another target.
func TestDeclinedRunGoesToAnotherTarget(t *testing.T) {
	b := startOnceTestbed(t)
	b.Targets["fee-0-0"].UpdateBehavior(func(x *standin.Behavior) { x.RunFaults.NotRunShare = 1 })
	b.Targets["fee-0-1"].UpdateBehavior(func(x *standin.Behavior) { x.RunFaults.NotRunShare = 1 })
	b.wantCode(b.once(1, CallerKey(0), b.ticket(0), "fee"), result.OK)
}

// TestTicketsOfKilledHomeNeverRun checks that a ticket whose home host was killed is
// answered with home_gone and does not run elsewhere, also after a new process has taken the
// host's name.
func TestTicketsOfKilledHomeNeverRun(t *testing.T) {
	b := startOnceTestbed(t)
	ticket := b.ticket(0)
	b.KillHost(0)
	b.wantCode(b.once(1, CallerKey(0), ticket, "fee"), result.HomeGone)
	if _, err := b.RestartHost(0); err != nil {
		t.Fatal(err)
	}
	for host := range b.Nodes {
		b.wantCode(b.once(host, CallerKey(0), ticket, "fee"), result.HomeGone)
	}
	if n := b.counter.BodyCount("fee"); n != 0 {
		t.Fatalf("the request ran %d times", n)
	}
}

// TestTicketsSurviveGracefulStop checks that after graceful stops of every host in turn a
// used ticket keeps its outcome and an unused one can still run, but only once.
func TestTicketsSurviveGracefulStop(t *testing.T) {
	b := startOnceTestbed(t)
	used, unused := b.ticket(0), b.ticket(0)
	first := b.once(0, CallerKey(0), used, "used")
	for host := range b.Nodes {
		b.StopHost(host)
		if _, err := b.RestartHost(host); err != nil {
			t.Fatal(err)
		}
		if again := b.once(host, CallerKey(0), used, "used"); again.Output != first.Output {
			t.Fatalf("after the stop of host %d the answer is %+v, the first outcome is %q", host, again, first.Output)
		}
		b.wantCode(b.once(host, CallerKey(0), unused, "unused"), result.OK)
	}
	if n := b.counter.BodyCount("unused") + b.counter.BodyCount("used"); n != 2 {
		t.Fatalf("two requests ran %d times in all", n)
	}
}
