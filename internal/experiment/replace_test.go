package experiment

import (
	"fmt"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/result"
)

// TestKnownReasonsAreCountedOn guards against a report whose counts stop once it lists as many kinds
// of failure as it may.
func TestKnownReasonsAreCountedOn(t *testing.T) {
	w := &replaceWorkload{}
	w.report.reasons = map[string]int{}
	for range 3 {
		for i := range maxReasons + 2 {
			w.record(time.Now(), result.OutcomeUnknown, fmt.Sprintf("failure %d", i))
		}
	}
	if len(w.report.reasons) != maxReasons {
		t.Errorf("%d kinds of failure are listed, want %d", len(w.report.reasons), maxReasons)
	}
	for reason, n := range w.report.reasons {
		if n != 3 {
			t.Errorf("%q is counted %d times, want 3", reason, n)
		}
	}
}
