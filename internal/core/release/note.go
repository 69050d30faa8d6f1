package release

// Op is the operation of a note on an item.
type Op int

// The operations of a note.
const (
	Add Op = iota + 1
	Change
	Withdraw
)

// Item is one entry of a note. Exactly one of its pointers is set. For Withdraw only the
// identifying fields of the value are used.
type Item struct {
	Op Op
	// Line is the line at which the entry begins in the published text, for error reports.
	Line int

	Zone     *Zone
	Host     *Host
	Service  *Service
	Snapshot *Snapshot
	Caller   *Caller
	Target   *Target
}

// Note is one numbered release note.
type Note struct {
	Number uint64
	// Follows is the number of the preceding note. It is ignored for a baseline.
	Follows  uint64
	Baseline bool
	Items    []Item
}

// Fault is one reason to refuse a note.
type Fault struct {
	// Line is the line at which the faulty entry begins, 0 if the fault has no line.
	Line   int    `json:"line,omitempty"`
	Item   string `json:"item,omitempty"`
	Key    string `json:"key,omitempty"`
	Reason string `json:"reason"`
}
