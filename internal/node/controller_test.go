package node

import (
	"testing"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/edge/wallclock"
	"pollentack.example/pollentack/internal/settings"
)

// TestEndsOfCallsAlwaysFit fills the control ring with peers' words: the ends of the two
// calls that may be in progress are taken all the same.
func TestEndsOfCallsAlwaysFit(t *testing.T) {
	c := newController(settings.Default(), wallclock.New(), zerolog.Nop(), func(engine.Event) bool { return true })
	words := 0
	for c.put(&control.PeerHeard{Number: 1}) {
		words++
	}
	if words != controlCapacity-callReserve {
		t.Errorf("%d words taken, want %d", words, controlCapacity-callReserve)
	}
	for call := range 2 {
		if !c.put(&control.CallEnded{}) {
			t.Errorf("the end of call %d is lost", call+1)
		}
	}
}
