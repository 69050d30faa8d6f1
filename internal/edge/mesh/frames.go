package mesh

import (
	"encoding/binary"
	"fmt"
	"time"
)

// frameHeader is the header of a yamux frame.
type frameHeader [frameHeaderBytes]byte

func (h *frameHeader) kind() byte        { return h[frameTypeOffset] }
func (h *frameHeader) has(f uint16) bool { return binary.BigEndian.Uint16(h[frameFlagsOffset:])&f != 0 }
func (h *frameHeader) stream() uint32    { return binary.BigEndian.Uint32(h[frameStreamOffset:]) }
func (h *frameHeader) length() uint32    { return binary.BigEndian.Uint32(h[frameLengthOffset:]) }

// frameScanner finds the frames in the bytes that a session receives.
type frameScanner struct {
	header frameHeader
	// headerBytes is the number of bytes of the header that have arrived, bodyLeft that of the body that
	// have not.
	headerBytes int
	bodyLeft    uint32
}

// scan returns the number of the first bytes of b that belong to one frame, and whether they complete
// the header of the frame.
func (s *frameScanner) scan(b []byte) (n int, complete bool) {
	if s.bodyLeft > 0 {
		n = int(min(uint64(s.bodyLeft), uint64(len(b))))
		s.bodyLeft -= uint32(n)
		return n, false
	}
	n = copy(s.header[s.headerBytes:], b)
	if s.headerBytes += n; s.headerBytes < frameHeaderBytes {
		return n, false
	}
	s.headerBytes = 0
	if s.header.kind() == frameTypeData {
		s.bodyLeft = s.header.length()
	}
	return n, true
}

// unfinished reports whether a frame has begun and not ended.
func (s *frameScanner) unfinished() bool { return s.headerBytes > 0 || s.bodyLeft > 0 }

const (
	// maxPings bounds the pings that are answered on a connection within pingInterval. The session starts
	// a goroutine for each.
	maxPings     = 32
	pingInterval = time.Second
)

// errPings states that a peer has sent more than maxPings.
var errPings = fmt.Errorf("more than %d pings in %v", maxPings, pingInterval)

// pingLimit counts the pings on a connection.
type pingLimit struct {
	since time.Time
	count int
}

// add counts a ping that arrives now.
func (l *pingLimit) add(now time.Time) error {
	if now.Sub(l.since) >= pingInterval {
		l.since, l.count = now, 0
	}
	if l.count++; l.count > maxPings {
		return errPings
	}
	return nil
}
