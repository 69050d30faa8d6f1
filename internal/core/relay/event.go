package relay

import (
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/fleet"
	"pollentack.example/pollentack/internal/core/result"
)

// Header is one header field.
type Header struct{ Name, Value string }

// Request is a request from a caller, or from a peer if Gather is set.
type Request struct {
	// Key identifies the waiting caller to the front end.
	Key uint64
	// ID is the request ID that the caller chose.
	ID     string
	Method string
	Host   string
	// Path is the path used for route matching, Target the request target as received.
	Path   string
	Target string
	// Headers are the header fields that are forwarded to a target.
	Headers []Header
	Body    []byte
	// Timeout is the caller's timeout, 0 for none.
	Timeout time.Duration
	// ArrivedAt is when this host had read the request, on the monotonic clock; 0 means when
	// the engine gets it.
	ArrivedAt time.Duration
	// Delay is how much longer than usual a handoff was on its way.
	Delay time.Duration
	// TraceParent is the W3C trace context of the request's span, "" for none.
	TraceParent string
	// Gather is set for shards that a peer hands off; no route lookup takes place then.
	Gather *GatherSpec
}

// AttemptID identifies one attempt, which is one request to one target.
type AttemptID uint64

// Outcome is the result of one attempt.
type Outcome int

// Outcomes. With Declined, Misdirected, Unreachable and Unsent the target did not run the
// request; with Answered it did; with the others it may have.
const (
	// Answered is a complete reply with any status.
	Answered Outcome = iota + 1
	// Declined is a reply that states that the target did not run the request.
	Declined
	// Misdirected is a reply from a different target at the address, which did not run the
	// request.
	Misdirected
	// Unreachable means that no connection could be established.
	Unreachable
	// Unsent means that the request did not leave this host.
	Unsent
	// Lost means that the connection closed before the reply was complete.
	Lost
	// TimedOut means that no reply arrived before the deadline.
	TimedOut
	// Malformed is a reply that violates the protocol.
	Malformed
	// Cancelled means that this host cancelled the attempt.
	Cancelled
)

var outcomeNames = [...]string{"", "answered", "declined", "misdirected", "unreachable", "unsent", "lost", "timed_out", "malformed", "cancelled"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// NotRun reports whether it is certain that no target ran the request.
func (o Outcome) NotRun() bool { return o >= Declined && o <= Unsent }

// MayHaveArrived reports whether the request may have reached the target.
func (o Outcome) MayHaveArrived() bool { return o != Unreachable && o != Unsent }

// Response is a target's complete reply.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
	// Proof is the target's evidence of this reply, which is passed on to the caller.
	Proof string
}

// OK reports whether the status is 2xx.
func (r *Response) OK() bool { return r.Status >= 200 && r.Status < 300 }

// Event is an input to the engine.
type Event interface{ event() }

// Submit starts a request.
type Submit struct{ Request *Request }

// CallerGone reports that the caller of the request with this key no longer waits.
type CallerGone struct{ Key uint64 }

// ViewChanged replaces the view of the catalog.
type ViewChanged struct{ View *catalog.View }

// MembersChanged replaces the list of hosts that share the targets, including this host.
type MembersChanged struct{ Members []fleet.Member }

// Drain begins a graceful shutdown: requests are still accepted, and each is answered by
// Until on the monotonic clock.
type Drain struct{ Until time.Duration }

// RetryPolicyChanged replaces the retry policy.
type RetryPolicyChanged struct{ Policy RetryPolicy }

// RTTMeasured reports the round-trip time of a short message to a host in an availability zone.
type RTTMeasured struct {
	Zone string
	RTT  time.Duration
}

// Notice is what a target says of itself in a reply.
type Notice struct {
	// Limited states that the target accepts at most RateLimit requests a second from all hosts
	// together, for as long as its replies say so.
	Limited   bool
	RateLimit float64
	// Leaving states that the target is about to stop and takes no new requests.
	Leaving bool
	// RetryAfter is how long the target wants no requests from this host, 0 if it did not say.
	RetryAfter time.Duration
}

// AttemptEnded reports the end of one attempt.
type AttemptEnded struct {
	Attempt AttemptID
	Outcome Outcome
	// Notice is that of the target's reply, if the outcome is Answered or Declined and no peer
	// forwarded the attempt.
	Notice Notice
	// Response is set if the outcome is Answered.
	Response *Response
	// Reason describes why there is no response.
	Reason string
	// Refused states that the target's host refused the connection, so that its process has ended,
	// if the outcome is Unreachable.
	Refused bool
	// PeerFailed states that the peer that forwarded the attempt failed, not the target.
	PeerFailed bool
	// PeerCutOff states that it failed because it is cut off from all targets.
	PeerCutOff bool
	// Handled, if set, is to be called once the effects of the event have been carried out.
	Handled func()
}

// AnswerWritten reports how long after the decision an answer was ready to be sent to its
// caller.
type AnswerWritten struct{ Lag time.Duration }

func (*Submit) event()             {}
func (*AnswerWritten) event()      {}
func (*CallerGone) event()         {}
func (*ViewChanged) event()        {}
func (*MembersChanged) event()     {}
func (*AttemptEnded) event()       {}
func (*Drain) event()              {}
func (*RetryPolicyChanged) event() {}
func (*RTTMeasured) event()        {}

// Send starts one attempt at one target.
type Send struct {
	Attempt AttemptID
	Target  *catalog.Target
	Request *Request
	// Deadline is on the monotonic clock; the target receives the remaining time.
	Deadline time.Duration
	// Via is the host name of the peer in the target's region that forwards the request, ""
	// for none. The peer may select another target of the service in its region.
	Via string
	// Gather describes the attempt to that peer.
	Gather GatherSpec
}

// Cancel cancels an attempt.
type Cancel struct {
	Attempt AttemptID
	// Via is the host name of the peer that forwards the attempt, "" for none.
	Via string
	// Unsent states that the attempt is left alone if it has been sent.
	Unsent bool
}

// Part is the reply of one shard in an answer.
type Part struct {
	// Shard is the index of the shard in the request.
	Shard int
	Proof string
}

// Answer is the final answer to a request.
type Answer struct {
	Key  uint64
	Code result.Code
	// Response is a target's reply that is passed on unchanged.
	Response *Response
	// Gathered states that the answer is merged from Parts. Missing is the number of shards
	// without a part.
	Gathered bool
	Parts    []Part
	Missing  int
	Body     []byte
	// RetryAfter is the delay after which a refused caller should retry, 0 for unspecified.
	RetryAfter time.Duration
	// Elapsed is the time since the request arrived, 0 if it was refused on arrival.
	Elapsed time.Duration
	// DecidedAt is when the answer was decided on the monotonic clock, 0 if the request was
	// refused on arrival.
	DecidedAt time.Duration
}

// BodyBytes returns the size of the body.
func (a *Answer) BodyBytes() int {
	if a.Response != nil {
		return len(a.Response.Body)
	}
	return len(a.Body)
}

// Effects are the actions that the caller of a step must carry out.
type Effects struct {
	Sends   []Send
	Cancels []Cancel
	Answers []Answer
	Records []decision.Record
	// Links are the peers to which a link should be made ahead of the first handoff.
	Links []string
	// Handoffs and HandoffCancels are sent to peers.
	Handoffs       []Handoff
	HandoffCancels []HandoffCancel
	// Checks are made of targets, Tells and ColdNews sent to peers.
	Checks   []Check
	Tells    []Tell
	ColdNews []ColdNews
}

// Reset empties the effects and keeps the allocated memory.
func (fx *Effects) Reset() {
	clear(fx.Sends)
	clear(fx.Answers)
	clear(fx.Records)
	fx.Sends = fx.Sends[:0]
	fx.Cancels = fx.Cancels[:0]
	fx.Answers = fx.Answers[:0]
	fx.Records = fx.Records[:0]
	clear(fx.Handoffs)
	fx.Handoffs = fx.Handoffs[:0]
	fx.HandoffCancels = fx.HandoffCancels[:0]
	fx.Checks = fx.Checks[:0]
	clear(fx.Tells)
	fx.Tells = fx.Tells[:0]
	clear(fx.ColdNews)
	fx.ColdNews = fx.ColdNews[:0]
	fx.Links = fx.Links[:0]
}
