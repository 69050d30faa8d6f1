package standin

import (
	"testing"
	"time"
)

// TestColdTargetIsColdFromItsStart guards against a stand-in that is to be cold for a time and is warm
// at once, so that a measurement of cold targets shows nothing.
func TestColdTargetIsColdFromItsStart(t *testing.T) {
	target, err := StartTarget("t", "127.0.0.1:0", 1, Behavior{Cold: true, Slots: 1, WarmUp: WarmUp{AfterTime: time.Minute}})
	if err != nil {
		t.Fatal(err)
	}
	defer target.Stop()
	if r := target.Report(); !r.Cold || r.WarmUpTime != 0 {
		t.Errorf("report right after the start is %+v, want a cold target", r)
	}
}
