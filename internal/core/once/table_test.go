package once

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/result"
)

const lifetime = time.Minute

func newTable(incarnation uint64, records int) *Table {
	return NewTable(Config{Home: "host", Incarnation: incarnation, Key: []byte("key"), Lifetime: lifetime, MaxRecords: records, MaxOutputBytes: 1 << 20})
}

func mustMint(t *testing.T, table *Table, now clock.Instant) *Use {
	t.Helper()
	ticket, err := table.Mint(now, "fee", "driver")
	if err != nil {
		t.Fatal(err)
	}
	return &Use{Ticket: ticket, Service: "fee", Caller: "driver"}
}

// TestDuplicateChunkIsRefused checks that a chunk delivered twice cannot bring back a
// ticket that ran and was evicted in between.
func TestDuplicateChunkIsRefused(t *testing.T) {
	var now clock.Instant
	home := newTable(1, 1)
	use := mustMint(t, home, now)
	chunk := &home.Export(now)[0]
	successor := NewTable(Config{Home: "other", Incarnation: 2, Lifetime: lifetime, MaxRecords: 1, MaxOutputBytes: 1})
	if !successor.Import(now, chunk) || successor.Begin(now, use).Action != Run {
		t.Fatal("the successor does not run an unused ticket")
	}
	successor.Finish(use.Ticket.Ref, Outcome{})
	now = now.Add(2 * lifetime)
	mustMint(t, successor, now)
	if successor.Import(now.Add(2*lifetime), chunk) {
		t.Fatal("the chunk was taken twice")
	}
}

// TestFullTableRefusesToMint checks the bound: only an expired record makes room, and
// its ticket is then unknown, not forged and not run again.
func TestFullTableRefusesToMint(t *testing.T) {
	var now clock.Instant
	table := newTable(1, 1)
	use := mustMint(t, table, now)
	if _, err := table.Mint(now.Add(lifetime-1), "fee", "driver"); err == nil || err.Code != result.QueueFull {
		t.Fatalf("mint on a full table: %v", err)
	}
	now = now.Add(lifetime)
	mustMint(t, table, now)
	if v := table.Begin(now, use); v.Action != Refuse || v.Outcome.Code != result.OutcomeUnknown {
		t.Fatalf("evicted ticket: %+v", v)
	}
	use.Ticket.MAC[0]++
	if v := table.Begin(now, use); v.Outcome.Code != result.TicketInvalid {
		t.Fatalf("forged ticket: %+v", v)
	}
}

// TestAlteredUseIsRefused checks that a ticket binds its service, caller and first body.
func TestAlteredUseIsRefused(t *testing.T) {
	var now clock.Instant
	table := newTable(1, 2)
	use := mustMint(t, table, now)
	alterations := map[string]func(*Use){
		"service": func(u *Use) { u.Service = "other" },
		"caller":  func(u *Use) { u.Caller = "other" },
		"expiry":  func(u *Use) { u.Ticket.Expiry++ },
		"code":    func(u *Use) { u.Ticket.MAC[3]++ },
	}
	for name, alter := range alterations {
		altered := *use
		alter(&altered)
		if v := table.Begin(now, &altered); v.Outcome.Code != result.TicketInvalid {
			t.Errorf("%s altered: %+v", name, v)
		}
	}
	if v := table.Begin(now, use); v.Action != Run {
		t.Fatalf("genuine use: %+v", v)
	}
	other := *use
	other.Body[0]++
	if v := table.Begin(now, &other); v.Outcome.Code != result.BadRequest {
		t.Fatalf("another body: %+v", v)
	}
}
