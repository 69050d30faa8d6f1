package once

import (
	"container/heap"
	"crypto/hmac"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/result"
)

// Config is what a table is given for the life of its process.
type Config struct {
	Home string
	// Incarnation is unique among all processes that ever ran under the name Home.
	Incarnation uint64
	// Key signs the tickets; only this process has it.
	Key []byte
	// Lifetime is how long a ticket may be used.
	Lifetime time.Duration
	// MaxRecords bounds the table, inherited records included.
	MaxRecords int
	// MaxOutputBytes bounds the kept outputs together.
	MaxOutputBytes int
}

// Outcome is how a ticket's request ended. It is final once recorded: also a refusal as
// not run bars the ticket, since a delayed copy of the request could still arrive.
type Outcome struct {
	Code   result.Code
	Detail string
	Target string
	Output []byte
}

// Use is one presentation of a ticket.
type Use struct {
	Ticket  Ticket
	Service string
	Caller  string
	// Body is the SHA-256 of the request's body.
	Body [MACBytes]byte
}

// Action is what a presented ticket leads to.
type Action int

// Actions. Run is returned at most once for a ticket.
const (
	Refuse Action = iota + 1
	Replay
	Join
	Run
)

// Verdict is the decision on one use; the outcome belongs to Refuse and Replay.
type Verdict struct {
	Action  Action
	Outcome Outcome
}

type status int

const (
	unused status = iota
	running
	done
)

type record struct {
	ticket  Ticket
	service string
	caller  string
	// ends is on this host's monotonic clock.
	ends    time.Duration
	status  status
	body    [MACBytes]byte
	outcome Outcome
	waiters []uint64
	index   int
}

// Table holds the records of one process.
type Table struct {
	cfg    Config
	serial uint64
	// records holds own tickets and inherited ones.
	records map[Ref]*record
	byEnd   recordHeap
	bytes   int
	frozen  bool
	taken   takenChunks
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, records: map[Ref]*record{}, taken: takenChunks{highest: map[uint64]uint64{}}}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Frozen reports whether the table has been exported and runs nothing any more.
func (t *Table) Frozen() bool { return t.frozen }

// Own reports whether the ticket names this incarnation as its home.
func (t *Table) Own(ref Ref) bool {
	return ref.Home == t.cfg.Home && ref.Incarnation == t.cfg.Incarnation
}

// Holds reports whether this process is the one that decides on the ticket.
func (t *Table) Holds(ref Ref) bool {
	if t.frozen {
		return false
	}
	_, ok := t.records[ref]
	return ok || t.Own(ref)
}

// HandedOver reports whether the table decided on the ticket until its export.
func (t *Table) HandedOver(ref Ref) bool {
	_, ok := t.records[ref]
	return t.frozen && (ok || t.Own(ref))
}

// Mint issues a ticket. A full table evicts the record that expired first, and refuses
// where none has expired.
func (t *Table) Mint(now clock.Instant, service, caller string) (Ticket, *result.Error) {
	if t.frozen {
		return Ticket{}, &result.Error{Code: result.Draining, Detail: "host is stopping"}
	}
	for len(t.records) >= t.cfg.MaxRecords || t.bytes >= t.cfg.MaxOutputBytes {
		if !t.evict(now) {
			return Ticket{}, &result.Error{Code: result.QueueFull, Detail: "the table of tickets is full"}
		}
	}
	t.serial++
	ticket := Ticket{
		Ref:    Ref{Home: t.cfg.Home, Incarnation: t.cfg.Incarnation, Serial: t.serial},
		Expiry: now.Wall + t.cfg.Lifetime,
	}
	ticket.MAC = sign(t.cfg.Key, &ticket, service, caller)
	t.add(&record{ticket: ticket, service: service, caller: caller, ends: now.Mono + t.cfg.Lifetime})
	return ticket, nil
}

func (t *Table) add(r *record) {
	t.records[r.ticket.Ref] = r
	t.bytes += len(r.outcome.Output)
	heap.Push(&t.byEnd, r)
}

// evict removes the record that ended first. A run in progress is never evicted: its
// record is put back for another lifetime.
func (t *Table) evict(now clock.Instant) bool {
	for len(t.byEnd) > 0 && t.byEnd[0].ends <= now.Mono {
		r := t.byEnd[0]
		if r.status == running {
			r.ends = now.Mono + t.cfg.Lifetime
			heap.Fix(&t.byEnd, 0)
			continue
		}
		heap.Pop(&t.byEnd)
		t.bytes -= len(r.outcome.Output)
		delete(t.records, r.ticket.Ref)
		return true
	}
	return false
}

// Begin decides on one use of a ticket. After Run the caller of Begin must report the
// end with Finish.
func (t *Table) Begin(now clock.Instant, use *Use) Verdict {
	r, ok := t.records[use.Ticket.Ref]
	if !ok || t.frozen {
		return t.withoutRecord(use)
	}
	if !r.matches(use) {
		return refuse(result.TicketInvalid, "the ticket is not of this service and caller, or was altered")
	}
	if r.status != unused && r.body != use.Body {
		return refuse(result.BadRequest, "the ticket was used with another body")
	}
	switch r.status {
	case running:
		return Verdict{Action: Join}
	case done:
		return Verdict{Action: Replay, Outcome: r.outcome}
	}
	if r.ends <= now.Mono {
		return refuse(result.TicketExpired, "the ticket expired before it was used")
	}
	r.status = running
	r.body = use.Body
	return Verdict{Action: Run}
}

// withoutRecord refuses a ticket that has no record here. A genuine one may have run
// before its record was evicted, so only a forged one is known not to have run.
func (t *Table) withoutRecord(use *Use) Verdict {
	if !t.Own(use.Ticket.Ref) || t.frozen {
		return refuse(result.HomeGone, "this host does not hold the ticket")
	}
	want := sign(t.cfg.Key, &use.Ticket, use.Service, use.Caller)
	if !hmac.Equal(want[:], use.Ticket.MAC[:]) {
		return refuse(result.TicketInvalid, "the ticket was not issued by this host")
	}
	return refuse(result.OutcomeUnknown, "the ticket's record has been evicted")
}

func (r *record) matches(use *Use) bool {
	if r.ticket.Ref != use.Ticket.Ref || r.ticket.Expiry != use.Ticket.Expiry {
		return false
	}
	same := hmac.Equal(r.ticket.MAC[:], use.Ticket.MAC[:])
	return same && r.service == use.Service && r.caller == use.Caller
}

func refuse(code result.Code, detail string) Verdict {
	return Verdict{Action: Refuse, Outcome: Outcome{Code: code, Detail: detail}}
}

// maxWaiters bounds the callers that wait for one run.
const maxWaiters = 64

// Wait adds a caller that waits for the run in progress, unless too many do.
func (t *Table) Wait(ref Ref, key uint64) bool {
	r := t.records[ref]
	if r == nil || len(r.waiters) >= maxWaiters {
		return false
	}
	r.waiters = append(r.waiters, key)
	return true
}

// Finish records the outcome of a run and returns who waits for it. Only the first
// end of a run counts.
func (t *Table) Finish(ref Ref, o Outcome) []uint64 {
	r := t.records[ref]
	if r == nil || r.status != running {
		return nil
	}
	r.status = done
	r.outcome = o
	t.bytes += len(o.Output)
	waiters := r.waiters
	r.waiters = nil
	return waiters
}

// recordHeap orders records by their end; the earliest is at index 0.
type recordHeap []*record

func (h recordHeap) Len() int { return len(h) }

// Less breaks ties by identity, so that equal runs evict in equal order.
func (h recordHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.ends != b.ends {
		return a.ends < b.ends
	}
	return a.ticket.before(&b.ticket)
}

func (t *Ticket) before(other *Ticket) bool {
	if t.Home != other.Home {
		return t.Home < other.Home
	}
	if t.Incarnation != other.Incarnation {
		return t.Incarnation < other.Incarnation
	}
	return t.Serial < other.Serial
}

func (h recordHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is for container/heap.
func (h *recordHeap) Push(x any) {
	r := x.(*record)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop is for container/heap.
func (h *recordHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
