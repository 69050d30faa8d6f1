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
	// partBytes bounds the items of one part of a fold.
	partBytes = note.MaxBytes / 2
	// maxParts bounds the parts that are fetched of one fold.
	maxParts = 256
)

// noteServer answers peers that fetch notes, from what is in force.
type noteServer struct {
	shared atomic.Pointer[control.Shared]

	mu sync.Mutex
	// parts are those of the fold of state.
	state *release.State
	parts [][]byte
}

// serve answers one call. A peer that asks for what is not there gets an empty reply.
func (s *noteServer) serve(_ string, payload []byte) []byte {
	req := &wire.NoteRequest{}
	shared := s.shared.Load()
	reply := &wire.NoteReply{}
	if proto.Unmarshal(payload, req) == nil && shared != nil {
		reply.Number = shared.State.Number
		s.fill(shared, req, reply)
	}
	text, err := proto.Marshal(reply)
	if err != nil {
		return nil
	}
	return text
}

func (s *noteServer) fill(shared *control.Shared, req *wire.NoteRequest, reply *wire.NoteReply) {
	if notes, ok := shared.Since(req.GetAfter()); ok && req.GetNumber() == 0 {
		reply.Texts = textsOf(notes)
		return
	}
	parts := s.foldOf(shared.State)
	reply.Parts = uint32(len(parts))
	if int(req.GetPart()) < len(parts) {
		reply.Texts = [][]byte{parts[req.GetPart()]}
	}
}

// textsOf formats as many notes as fit into one reply, at least one.
func textsOf(notes []*release.Note) [][]byte {
	var texts [][]byte
	size := 0
	for _, n := range notes {
		text := note.Format(n)
		size += len(text)
		if size > partBytes && len(texts) > 0 {
			break
		}
		texts = append(texts, text)
	}
	return texts
}

// foldOf returns the parts of a state's fold: baseline notes of one number whose items
// together are the whole, each small enough for the parser's bound.
func (s *noteServer) foldOf(state *release.State) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == state {
		return s.parts
	}
	whole := control.Baseline(state)
	part := &release.Note{Number: whole.Number, Baseline: true}
	s.state, s.parts = state, nil
	size := 0
	for i := range whole.Items {
		item := whole.Items[i : i+1]
		bytes := len(note.Format(&release.Note{Items: item}))
		if size+bytes > partBytes && len(part.Items) > 0 {
			s.parts = append(s.parts, note.Format(part))
			part.Items, size = nil, 0
		}
		part.Items = append(part.Items, item...)
		size += bytes
	}
	s.parts = append(s.parts, note.Format(part))
	return s.parts
}

// caller is the mesh as a fetch needs it.
type caller interface {
	Call(host string, kind wire.CallKind, payload []byte, timeout time.Duration) ([]byte, error)
}

var errNothingNew = errors.New("the peer has nothing newer")

// fetchNotes asks a peer for the notes after one and hands them to emit. It returns the
// highest number that it brought.
func fetchNotes(c caller, f *membership.Fetch, emit func(control.Event) bool) (uint64, error) {
	req := &wire.NoteRequest{After: f.After}
	reply, err := askNotes(c, f.Peer, req)
	if err != nil {
		return 0, err
	}
	if reply.GetParts() > 0 {
		return fetchFold(c, f, reply, emit)
	}
	return emitNotes(reply.GetTexts(), emit)
}

func emitNotes(texts [][]byte, emit func(control.Event) bool) (uint64, error) {
	number := uint64(0)
	for _, text := range texts {
		n, err := note.Parse("note of a peer", text)
		if err != nil {
			return number, fmt.Errorf("parse note of a peer: %w", err)
		}
		if !emit(&control.NoteRead{Number: n.Number, Note: n}) {
			return number, nil
		}
		number = n.Number
	}
	return number, nil
}

// fetchFold collects the parts of a fold. One that changes meanwhile is given up, and
// the next fetch begins again.
func fetchFold(c caller, f *membership.Fetch, first *wire.NoteReply, emit func(control.Event) bool) (uint64, error) {
	if first.GetNumber() <= f.After {
		return 0, errNothingNew
	}
	parts := first.GetParts()
	if parts > maxParts {
		return 0, fmt.Errorf("a fold of %d parts; allowed are %d", parts, maxParts)
	}
	whole := &release.Note{Number: first.GetNumber(), Baseline: true}
	reply := first
	for part := uint32(0); ; {
		if err := addPart(whole, reply); err != nil {
			return 0, err
		}
		if part++; part == parts {
			break
		}
		var err error
		req := &wire.NoteRequest{After: f.After, Number: whole.Number, Part: part}
		if reply, err = askNotes(c, f.Peer, req); err != nil {
			return 0, err
		}
	}
	if !emit(&control.NoteRead{Number: whole.Number, Note: whole}) {
		return 0, nil
	}
	return whole.Number, nil
}

func addPart(whole *release.Note, reply *wire.NoteReply) error {
	if reply.GetNumber() != whole.Number || len(reply.GetTexts()) != 1 {
		return fmt.Errorf("the fold of note %d changed while it was fetched", whole.Number)
	}
	n, err := note.Parse("fold of a peer", reply.GetTexts()[0])
	if err != nil {
		return fmt.Errorf("parse fold of a peer: %w", err)
	}
	if !n.Baseline || n.Number != whole.Number {
		return fmt.Errorf("a part of note %d in the fold of note %d", n.Number, whole.Number)
	}
	whole.Items = append(whole.Items, n.Items...)
	return nil
}

func askNotes(c caller, peer string, req *wire.NoteRequest) (*wire.NoteReply, error) {
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

var _ caller = (*mesh.Mesh)(nil)
