package node

import (
	"testing"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/query"
)

// TestPanicOfCallIsReportedToTheEngine guards against attempts that stay open for ever at the engine, since
// their worker panicked.
func TestPanicOfCallIsReportedToTheEngine(t *testing.T) {
	events, panics := make(chan engine.Event, 1), make(chan error, 1)
	// Without a client, each call panics.
	d, err := newDispatch(1, nil, func(ev engine.Event) bool { events <- ev; return true }, func(err error) { panics <- err })
	if err != nil {
		t.Fatal(err)
	}
	defer d.workers.Close()
	d.submit(work{send: &engine.Send{Attempt: query.AttemptID{Try: 1}}})
	<-panics
	select {
	case ev := <-events:
		if r, ok := ev.(*engine.AttemptResult); !ok || r.Attempt.Try != 1 || r.Outcome != engine.Lost {
			t.Errorf("event %+v, want the loss of the attempt", ev)
		}
	default:
		t.Error("the engine gets no event")
	}
}
