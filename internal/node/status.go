package node

import (
	"slices"

	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/membership"
	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/ring"
)

// Status is the report of a host for operators.
type Status struct {
	Host     string              `json:"host"`
	Zone     string              `json:"availability_zone"`
	Note     uint64              `json:"note"`
	Rejected []control.Rejection `json:"rejected,omitempty"`
	// Waiting are the numbers of the notes that wait for their predecessor.
	Waiting       []uint64                 `json:"waiting,omitempty"`
	InProgress    int                      `json:"in_progress"`
	Draining      bool                     `json:"draining"`
	Counters      engine.Counters          `json:"counters"`
	Rings         []ring.Stats             `json:"rings"`
	Isolated      bool                     `json:"isolated"`
	Peers         []membership.PeerStatus  `json:"peers,omitempty"`
	Mesh          *mesh.Stats              `json:"mesh,omitempty"`
	PlatformCalls uint64                   `json:"platform_calls"`
	PlatformFails uint64                   `json:"platform_fails"`
	Admission     engine.AdmissionCounters `json:"admission"`
	// Panics is the number of panics that ended only the work for one request.
	Panics uint64 `json:"panics"`
	// Tickets is the number of records of at-most-once requests, and Fingerprints the number
	// of request bodies with a quarantine record.
	Tickets      int            `json:"tickets"`
	Fingerprints int            `json:"fingerprints"`
	Targets      []TargetStatus `json:"targets,omitempty"`
}

// Status returns the current status of the host.
func (n *Node) Status() Status {
	q := n.queries.status.Load()
	c := n.control.status.Load()
	m := n.membership.status.Load()
	return Status{
		Host:          n.settings.Host.Name,
		Zone:          n.settings.Host.Zone,
		Note:          c.Note,
		Rejected:      c.Rejected,
		InProgress:    q.InProgress,
		Draining:      q.Draining,
		Counters:      q.Counters,
		Waiting:       c.Waiting,
		Rings:         n.rings(),
		Isolated:      m.Isolated,
		Peers:         m.Peers,
		Mesh:          n.membership.meshStats(),
		PlatformCalls: n.reader.TotalCalls(),
		PlatformFails: n.reader.FailedCalls(),
		Admission:     q.Admission,
		Panics:        n.panics.Count(),
		Tickets:       q.Tickets,
		Fingerprints:  q.Fingerprints,
		Targets:       q.Targets,
	}
}

func (n *Node) rings() []ring.Stats {
	return slices.Concat(
		[]ring.Stats{n.queries.inbox.Stats(), n.dispatch.inbox.Stats(), n.control.inbox.Stats(), n.membership.inbox.Stats()},
		n.reader.Rings(),
	)
}
