// Package wire holds the messages between hosts and their encoding: protobuf in frames
// with a length before each. It decides nothing.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// ProtocolVersion is the version of the mesh protocol that this code speaks.
const ProtocolVersion = 1

// Bounds of a frame's message.
const (
	MaxHelloBytes     = 4 << 10
	MaxHeartbeatBytes = 64 << 10
	// MaxCallBytes holds a note of a megabyte and what surrounds it.
	MaxCallBytes = 1<<20 + 64<<10
)

const lengthBytes = 4

// Errors of a frame that must not be read further.
var (
	ErrOversized = errors.New("frame is oversized")
	ErrMalformed = errors.New("frame is malformed")
)

// WriteFrame writes one frame and returns the bytes that it took.
func WriteFrame(w io.Writer, m proto.Message, limit int) (int, error) {
	frame, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthBytes), m)
	if err != nil {
		return 0, fmt.Errorf("encode frame: %w", err)
	}
	size := len(frame) - lengthBytes
	if size > limit {
		return 0, fmt.Errorf("%w: %d bytes, allowed are %d", ErrOversized, size, limit)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	n, err := w.Write(frame)
	if err != nil {
		return n, fmt.Errorf("write frame: %w", err)
	}
	return n, nil
}

// ReadFrame reads one frame into m and returns the bytes that it took. It allocates no
// more than limit, whatever the length says.
func ReadFrame(r io.Reader, m proto.Message, limit int) (int, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, fmt.Errorf("read frame: %w", err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if uint64(size) > uint64(limit) {
		return lengthBytes, fmt.Errorf("%w: %d bytes, allowed are %d", ErrOversized, size, limit)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return lengthBytes, fmt.Errorf("read frame: %w", err)
	}
	if err := proto.Unmarshal(body, m); err != nil {
		return lengthBytes + len(body), fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return lengthBytes + len(body), nil
}
