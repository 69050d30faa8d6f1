package main

import (
	"bytes"
	"strings"
	"testing"
)

// TestSettingsCheckNamesEveryFault checks the command on a file with three faults.
func TestSettingsCheckNamesEveryFault(t *testing.T) {
	const path = "../../internal/settings/testdata/broken.ini"
	var stdout, stderr bytes.Buffer
	if code := run([]string{"settings", "check", path}, &stdout, &stderr); code != exitUsage {
		t.Errorf("exit code %d, want %d", code, exitUsage)
	}
	want := []string{
		path + `:8: [listen] admin: "localhost:7311" is not an address; allowed is IP:PORT`,
		path + `:13: [platform] poll: "10" is not a duration with a unit`,
		path + `:16: [limits] querys: unknown key; known are body-bytes, connections, queries`,
	}
	lines := strings.Split(strings.TrimSpace(stderr.String()), "\n")
	if len(lines) != len(want) {
		t.Fatalf("%d lines, want %d:\n%s", len(lines), len(want), stderr.String())
	}
	for i := range want {
		if !strings.HasPrefix(lines[i], want[i]) {
			t.Errorf("line %d is %q, want %q", i+1, lines[i], want[i])
		}
	}
}
