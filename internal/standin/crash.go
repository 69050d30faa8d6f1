package standin

import (
	"strings"
	"time"
)

// Crash makes a stand-in target end when it runs a body that contains Marker. All its
// connections break, and it is back as a new, cold incarnation after Down.
type Crash struct {
	Marker string
	Down   time.Duration
}

// crashes ends the target if the body is one that it dies of, and reports whether it did.
func (t *Target) crashes(body string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.behaviour.Crash
	if c.Marker == "" || !strings.Contains(body, c.Marker) {
		return false
	}
	t.deaths++
	t.restart(c.Down)
	t.cold.since = time.Now()
	return true
}

// Deaths returns how often a body has ended the target.
func (t *Target) Deaths() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deaths
}
