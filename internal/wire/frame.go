// Package wire defines the messages that hosts exchange and their encoding: protobuf in
// length-prefixed frames. It only encodes and decodes; what a message means is decided in
// internal/core.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// ProtocolVersion is the version of the mesh protocol that this package implements.
const ProtocolVersion = 1

// Maximum sizes of an encoded message in bytes, without the length prefix.
const (
	MaxHelloBytes     = 4 << 10
	MaxHeartbeatBytes = 64 << 10
	// MaxCallBytes has room for a release note of 1 MiB and the messages that enclose it.
	MaxCallBytes = 1<<20 + 64<<10
)

// lengthPrefixBytes is the size of the big-endian length before each message.
const lengthPrefixBytes = 4

// Errors after which the stream must not be read further.
var (
	ErrOversized = errors.New("frame too large")
	ErrMalformed = errors.New("malformed frame")
)

// WriteFrame writes m as one frame and returns the number of bytes written. It writes
// nothing and returns ErrOversized if m is longer than limit bytes.
func WriteFrame(w io.Writer, m proto.Message, limit int) (int, error) {
	frame, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthPrefixBytes), m)
	if err != nil {
		return 0, fmt.Errorf("encode frame: %w", err)
	}
	size := len(frame) - lengthPrefixBytes
	if size > limit {
		return 0, fmt.Errorf("%w: %d bytes, limit is %d", ErrOversized, size, limit)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	n, err := w.Write(frame)
	if err != nil {
		return n, fmt.Errorf("write frame: %w", err)
	}
	return n, nil
}

// ReadFrame reads one frame into m and returns the number of bytes read, without those of a
// message that ended early. It returns ErrOversized for a length above limit, without
// allocating a buffer, and ErrMalformed if the message cannot be decoded.
func ReadFrame(r io.Reader, m proto.Message, limit int) (int, error) {
	var head [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, fmt.Errorf("read frame: %w", err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if uint64(size) > uint64(limit) {
		return lengthPrefixBytes, fmt.Errorf("%w: %d bytes, limit is %d", ErrOversized, size, limit)
	}
	body, err := readMessage(r, int(size))
	if err != nil {
		return lengthPrefixBytes, fmt.Errorf("read frame: %w", err)
	}
	if err := proto.Unmarshal(body, m); err != nil {
		return lengthPrefixBytes + len(body), fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return lengthPrefixBytes + len(body), nil
}

// firstMessageBytes is the size of the buffer for a message of which nothing has arrived.
const firstMessageBytes = 16 << 10

// readMessage reads size bytes into a buffer that grows as they arrive.
func readMessage(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, 0, min(size, firstMessageBytes))
	for len(body) < size {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(size, 2*len(body))), body...)
		}
		n, err := io.ReadFull(r, body[len(body):cap(body)])
		if body = body[:len(body)+n]; err != nil {
			if errors.Is(err, io.EOF) && len(body) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err //nolint:wrapcheck // the caller does
		}
	}
	return body, nil
}
