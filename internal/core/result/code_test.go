package result

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestPublishedTable checks that docs/RESULT-CODES.md and Table have the same rows.
func TestPublishedTable(t *testing.T) {
	text, err := os.ReadFile("../../../docs/RESULT-CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| code") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	if len(rows) != len(Table) {
		t.Fatalf("docs/RESULT-CODES.md has %d codes, Table has %d", len(rows), len(Table))
	}
	for i, info := range Table {
		want := fmt.Sprintf("| %d | %s | %d | %s |", info.Code, info.Name, info.HTTP, info.Meaning)
		if rows[i] != want {
			t.Errorf("row %d is %q, want %q", i, rows[i], want)
		}
	}
}
