package gateway

import "testing"

// TestCallersLeaveDescriptors guards against callers that take every descriptor, so that no target, store or
// host can be reached.
func TestCallersLeaveDescriptors(t *testing.T) {
	for descriptors, want := range map[int]int{0: 0, 1: 1, 100: 37, 400: 150, 4100: 2925} {
		if got := maxCallerConnections(descriptors); got != want {
			t.Errorf("%d descriptors: %d connections, want %d", descriptors, got, want)
		}
	}
}
