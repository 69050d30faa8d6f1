package main

import (
	"bytes"
	"strings"
	"testing"

	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/node"
)

func TestStatusShowsDifferences(t *testing.T) {
	refused := []control.Rejection{{Number: 9, Faults: []release.Fault{{Line: 4, Item: "target t", Key: "service", Reason: "names nothing"}}}}
	statuses := []node.Status{
		{Host: "host-1", Note: 8, Rejected: refused},
		{Host: "host-2", Note: 8, Rejected: refused},
		{Host: "host-3", Note: 7, Isolated: true},
	}
	want := []string{
		"the note in force: 7 on host-3; 8 on host-1, host-2",
		"notes refused: [9] on host-1, host-2; [] on host-3",
		"state: isolated on host-3; serving on host-1, host-2",
	}
	if got := differences(statuses); strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("differences are\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if got := differences(statuses[:2]); len(got) != 0 {
		t.Errorf("equal hosts differ in %v", got)
	}
	var out bytes.Buffer
	printStatuses(&out, statuses)
	if line := "note 9 refused: line 4: [target t] service: names nothing\n"; strings.Count(out.String(), line) != 1 {
		t.Errorf("status must contain %q exactly once:\n%s", line, out.String())
	}
}
