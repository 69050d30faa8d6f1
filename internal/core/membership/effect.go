package membership

import (
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
)

// Send requests that a heartbeat be sent to a peer.
type Send struct {
	Peer      string
	Heartbeat *Heartbeat
}

// Links requests persistent links to exactly these peers.
type Links struct {
	Hosts []release.Host
	Peers []string
}

// Fetch requests the notes with numbers above After from a peer.
type Fetch struct {
	Peer  string
	After uint64
}

// Word reports confirmed contact with the platform or a peer at or after Since.
type Word struct{ Since time.Duration }

// Effects are the actions that the caller of a step must carry out.
type Effects struct {
	Sends []Send
	Links *Links
	Fetch *Fetch
	// News holds the facts that this step learned from peers.
	News *engine.PeerFacts
	// Isolation is set if the isolation of this host changed.
	Isolation *engine.Isolation
	Word      *Word
	// AskPlatform requests an immediate call to the platform.
	AskPlatform bool
}

// Reset clears the effects and keeps the capacity of Sends.
func (fx *Effects) Reset() { *fx = Effects{Sends: fx.Sends[:0]} }
