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
		{"no guard", engine.Guard{}, true, false},
		{"cold target", engine.Guard{NotAfter: 1}, false, true},
		{"incarnation check on an existing connection", engine.Guard{CheckIncarnation: true}, false, false},
		{"incarnation check on a new connection", engine.Guard{CheckIncarnation: true}, true, true},
		{"probe for a body that has not yet succeeded, on an existing connection", engine.Guard{ProbeConnection: true}, false, true},
	}
	for _, tt := range tests {
		if got := needsCheck(&tt.guard, tt.dials); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}
