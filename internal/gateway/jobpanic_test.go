package gateway

import (
	"reflect"
	"strings"
	"testing"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/relay"
	"pollentack.example/pollentack/internal/edge/sysclock"
)

// TestPanicOfJobIsReportedToTheRelay guards against attempts, handoffs and checks that stay open for ever
// at the relay, with the connections and requests that they occupy, since their worker panicked.
func TestPanicOfJobIsReportedToTheRelay(t *testing.T) {
	events, panics := make(chan relay.Event, 1), make(chan error, 1)
	u, err := newUpstreamDuty(nil, sysclock.New(), func(ev relay.Event) bool { events <- ev; return true }, func(err error) { panics <- err })
	if err != nil {
		t.Fatal(err)
	}
	defer u.workers.Close()
	// Without a client and handoffs, each job panics.
	for name, tt := range map[string]struct {
		job  job
		want relay.Event
	}{
		"attempt": {
			job{send: &relay.Send{Attempt: 1, Target: &catalog.Target{}, Request: &relay.Request{}}},
			&relay.AttemptEnded{Attempt: 1, Outcome: relay.Lost, Reason: panicReason},
		},
		"forwarded": {
			job{send: &relay.Send{Attempt: 2, Via: "h1", Request: &relay.Request{}}},
			&relay.AttemptEnded{Attempt: 2, Outcome: relay.Lost, Reason: panicReason, PeerFailed: true},
		},
		"handoff": {job{handoff: &relay.Handoff{ID: 3, Request: &relay.Request{}}}, &relay.HandoffEnded{ID: 3, Reason: panicReason}},
		"check":   {job{check: &relay.Check{ID: 4}}, &relay.TargetChecked{ID: 4, NotMade: true}},
	} {
		u.submit(tt.job)
		if err := <-panics; !strings.Contains(err.Error(), "relay.go") {
			t.Errorf("%s: reported %v, want the stack", name, err)
		}
		select {
		case got := <-events:
			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("%s: event %+v, want %+v", name, got, tt.want)
			}
		default:
			t.Errorf("%s: the relay gets no event", name)
		}
	}
}
