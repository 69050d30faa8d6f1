package gateway

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pollentack.example/pollentack/internal/core/relay"
	"pollentack.example/pollentack/internal/edge/memory"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/wire"
)

// TestDelayOfFirstHandoffIsSeen guards against targets that are handed more time than is left by a host whose
// first handoff from a peer was held up after their link was made.
func TestDelayOfFirstHandoffIsSeen(t *testing.T) {
	const delay = 700 * time.Millisecond
	tr := newTransits(sysclock.New())
	helloAt := tr.clock.Now().Mono
	tr.observeHello("h1", 9, helloAt)
	if d := tr.observe("h1", 9, helloAt, helloAt+delay); d < delay*9/10 {
		t.Errorf("a first handoff that came %v late is taken for %v late", delay, d)
	}
}

// TestHandoffNamesTheTimeLeftWhenItIsSent guards against targets that are handed more time than is left:
// a handoff may wait for its link, and named its age from before.
func TestHandoffNamesTheTimeLeftWhenItIsSent(t *testing.T) {
	const waited, age = 40 * time.Millisecond, 5 * time.Millisecond
	h := &handoffs{clock: sysclock.New(), budget: memory.NewBudget(1 << 20), transits: newTransits(sysclock.New()), outbound: map[relay.HandoffID]*outboundHandoff{}}
	for _, timeout := range []time.Duration{time.Second, waited} {
		h.registerOutbound(1)
		o := h.outboundOf(1)
		o.message = &wire.GatherCall{Handoff: 1, Timeout: int64(timeout), Age: int64(age)}
		time.Sleep(waited)
		payload, err := h.encode(o)
		if timeout == waited {
			if err == nil {
				t.Error("a handoff without time left is sent")
			}
			continue
		}
		got := &wire.GatherCall{}
		if err != nil || proto.Unmarshal(payload, got) != nil || time.Duration(got.GetAge()) < age+waited || got.GetSentAt() == 0 {
			t.Errorf("message %v, %v, want an age of at least %v", got, err, age+waited)
		}
		if used := h.budget.Usage().Parts["messages"]; used != int64(len(payload)) || o.reserved != len(payload) {
			t.Errorf("%d bytes are reserved for a message of %d", used, len(payload))
		}
	}
}
