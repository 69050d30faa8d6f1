package note

import (
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/inifile"
)

// FileFaults converts faults of release.Apply to faults of the file with the given name.
func FileFaults(name string, faults []release.Fault) inifile.Faults {
	list := make(inifile.Faults, len(faults))
	for i, f := range faults {
		list[i] = inifile.Fault{File: name, Line: f.Line, Section: f.Item, Key: f.Key, Reason: f.Reason}
	}
	return list
}

// ReleaseFaults converts faults of a file to the fault type of package release.
func ReleaseFaults(faults inifile.Faults) []release.Fault {
	list := make([]release.Fault, len(faults))
	for i, f := range faults {
		list[i] = release.Fault{Line: f.Line, Item: f.Section, Key: f.Key, Reason: f.Reason}
	}
	return list
}
