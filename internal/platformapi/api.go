// Package platformapi defines the messages of the configuration service of the platform,
// which docs/PLATFORM-INTERFACE.md describes. The service is read-only: clients can read and
// watch it.
package platformapi

// Paths of the platform's HTTP endpoints.
const (
	// PathHead returns the Head. With ?after=N&wait=MS the call blocks until the number is
	// greater than N, for at most MS milliseconds.
	PathHead = "/v1/head"
	// PathNotes returns the text of note N at PathNotes/N.
	PathNotes = "/v1/notes"
	// PathHosts returns the list of live and leaving hosts, which may be out of date.
	PathHosts = "/v1/hosts"
)

// Head describes the available notes.
type Head struct {
	// Number is the highest note number.
	Number uint64 `json:"number"`
	// Baseline is the number of the newest baseline note. Readers start with it.
	Baseline uint64 `json:"baseline"`
}

// HostEntry is one entry of the list of hosts.
type HostEntry struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}
