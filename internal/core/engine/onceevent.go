package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/once"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

// TicketRequest asks for a ticket.
type TicketRequest struct {
	Key     uint64
	KeyHash [32]byte
	Service string
}

// OnceRequest is one presentation of a request that runs at most once.
type OnceRequest struct {
	// Key is the edge's handle for who waits, unique over callers and peers.
	Key     uint64
	KeyHash [32]byte
	Service string
	Body    []byte
	// Ticket is nil where the caller gave none.
	Ticket *once.Ticket
	// Timeout is the caller's own bound, 0 for the service's policy.
	Timeout time.Duration
	// TraceParent is the W3C trace context of the caller's span.
	TraceParent string
	// Forwarded tells that a peer sent it; it is not forwarded again.
	Forwarded bool
}

// OnceSubmit is a request that runs at most once, from a caller or a peer.
type OnceSubmit struct{ Request *OnceRequest }

// RunReply is the end of one attempt to run a request, as the target client saw it.
type RunReply struct {
	Run     uint64
	Try     int32
	Target  target.ID
	Outcome Outcome
	// Incarnation, Cold and Leaving are the target's own word; zero where it gave none.
	Incarnation uint64
	Cold        bool
	Leaving     bool
	// ClaimedIncarnation and Disconnected are as in Reply.
	ClaimedIncarnation uint64
	Disconnected       bool
	Output             []byte
	Elapsed            time.Duration
}

// Forwarded is the end of a Forward. Answer is nil where the peer gave none; the
// request may then have reached it.
type Forwarded struct {
	Key    uint64
	Answer *OnceAnswer
}

// HandOver asks for the export of all tickets. The export waits for the runs in
// progress unless Force is set.
type HandOver struct{ Force bool }

// HandoverDone is the end of a Handover.
type HandoverDone struct {
	Number uint64
	// NeverSent tells that no byte of the chunk reached the successor, so that another
	// may be offered it.
	NeverSent bool
}

// TakeOver is a chunk that a peer hands over; its answer tells whether it was taken.
type TakeOver struct {
	Key   uint64
	Chunk *once.Chunk
}

func (*TicketRequest) event() {}
func (*OnceSubmit) event()    {}
func (*RunReply) event()      {}
func (*Forwarded) event()     {}
func (*HandOver) event()      {}
func (*HandoverDone) event()  {}
func (*TakeOver) event()      {}

// RunSend asks a target to run a request.
type RunSend struct {
	Run    uint64
	Try    int32
	Target target.ID
	Spec   *release.Target
	// Ticket identifies the request to the target.
	Ticket      once.Ref
	Service     string
	Body        []byte
	Deadline    time.Duration
	TraceParent string
	Guard
}

// Forward asks a peer for the answer to a request whose ticket it may hold.
type Forward struct {
	Key     uint64
	Host    string
	Request *OnceRequest
	// Deadline is on the monotonic clock.
	Deadline time.Duration
}

// Handover offers a chunk of records to a successor.
type Handover struct {
	To    string
	Chunk *once.Chunk
}

// OnceAnswer ends a TicketRequest, OnceSubmit or TakeOver.
type OnceAnswer struct {
	Key    uint64
	Code   result.Code
	Detail string
	// Ticket is set in the answer to a TicketRequest.
	Ticket *once.Ticket
	Target string
	Output []byte
	// NotHeld tells a peer that this host does not decide on the ticket.
	NotHeld bool
}

// OnceEffects are the effects of requests that run at most once.
type OnceEffects struct {
	RunSends    []RunSend
	Forwards    []Forward
	Handovers   []Handover
	OnceAnswers []OnceAnswer
}

func (fx *OnceEffects) resetOnce() {
	clear(fx.RunSends)
	clear(fx.Forwards)
	clear(fx.Handovers)
	clear(fx.OnceAnswers)
	fx.RunSends = fx.RunSends[:0]
	fx.Forwards = fx.Forwards[:0]
	fx.Handovers = fx.Handovers[:0]
	fx.OnceAnswers = fx.OnceAnswers[:0]
}
