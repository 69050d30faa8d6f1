package once

import (
	"container/heap"
	"crypto/hmac"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/result"
)

// Config configures a Table.
type Config struct {
	Home string
	// Incarnation is unique among all processes that have run as the host Home.
	Incarnation uint64
	// Key signs the tickets. Only this process has it.
	Key []byte
	// Lifetime is the time within which a ticket must be used.
	Lifetime time.Duration
	// MaxRecords is the maximum number of records, including imported ones.
	MaxRecords int
	// MaxOutputBytes is the total size of stored outputs from which on Issue evicts
	// expired records or refuses.
	MaxOutputBytes int
}

// Outcome is the result of a ticket's request. It is final once recorded. Even if the
// request was refused as not run, the ticket cannot be used again, because a delayed copy of
// the request could still arrive.
type Outcome struct {
	Code   result.Code
	Detail string
	Target string
	Output []byte
}

// Use is one presentation of a ticket with a request.
type Use struct {
	Ticket  Ticket
	Service string
	Caller  string
	// Body is the SHA-256 of the request body.
	Body [MACBytes]byte
}

// Action is what to do with a presented ticket.
type Action int

// The actions: refuse the request, replay the stored outcome, wait for the run in progress,
// or run the request. Begin returns Run at most once for a ticket.
const (
	Refuse Action = iota + 1
	Replay
	Wait
	Run
)

// Decision is the decision on one use. Outcome is set for Refuse and Replay only.
type Decision struct {
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
	// expiresAt is on this host's monotonic clock.
	expiresAt time.Duration
	status    status
	body      [MACBytes]byte
	outcome   Outcome
	waiters   []uint64
	heapIndex int
}

// Table holds the ticket records of one process.
type Table struct {
	cfg    Config
	serial uint64
	// records holds the records of tickets issued here and of imported ones.
	records     map[Ref]*record
	byExpiry    expiryHeap
	outputBytes int
	frozen      bool
	imported    importedChunks
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, records: map[Ref]*record{}, imported: importedChunks{numbers: map[uint64]map[uint64]bool{}}}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Frozen reports whether the table has been exported and permits no more runs.
func (t *Table) Frozen() bool { return t.frozen }

// IsHome reports whether this incarnation is the ticket's home.
func (t *Table) IsHome(ref Ref) bool {
	return ref.Home == t.cfg.Home && ref.Incarnation == t.cfg.Incarnation
}

// Decides reports whether this process is the one that decides on uses of the ticket.
func (t *Table) Decides(ref Ref) bool {
	if t.frozen {
		return false
	}
	_, ok := t.records[ref]
	return ok || t.IsHome(ref)
}

// HandedOver reports whether the table decided on uses of the ticket until its export.
func (t *Table) HandedOver(ref Ref) bool {
	_, ok := t.records[ref]
	return t.frozen && (ok || t.IsHome(ref))
}

// Issue issues a ticket. A full table evicts the records that expired first, and returns
// result.QueueFull if too few have expired.
func (t *Table) Issue(now clock.Instant, service, caller string) (Ticket, *result.Error) {
	if t.frozen {
		return Ticket{}, &result.Error{Code: result.Draining, Detail: "host is stopping"}
	}
	for len(t.records) >= t.cfg.MaxRecords || t.outputBytes >= t.cfg.MaxOutputBytes {
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
	t.add(&record{ticket: ticket, service: service, caller: caller, expiresAt: now.Mono + t.cfg.Lifetime})
	return ticket, nil
}

func (t *Table) add(r *record) {
	t.records[r.ticket.Ref] = r
	t.outputBytes += len(r.outcome.Output)
	heap.Push(&t.byExpiry, r)
}

// evict removes the record that expired first and reports whether there was one. A record
// whose run is in progress is not evicted; its expiry is extended by another lifetime.
func (t *Table) evict(now clock.Instant) bool {
	for len(t.byExpiry) > 0 && t.byExpiry[0].expiresAt <= now.Mono {
		r := t.byExpiry[0]
		if r.status == running {
			r.expiresAt = now.Mono + t.cfg.Lifetime
			heap.Fix(&t.byExpiry, 0)
			continue
		}
		heap.Pop(&t.byExpiry)
		t.outputBytes -= len(r.outcome.Output)
		delete(t.records, r.ticket.Ref)
		return true
	}
	return false
}

// Begin decides on one use of a ticket. If it returns Run, the outcome of the run must be
// reported with Finish.
func (t *Table) Begin(now clock.Instant, use *Use) Decision {
	r, ok := t.records[use.Ticket.Ref]
	if !ok || t.frozen {
		return t.refuseUnknown(use)
	}
	if !r.matches(use) {
		return refuse(result.TicketInvalid, "the ticket is not of this service and caller, or was altered")
	}
	if r.status != unused && r.body != use.Body {
		return refuse(result.BadRequest, "the ticket was used with another body")
	}
	switch r.status {
	case running:
		return Decision{Action: Wait}
	case done:
		return Decision{Action: Replay, Outcome: r.outcome}
	}
	if r.expiresAt <= now.Mono {
		return refuse(result.TicketExpired, "the ticket expired before it was used")
	}
	r.status = running
	r.body = use.Body
	return Decision{Action: Run}
}

// refuseUnknown refuses a ticket that has no record here. A genuine ticket may have run
// before its record was evicted; only a forged one is known not to have run.
func (t *Table) refuseUnknown(use *Use) Decision {
	if !t.IsHome(use.Ticket.Ref) || t.frozen {
		return refuse(result.HomeGone, "this host does not hold the ticket")
	}
	expected := sign(t.cfg.Key, &use.Ticket, use.Service, use.Caller)
	if !hmac.Equal(expected[:], use.Ticket.MAC[:]) {
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

func refuse(code result.Code, detail string) Decision {
	return Decision{Action: Refuse, Outcome: Outcome{Code: code, Detail: detail}}
}

// maxWaiters is the maximum number of requests that wait for one run.
const maxWaiters = 64

// AddWaiter adds the waiter identified by key to a ticket and reports whether it did. It
// returns false if the ticket has no record or too many waiters.
func (t *Table) AddWaiter(ref Ref, key uint64) bool {
	r := t.records[ref]
	if r == nil || len(r.waiters) >= maxWaiters {
		return false
	}
	r.waiters = append(r.waiters, key)
	return true
}

// Finish records the outcome of a run and returns the keys of its waiters. It does nothing
// unless the run is in progress, so only the first outcome is recorded.
func (t *Table) Finish(ref Ref, o Outcome) []uint64 {
	r := t.records[ref]
	if r == nil || r.status != running {
		return nil
	}
	r.status = done
	r.outcome = o
	t.outputBytes += len(o.Output)
	waiters := r.waiters
	r.waiters = nil
	return waiters
}

// expiryHeap is a heap of records by expiry. The earliest is at index 0.
type expiryHeap []*record

func (h expiryHeap) Len() int { return len(h) }

// Less orders records by expiry, then by ticket, so that the order of eviction is
// deterministic.
func (h expiryHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.expiresAt != b.expiresAt {
		return a.expiresAt < b.expiresAt
	}
	return a.ticket.less(&b.ticket)
}

func (t *Ticket) less(other *Ticket) bool {
	if t.Home != other.Home {
		return t.Home < other.Home
	}
	if t.Incarnation != other.Incarnation {
		return t.Incarnation < other.Incarnation
	}
	return t.Serial < other.Serial
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
