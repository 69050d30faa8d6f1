package fleet

import (
	"cmp"
	"slices"
)

// groupCount is the number of groups into which members are divided by hash. Two hosts whose
// snapshots differ in one member compare one group, which has about 60 members in a fleet
// of 4,000.
const groupCount = 64

// maxMessages bounds the messages that the initiator sends in one exchange: the digest,
// the hashes in the groups that differ, and the members that the peer lacks.
const maxMessages = 3

// Message is a message of an exchange, in either direction.
type Message struct {
	From Member
	// Digest covers all members that the sender considers present.
	Digest uint64
	// GroupDigests holds the digest of each of the sender's groups, or is empty.
	GroupDigests []uint32
	// ComparedGroups is the set of groups that KnownHashes covers, as a bit mask.
	ComparedGroups uint64
	// KnownHashes holds the sorted hashes of the members of the compared groups that the
	// sender considers present.
	KnownHashes []uint32
	// RequestedHashes holds the hashes of the members that the sender requests.
	RequestedHashes []uint32
	// Members holds the members that the receiver lacks or must mark as departed.
	Members []Member
}

// Snapshot is an immutable snapshot of the membership. Exchanges may use it concurrently
// with the thread that owns the Fleet.
type Snapshot struct {
	self    Member
	members []Member
	digest  uint64
	groups  [groupCount]uint32
	// indexByHash maps the hash of a member to its index in members.
	indexByHash map[uint32]int
	// departed holds the departed members by the hash that they have on hosts that
	// consider them present.
	departed map[uint32]Member
	// departedHosts holds the same members by name.
	departedHosts map[string]Member
}

func newSnapshot(self Member, members, departed []Member) *Snapshot {
	s := &Snapshot{self: self, members: members, indexByHash: make(map[uint32]int, len(members)), departed: make(map[uint32]Member, len(departed)), departedHosts: make(map[string]Member, len(departed))}
	for i := range members {
		hash := members[i].hash()
		s.digest ^= hash
		hash32 := uint32(hash)
		s.groups[groupOf(hash32)] ^= hash32
		s.indexByHash[hash32] = i
	}
	for i := range departed {
		s.departed[uint32(departed[i].hash())] = departed[i]
		s.departedHosts[departed[i].Host] = departed[i]
	}
	return s
}

func groupOf(hash32 uint32) int { return int(hash32 % groupCount) }

// Count returns the number of members, this host included.
func (s *Snapshot) Count() int { return len(s.members) }

// Members returns the members, this host included, sorted by name.
func (s *Snapshot) Members() []Member { return s.members }

// RunExchange runs one exchange with a peer. It passes each message to call, which returns
// the peer's reply, or false if there is none. RunExchange reports whether the peer answered
// each message.
func (s *Snapshot) RunExchange(call func(*Message) (*Message, bool)) bool {
	out := s.newMessage()
	for range maxMessages {
		in, ok := call(out)
		if !ok {
			return false
		}
		if out = s.followUp(in); out == nil {
			break
		}
	}
	return true
}

// Reply returns the reply to a peer's message.
func (s *Snapshot) Reply(in *Message) *Message {
	out := s.newMessage()
	s.addDepartures(in, out)
	switch {
	case in.ComparedGroups != 0:
		s.addDifferences(in, out)
	case len(in.Members) == 0 && in.Digest != s.digest:
		out.GroupDigests = s.groups[:]
	}
	return out
}

// followUp returns the message that follows a peer's reply, nil at the end of the
// exchange.
func (s *Snapshot) followUp(in *Message) *Message {
	out := s.newMessage()
	s.addDepartures(in, out)
	if len(in.GroupDigests) == groupCount {
		for g, digest := range in.GroupDigests {
			if digest != s.groups[g] {
				out.ComparedGroups |= 1 << g
			}
		}
		out.KnownHashes = s.hashes(out.ComparedGroups)
		return out
	}
	for _, hash32 := range in.RequestedHashes {
		if i, ok := s.indexByHash[hash32]; ok {
			out.Members = append(out.Members, s.members[i])
		}
	}
	if len(out.Members) == 0 {
		return nil
	}
	return out
}

func (s *Snapshot) newMessage() *Message { return &Message{From: s.self, Digest: s.digest} }

// addDepartures adds to out the departed members that the sender of in considers present,
// the sender included. The sender is told of its departure also if that has a later start than
// the sender itself, whose clock may have been set back before it started again: only the sender
// can refute it.
func (s *Snapshot) addDepartures(in, out *Message) {
	if departed, ok := s.departedHosts[in.From.Host]; ok && departed.Started > in.From.Started {
		out.Members = append(out.Members, departed)
	}
	for _, m := range slices.Concat([]Member{in.From}, in.Members) {
		if departed, ok := s.departed[uint32(m.hash())]; ok && !m.Departed {
			out.Members = append(out.Members, departed)
		}
	}
}

// hashes returns the sorted hashes of the members in a set of groups.
func (s *Snapshot) hashes(groups uint64) []uint32 {
	var list []uint32
	for hash32 := range s.indexByHash {
		if groups&(1<<groupOf(hash32)) != 0 {
			list = append(list, hash32)
		}
	}
	slices.Sort(list)
	return list
}

// addDifferences adds to out the members of the compared groups that the peer lacks or
// must mark as departed, and the hashes of those that this host lacks.
func (s *Snapshot) addDifferences(in, out *Message) {
	for _, hash32 := range s.hashes(in.ComparedGroups) {
		if _, has := slices.BinarySearch(in.KnownHashes, hash32); !has {
			out.Members = append(out.Members, s.members[s.indexByHash[hash32]])
		}
	}
	for _, hash32 := range in.KnownHashes {
		if _, known := s.indexByHash[hash32]; known {
			continue
		}
		if departed, ok := s.departed[hash32]; ok {
			out.Members = append(out.Members, departed)
		} else {
			out.RequestedHashes = append(out.RequestedHashes, hash32)
		}
	}
}

func byName(a, b Member) int { return cmp.Compare(a.Host, b.Host) }
