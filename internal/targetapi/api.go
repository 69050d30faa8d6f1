// Package targetapi defines the messages of the protocol between hosts and targets, which
// docs/TARGET-PROTOCOL.md describes.
package targetapi

// Paths of the HTTP endpoints of a target.
const (
	PathSearch = "/v1/search"
	PathCancel = "/v1/cancel"
	PathHealth = "/v1/health"
)

// Values of SearchReply.Status and RunReply.Status.
const (
	StatusOK           = "ok"
	StatusShed         = "shed"
	StatusCold         = "cold"
	StatusSnapshotGone = "snapshot_gone"
	StatusDeadline     = "deadline"
	StatusCancelled    = "cancelled"
	StatusBadRequest   = "bad_request"
)

// AttemptRef identifies one attempt of one incarnation of a host.
type AttemptRef struct {
	Host  string `json:"host"`
	Query uint64 `json:"query"`
	Shard int32  `json:"shard"`
	Try   int32  `json:"try"`
}

// SearchRequest asks a target for the best hits in one shard of one snapshot.
type SearchRequest struct {
	Attempt        AttemptRef `json:"attempt"`
	Service        string     `json:"service"`
	Version        uint64     `json:"version"`
	Layout         string     `json:"layout"`
	Shard          int32      `json:"shard"`
	Body           string     `json:"body"`
	Limit          int        `json:"limit"`
	DeadlineMicros int64      `json:"deadline_us"`
	// NotAfterMicros is a wall-clock time in microseconds since the Unix epoch, or 0 for
	// none. From then on the target starts no work on the request, and it aborts work that
	// it has started.
	NotAfterMicros int64 `json:"not_after_us,omitempty"`
}

// Hit is one matching document.
type Hit struct {
	Doc   string  `json:"doc"`
	Score float64 `json:"score"`
	Title string  `json:"title,omitempty"`
}

// SearchReply is the reply of a target. A reply whose Count differs from the number of hits
// is truncated. Attempt repeats the attempt of the request and Target is the name of the
// target, so that the client detects a reply that belongs to another request.
type SearchReply struct {
	Attempt     AttemptRef `json:"attempt"`
	Target      string     `json:"target"`
	Status      string     `json:"status"`
	Incarnation uint64     `json:"incarnation"`
	Cold        bool       `json:"cold,omitempty"`
	Leaving     bool       `json:"leaving,omitempty"`
	Version     uint64     `json:"version"`
	Layout      string     `json:"layout"`
	Shard       int32      `json:"shard"`
	Count       int        `json:"count"`
	Hits        []Hit      `json:"hits,omitempty"`
}

// SnapshotRef identifies one snapshot of the service of the target.
type SnapshotRef struct {
	Version uint64 `json:"version"`
	Layout  string `json:"layout"`
}

// HealthReply is the health report of a target.
type HealthReply struct {
	// Snapshots are the index versions that the target holds.
	Snapshots   []SnapshotRef `json:"snapshots,omitempty"`
	Incarnation uint64        `json:"incarnation"`
	Cold        bool          `json:"cold"`
	Leaving     bool          `json:"leaving"`
	Running     int           `json:"running"`
}
