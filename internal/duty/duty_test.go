package duty

import (
	"slices"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no thread outlives its group. The pool that ants makes for itself
// when it is loaded is there before the first test.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

// journal notes what happens, in its order.
type journal struct {
	mu    sync.Mutex
	lines []string
}

func (j *journal) note(line string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, line)
}

// until returns a duty that runs until it is stopped.
func (j *journal) until(name string) Duty {
	stop := make(chan struct{})
	return Duty{
		Name: name,
		Run: func() {
			<-stop
			j.note(name + " ended")
		},
		Stop: func() {
			j.note(name + " stopped")
			close(stop)
		},
	}
}

// TestDutiesStopInReverse checks that each duty has ended before the one that was
// started before it is stopped.
func TestDutiesStopInReverse(t *testing.T) {
	g, err := NewGroup(3, func(name string, err error) { t.Errorf("%s: %v", name, err) })
	if err != nil {
		t.Fatal(err)
	}
	var j journal
	for _, name := range []string{"a", "b", "c"} {
		if err := g.Start(j.until(name)); err != nil {
			t.Fatal(err)
		}
	}
	g.Stop()
	g.Stop()
	want := []string{"c stopped", "c ended", "b stopped", "b ended", "a stopped", "a ended"}
	if !slices.Equal(j.lines, want) {
		t.Errorf("order is %v, want %v", j.lines, want)
	}
}

// TestPanicIsReportedAndOthersStop lets one duty panic: it is reported once with its
// name and stack, and the group still stops the others.
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
	var j journal
	if err := g.Start(j.until("good")); err != nil {
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
	if !stopped || !slices.Equal(j.lines, []string{"good stopped", "good ended"}) || len(reported) != 0 {
		t.Errorf("stopped %t, journal %v, %d more reports", stopped, j.lines, len(reported))
	}
}

func TestGroupIsBounded(t *testing.T) {
	g, err := NewGroup(1, func(string, error) {})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Stop()
	var j journal
	if err := g.Start(j.until("a")); err != nil {
		t.Fatal(err)
	}
	if err := g.Start(j.until("b")); err == nil || !strings.Contains(err.Error(), `start duty "b"`) {
		t.Errorf("a second duty in a group of one: %v", err)
	}
}

// TestWorkersRefuseWhenBusy fills the workers: one more job fails at once.
func TestWorkersRefuseWhenBusy(t *testing.T) {
	w, err := NewWorkers(2)
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
		t.Error("a third job of two workers is taken")
	}
	close(release)
	jobs.Wait()
}
