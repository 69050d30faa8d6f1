package note

import (
	"maps"
	"slices"
	"strings"

	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/release"
)

// Difference is one item that differs between two states.
type Difference struct {
	// Op is "added", "changed" or "withdrawn".
	Op   string `json:"op"`
	Item string `json:"item"`
	// Before and After are the lines of a changed item that are only in the old and only in
	// the new state.
	Before []string `json:"before,omitempty"`
	After  []string `json:"after,omitempty"`
}

// Diff returns the items that differ between two states, sorted by kind and name. Either
// state may be nil.
func Diff(before, after *release.State) []Difference {
	old, current := itemLines(before), itemLines(after)
	names := maps.Clone(old)
	maps.Copy(names, current)
	var list []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		oldLines, inOld := old[name]
		newLines, inNew := current[name]
		switch {
		case !inOld:
			list = append(list, Difference{Op: "added", Item: name})
		case !inNew:
			list = append(list, Difference{Op: "withdrawn", Item: name})
		case !slices.Equal(oldLines, newLines):
			list = append(list, Difference{Op: "changed", Item: name, Before: linesNotIn(oldLines, newLines), After: linesNotIn(newLines, oldLines)})
		}
	}
	return list
}

// itemLines returns the formatted lines of each item of a state, keyed by kind and name.
func itemLines(s *release.State) map[string][]string {
	items := map[string][]string{}
	if s == nil {
		return items
	}
	baseline := control.BaselineOf(s)
	for i := range baseline.Items {
		kind, name, write := itemParts(&baseline.Items[i])
		var b strings.Builder
		write(&b)
		items[kind+" "+name] = strings.Split(strings.TrimSpace(b.String()), "\n")
	}
	return items
}

// linesNotIn returns the lines that are not in others.
func linesNotIn(lines, others []string) []string {
	return slices.DeleteFunc(slices.Clone(lines), func(l string) bool { return slices.Contains(others, l) })
}
