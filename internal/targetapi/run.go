package targetapi

// PathRun is the path of the endpoint that runs a request that must not run twice.
const PathRun = "/v1/run"

// StatusNotRun states that the target has not run the request and never will.
const StatusNotRun = "not_run"

// RequestID identifies one request across all hosts. All attempts at a request carry the
// same ID.
type RequestID struct {
	Home        string `json:"home"`
	Incarnation uint64 `json:"incarnation"`
	Serial      uint64 `json:"serial"`
}

// RunRequest asks a target to run a request.
type RunRequest struct {
	ID             RequestID `json:"id"`
	Service        string    `json:"service"`
	Body           string    `json:"body"`
	DeadlineMicros int64     `json:"deadline_us"`
	// NotAfterMicros has the same meaning as in SearchRequest.
	NotAfterMicros int64 `json:"not_after_us,omitempty"`
}

// RunReply is the reply of a target. With any status other than ok, shed, cold and not_run
// it is unknown whether the request ran.
type RunReply struct {
	Status      string `json:"status"`
	Incarnation uint64 `json:"incarnation"`
	Cold        bool   `json:"cold,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
	Output      string `json:"output"`
}
