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

// Request is what a caller asks.
type Request struct {
	// Key is the front's handle for the caller that waits.
	Key uint64
	// ID is the caller's own name of this attempt.
	ID     string
	Method string
	Host   string
	// Path is the path by which the route is found, Target the request target as it came.
	Path   string
	Target string
	// Headers are those that go on to a target.
	Headers []Header
	Body    []byte
	// Timeout is the caller's deadline, 0 for none.
	Timeout time.Duration
	// TraceParent is the W3C trace context of the request's span, "" for none.
	TraceParent string
	// Gather is set for shards that a peer hands over; no route is looked up then.
	Gather *Gather
}

// AttemptID identifies one request to one target.
type AttemptID uint64

// Outcome is how one attempt ended.
type Outcome int

// Outcomes. Declined, Misdirected, Unreachable and Unsent are known not to have run; of
// the others only Answered is known to have.
const (
	// Answered is a whole reply, whatever its status.
	Answered Outcome = iota + 1
	// Declined is a reply that says that the target did not run the request.
	Declined
	// Misdirected is a reply from another target at the address, which did not run it.
	Misdirected
	// Unreachable is a connection that could not be made.
	Unreachable
	// Unsent never left this host.
	Unsent
	// Lost is a connection that ended without a whole reply.
	Lost
	// TimedOut brought no reply before the deadline.
	TimedOut
	// Malformed is a reply that is not in the protocol.
	Malformed
	// Cancelled was given up by this host.
	Cancelled
)

var outcomeNames = [...]string{"", "answered", "declined", "misdirected", "unreachable", "unsent", "lost", "timed_out", "malformed", "cancelled"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// NotRun reports whether the target is known not to have run the attempt.
func (o Outcome) NotRun() bool { return o >= Declined && o <= Unsent }

// Arrived reports whether the attempt may have reached the target.
func (o Outcome) Arrived() bool { return o != Unreachable && o != Unsent }

// Response is a target's whole reply.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
	// Proof is the target's evidence of this reply, to be handed on to the caller.
	Proof string
}

// OK reports whether the reply is a success.
func (r *Response) OK() bool { return r.Status >= 200 && r.Status < 300 }

// Event is something that happened outside the core.
type Event interface{ event() }

// Submit is a caller's request.
type Submit struct{ Request *Request }

// CallerGone tells that the caller of the request with this key no longer waits.
type CallerGone struct{ Key uint64 }

// InForce puts a new view in force.
type InForce struct{ View *catalog.View }

// Peers tells which hosts share the targets, this one included.
type Peers struct{ Members []fleet.Member }

// Drain begins the graceful shutdown: requests are still served, and each has its answer
// by Until on the monotonic clock.
type Drain struct{ Until time.Duration }

// RetryChanged puts another bound on retries in force.
type RetryChanged struct{ Policy RetryPolicy }

// Way tells how long a short message took to a host of an availability zone and back.
type Way struct {
	Zone string
	Took time.Duration
}

// Reply is the end of one attempt.
type Reply struct {
	Attempt AttemptID
	Outcome Outcome
	// Response is set where the outcome is Answered.
	Response *Response
	// Reason says in words why there is no response.
	Reason string
	// PeerFailed tells that the peer that carried the attempt is at fault, and not the
	// target.
	PeerFailed bool
}

func (*Submit) event()       {}
func (*CallerGone) event()   {}
func (*InForce) event()      {}
func (*Peers) event()        {}
func (*Reply) event()        {}
func (*Drain) event()        {}
func (*RetryChanged) event() {}
func (*Way) event()          {}

// Send asks for one request to one target.
type Send struct {
	Attempt AttemptID
	Target  *catalog.Target
	Request *Request
	// Deadline is on the monotonic clock; the target is told what is left of it.
	Deadline time.Duration
	// Via names the peer in the target's region that carries the request, "" for none.
	// The peer may ask another target of the service there.
	Via string
	// Gather is what that peer is told.
	Gather Gather
}

// Cancel gives up an attempt.
type Cancel struct {
	Attempt AttemptID
	// Via names the peer that carries it, "" for none.
	Via string
}

// Part is the reply of one shard in an answer.
type Part struct {
	// Shard is its place among the shards of the request.
	Shard int
	Proof string
}

// Answer ends a request towards its caller.
type Answer struct {
	Key  uint64
	Code result.Code
	// Response is a target's reply that is handed on unchanged.
	Response *Response
	// Gathered tells that the answer is merged from Parts, of which Missing are left out.
	Gathered bool
	Parts    []Part
	Missing  int
	Body     []byte
	// RetryAfter tells a refused caller when to come back, 0 for no advice.
	RetryAfter time.Duration
	// Elapsed is the time since the request came, 0 for one that was not begun.
	Elapsed time.Duration
}

// Effects are what a step asks its caller to do.
type Effects struct {
	Sends   []Send
	Cancels []Cancel
	Answers []Answer
	Records []decision.Record
	// Handoffs and HandoffCancels go to peers.
	Handoffs       []Handoff
	HandoffCancels []HandoffCancel
}

// Reset empties the effects and keeps their memory.
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
}
