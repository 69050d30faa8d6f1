package membership

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollentack.example/pollentack/internal/core/engine"
)

// MergeTarget returns the join of two facts about the same target. The higher incarnation
// wins. Within one incarnation the higher level wins, at equal levels a cold fact wins
// over one that is not, and Leaving stays set once either has it. The join is commutative,
// associative and idempotent, so hosts converge even if messages are reordered, lost or
// duplicated.
func MergeTarget(a, b engine.TargetFact) engine.TargetFact {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	higher := a
	if b.WarmUpLevel > a.WarmUpLevel || (b.WarmUpLevel == a.WarmUpLevel && b.Cold) {
		higher = b
	}
	higher.Leaving = a.Leaving || b.Leaving
	return higher
}

// MergeQuarantine returns the join of two quarantine facts about the same fingerprint: the
// later of each expiry.
func MergeQuarantine(a, b engine.QuarantineFact) engine.QuarantineFact {
	a.QuarantinedUntil = max(a.QuarantinedUntil, b.QuarantinedUntil)
	a.SuspectedUntil = max(a.SuspectedUntil, b.SuspectedUntil)
	return a
}

// factKey identifies a target fact by the target's name and a quarantine fact by its
// fingerprint.
type factKey struct {
	target      string
	fingerprint uint64
}

// factEntry is a target fact or a quarantine fact with its position in the log.
type factEntry struct {
	target     engine.TargetFact
	quarantine engine.QuarantineFact
	position   uint64
	hash       uint64
	// unpublishedSince is when the target was first found missing from the state in
	// force, 0 while it is published.
	unpublishedSince time.Duration
}

type logRecord struct {
	position uint64
	key      factKey
}

// factStore holds the merged facts and a log of the order in which they changed on this
// host. A peer that has merged the log up to a position lacks exactly the facts at later
// positions.
type factStore struct {
	entries      map[factKey]*factEntry
	log          []logRecord
	lastPosition uint64
	// hash is the XOR of the entries' hashes, so that equal sets have equal hashes
	// whatever their order.
	hash uint64
}

func newFactStore() *factStore { return &factStore{entries: map[factKey]*factEntry{}} }

// mergeTarget merges a target fact and reports whether the store changed.
func (s *factStore) mergeTarget(f engine.TargetFact) bool {
	k := factKey{target: f.Target}
	old, ok := s.entries[k]
	if !ok {
		s.store(k, &factEntry{target: f})
		return true
	}
	merged := MergeTarget(old.target, f)
	if merged == old.target {
		return false
	}
	s.store(k, &factEntry{target: merged})
	return true
}

// mergeQuarantine merges a quarantine fact and reports whether the store changed.
func (s *factStore) mergeQuarantine(c engine.QuarantineFact) bool {
	k := factKey{fingerprint: c.Fingerprint}
	old, ok := s.entries[k]
	if !ok {
		s.store(k, &factEntry{quarantine: c})
		return true
	}
	merged := MergeQuarantine(old.quarantine, c)
	if merged == old.quarantine {
		return false
	}
	s.store(k, &factEntry{quarantine: merged})
	return true
}

func (s *factStore) store(k factKey, e *factEntry) {
	if old, ok := s.entries[k]; ok {
		s.hash ^= old.hash
	}
	e.hash = hashEntry(k, e)
	s.hash ^= e.hash
	s.lastPosition++
	e.position = s.lastPosition
	s.entries[k] = e
	s.log = append(s.log, logRecord{position: s.lastPosition, key: k})
	if len(s.log) > 2*len(s.entries)+compactionSlack {
		s.compact()
	}
}

// compactionSlack is the number of superseded records that the log may always hold, so
// that a short log is not compacted at every change.
const compactionSlack = 64

// compact removes superseded records from the log.
func (s *factStore) compact() {
	kept := s.log[:0]
	for _, l := range s.log {
		if e, ok := s.entries[l.key]; ok && e.position == l.position {
			kept = append(kept, l)
		}
	}
	s.log = kept
}

func (s *factStore) remove(k factKey) {
	if e, ok := s.entries[k]; ok {
		s.hash ^= e.hash
		delete(s.entries, k)
	}
}

func hashEntry(k factKey, e *factEntry) uint64 {
	b := make([]byte, 0, len(k.target)+56)
	b = append(b, k.target...)
	b = binary.BigEndian.AppendUint64(b, k.fingerprint)
	b = binary.BigEndian.AppendUint64(b, e.target.Incarnation)
	b = binary.BigEndian.AppendUint32(b, uint32(e.target.WarmUpLevel))
	b = append(b, boolByte(e.target.Cold), boolByte(e.target.Leaving))
	b = binary.BigEndian.AppendUint64(b, uint64(e.quarantine.QuarantinedUntil))
	b = binary.BigEndian.AppendUint64(b, uint64(e.quarantine.SuspectedUntil))
	return xxhash.Sum64(b)
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// factOverheadBytes approximates the encoded size of a fact without the target's name,
// for the byte budget of heartbeats.
const factOverheadBytes = 24

// appendSince appends the facts after position to h, oldest first and within budget bytes,
// and sets h.UpTo. It returns the bytes used.
func (s *factStore) appendSince(position uint64, budget int, h *Heartbeat) int {
	used := 0
	h.UpTo = position
	from := sort.Search(len(s.log), func(i int) bool { return s.log[i].position > position })
	for _, l := range s.log[from:] {
		e, ok := s.entries[l.key]
		if !ok || e.position != l.position {
			h.UpTo = l.position
			continue
		}
		size := factOverheadBytes + len(l.key.target)
		if used+size > budget {
			return used
		}
		used += size
		h.UpTo = l.position
		if l.key.target != "" {
			h.TargetFacts = append(h.TargetFacts, e.target)
		} else {
			h.QuarantineFacts = append(h.QuarantineFacts, e.quarantine)
		}
	}
	h.UpTo = s.lastPosition
	return used
}

// expire removes expired quarantine facts, and facts about targets that have been
// unpublished for longer than unpublishedRetention.
func (s *factStore) expire(now, wall time.Duration, published func(string) bool) {
	for k, e := range s.entries {
		switch {
		case k.target == "":
			if e.quarantine.Expired(wall) {
				s.remove(k)
			}
		case published(k.target):
			e.unpublishedSince = 0
		case e.unpublishedSince == 0:
			e.unpublishedSince = max(now, 1)
		case now-e.unpublishedSince > unpublishedRetention:
			s.remove(k)
		}
	}
}

// unpublishedRetention is how long the facts about an unpublished target are kept. A peer
// may send a fact about a target before the note that publishes the target is in force on
// this host.
const unpublishedRetention = time.Minute
