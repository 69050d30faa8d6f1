package engine

import (
	"time"

	"pollentack.example/pollentack/internal/core/once"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

// TicketRequest requests a ticket.
type TicketRequest struct {
	Key     uint64
	KeyHash [32]byte
	Service string
}

// OnceRequest is one submission of a request that runs at most once.
type OnceRequest struct {
	// Key identifies the waiting caller or peer, unique among both.
	Key     uint64
	KeyHash [32]byte
	Service string
	Body    []byte
	// Ticket is nil if the caller sent none.
	Ticket *once.Ticket
	// Timeout is the caller's timeout, 0 for that of the service's policy.
	Timeout time.Duration
	// TraceParent is the W3C trace context of the caller's span.
	TraceParent string
	// Forwarded is set if a peer sent the request; it is then not forwarded again.
	Forwarded bool
}

// OnceSubmit submits a request that runs at most once, from a caller or a peer.
type OnceSubmit struct{ Request *OnceRequest }

// RunResult is the result of one attempt to run a request, as the target client observed
// it.
type RunResult struct {
	Run     uint64
	Try     int32
	Target  target.ID
	Outcome Outcome
	// Incarnation, Cold and Leaving are reported by the target itself, zero if it reported
	// none.
	Incarnation uint64
	Cold        bool
	Leaving     bool
	// ClaimedIncarnation and Disconnected are as in AttemptResult.
	ClaimedIncarnation uint64
	Disconnected       bool
	Output             []byte
	Elapsed            time.Duration
}

// ForwardDone is the result of a Forward. Answer is nil if the peer did not answer; the
// request may still have reached it.
type ForwardDone struct {
	Key    uint64
	Answer *OnceAnswer
}

// StartHandover requests the handover of all tickets. It waits for the runs in progress
// unless Force is set.
type StartHandover struct{ Force bool }

// HandoverOfferDone is the result of a HandoverOffer.
type HandoverOfferDone struct {
	Number uint64
	// NeverSent is set if no byte of the chunk reached the successor. The chunk may then
	// be offered to another host.
	NeverSent bool
}

// ImportChunk is a chunk that a peer hands over. The answer states whether it was
// accepted.
type ImportChunk struct {
	Key   uint64
	Chunk *once.HandoverChunk
}

func (*TicketRequest) event()     {}
func (*OnceSubmit) event()        {}
func (*RunResult) event()         {}
func (*ForwardDone) event()       {}
func (*StartHandover) event()     {}
func (*HandoverOfferDone) event() {}
func (*ImportChunk) event()       {}

// RunSend is a request to be run by a target.
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

// Forward asks a peer that may hold the ticket for the answer to the request.
type Forward struct {
	Key     uint64
	Host    string
	Request *OnceRequest
	// Deadline is on the monotonic clock.
	Deadline time.Duration
}

// HandoverOffer offers a chunk of ticket records to a successor.
type HandoverOffer struct {
	Host  string
	Chunk *once.HandoverChunk
}

// OnceAnswer is the answer to a TicketRequest, OnceSubmit or ImportChunk.
type OnceAnswer struct {
	Key    uint64
	Code   result.Code
	Detail string
	// Ticket is set in the answer to a TicketRequest.
	Ticket *once.Ticket
	Target string
	Output []byte
	// NotHeld tells the forwarding peer that this host does not hold the ticket.
	NotHeld bool
}

// OnceEffects are the actions for requests that run at most once.
type OnceEffects struct {
	RunSends       []RunSend
	Forwards       []Forward
	HandoverOffers []HandoverOffer
	OnceAnswers    []OnceAnswer
}

func (fx *OnceEffects) resetOnce() {
	clear(fx.RunSends)
	clear(fx.Forwards)
	clear(fx.HandoverOffers)
	clear(fx.OnceAnswers)
	fx.RunSends = fx.RunSends[:0]
	fx.Forwards = fx.Forwards[:0]
	fx.HandoverOffers = fx.HandoverOffers[:0]
	fx.OnceAnswers = fx.OnceAnswers[:0]
}
