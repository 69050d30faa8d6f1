package mesh

import (
	"strings"
	"sync/atomic"

	"pollentack.example/pollentack/internal/wire"
)

// Stats are the peers of a mesh at this moment and its totals since the start.
type Stats struct {
	Peers              []string          `json:"peers"`
	LinksMade          uint64            `json:"links_made"`
	DialsFailed        uint64            `json:"dials_failed"`
	HeartbeatsSent     uint64            `json:"heartbeats_sent"`
	HeartbeatsReceived uint64            `json:"heartbeats_heard"`
	HeartbeatsDropped  uint64            `json:"heartbeats_dropped"`
	BytesSent          uint64            `json:"bytes_sent"`
	BytesRead          uint64            `json:"bytes_read"`
	CallsMade          uint64            `json:"calls_made"`
	CallsServed        uint64            `json:"calls_served"`
	CallsRefused       uint64            `json:"calls_refused"`
	FramesOversized    uint64            `json:"frames_oversized"`
	FramesMalformed    uint64            `json:"frames_malformed"`
	HandshakesEvicted  uint64            `json:"handshakes_evicted"`
	ConnectionsMisused uint64            `json:"connections_misused"`
	TransfersExpired   uint64            `json:"transfers_expired"`
	Refused            map[string]uint64 `json:"refused,omitempty"`
}

// refusalCount is the number of values of wire.Refusal.
const refusalCount = int(wire.Refusal_REFUSAL_TOO_MANY) + 1

type counters struct {
	linksMade, dialsFailed                                atomic.Uint64
	heartbeatsSent, heartbeatsReceived, heartbeatsDropped atomic.Uint64
	bytesSent, bytesRead                                  atomic.Uint64
	callsMade, callsServed                                atomic.Uint64
	callsRefused                                          atomic.Uint64
	framesOversized, framesMalformed                      atomic.Uint64
	handshakesEvicted, connectionsMisused                 atomic.Uint64
	transfersExpired                                      atomic.Uint64

	refused [refusalCount]atomic.Uint64
}

func (c *counters) countRefusal(reason wire.Refusal) { c.refused[reason].Add(1) }

// Stats returns the current peers and totals.
func (m *Mesh) Stats() Stats {
	c := &m.counters
	s := Stats{
		Peers:              m.Peers(),
		LinksMade:          c.linksMade.Load(),
		DialsFailed:        c.dialsFailed.Load(),
		HeartbeatsSent:     c.heartbeatsSent.Load(),
		HeartbeatsReceived: c.heartbeatsReceived.Load(),
		HeartbeatsDropped:  c.heartbeatsDropped.Load(),
		BytesSent:          c.bytesSent.Load(),
		BytesRead:          c.bytesRead.Load(),
		CallsMade:          c.callsMade.Load(),
		CallsServed:        c.callsServed.Load(),
		CallsRefused:       c.callsRefused.Load(),
		FramesOversized:    c.framesOversized.Load(),
		FramesMalformed:    c.framesMalformed.Load(),
		HandshakesEvicted:  c.handshakesEvicted.Load(),
		ConnectionsMisused: c.connectionsMisused.Load(),
		TransfersExpired:   c.transfersExpired.Load(),
	}
	for reason := range c.refused {
		if n := c.refused[reason].Load(); n > 0 {
			if s.Refused == nil {
				s.Refused = map[string]uint64{}
			}
			s.Refused[refusalName(wire.Refusal(reason))] = n
		}
	}
	return s
}

func refusalName(r wire.Refusal) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REFUSAL_"))
}
