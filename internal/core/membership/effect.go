package membership

import (
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/release"
)

// Send asks for a heartbeat to a peer.
type Send struct {
	Peer      string
	Heartbeat *Heartbeat
}

// Links asks for standing links to these peers and no others.
type Links struct {
	Hosts []release.Host
	Peers []string
}

// Fetch asks a peer for the notes after one.
type Fetch struct {
	Peer  string
	After uint64
}

// Word tells that the platform or a peer was reached at or after Since.
type Word struct{ Since time.Duration }

// Effects are what a step asks its caller to do.
type Effects struct {
	Sends []Send
	Links *Links
	Fetch *Fetch
	// News is what this step learned from peers.
	News *engine.PeerFacts
	// Isolation is set where it changed.
	Isolation *engine.Isolation
	Word      *Word
	// AskPlatform asks for one call to the platform at once.
	AskPlatform bool
}

// Reset empties the effects.
func (fx *Effects) Reset() { *fx = Effects{Sends: fx.Sends[:0]} }
