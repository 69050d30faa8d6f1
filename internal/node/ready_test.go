package node

import (
	"testing"
	"time"
)

func TestHostIsReadyOnceItKnowsItsPeers(t *testing.T) {
	tests := []struct {
		name       string
		note       uint64
		settled    bool
		sinceStart time.Duration
		want       bool
	}{
		{"nothing in force", 0, true, time.Minute, false},
		{"peers not heard", 3, false, settleLimit / 2, false},
		{"peers heard", 3, true, 0, true},
		{"peers that never answer", 3, false, settleLimit, true},
	}
	for _, tt := range tests {
		if got := ready(tt.note, tt.settled, tt.sinceStart); got != tt.want {
			t.Errorf("%s: ready %v, want %v", tt.name, got, tt.want)
		}
	}
}
