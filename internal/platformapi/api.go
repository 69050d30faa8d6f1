// Package platformapi holds the messages of the platform's configuration service,
// published in docs/PLATFORM-INTERFACE.md. The service can only be read and watched.
package platformapi

// Paths of the platform's HTTP endpoints.
const (
	// PathHead returns the Head; with ?after=N&wait=MS the call waits until the
	// number is above N, for at most MS milliseconds.
	PathHead = "/v1/head"
	// PathNote returns the text of note N at PathNote/N.
	PathNote = "/v1/notes"
	// PathHosts returns the list of live and leaving hosts, which lags.
	PathHosts = "/v1/hosts"
)

// Head says which notes there are.
type Head struct {
	// Number is the highest note's number.
	Number uint64 `json:"number"`
	// Baseline is the number of the newest baseline note, where reading begins.
	Baseline uint64 `json:"baseline"`
}

// HostEntry is one row of the list of hosts.
type HostEntry struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}
