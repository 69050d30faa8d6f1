package release

// Op is what a note does with an item.
type Op int

// Operations of a note.
const (
	Add Op = iota + 1
	Change
	Withdraw
)

// Item is one entry of a note. Exactly one of its pointers is set; for Withdraw only
// the identifying fields of the pointed-to value matter.
type Item struct {
	Op Op
	// Line is where the entry begins in the published text, for error reports.
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
	// Follows is the number of the predecessor; it is ignored for a baseline.
	Follows  uint64
	Baseline bool
	Items    []Item
}

// Fault is one reason to refuse a note.
type Fault struct {
	// Line is where the entry at fault begins, 0 where no line of the note is.
	Line   int    `json:"line,omitempty"`
	Item   string `json:"item,omitempty"`
	Key    string `json:"key,omitempty"`
	Reason string `json:"reason"`
}
