package node

import (
	"testing"
	"time"
)

// TestReady checks that a host becomes ready once a note is in force and the facts of its
// peers have been received, and that peers that never answer delay it by peerStateTimeout
// only.
func TestReady(t *testing.T) {
	tests := []struct {
		name       string
		note       uint64
		settled    bool
		sinceStart time.Duration
		want       bool
	}{
		{"no note in force", 0, true, time.Minute, false},
		{"facts of peers not received", 3, false, peerStateTimeout / 2, false},
		{"facts of peers received", 3, true, 0, true},
		{"peers do not answer", 3, false, peerStateTimeout, true},
	}
	for _, tt := range tests {
		if got := ready(tt.note, tt.settled, tt.sinceStart); got != tt.want {
			t.Errorf("%s: ready %v, want %v", tt.name, got, tt.want)
		}
	}
}
