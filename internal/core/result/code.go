// Package result defines the numbered result codes that callers and operators receive.
//
// The hundreds digit is the kind: 0 answered, 1 not run, 2 ran in part, 3 outcome unknown.
// docs/RESULT-CODES.md is the published table.
package result

import "fmt"

// Code is a numbered result code.
type Code int

// Codes of kind "answered".
const (
	OK Code = 0
)

// Codes of kind "not run": no target acted on the request.
const (
	CallerUnknown    Code = 101
	CallerForbidden  Code = 102
	ServiceUnknown   Code = 103
	RateLimited      Code = 104
	QueueFull        Code = 105
	DeadlineTooShort Code = 106
	Draining         Code = 107
	Isolated         Code = 108
	NoReplica        Code = 109
	Quarantined      Code = 110
	TicketMissing    Code = 111
	TicketInvalid    Code = 112
	TicketExpired    Code = 113
	BadRequest       Code = 114
	NotReady         Code = 115
	Shed             Code = 116
	BodyTooLarge     Code = 117
	HeaderTooLarge   Code = 118
	// TargetsUnreachable is the code of a host that is cut off from all targets.
	TargetsUnreachable Code = 119
)

// Codes of kind "ran in part": some targets acted on the request.
const (
	CoverageTooLow   Code = 201
	DeadlineExceeded Code = 202
	SnapshotRetired  Code = 203
)

// Codes of kind "outcome unknown": the request may or may not have run.
const (
	OutcomeUnknown Code = 301
	HomeGone       Code = 302
)

// Kind classifies codes by whether the request ran.
type Kind int

// Kinds, in the order of the code's hundreds digit.
const (
	Answered Kind = iota
	NotRun
	RanInPart
	Unknown
)

const codesPerKind = 100

// Info is one row of the published table.
type Info struct {
	Code    Code
	Name    string
	HTTP    int
	Meaning string
}

// Table lists all codes in ascending order.
var Table = []Info{
	{OK, "ok", 200, "the answer is complete as the service's policy demands"},
	{CallerUnknown, "caller_unknown", 401, "no caller in force has this key"},
	{CallerForbidden, "caller_forbidden", 403, "the caller may not use this service"},
	{ServiceUnknown, "service_unknown", 404, "no service in force has this name"},
	{RateLimited, "rate_limited", 429, "the caller is above its rate or share"},
	{QueueFull, "queue_full", 503, "the admission queue is at its bound"},
	{DeadlineTooShort, "deadline_too_short", 504, "the deadline passed before the request was sent to any target"},
	{Draining, "draining", 503, "this host is stopping"},
	{Isolated, "isolated", 503, "this host reaches neither the platform nor a peer"},
	{NoReplica, "no_replica", 503, "no usable replica of a needed shard"},
	{Quarantined, "quarantined", 422, "the request body crashed targets and is refused for a time"},
	{TicketMissing, "ticket_missing", 400, "a request that runs at most once needs a ticket"},
	{TicketInvalid, "ticket_invalid", 400, "the ticket was not issued by its home, or for another service or caller"},
	{TicketExpired, "ticket_expired", 410, "the ticket's time is over and it never ran"},
	{BadRequest, "bad_request", 400, "the request is malformed or too large"},
	{NotReady, "not_ready", 503, "this host has no configuration in force yet"},
	{Shed, "shed", 503, "load shedding: every target that saw the request declined it"},
	{BodyTooLarge, "body_too_large", 413, "the request body is above the published limit"},
	{HeaderTooLarge, "header_too_large", 431, "the request header is above the published limit"},
	{TargetsUnreachable, "targets_unreachable", 503, "this host reaches no target, and no other host took the request"},
	{CoverageTooLow, "coverage_too_low", 504, "fewer shards answered than the service's policy demands"},
	{DeadlineExceeded, "deadline_exceeded", 504, "the deadline passed while targets were running the request"},
	{SnapshotRetired, "snapshot_retired", 504, "the snapshot was retired and no time was left to begin again"},
	{OutcomeUnknown, "outcome_unknown", 502, "the request was sent and its outcome is not known"},
	{HomeGone, "home_gone", 502, "the ticket's home cannot be reached, so its outcome is not known"},
}

var byCode = indexByCode()

func indexByCode() map[Code]Info {
	m := make(map[Code]Info, len(Table))
	for _, info := range Table {
		m[info.Code] = info
	}
	return m
}

// Kind returns the kind of the code.
func (c Code) Kind() Kind { return Kind(int(c) / codesPerKind) }

// Info returns the code's row of the table.
func (c Code) Info() Info { return byCode[c] }

// String returns the code's number and name.
func (c Code) String() string { return fmt.Sprintf("%d %s", int(c), byCode[c].Name) }

// Error is an error with a result code. It is the error type of refused requests in the
// interfaces between packages.
type Error struct {
	Code   Code
	Detail string
}

// Error returns the code, its name and the detail.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Detail) }
