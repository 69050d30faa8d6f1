package note

import (
	"maps"
	"slices"
	"strings"

	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/release"
)

// Difference is one item that two states do not share.
type Difference struct {
	// Op is "added", "changed" or "withdrawn".
	Op   string `json:"op"`
	Item string `json:"item"`
	// Before and After are the lines of a changed item that differ.
	Before []string `json:"before,omitempty"`
	After  []string `json:"after,omitempty"`
}

// Diff returns the items in which two states differ, by kind and name. Either may be nil.
func Diff(before, after *release.State) []Difference {
	old, next := itemLines(before), itemLines(after)
	names := maps.Clone(old)
	maps.Copy(names, next)
	var list []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		was, had := old[name]
		is, has := next[name]
		switch {
		case !had:
			list = append(list, Difference{Op: "added", Item: name})
		case !has:
			list = append(list, Difference{Op: "withdrawn", Item: name})
		case !slices.Equal(was, is):
			list = append(list, Difference{Op: "changed", Item: name, Before: without(was, is), After: without(is, was)})
		}
	}
	return list
}

// itemLines returns the lines of each item of a state by its kind and name.
func itemLines(s *release.State) map[string][]string {
	items := map[string][]string{}
	if s == nil {
		return items
	}
	whole := control.Baseline(s)
	for i := range whole.Items {
		kind, name, write := describe(&whole.Items[i])
		var b strings.Builder
		write(&b)
		items[kind+" "+name] = strings.Split(strings.TrimSpace(b.String()), "\n")
	}
	return items
}

func without(lines, others []string) []string {
	return slices.DeleteFunc(slices.Clone(lines), func(l string) bool { return slices.Contains(others, l) })
}
