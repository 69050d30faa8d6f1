package membership

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollentack.example/pollentack/internal/core/engine"
)

// MergeTarget returns the join of two facts of one target. Incarnations are ordered;
// within one, the level and then coldness are, and leaving is never taken back. The join
// is commutative, associative and idempotent, so hosts agree whatever the order, loss
// and repetition of messages.
func MergeTarget(a, b engine.TargetFact) engine.TargetFact {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	higher := a
	if b.Level > a.Level || (b.Level == a.Level && b.Cold) {
		higher = b
	}
	higher.Leaving = a.Leaving || b.Leaving
	return higher
}

// MergeConviction returns the join of two convictions of one fingerprint.
func MergeConviction(a, b engine.Conviction) engine.Conviction {
	a.Until = max(a.Until, b.Until)
	a.Suspect = max(a.Suspect, b.Suspect)
	return a
}

// key identifies a fact: a target's name, or the fingerprint of a conviction.
type key struct {
	target      string
	fingerprint uint64
}

// entry is a fact with its place in the log.
type entry struct {
	target     engine.TargetFact
	conviction engine.Conviction
	position   uint64
	hash       uint64
	// unpublishedSince is when the target was first seen missing from the state in force.
	unpublishedSince time.Duration
}

type logged struct {
	position uint64
	key      key
}

// factStore holds the merged facts and the order in which they changed here. A peer that
// has merged up to a position lacks just the facts at later ones.
type factStore struct {
	entries map[key]*entry
	log     []logged
	head    uint64
	// hash is the exclusive or of the entries' hashes: equal sets have equal hashes.
	hash uint64
}

func newFactStore() *factStore { return &factStore{entries: map[key]*entry{}} }

// mergeTarget takes in a fact and reports whether it told anything new.
func (s *factStore) mergeTarget(f engine.TargetFact) bool {
	k := key{target: f.Target}
	old, ok := s.entries[k]
	if !ok {
		s.store(k, &entry{target: f})
		return true
	}
	merged := MergeTarget(old.target, f)
	if merged == old.target {
		return false
	}
	s.store(k, &entry{target: merged})
	return true
}

// mergeConviction takes in a conviction and reports whether it told anything new.
func (s *factStore) mergeConviction(c engine.Conviction) bool {
	k := key{fingerprint: c.Fingerprint}
	old, ok := s.entries[k]
	if !ok {
		s.store(k, &entry{conviction: c})
		return true
	}
	merged := MergeConviction(old.conviction, c)
	if merged == old.conviction {
		return false
	}
	s.store(k, &entry{conviction: merged})
	return true
}

func (s *factStore) store(k key, e *entry) {
	if old, ok := s.entries[k]; ok {
		s.hash ^= old.hash
	}
	e.hash = hashOf(k, e)
	s.hash ^= e.hash
	s.head++
	e.position = s.head
	s.entries[k] = e
	s.log = append(s.log, logged{position: s.head, key: k})
	if len(s.log) > 2*len(s.entries)+minLogLength {
		s.compact()
	}
}

// minLogLength keeps a short log from being compacted at each step.
const minLogLength = 64

// compact drops the log's superseded positions.
func (s *factStore) compact() {
	kept := s.log[:0]
	for _, l := range s.log {
		if e, ok := s.entries[l.key]; ok && e.position == l.position {
			kept = append(kept, l)
		}
	}
	s.log = kept
}

func (s *factStore) remove(k key) {
	if e, ok := s.entries[k]; ok {
		s.hash ^= e.hash
		delete(s.entries, k)
	}
}

func hashOf(k key, e *entry) uint64 {
	b := make([]byte, 0, len(k.target)+56)
	b = append(b, k.target...)
	b = binary.BigEndian.AppendUint64(b, k.fingerprint)
	b = binary.BigEndian.AppendUint64(b, e.target.Incarnation)
	b = binary.BigEndian.AppendUint32(b, uint32(e.target.Level))
	b = append(b, bit(e.target.Cold), bit(e.target.Leaving))
	b = binary.BigEndian.AppendUint64(b, uint64(e.conviction.Until))
	b = binary.BigEndian.AppendUint64(b, uint64(e.conviction.Suspect))
	return xxhash.Sum64(b)
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// Sizes of encoded facts beside the target's name, for the budget of a heartbeat.
const (
	targetFactBytes = 24
)

// since appends to h the facts after a position, oldest first and within budget bytes,
// and sets the position up to which h tells. It returns the bytes used.
func (s *factStore) since(position uint64, budget int, h *Heartbeat) int {
	used := 0
	h.UpTo = position
	from := sort.Search(len(s.log), func(i int) bool { return s.log[i].position > position })
	for _, l := range s.log[from:] {
		e, ok := s.entries[l.key]
		if !ok || e.position != l.position {
			h.UpTo = l.position
			continue
		}
		size := targetFactBytes + len(l.key.target)
		if used+size > budget {
			return used
		}
		used += size
		h.UpTo = l.position
		if l.key.target != "" {
			h.Facts = append(h.Facts, e.target)
		} else {
			h.Convictions = append(h.Convictions, e.conviction)
		}
	}
	h.UpTo = s.head
	return used
}

// expire drops convictions whose time is over and, after a while, facts of targets that
// are not published.
func (s *factStore) expire(now, wall time.Duration, published func(string) bool) {
	for k, e := range s.entries {
		switch {
		case k.target == "":
			if e.conviction.Expired(wall) {
				s.remove(k)
			}
		case published(k.target):
			e.unpublishedSince = 0
		case e.unpublishedSince == 0:
			e.unpublishedSince = max(now, 1)
		case now-e.unpublishedSince > unpublishedLimit:
			s.remove(k)
		}
	}
}

// unpublishedLimit is how long a fact outlives its target; a peer may know of a target
// before the note that publishes it is in force here.
const unpublishedLimit = time.Minute
