package node

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/membership"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/note"
	"pollentack.example/pollentack/internal/wire"
)

const (
	// maxPartBytes bounds the items in one part of a baseline, and the notes in one reply.
	maxPartBytes = note.MaxBytes / 2
	// maxParts bounds the number of parts of a baseline that is fetched.
	maxParts = 256
)

// noteServer serves the state in force and the recent notes to peers.
type noteServer struct {
	snapshot atomic.Pointer[control.PeerSnapshot]

	mu sync.Mutex
	// state is the state whose formatted baseline is cached in parts.
	state *release.State
	parts [][]byte
}

// serve answers one call. The reply has no texts if the request is malformed, if nothing
// is in force, or if the requested notes or part do not exist.
func (s *noteServer) serve(_ string, payload []byte) []byte {
	req := &wire.NoteRequest{}
	snapshot := s.snapshot.Load()
	reply := &wire.NoteReply{}
	if proto.Unmarshal(payload, req) == nil && snapshot != nil {
		reply.Number = snapshot.State.Number
		s.fillReply(snapshot, req, reply)
	}
	text, err := proto.Marshal(reply)
	if err != nil {
		return nil
	}
	return text
}

func (s *noteServer) fillReply(snapshot *control.PeerSnapshot, req *wire.NoteRequest, reply *wire.NoteReply) {
	if notes, ok := snapshot.Since(req.GetAfter()); ok && req.GetNumber() == 0 {
		reply.Texts = formatNotes(notes)
		return
	}
	parts := s.baselineParts(snapshot.State)
	reply.Parts = uint32(len(parts))
	if int(req.GetPart()) < len(parts) {
		reply.Texts = [][]byte{parts[req.GetPart()]}
	}
}

// formatNotes formats as many notes as fit into one reply, but at least one if there is
// any.
func formatNotes(notes []*release.Note) [][]byte {
	var texts [][]byte
	size := 0
	for _, n := range notes {
		text := note.Format(n)
		size += len(text)
		if size > maxPartBytes && len(texts) > 0 {
			break
		}
		texts = append(texts, text)
	}
	return texts
}

// baselineParts returns the baseline of a state in parts: baseline notes with the same
// number whose items together form the complete state. Each part is below note.MaxBytes,
// so that the receiver can parse it.
func (s *noteServer) baselineParts(state *release.State) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == state {
		return s.parts
	}
	baseline := control.BaselineOf(state)
	part := &release.Note{Number: baseline.Number, Baseline: true}
	s.state, s.parts = state, nil
	size := 0
	for i := range baseline.Items {
		item := baseline.Items[i : i+1]
		itemBytes := len(note.Format(&release.Note{Items: item}))
		if size+itemBytes > maxPartBytes && len(part.Items) > 0 {
			s.parts = append(s.parts, note.Format(part))
			part.Items, size = nil, 0
		}
		part.Items = append(part.Items, item...)
		size += itemBytes
	}
	s.parts = append(s.parts, note.Format(part))
	return s.parts
}

// peerCaller is the part of the mesh that a note fetch uses.
type peerCaller interface {
	Call(host string, kind wire.CallKind, payload []byte, timeout time.Duration) ([]byte, error)
}

var errNoNewerNotes = errors.New("peer has no newer notes")

// fetchNotes fetches the notes after f.After from a peer and passes them to emit. It
// returns the highest note number that emit accepted, or 0.
func fetchNotes(c peerCaller, f *membership.FetchNotes, emit func(control.Event) bool) (uint64, error) {
	req := &wire.NoteRequest{After: f.After}
	reply, err := requestNotes(c, f.Peer, req)
	if err != nil {
		return 0, err
	}
	if reply.GetParts() > 0 {
		return fetchBaseline(c, f, reply, emit)
	}
	return emitNotes(reply.GetTexts(), emit)
}

func emitNotes(texts [][]byte, emit func(control.Event) bool) (uint64, error) {
	last := uint64(0)
	for _, text := range texts {
		n, err := note.Parse("note of a peer", text)
		if err != nil {
			return last, fmt.Errorf("parse note of a peer: %w", err)
		}
		if !emit(&control.NoteRead{Number: n.Number, Note: n}) {
			return last, nil
		}
		last = n.Number
	}
	return last, nil
}

// fetchBaseline fetches the remaining parts of a baseline and emits it as one note. If the
// baseline changes at the peer meanwhile, it returns an error, and the next fetch starts
// again.
func fetchBaseline(c peerCaller, f *membership.FetchNotes, first *wire.NoteReply, emit func(control.Event) bool) (uint64, error) {
	if first.GetNumber() <= f.After {
		return 0, errNoNewerNotes
	}
	parts := first.GetParts()
	if parts > maxParts {
		return 0, fmt.Errorf("baseline has %d parts; maximum is %d", parts, maxParts)
	}
	baseline := &release.Note{Number: first.GetNumber(), Baseline: true}
	reply := first
	for part := uint32(0); ; {
		if err := appendPart(baseline, reply); err != nil {
			return 0, err
		}
		if part++; part == parts {
			break
		}
		var err error
		req := &wire.NoteRequest{After: f.After, Number: baseline.Number, Part: part}
		if reply, err = requestNotes(c, f.Peer, req); err != nil {
			return 0, err
		}
	}
	if !emit(&control.NoteRead{Number: baseline.Number, Note: baseline}) {
		return 0, nil
	}
	return baseline.Number, nil
}

func appendPart(baseline *release.Note, reply *wire.NoteReply) error {
	if reply.GetNumber() != baseline.Number || len(reply.GetTexts()) != 1 {
		return fmt.Errorf("baseline of note %d changed during the fetch", baseline.Number)
	}
	n, err := note.Parse("baseline of a peer", reply.GetTexts()[0])
	if err != nil {
		return fmt.Errorf("parse baseline of a peer: %w", err)
	}
	if !n.Baseline || n.Number != baseline.Number {
		return fmt.Errorf("got a part of note %d in the baseline of note %d", n.Number, baseline.Number)
	}
	baseline.Items = append(baseline.Items, n.Items...)
	return nil
}

func requestNotes(c peerCaller, peer string, req *wire.NoteRequest) (*wire.NoteReply, error) {
	payload, err := proto.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode note request: %w", err)
	}
	text, err := c.Call(peer, wire.CallKind_CALL_KIND_NOTE, payload, fetchTimeout)
	if err != nil {
		return nil, fmt.Errorf("fetch notes from %q: %w", peer, err)
	}
	reply := &wire.NoteReply{}
	if err := proto.Unmarshal(text, reply); err != nil {
		return nil, fmt.Errorf("decode note reply: %w", err)
	}
	return reply, nil
}

var _ peerCaller = (*mesh.Mesh)(nil)
