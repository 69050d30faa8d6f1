// Package targetapi holds the messages of the protocol that targets speak, published
// in docs/TARGET-PROTOCOL.md.
package targetapi

// Paths of a target's HTTP endpoints.
const (
	PathSearch = "/v1/search"
	PathCancel = "/v1/cancel"
	PathHealth = "/v1/health"
)

// Statuses of a reply.
const (
	StatusOK           = "ok"
	StatusShed         = "shed"
	StatusCold         = "cold"
	StatusSnapshotGone = "snapshot_gone"
	StatusDeadline     = "deadline"
	StatusCancelled    = "cancelled"
	StatusBadRequest   = "bad_request"
)

// AttemptRef names one attempt of one host incarnation.
type AttemptRef struct {
	Host  string `json:"host"`
	Query uint64 `json:"query"`
	Shard int32  `json:"shard"`
	Try   int32  `json:"try"`
}

// SearchRequest asks a target for the best hits of one shard of one snapshot.
type SearchRequest struct {
	Attempt        AttemptRef `json:"attempt"`
	Service        string     `json:"service"`
	Version        uint64     `json:"version"`
	Layout         string     `json:"layout"`
	Shard          int32      `json:"shard"`
	Body           string     `json:"body"`
	Limit          int        `json:"limit"`
	DeadlineMicros int64      `json:"deadline_us"`
	// NotAfterMicros is a wall-clock time since the Unix epoch, 0 for none: the target
	// starts no work on the request from then on and ends what it started.
	NotAfterMicros int64 `json:"not_after_us,omitempty"`
}

// Hit is one document found.
type Hit struct {
	Doc   string  `json:"doc"`
	Score float64 `json:"score"`
	Title string  `json:"title,omitempty"`
}

// SearchReply is a target's answer. Count must equal the number of hits: a reply in
// which it does not was truncated. Attempt and Target repeat the request's attempt and
// give the target's name, so that a crossed reply is told from the right one.
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

// SnapshotRef names one snapshot of the target's service.
type SnapshotRef struct {
	Version uint64 `json:"version"`
	Layout  string `json:"layout"`
}

// HealthReply is what a target says of itself.
type HealthReply struct {
	// Snapshots are the index versions that the target holds.
	Snapshots   []SnapshotRef `json:"snapshots,omitempty"`
	Incarnation uint64        `json:"incarnation"`
	Cold        bool          `json:"cold"`
	Leaving     bool          `json:"leaving"`
	Running     int           `json:"running"`
}
