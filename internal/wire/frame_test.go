package wire

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"testing"
	"testing/iotest"

	"google.golang.org/protobuf/proto"
)

// FuzzFrame checks that no input makes ReadFrame panic, read past the end of the frame or
// accept a frame above the limit, and that an accepted heartbeat survives the round trip
// through the core's type.
func FuzzFrame(f *testing.F) {
	for _, m := range []proto.Message{
		&Hello{Version: 1, Host: "host-1", Zone: "dakar-a", Incarnation: &Incarnation{Started: 1, Nonce: 2}},
		&Heartbeat{Sequence: 1, Note: 7, Facts: []*TargetFact{{Target: "t", Incarnation: 3, Level: 2, Cold: true}}},
		&Request{Kind: CallKind_CALL_KIND_NOTE, Payload: []byte("x")},
	} {
		var b bytes.Buffer
		if _, err := WriteFrame(&b, m, MaxHelloBytes); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Add([]byte{0, 0, 0, 2, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, m := range []proto.Message{&Hello{}, &Heartbeat{}, &Request{}, &Response{}, &NoteReply{}} {
			r := bytes.NewReader(data)
			n, err := ReadFrame(r, m, MaxHelloBytes)
			if n > lengthPrefixBytes+MaxHelloBytes {
				t.Fatalf("read %d bytes, limit is %d", n, lengthPrefixBytes+MaxHelloBytes)
			}
			if err != nil {
				continue
			}
			if used := len(data) - r.Len(); used != n {
				t.Fatalf("consumed %d bytes, reported %d", used, n)
			}
			if h, ok := m.(*Heartbeat); ok {
				again := FromHeartbeat(h.ToCore()).ToCore()
				if !proto.Equal(FromHeartbeat(h.ToCore()), FromHeartbeat(again)) {
					t.Fatal("heartbeat changed in the round trip")
				}
			}
		}
	})
}

// TestWriteFrameOversized checks that the sender enforces the receiver's size limit and
// writes nothing of a larger frame.
func TestWriteFrameOversized(t *testing.T) {
	var b bytes.Buffer
	_, err := WriteFrame(&b, &Request{Payload: make([]byte, MaxHelloBytes+1)}, MaxHelloBytes)
	if !errors.Is(err, ErrOversized) || b.Len() > 0 {
		t.Fatalf("error %v after %d bytes, want %v and no bytes", err, b.Len(), ErrOversized)
	}
}

// TestAnnouncedMessageTakesNoMemory guards against peers that announce large messages and send nothing of
// them: each took the announced size.
func TestAnnouncedMessageTakesNoMemory(t *testing.T) {
	const messages, most = 100, 4 << 20
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range messages {
		if _, err := ReadFrame(bytes.NewReader([]byte{0, 0x10, 0, 0, 'x'}), &Request{}, MaxCallBytes); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("error %v, want %v", err, io.ErrUnexpectedEOF)
		}
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > most {
		t.Errorf("%d messages of 1 MiB, announced only, took %d bytes, want %d at most", messages, n, most)
	}
	var frame bytes.Buffer
	sent := &Request{Payload: bytes.Repeat([]byte("payload"), 100<<10)}
	if _, err := WriteFrame(&frame, sent, MaxCallBytes); err != nil {
		t.Fatal(err)
	}
	got := &Request{}
	if _, err := ReadFrame(iotest.HalfReader(&frame), got, MaxCallBytes); err != nil || !proto.Equal(got, sent) {
		t.Errorf("read %d bytes of payload, %v, want %d", len(got.GetPayload()), err, len(sent.GetPayload()))
	}
}
