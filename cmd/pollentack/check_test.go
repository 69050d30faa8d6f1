package main

import (
	"bytes"
	"strings"
	"testing"
)

// TestSettingsCheckReportsEveryError runs the command on a file with three errors.
func TestSettingsCheckReportsEveryError(t *testing.T) {
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
		t.Fatalf("command printed %d lines, want %d:\n%s", len(lines), len(want), stderr.String())
	}
	for i := range want {
		if !strings.HasPrefix(lines[i], want[i]) {
			t.Errorf("line %d is %q, want %q", i+1, lines[i], want[i])
		}
	}
}

// TestNotePlanAndDiff runs "note plan" and "note diff" on the notes of the Dakar example.
func TestNotePlanAndDiff(t *testing.T) {
	files := []string{"../../examples/dakar/note-1.ini", "../../examples/dakar/note-2.ini"}
	var plan, diff, stderr bytes.Buffer
	if code := run(append([]string{"note", "plan", "--json"}, files...), &plan, &stderr); code != 0 {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	for _, want := range []string{
		`"from":1,"to":2`, `{"name":"fee-desk-1","reason":"is leaving"}`,
		`{"name":"fee-desk-4","reason":"availability zone thies-a is out"}`,
		`"callers_losing":[{"name":"driver-phones"`, `"shards_unserved":[]`,
	} {
		if !strings.Contains(plan.String(), want) {
			t.Errorf("plan does not contain %s:\n%s", want, plan.String())
		}
	}
	if code := run(append([]string{"note", "diff"}, files...), &diff, &stderr); code != 0 {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	want := "changed   target fee-desk-1\n  - leaving = false\n  + leaving = true\n"
	if !strings.Contains(diff.String(), want) || strings.Count(diff.String(), "changed") != 3 {
		t.Errorf("diff is\n%s\nwant three changes, including\n%s", diff.String(), want)
	}
}
