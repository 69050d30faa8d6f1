// Package inifile is a strict INI parser: it keeps the line number of every section and
// key, and reports all faults instead of only the first.
package inifile

import (
	"bufio"
	"bytes"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Fault is one validation error in a file.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Reason  string `json:"reason"`
}

// String returns the fault as file:line: [section] key: reason.
func (f Fault) String() string {
	position := fmt.Sprintf("%s:%d:", f.File, f.Line)
	if f.Section != "" {
		position += fmt.Sprintf(" [%s]", f.Section)
	}
	if f.Key != "" {
		position += " " + f.Key + ":"
	}
	return position + " " + f.Reason
}

// Faults are all validation errors in a file.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// File is a parsed INI text.
type File struct {
	Name     string
	Sections []*Section
	Faults   Faults
}

// Section is one section of a file.
type Section struct {
	Name string
	Line int
	keys map[string]entry
	used map[string]bool
	file *File
}

type entry struct {
	value string
	line  int
}

// Parse parses text and records syntax errors, duplicate sections and duplicate keys as
// faults. name is the file name in faults.
func Parse(name string, text []byte) *File {
	f := &File{Name: name}
	options := ini.LoadOptions{IgnoreContinuation: true, SkipUnrecognizableLines: true}
	parsed, err := ini.LoadSources(options, text)
	if err != nil {
		f.Faults = append(f.Faults, Fault{File: name, Line: 1, Reason: err.Error()})
		return f
	}
	f.index(text, parsed)
	return f
}

// index scans the text for line numbers and takes the values from the parsed file.
func (f *File) index(text []byte, parsed *ini.File) {
	var section *Section
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, len(text)+1)
	for line := 1; scanner.Scan(); line++ {
		raw := strings.TrimSpace(scanner.Text())
		switch {
		case raw == "" || raw[0] == '#' || raw[0] == ';':
		case raw[0] == '[':
			section = f.addSection(raw, line)
		default:
			f.addKey(section, parsed, raw, line)
		}
	}
}

func (f *File) addSection(raw string, line int) *Section {
	end := strings.IndexByte(raw, ']')
	if end < 0 {
		f.addFault(line, "", "", "section has no closing bracket")
		return nil
	}
	if rest := strings.TrimSpace(raw[end+1:]); rest != "" && rest[0] != '#' && rest[0] != ';' {
		f.addFault(line, "", "", fmt.Sprintf("unexpected text %q after the closing bracket", rest))
	}
	name := strings.TrimSpace(raw[1:end])
	for _, s := range f.Sections {
		if s.Name == name {
			f.addFault(line, name, "", fmt.Sprintf("section repeats the one on line %d", s.Line))
		}
	}
	s := &Section{Name: name, Line: line, keys: map[string]entry{}, used: map[string]bool{}, file: f}
	f.Sections = append(f.Sections, s)
	return s
}

func (f *File) addKey(section *Section, parsed *ini.File, raw string, line int) {
	separator := strings.IndexAny(raw, "=:")
	if separator < 0 {
		f.addFault(line, "", "", fmt.Sprintf("%q is neither a section nor a key with a value", raw))
		return
	}
	key := strings.TrimSpace(raw[:separator])
	if section == nil {
		f.addFault(line, "", key, "key appears before the first section")
		return
	}
	if old, ok := section.keys[key]; ok {
		f.addFault(line, section.Name, key, fmt.Sprintf("key repeats the one on line %d", old.line))
		return
	}
	if strings.ContainsAny(raw, "\"`") {
		f.addFault(line, section.Name, key, "quotes are not allowed")
		return
	}
	value := parsed.Section(section.Name).Key(key).Value()
	section.keys[key] = entry{value: value, line: line}
}

func (f *File) addFault(line int, section, key, reason string) {
	f.Faults = append(f.Faults, Fault{File: f.Name, Line: line, Section: section, Key: key, Reason: reason})
}

// Section returns the first section with the given name, or nil.
func (f *File) Section(name string) *Section {
	for _, s := range f.Sections {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// AddFileFault adds a fault that concerns the whole file, at the line of its last section.
func (f *File) AddFileFault(reason string) {
	line := 1
	if len(f.Sections) > 0 {
		line = f.Sections[len(f.Sections)-1].Line
	}
	f.addFault(line, "", "", reason)
}

// AddUnknownSection adds a fault for a section that the caller does not support. known lists
// the supported sections.
func (f *File) AddUnknownSection(s *Section, known string) {
	f.addFault(s.Line, s.Name, "", "unknown section; known are "+known)
}

// Err returns the faults sorted by line as an error, or nil if there are none.
func (f *File) Err() error {
	if len(f.Faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.Faults, func(a, b Fault) int { return a.Line - b.Line })
	return f.Faults
}

// EmptySection returns a section without keys, which stands for a missing section: reading
// required keys from it adds faults to f.
func EmptySection(f *File, name string) *Section {
	return &Section{Name: name, Line: 1, keys: map[string]entry{}, used: map[string]bool{}, file: f}
}
