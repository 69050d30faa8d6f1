package targetclient

import (
	"testing"

	"pollentack.example/pollentack/internal/core/engine"
)

func TestNeedsCheck(t *testing.T) {
	tests := []struct {
		name  string
		guard engine.Guard
		dials bool
		want  bool
	}{
		{"nothing asks for it", engine.Guard{}, true, false},
		{"a cold target", engine.Guard{NotAfter: 1}, false, true},
		{"an incarnation on a kept connection", engine.Guard{Check: true}, false, false},
		{"an incarnation on a new connection", engine.Guard{Check: true}, true, true},
		{"a body that is not known to run clean", engine.Guard{Probe: true}, false, true},
	}
	for _, tt := range tests {
		if got := needsCheck(&tt.guard, tt.dials); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}
