package mesh

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/yamux"
)

// tappedConn counts writes, and loses them once silent is set.
type tappedConn struct {
	net.Conn
	writes atomic.Int64
	silent atomic.Bool
}

func (c *tappedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// TestFramesAreWrittenTogether checks that a stream's opening, its first data and the header of
// the data are one write, and that bodies which look like headers, or are too long to be copied,
// arrive unchanged.
func TestFramesAreWrittenTogether(t *testing.T) {
	near, far := net.Pipe()
	tap := &tappedConn{Conn: near}
	config := (&Mesh{}).sessionConfig(true)
	client, err := yamux.Client(newFrameConn(tap, newLedger(nil)), config)
	if err != nil {
		t.Fatal(err)
	}
	server, err := yamux.Server(newFrameConn(far, newLedger(nil)), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	header := []byte{0, frameTypeData, 0, frameFlagSYN, 0, 0, 0, 1, 0, 0, 0, 9}
	long := bytes.Repeat([]byte("long"), maxJoinedBytes)
	bodies := [][]byte{header, []byte("x"), header, bytes.Repeat(header, 3), long, header}
	stream, err := client.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	for _, body := range bodies {
		if _, err := stream.Write(body); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := tap.writes.Load(), int64(len(bodies))+1; got != want {
		t.Errorf("%d writes for a new stream with %d bodies, want %d: one each, and one for the header of the long one", got, len(bodies), want)
	}
	accepted, err := server.AcceptStream()
	if err != nil {
		t.Fatal(err)
	}
	want := bytes.Join(bodies, nil)
	got := make([]byte, len(want))
	for n := 0; n < len(got); {
		read, err := accepted.Read(got[n:])
		if err != nil {
			t.Fatalf("after %d of %d bytes: %v", n, len(got), err)
		}
		n += read
	}
	if !bytes.Equal(got, want) {
		t.Errorf("received %q, want %q", got, want)
	}
}
