package fleet

import (
	"cmp"
	"slices"
)

// groupCount is the number of groups into which hosts hash the members they count. Two
// hosts that differ in one member compare one group: at 4,000 members about 60.
const groupCount = 64

// maxMessages bounds the messages of one exchange from the side that began it: the
// digest, the hashes of the groups that differ, and what the peer lacks.
const maxMessages = 3

// Message is one message of an exchange, in either direction.
type Message struct {
	From Member
	// Digest covers all members that the sender counts.
	Digest uint64
	// Groups are the digests of the sender's groups, empty for none told.
	Groups []uint32
	// Compared is the set of groups that Have covers, one bit each.
	Compared uint64
	// Have are the hashes of the members that the sender counts in the compared groups.
	Have []uint32
	// Want are hashes of members that the sender asks for.
	Want []uint32
	// Members are what the receiver lacks.
	Members []Member
}

// Table is what a host knows of the fleet at one moment. It does not change, so that
// exchanges may use it beside the duty that owns the fleet.
type Table struct {
	self    Member
	members []Member
	digest  uint64
	groups  [groupCount]uint32
	// place is where a member stands in members, by its hash.
	place map[uint32]int
	// away are the members that left or were lost, by the hash that they have elsewhere.
	away map[uint32]Member
}

func newTable(self Member, members, away []Member) *Table {
	t := &Table{self: self, members: members, place: make(map[uint32]int, len(members)), away: make(map[uint32]Member, len(away))}
	for i := range members {
		hash := members[i].hash()
		t.digest ^= hash
		short := uint32(hash)
		t.groups[groupOf(short)] ^= short
		t.place[short] = i
	}
	for i := range away {
		t.away[uint32(away[i].hash())] = away[i]
	}
	return t
}

func groupOf(short uint32) int { return int(short % groupCount) }

// Count returns the number of members, this host included.
func (t *Table) Count() int { return len(t.members) }

// Members returns the members, this host included, by name.
func (t *Table) Members() []Member { return t.members }

// Exchange returns the messages of one exchange with a peer, one after another: call
// returns the peer's reply to each, and false where there is none.
func (t *Table) Exchange(call func(*Message) (*Message, bool)) bool {
	out := t.message()
	for range maxMessages {
		in, ok := call(out)
		if !ok {
			return false
		}
		if out = t.next(in); out == nil {
			break
		}
	}
	return true
}

// Answer returns the reply to a peer's message.
func (t *Table) Answer(in *Message) *Message {
	out := t.message()
	t.correct(in, out)
	switch {
	case in.Compared != 0:
		t.compare(in, out)
	case len(in.Members) == 0 && in.Digest != t.digest:
		out.Groups = t.groups[:]
	}
	return out
}

// next returns what follows on a peer's reply, nil at the end of the exchange.
func (t *Table) next(in *Message) *Message {
	out := t.message()
	t.correct(in, out)
	if len(in.Groups) == groupCount {
		for g, digest := range in.Groups {
			if digest != t.groups[g] {
				out.Compared |= 1 << g
			}
		}
		out.Have = t.hashes(out.Compared)
		return out
	}
	for _, short := range in.Want {
		if i, ok := t.place[short]; ok {
			out.Members = append(out.Members, t.members[i])
		}
	}
	if len(out.Members) == 0 {
		return nil
	}
	return out
}

func (t *Table) message() *Message { return &Message{From: t.self, Digest: t.digest} }

// correct tells the peer of members that it counts, itself included, and that are away.
func (t *Table) correct(in, out *Message) {
	for _, m := range slices.Concat([]Member{in.From}, in.Members) {
		if gone, ok := t.away[uint32(m.hash())]; ok && !m.Away {
			out.Members = append(out.Members, gone)
		}
	}
}

// hashes returns the hashes of the members in a set of groups, in their order.
func (t *Table) hashes(groups uint64) []uint32 {
	var list []uint32
	for short := range t.place {
		if groups&(1<<groupOf(short)) != 0 {
			list = append(list, short)
		}
	}
	slices.Sort(list)
	return list
}

// compare tells the peer which members of the compared groups it lacks or must take as
// away, and which of its own this host lacks.
func (t *Table) compare(in, out *Message) {
	for _, short := range t.hashes(in.Compared) {
		if _, has := slices.BinarySearch(in.Have, short); !has {
			out.Members = append(out.Members, t.members[t.place[short]])
		}
	}
	for _, short := range in.Have {
		if _, known := t.place[short]; known {
			continue
		}
		if gone, ok := t.away[short]; ok {
			out.Members = append(out.Members, gone)
		} else {
			out.Want = append(out.Want, short)
		}
	}
}

func byName(a, b Member) int { return cmp.Compare(a.Host, b.Host) }
