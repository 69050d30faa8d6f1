package node

import (
	"testing"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/settings"
)

// TestCallResultFitsWhenInboxIsFull checks that the control inbox, full of PeerNoteNumber
// events, still accepts the CallResult events of the two calls that may be in progress.
func TestCallResultFitsWhenInboxIsFull(t *testing.T) {
	c := newController(settings.Default(), sysclock.New(), zerolog.Nop(), func(engine.Event) bool { return true })
	accepted := 0
	for c.put(&control.PeerNoteNumber{Number: 1}) {
		accepted++
	}
	if accepted != controlInboxCapacity-callResultReserve {
		t.Errorf("%d events accepted, want %d", accepted, controlInboxCapacity-callResultReserve)
	}
	for call := range 2 {
		if !c.put(&control.CallResult{}) {
			t.Errorf("CallResult of call %d was dropped", call+1)
		}
	}
}
