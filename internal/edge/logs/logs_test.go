package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestRepeatedEventIsLimitedAndCounted logs one event more often than its limit. The excess
// lines must be suppressed and their number logged in the next window, and another event must
// still be written.
func TestRepeatedEventIsLimitedAndCounted(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	log := zerolog.New(&limiter{out: &out, linesPerWindow: linesPerWindow, now: func() time.Time { return now }, events: map[string]*windowCount{}})
	for range 1000 {
		log.Warn().Str("event", "link_refused").Send()
	}
	log.Warn().Str("event", "note_rejected").Send()
	if got := strings.Count(out.String(), "link_refused"); got != linesPerWindow {
		t.Errorf("%d lines written, want %d", got, linesPerWindow)
	}
	if !strings.Contains(out.String(), "note_rejected") {
		t.Error("another event was suppressed too")
	}
	out.Reset()
	now = now.Add(window)
	log.Warn().Str("event", "link_refused").Send()
	if want := `"event":"log_limited","of":"link_refused","left_out":980`; !strings.Contains(out.String(), want) {
		t.Errorf("log is\n%s\nwant %s", out.String(), want)
	}
}
