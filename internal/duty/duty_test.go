package duty

import (
	"slices"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no goroutine outlives its group. The goroutines of the default pool,
// which package ants starts on initialization, are ignored.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

// eventLog records events in order.
type eventLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *eventLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

// blockingDuty returns a duty that blocks until it is stopped and records its stop and end.
func (l *eventLog) blockingDuty(name string) Duty {
	stop := make(chan struct{})
	return Duty{
		Name: name,
		Run: func() {
			<-stop
			l.add(name + " ended")
		},
		Stop: func() {
			l.add(name + " stopped")
			close(stop)
		},
	}
}

// TestDutiesStopInReverseOrder checks that each duty has ended before the duty started
// before it is stopped.
func TestDutiesStopInReverseOrder(t *testing.T) {
	g, err := NewGroup(3, func(name string, err error) { t.Errorf("%s: %v", name, err) })
	if err != nil {
		t.Fatal(err)
	}
	var events eventLog
	for _, name := range []string{"a", "b", "c"} {
		if err := g.Start(events.blockingDuty(name)); err != nil {
			t.Fatal(err)
		}
	}
	g.Stop()
	g.Stop()
	want := []string{"c stopped", "c ended", "b stopped", "b ended", "a stopped", "a ended"}
	if !slices.Equal(events.lines, want) {
		t.Errorf("order is %v, want %v", events.lines, want)
	}
}

// TestPanicIsReportedAndOthersStop checks that the panic of one duty is reported once, with
// its name and stack, and that the group still stops the others.
func TestPanicIsReportedAndOthersStop(t *testing.T) {
	reported := make(chan error, 2)
	g, err := NewGroup(2, func(name string, err error) {
		if name != "bad" {
			t.Errorf("reported for duty %q", name)
		}
		reported <- err
	})
	if err != nil {
		t.Fatal(err)
	}
	var events eventLog
	if err := g.Start(events.blockingDuty("good")); err != nil {
		t.Fatal(err)
	}
	stopped := false
	bad := Duty{Name: "bad", Run: func() { panic("out of range") }, Stop: func() { stopped = true }}
	if err := g.Start(bad); err != nil {
		t.Fatal(err)
	}
	err = <-reported
	if !strings.Contains(err.Error(), `duty "bad": out of range`) || !strings.Contains(err.Error(), "duty_test.go") {
		t.Errorf("reported %v", err)
	}
	g.Stop()
	if !stopped || !slices.Equal(events.lines, []string{"good stopped", "good ended"}) || len(reported) != 0 {
		t.Errorf("stopped %t, events %v, %d more reports", stopped, events.lines, len(reported))
	}
}

func TestGroupIsBounded(t *testing.T) {
	g, err := NewGroup(1, func(string, error) {})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Stop()
	var events eventLog
	if err := g.Start(events.blockingDuty("a")); err != nil {
		t.Fatal(err)
	}
	if err := g.Start(events.blockingDuty("b")); err == nil || !strings.Contains(err.Error(), `start duty "b"`) {
		t.Errorf("a second duty in a group of one: %v", err)
	}
}

// TestWorkersRefuseWhenBusy checks that Submit fails at once while all workers are busy.
func TestWorkersRefuseWhenBusy(t *testing.T) {
	w, err := NewWorkers(2, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	var jobs sync.WaitGroup
	release := make(chan struct{})
	for range 2 {
		jobs.Add(1)
		if err := w.Submit(func() {
			defer jobs.Done()
			<-release
		}); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Submit(func() {}); err == nil {
		t.Error("a third job on two workers was accepted")
	}
	close(release)
	jobs.Wait()
}
