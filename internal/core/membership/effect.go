package membership

import (
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
)

// SendHeartbeat requests that a heartbeat be sent to a peer.
type SendHeartbeat struct {
	Peer      string
	Heartbeat *Heartbeat
}

// SetLinks requests persistent links to exactly these peers.
type SetLinks struct {
	Hosts []release.Host
	Peers []string
}

// FetchNotes requests the notes with numbers above After from a peer.
type FetchNotes struct {
	Peer  string
	After uint64
}

// ContactConfirmed reports confirmed contact with the platform or a peer at or after Since.
type ContactConfirmed struct{ Since time.Duration }

// Effects are the actions that the caller of a step must carry out.
type Effects struct {
	Sends []SendHeartbeat
	Links *SetLinks
	Fetch *FetchNotes
	// LearnedFacts holds the facts that this step learned from peers.
	LearnedFacts *engine.PeerFacts
	// Isolation is set if the isolation of this host changed.
	Isolation        *engine.Isolation
	ContactConfirmed *ContactConfirmed
	// CallPlatform requests an immediate call to the platform.
	CallPlatform bool
}

// Reset clears the effects and keeps the capacity of Sends.
func (fx *Effects) Reset() { *fx = Effects{Sends: fx.Sends[:0]} }
