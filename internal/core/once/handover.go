package once

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/result"
)

// Record is one ticket's state as it is handed over.
type Record struct {
	Ticket  Ticket
	Service string
	Caller  string
	// Remaining is what was left of the ticket's lifetime.
	Remaining time.Duration
	// Used tells that the ticket has run or been refused for good, with Outcome.
	Used    bool
	Body    [MACBytes]byte
	Outcome Outcome
}

// Chunk is the unit of a handover. Every record is in exactly one chunk, and a chunk is
// sent to a second successor only if it is known never to have reached the first.
type Chunk struct {
	// Home is the home of all its records.
	Home string
	// Sender is the incarnation that hands over, Number counts its chunks from 1.
	Sender  uint64
	Number  uint64
	Records []Record
}

const (
	maxChunkRecords = 512
	maxChunkBytes   = 128 << 10
)

// Export freezes the table and returns its records. From here on this process runs no
// ticket, whatever becomes of the chunks: that is what lets a successor run the unused
// ones. A run still in progress is handed over with its outcome unknown.
func (t *Table) Export(now clock.Instant) []Chunk {
	t.frozen = true
	refs := slices.SortedFunc(maps.Keys(t.records), compareRefs)
	var chunks []Chunk
	size := 0
	for _, ref := range refs {
		rec := t.records[ref].export(now)
		last := len(chunks) - 1
		if last < 0 || chunks[last].Home != ref.Home || len(chunks[last].Records) == maxChunkRecords || size > maxChunkBytes {
			last++
			chunks = append(chunks, Chunk{Home: ref.Home, Sender: t.cfg.Incarnation, Number: uint64(last) + 1})
			size = 0
		}
		chunks[last].Records = append(chunks[last].Records, rec)
		size += len(rec.Outcome.Output)
	}
	return chunks
}

func compareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Home, b.Home), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Serial, b.Serial))
}

func (r *record) export(now clock.Instant) Record {
	rec := Record{
		Ticket:    r.ticket,
		Service:   r.service,
		Caller:    r.caller,
		Remaining: max(0, r.ends-now.Mono),
		Used:      r.status != unused,
		Body:      r.body,
		Outcome:   r.outcome,
	}
	if r.status == running {
		rec.Outcome = Outcome{Code: result.OutcomeUnknown, Detail: "the home stopped during the run"}
	}
	return rec
}

// Import takes a chunk over, once, and reports whether it did. A frozen or full table
// takes none.
func (t *Table) Import(now clock.Instant, c *Chunk) bool {
	if t.frozen || !t.taken.first(c.Sender, c.Number) {
		return false
	}
	for len(t.records)+len(c.Records) > t.cfg.MaxRecords {
		if !t.evict(now) {
			return false
		}
	}
	for i := range c.Records {
		t.inherit(now, &c.Records[i])
	}
	return true
}

func (t *Table) inherit(now clock.Instant, rec *Record) {
	if _, ok := t.records[rec.Ticket.Ref]; ok || t.Own(rec.Ticket.Ref) {
		return
	}
	r := &record{
		ticket:  rec.Ticket,
		service: rec.Service,
		caller:  rec.Caller,
		ends:    now.Mono + min(rec.Remaining, t.cfg.Lifetime),
		body:    rec.Body,
		outcome: rec.Outcome,
	}
	if rec.Used {
		r.status = done
	}
	t.add(r)
}

// maxSenders bounds the memory of who handed over.
const maxSenders = 4096

// takenChunks remembers the chunks taken, so that a duplicate cannot bring a record
// back after its eviction.
type takenChunks struct {
	highest map[uint64]uint64
	order   []uint64
}

// first reports whether the chunk is new; a sender's chunks arrive in ascending order.
func (c *takenChunks) first(sender, number uint64) bool {
	last, known := c.highest[sender]
	if number <= last {
		return false
	}
	c.highest[sender] = number
	if known {
		return true
	}
	c.order = append(c.order, sender)
	if len(c.order) > maxSenders {
		delete(c.highest, c.order[0])
		c.order = c.order[1:]
	}
	return true
}
