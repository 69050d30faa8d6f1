package once

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/result"
)

// Record is the state of one ticket in a handover.
type Record struct {
	Ticket  Ticket
	Service string
	Caller  string
	// Remaining is the rest of the ticket's lifetime at the export.
	Remaining time.Duration
	// Used reports whether Begin permitted the run of the ticket's request. Outcome is then
	// final, even if it says that the request was not run.
	Used    bool
	Body    [MACBytes]byte
	Outcome Outcome
}

// HandoverChunk is the unit of a handover. Every record is in exactly one chunk. A chunk may
// be sent to a second successor only if it is certain that it never reached the first.
type HandoverChunk struct {
	// Home is the host that issued the tickets of all records.
	Home string
	// SenderIncarnation is the incarnation that hands the chunk over. Number counts its
	// chunks, starting at 1.
	SenderIncarnation uint64
	Number            uint64
	Records           []Record
}

const (
	maxChunkRecords = 512
	maxChunkBytes   = 128 << 10
)

// Export freezes the table and returns its records in chunks. From then on the table permits
// no run, even if the chunks are lost, so that a successor may safely run the unused
// tickets. A run in progress is exported with an unknown outcome.
func (t *Table) Export(now clock.Instant) []HandoverChunk {
	t.frozen = true
	refs := slices.SortedFunc(maps.Keys(t.records), compareRefs)
	var chunks []HandoverChunk
	size := 0
	for _, ref := range refs {
		rec := t.records[ref].export(now)
		last := len(chunks) - 1
		if last < 0 || chunks[last].Home != ref.Home || len(chunks[last].Records) == maxChunkRecords || size > maxChunkBytes {
			last++
			chunks = append(chunks, HandoverChunk{Home: ref.Home, SenderIncarnation: t.cfg.Incarnation, Number: uint64(last) + 1})
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
		Remaining: max(0, r.expiresAt-now.Mono),
		Used:      r.status != unused,
		Body:      r.body,
		Outcome:   r.outcome,
	}
	if r.status == running {
		rec.Outcome = Outcome{Code: result.OutcomeUnknown, Detail: "the home stopped during the run"}
	}
	return rec
}

// Import adds the records of a chunk to the table and reports whether it did. It refuses a
// chunk that was received before, and any chunk if the table is frozen or has no room.
func (t *Table) Import(now clock.Instant, c *HandoverChunk) bool {
	if t.frozen || !t.imported.isNew(c.SenderIncarnation, c.Number) {
		return false
	}
	for len(t.records)+len(c.Records) > t.cfg.MaxRecords {
		if !t.evict(now) {
			return false
		}
	}
	t.imported.add(c.SenderIncarnation, c.Number)
	for i := range c.Records {
		t.importRecord(now, &c.Records[i])
	}
	return true
}

func (t *Table) importRecord(now clock.Instant, rec *Record) {
	if _, ok := t.records[rec.Ticket.Ref]; ok || t.IsHome(rec.Ticket.Ref) {
		return
	}
	r := &record{
		ticket:    rec.Ticket,
		service:   rec.Service,
		caller:    rec.Caller,
		expiresAt: now.Mono + min(rec.Remaining, t.cfg.Lifetime),
		body:      rec.Body,
		outcome:   rec.Outcome,
	}
	if rec.Used {
		r.status = done
	}
	t.add(r)
}

// maxTrackedSenders is the maximum number of senders whose chunk numbers are kept.
const maxTrackedSenders = 4096

// importedChunks tracks the chunks received, so that a duplicate chunk cannot restore a
// record that was evicted since. The chunks of a sender may arrive in any order, since it sends
// them at the same time.
type importedChunks struct {
	// numbers holds the numbers of the chunks received from each sender.
	numbers map[uint64]map[uint64]bool
	// senderOrder lists the senders by first chunk, the oldest first.
	senderOrder []uint64
}

// isNew reports whether a chunk was not recorded yet.
func (c *importedChunks) isNew(sender, number uint64) bool { return !c.numbers[sender][number] }

// add records a new chunk.
func (c *importedChunks) add(sender, number uint64) {
	if received, known := c.numbers[sender]; known {
		received[number] = true
		return
	}
	c.numbers[sender] = map[uint64]bool{number: true}
	c.senderOrder = append(c.senderOrder, sender)
	if len(c.senderOrder) > maxTrackedSenders {
		delete(c.numbers, c.senderOrder[0])
		c.senderOrder = c.senderOrder[1:]
	}
}
