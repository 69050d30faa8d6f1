package platform

import (
	"strings"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/callschedule"
	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/note"
	"pollentack.example/pollentack/internal/platformapi"
	"pollentack.example/pollentack/internal/standin"
)

type harness struct {
	platform *standin.Platform
	reader   *Reader
	duties   *duty.Group
	ended    chan *control.CallResult
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{ended: make(chan *control.CallResult, 8)}
	var err error
	if h.platform, err = standin.StartPlatform("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.platform.Stop)
	h.reader, err = NewReader(h.platform.Address(), sysclock.New(), func(ev control.Event) bool {
		h.ended <- ev.(*control.CallResult)
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	if h.duties, err = duty.NewGroup(2, func(name string, err error) { t.Errorf("%s: %v", name, err) }); err != nil {
		t.Fatal(err)
	}
	for _, d := range h.reader.Duties() {
		if err := h.duties.Start(d); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(h.duties.Stop)
	return h
}

func (h *harness) call(t *testing.T, c callschedule.Call) *control.CallResult {
	t.Helper()
	if !h.reader.Put(c) {
		t.Fatalf("call %+v was not queued", c)
	}
	return <-h.ended
}

func (h *harness) awaitCalls(n uint64) {
	for h.platform.Calls() < n {
		time.Sleep(time.Millisecond)
	}
}

// TestStopEndsWatchInProgress stops the reader during a watch with a timeout of a minute. The
// watch must end as failed at once, not at its timeout.
func TestStopEndsWatchInProgress(t *testing.T) {
	h := newHarness(t)
	h.reader.Put(callschedule.Call{Kind: callschedule.KindWatch, Wait: time.Minute})
	h.awaitCalls(1)
	h.duties.Stop()
	if ended := <-h.ended; !ended.Result.Failed {
		t.Errorf("watch in progress during the stop: %+v, want failed", ended.Result)
	}
}

// TestShortCallDuringWatch reads the head while a watch is pending, then publishes a note,
// which ends the watch.
func TestShortCallDuringWatch(t *testing.T) {
	h := newHarness(t)
	h.reader.Put(callschedule.Call{Kind: callschedule.KindWatch, Wait: time.Minute})
	h.awaitCalls(1)
	if ended := h.call(t, callschedule.Call{Kind: callschedule.KindHead}); ended.Result.Failed || ended.Result.Head != 0 {
		t.Errorf("head: %+v", ended.Result)
	}
	h.platform.Publish(7, true, []byte("[note]\nnumber = 7\nkind = baseline\n[end]\nitems = 0\n"))
	if ended := <-h.ended; ended.Result.Call.Kind != callschedule.KindWatch || ended.Result.Head != 7 || ended.Result.Baseline != 7 {
		t.Errorf("watch: %+v", ended.Result)
	}
}

func TestCallResults(t *testing.T) {
	h := newHarness(t)
	h.platform.Publish(1, true, []byte("[note]\nnumber = 1\nkind = baseline\n[end]\nitems = 0\n"))
	h.platform.Publish(2, false, []byte("[note]\nnumber = 2\nkind = change\nfollows = 1\n"))
	h.platform.Publish(3, false, []byte(strings.Repeat("#", note.MaxBytes+2)))
	h.platform.SetHosts([]platformapi.HostEntry{{Name: "host-1", Leaving: true}})

	read := func(n uint64) *control.CallResult {
		return h.call(t, callschedule.Call{Kind: callschedule.KindNote, Number: n})
	}
	if ended := read(1); ended.Note == nil || len(ended.Note.Faults) > 0 || !ended.Note.Note.Baseline {
		t.Errorf("note 1: %+v", ended.Note)
	}
	if ended := read(2); ended.Note == nil || len(ended.Note.Faults) != 1 || ended.Note.Number != 2 {
		t.Errorf("truncated note: %+v", ended.Note)
	}
	if ended := read(3); ended.Note == nil || len(ended.Note.Faults) != 1 {
		t.Errorf("note over the size limit: %+v", ended)
	}
	if ended := read(4); ended.Result.Failed || ended.Note != nil {
		t.Errorf("note that does not exist: %+v", ended)
	}
	if ended := h.call(t, callschedule.Call{Kind: callschedule.KindHosts}); len(ended.Hosts) != 1 || !ended.Hosts[0].Leaving {
		t.Errorf("hosts: %+v", ended.Hosts)
	}
	h.platform.SetDown(true)
	if ended := read(1); !ended.Result.Failed || h.reader.FailedCalls() != 1 {
		t.Errorf("platform down: %+v, %d failed", ended.Result, h.reader.FailedCalls())
	}
}
