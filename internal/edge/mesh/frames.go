package mesh

import (
	"encoding/binary"
)

// frameHeader is the header of a yamux frame.
type frameHeader [frameHeaderBytes]byte

func (h *frameHeader) kind() byte     { return h[frameTypeOffset] }
func (h *frameHeader) length() uint32 { return binary.BigEndian.Uint32(h[frameLengthOffset:]) }

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
