package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/relay"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/sysclock"
)

// relayHarness runs a relay duty whose exchanges end as the test says.
type relayHarness struct {
	*relayDuty
	t       *testing.T
	sends   chan *relay.Send
	answers chan relay.Answer
	panics  chan error
	ended   chan error
}

func startRelay(t *testing.T) *relayHarness {
	h := &relayHarness{
		relayDuty: newRelayDuty(relay.Config{Host: "self", Zone: "z", Region: "r", Regions: map[string]string{"z": "r"}, MaxRequests: 10, InitialHosts: 1}, sysclock.New()),
		t:         t, sends: make(chan *relay.Send, 9), answers: make(chan relay.Answer, 9), panics: make(chan error, 99), ended: make(chan error, 1),
	}
	h.dispatch = func(j job) bool {
		if j.send != nil {
			h.sends <- j.send
		}
		return true
	}
	h.cancel, h.cancelUnsent, h.withdraw = func(relay.AttemptID) {}, func(relay.AttemptID) {}, func(relay.HandoffID) {}
	h.cancelAll, h.record = func() {}, func(*decision.Record) {}
	h.deliver = func(a relay.Answer) { h.answers <- a }
	h.onPanic, h.onFailure = func(err error) { h.panics <- err }, func(err error) { h.ended <- err }
	view := catalog.NewView()
	view.Targets["t"] = &catalog.Target{Instance: "t", Service: "s", Zone: "z", Address: "a", Slots: 9}
	view.Config = catalog.NewConfig(1, []*catalog.Route{{
		Name: "all", Host: "h", Prefix: "/", MaxAttempts: 1, Timeout: time.Minute, LatencyObjective: time.Minute, Service: "s",
	}}, map[string]*catalog.Service{"s": {Name: "s"}}, catalog.Limits{})
	h.put(&relay.ViewChanged{View: view})
	done := make(chan struct{})
	go func() { defer close(done); h.run() }()
	t.Cleanup(func() { h.inbox.Close(); <-done })
	return h
}

// submit submits a request and returns its attempt at the target.
func (h *relayHarness) submit(key uint64) *relay.Send {
	h.t.Helper()
	h.put(&relay.Submit{Request: &relay.Request{Key: key, ID: "r", Method: http.MethodGet, Host: "h", Path: "/", Target: "/"}})
	select {
	case s := <-h.sends:
		return s
	case a := <-h.answers:
		h.t.Fatalf("request %d is answered %+v", key, a)
	case <-time.After(answerTimeout):
		h.t.Fatalf("request %d is not sent", key)
	}
	return nil
}

// answerTimeout is the longest wait for the relay.
const answerTimeout = 10 * time.Second

// TestPanicOfRelayLosesNoLaterRequest guards against a process that ends, or whose callers wait in vain,
// since the relay panicked: the requests before it end with an unknown outcome, and those after it are
// served, whatever still comes of the ones before.
func TestPanicOfRelayLosesNoLaterRequest(t *testing.T) {
	for name, poison := range map[string]relay.Event{"reply": (*relay.AttemptEnded)(nil), "view": &relay.ViewChanged{}} {
		t.Run(name, func(t *testing.T) {
			h := startRelay(t)
			before := h.submit(1)
			h.put(poison)
			if a := <-h.answers; a.Key != 1 || a.Code != result.OutcomeUnknown {
				t.Errorf("answer %+v, want request 1 of unknown outcome", a)
			}
			if err := <-h.panics; !strings.Contains(err.Error(), "(*Engine).Step") {
				t.Errorf("reported %v, want the stack of the panic", err)
			}
			after := h.submit(2)
			if after.Attempt == before.Attempt {
				t.Fatalf("two attempts have the ID %d", after.Attempt)
			}
			h.put(&relay.AttemptEnded{Attempt: before.Attempt, Outcome: relay.Lost})
			h.put(&relay.AttemptEnded{Attempt: after.Attempt, Outcome: relay.Answered, Response: &relay.Response{Status: http.StatusOK}})
			if a := <-h.answers; a.Key != 2 || a.Response == nil {
				t.Errorf("answer %+v, want the target's reply to request 2", a)
			}
		})
	}
}

// TestRelayThatPanicsAgainAndAgainEndsTheHost checks that a cause that new engines do not remove is not
// hidden, and that no caller waits for a relay that has ended.
func TestRelayThatPanicsAgainAndAgainEndsTheHost(t *testing.T) {
	h := startRelay(t)
	for range maxRelayRestarts {
		h.put((*relay.AttemptEnded)(nil))
		<-h.panics
	}
	h.submit(1)
	h.put((*relay.AttemptEnded)(nil))
	select {
	case <-h.ended:
	case <-time.After(answerTimeout):
		t.Fatalf("the host goes on after %d panics", maxRelayRestarts+1)
	}
	if a := <-h.answers; a.Key != 1 || a.Code != result.OutcomeUnknown {
		t.Errorf("answer %+v, want request 1 of unknown outcome", a)
	}
	for key := uint64(2); h.relayDuty.submit(&relay.Submit{Request: &relay.Request{Key: key}}); key++ {
		if a := <-h.answers; a.Key != key || a.Code != result.QueueFull {
			t.Errorf("answer %+v, want the refusal of request %d", a, key)
		}
	}
}
