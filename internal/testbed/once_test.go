package testbed

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/edge/front"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
)

type onceBed struct {
	*Testbed
	t      *testing.T
	client *callerclient.Client
	ledger *standin.Ledger
}

func startOnceBed(t *testing.T) *onceBed {
	t.Helper()
	bed, err := Start(Layout{
		Seed: 1, Zones: ThreeZones(), Hosts: 4, Callers: 2, CallerRate: 1000,
		Services: []ServiceLayout{{
			Name: "fee", Shards: 1, Replicas: 3, Connections: 90, Once: true,
			Policy:    release.Policy{Deadline: 2 * time.Second, MinCoverage: 1},
			Behaviour: standin.Behaviour{Latency: time.Millisecond, Slots: 4, ColdBudget: 1},
		}},
	}, Options{Adjust: func(_ int, s *settings.Settings) { s.Platform.Poll = 100 * time.Millisecond }})
	if err != nil {
		t.Fatal(err)
	}
	client, err := callerclient.New()
	if err != nil {
		t.Fatal(err)
	}
	b := &onceBed{Testbed: bed, t: t, client: client, ledger: standin.NewLedger()}
	for _, target := range bed.Targets {
		target.SetLedger(b.ledger)
	}
	t.Cleanup(func() {
		client.Close()
		bed.Stop()
	})
	return b
}

func (b *onceBed) ticket(host int) string {
	b.t.Helper()
	answer, err := b.client.Ticket(b.Nodes[host].FrontAddress(), Key(0), "fee")
	if err != nil || answer.Code != result.OK {
		b.t.Fatalf("ticket: %+v, %v", answer, err)
	}
	return answer.Ticket
}

func (b *onceBed) once(host int, key, ticket, body string) *front.OnceAnswerBody {
	b.t.Helper()
	answer, err := b.client.Once(b.Nodes[host].FrontAddress(), key, "fee", &front.OnceBody{Ticket: ticket, Body: body})
	if err != nil {
		b.t.Fatal(err)
	}
	return answer
}

func (b *onceBed) wantCode(got *front.OnceAnswerBody, want result.Code) {
	b.t.Helper()
	if got.Code != want {
		b.t.Fatalf("got %+v, want code %s", got, want)
	}
}

// TestResendThroughAnotherHost checks that a resend gets the first outcome.
func TestResendThroughAnotherHost(t *testing.T) {
	b := startOnceBed(t)
	ticket := b.ticket(0)
	first := b.once(1, Key(0), ticket, "fee 1")
	b.wantCode(first, result.OK)
	for host := range b.Nodes {
		if again := b.once(host, Key(0), ticket, "fee 1"); again.Output != first.Output {
			t.Fatalf("host %d: %q, first %q", host, again.Output, first.Output)
		}
	}
	if n := b.Nodes[0].Status().Tickets; n != 1 {
		t.Fatalf("the home's status counts %d tickets", n)
	}
	if n := b.ledger.BodyCount("fee 1"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestTicketRefusals checks the codes of missing, forged and foreign tickets.
func TestTicketRefusals(t *testing.T) {
	b := startOnceBed(t)
	ticket := b.ticket(0)
	b.wantCode(b.once(0, Key(0), "", "fee"), result.TicketMissing)
	b.wantCode(b.once(1, Key(0), "nonsense", "fee"), result.TicketInvalid)
	b.wantCode(b.once(1, Key(1), ticket, "fee"), result.TicketInvalid)
	decoded, err := front.DecodeTicket(ticket)
	if err != nil {
		t.Fatal(err)
	}
	decoded.Serial++
	b.wantCode(b.once(1, Key(0), front.EncodeTicket(decoded), "fee"), result.TicketInvalid)
	if n := b.ledger.BodyCount("fee"); n != 0 {
		t.Fatalf("refused requests ran %d times", n)
	}
}

// TestLostConnectionIsUnknown checks that a request whose reply was lost is never sent
// again and is called unknown, also on a resend.
func TestLostConnectionIsUnknown(t *testing.T) {
	b := startOnceBed(t)
	for _, target := range b.Targets {
		target.Change(func(x *standin.Behaviour) { x.Runs.LostShare = 1 })
	}
	ticket := b.ticket(0)
	for host := range b.Nodes {
		b.wantCode(b.once(host, Key(0), ticket, "fee"), result.OutcomeUnknown)
	}
	if n := b.ledger.BodyCount("fee"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestDeclinedIsTriedElsewhere checks that a definite "not run" goes to another target.
func TestDeclinedIsTriedElsewhere(t *testing.T) {
	b := startOnceBed(t)
	b.Targets["fee-0-0"].Change(func(x *standin.Behaviour) { x.Runs.DeclineShare = 1 })
	b.Targets["fee-0-1"].Change(func(x *standin.Behaviour) { x.Runs.DeclineShare = 1 })
	b.wantCode(b.once(1, Key(0), b.ticket(0), "fee"), result.OK)
}

// TestHomeGone checks that a killed home's tickets are unknown and never run elsewhere,
// also once a new process has its name.
func TestHomeGone(t *testing.T) {
	b := startOnceBed(t)
	ticket := b.ticket(0)
	b.Kill(0)
	b.wantCode(b.once(1, Key(0), ticket, "fee"), result.HomeGone)
	if _, err := b.Restart(0); err != nil {
		t.Fatal(err)
	}
	for host := range b.Nodes {
		b.wantCode(b.once(host, Key(0), ticket, "fee"), result.HomeGone)
	}
	if n := b.ledger.BodyCount("fee"); n != 0 {
		t.Fatalf("ran %d times", n)
	}
}

// TestHandover checks that after a graceful stop a used ticket keeps its outcome and an
// unused one can still run, once, also after the successors stopped in their turn.
func TestHandover(t *testing.T) {
	b := startOnceBed(t)
	used, unused := b.ticket(0), b.ticket(0)
	first := b.once(0, Key(0), used, "used")
	for host := range b.Nodes {
		b.Leave(host)
		if _, err := b.Restart(host); err != nil {
			t.Fatal(err)
		}
		if again := b.once(host, Key(0), used, "used"); again.Output != first.Output {
			t.Fatalf("after stop of host %d: %+v, first %q", host, again, first.Output)
		}
		b.wantCode(b.once(host, Key(0), unused, "unused"), result.OK)
	}
	if n := b.ledger.BodyCount("unused") + b.ledger.BodyCount("used"); n != 2 {
		t.Fatalf("two requests ran %d times", n)
	}
}
