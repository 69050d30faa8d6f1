package mesh

import (
	"net"
	"testing"
)

// TestOldestHandshakeGivesWay guards against strangers that keep peers from saying hello.
func TestOldestHandshakeGivesWay(t *testing.T) {
	h := newHandshakes(3 * handshakeDescriptorShare)
	var conns [6]net.Conn
	for i := range conns {
		conns[i], _ = net.Pipe()
	}
	for i, want := range []net.Conn{nil, nil, nil, nil, conns[0], conns[2]} {
		if i == 3 {
			h.end(1)
		}
		if _, evicted := h.begin(conns[i]); evicted != want {
			t.Errorf("connection %d evicts %v, want %v", i, evicted, want)
		}
	}
	if n := newHandshakes(0).limit; n != maxHandshakes {
		t.Errorf("limit is %d without a limit on descriptors, want %d", n, maxHandshakes)
	}
}
