package mesh

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"
)

// deadlineConn records the last read deadline.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// TestFrameThatHasBegunMustEnd guards against a peer that holds the lock of a stream with half a frame.
func TestFrameThatHasBegunMustEnd(t *testing.T) {
	conn := &deadlineConn{}
	c := newFrameConn(conn, newLedger(nil))
	if err := c.limitHandshake(); err != nil {
		t.Fatal(err)
	}
	handshake := conn.deadline
	data := []byte{0, frameTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, 3, 'a', 'b', 'c'}
	update := []byte{0, frameTypeWindowUpdate, 0, 0, 0, 0, 0, 1, 0, 0, 0, 3}
	watch := func(b ...byte) time.Time {
		t.Helper()
		if err := c.watch(b); err != nil {
			t.Fatal(err)
		}
		return conn.deadline
	}
	if got := watch(data[:13]...); got != handshake {
		t.Errorf("half a frame changes the deadline of the handshake from %v to %v", handshake, got)
	}
	if err := c.establish(); err != nil || conn.deadline.Before(handshake) {
		t.Errorf("deadline %v (error %v) after the handshake with half a frame, want %v from then", conn.deadline, err, frameTimeout)
	}
	first := conn.deadline
	if got := watch('b'); got != first {
		t.Errorf("one more byte changes the deadline from %v to %v", first, got)
	}
	if got := watch(append([]byte{'c'}, update...)...); !got.IsZero() {
		t.Errorf("deadline %v after whole frames, want none", got)
	}
	second := watch(update[0])
	if second.IsZero() {
		t.Error("no deadline after the first byte of a header")
	}
	time.Sleep(time.Millisecond)
	if got := watch(append(update[1:], data[:5]...)...); !got.After(second) {
		t.Errorf("deadline %v when the next frame has begun, want a later one than %v", got, second)
	}
}

// TestPingsWithoutEndEndTheConnection guards against a goroutine for each ping that a peer sends.
func TestPingsWithoutEndEndTheConnection(t *testing.T) {
	ping := []byte{0, frameTypePing, 0, frameFlagSYN, 0, 0, 0, 0, 0, 0, 0, 1}
	a, b := net.Pipe()
	defer a.Close()
	var misuse error
	c := newFrameConn(b, newLedger(nil))
	c.onMisuse = func(err error) { misuse = err }
	go func() { _, _ = a.Write(bytes.Repeat(ping, 2*maxPings)) }()
	n, err := c.Read(make([]byte, 2*maxPings*len(ping)))
	if n != 0 || !errors.Is(err, errPings) || !errors.Is(misuse, errPings) {
		t.Errorf("%d bytes are passed on with error %v, misuse %v, want 0 and %v", n, err, misuse, errPings)
	}
	var l pingLimit
	for second := range 3 {
		for range maxPings {
			if err := l.add(time.Unix(int64(second), 0)); err != nil {
				t.Errorf("second %d: %v", second, err)
			}
		}
	}
}
