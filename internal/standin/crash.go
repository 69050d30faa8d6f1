package standin

import (
	"strings"
	"time"
)

// Crash makes a stand-in target crash when it runs a request whose body contains Marker.
// All connections of the target close, and it listens again as a new, cold incarnation
// after Downtime. An empty Marker disables it.
type Crash struct {
	Marker   string
	Downtime time.Duration
}

// crashIfMarked crashes the target if body contains the marker, and reports whether it did.
func (t *Target) crashIfMarked(body string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.behavior.Crash
	if c.Marker == "" || !strings.Contains(body, c.Marker) {
		return false
	}
	t.crashCount++
	t.restartLocked(c.Downtime)
	t.cold.start = time.Now()
	return true
}

// CrashCount returns how often the target has crashed because of a request body.
func (t *Target) CrashCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashCount
}
