package targetapi

// PathRun runs a request that may not be repeated.
const PathRun = "/v1/run"

// StatusNotRun says that the target did not run the request and never will.
const StatusNotRun = "not_run"

// RequestID names one request over all hosts: every attempt at it carries the same.
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
	// NotAfterMicros is as in SearchRequest.
	NotAfterMicros int64 `json:"not_after_us,omitempty"`
}

// RunReply is a target's answer. Any status but ok, shed, cold and not_run leaves open
// whether the request ran.
type RunReply struct {
	Status      string `json:"status"`
	Incarnation uint64 `json:"incarnation"`
	Cold        bool   `json:"cold,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
	Output      string `json:"output"`
}
