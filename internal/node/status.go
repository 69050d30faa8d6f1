package node

import (
	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/ring"
)

// Status is what a host says of itself to operators.
type Status struct {
	Host     string              `json:"host"`
	Zone     string              `json:"availability_zone"`
	Note     uint64              `json:"note"`
	Rejected []control.Rejection `json:"rejected,omitempty"`
	// Waiting are the notes that wait for their predecessor.
	Waiting       []uint64        `json:"waiting,omitempty"`
	InProgress    int             `json:"in_progress"`
	Draining      bool            `json:"draining"`
	Counters      engine.Counters `json:"counters"`
	Rings         []ring.Stats    `json:"rings"`
	PlatformCalls uint64          `json:"platform_calls"`
	PlatformFails uint64          `json:"platform_fails"`
}

// Status returns the host's status at this moment.
func (n *Node) Status() Status {
	q := n.queries.counted.Load()
	c := n.control.status.Load()
	return Status{
		Host:          n.settings.Host.Name,
		Zone:          n.settings.Host.Zone,
		Note:          c.Note,
		Rejected:      c.Rejected,
		InProgress:    q.InProgress,
		Draining:      q.Draining,
		Counters:      q.Counters,
		Waiting:       c.Waiting,
		Rings:         append([]ring.Stats{n.queries.inbox.Stats(), n.dispatch.inbox.Stats(), n.control.inbox.Stats()}, n.reader.Rings()...),
		PlatformCalls: n.reader.Calls(),
		PlatformFails: n.reader.Failed(),
	}
}
