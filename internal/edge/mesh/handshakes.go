package mesh

import (
	"net"
	"sync"
)

const (
	// maxHandshakes bounds the accepted connections whose hello is not accepted yet.
	maxHandshakes = 512
	// handshakeDescriptorShare is the part of the process's descriptors that handshakes may take,
	// 1/handshakeDescriptorShare, if that is less than maxHandshakes.
	handshakeDescriptorShare = 8
)

// handshakes are the accepted connections whose hello is not accepted yet. If there are limit, the
// oldest gives way to a new one.
type handshakes struct {
	limit int

	mu sync.Mutex
	// next is the number of the next connection, oldest is at most that of the oldest one.
	next, oldest uint64
	conns        map[uint64]net.Conn
}

// newHandshakes returns the handshakes of a process with a limit on its descriptors, 0 for none.
func newHandshakes(descriptors int) *handshakes {
	limit := maxHandshakes
	if descriptors > 0 {
		limit = max(1, min(limit, descriptors/handshakeDescriptorShare))
	}
	return &handshakes{limit: limit, conns: map[uint64]net.Conn{}}
}

// begin adds a connection. It returns the connection's number and the one that must be closed in favor
// of it, or nil.
func (h *handshakes) begin(conn net.Conn) (number uint64, evicted net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.conns) >= h.limit && evicted == nil {
		evicted = h.conns[h.oldest]
		delete(h.conns, h.oldest)
		h.oldest++
	}
	number = h.next
	h.next++
	h.conns[number] = conn
	return number, evicted
}

// end removes a connection.
func (h *handshakes) end(number uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, number)
}
