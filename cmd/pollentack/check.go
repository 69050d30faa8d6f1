package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/note"
	"pollentack.example/pollentack/internal/settings"
)

type settingsCmd struct {
	Check settingsCheckCmd `cmd:"" help:"Check settings files and print every fault."`
}

type settingsCheckCmd struct {
	Files []string `arg:"" help:"Settings files (INI)."`
}

// Run checks each file and reports every error; exit code 2 means that at least one file is
// invalid.
func (cmd *settingsCheckCmd) Run(stdout io.Writer) error {
	var errs []error
	for _, path := range cmd.Files {
		if _, err := settings.Load(path); err != nil {
			errs = append(errs, err)
			continue
		}
		fmt.Fprintf(stdout, "%s: ok\n", path)
	}
	return asUsageError(errors.Join(errs...))
}

type noteCmd struct {
	Check noteCheckCmd `cmd:"" help:"Fold notes in order and print every fault."`
	Plan  notePlanCmd  `cmd:"" help:"Print what the last note would change: targets gaining and losing work, callers losing access."`
	Diff  noteDiffCmd  `cmd:"" help:"Print the items that the last note adds, changes and withdraws."`
}

type noteCheckCmd struct {
	Files []string `arg:"" help:"Note files (INI) in their order, a baseline first."`
}

// Run applies the notes in order, without a host; exit code 2 means that a host would
// reject one of them.
func (cmd *noteCheckCmd) Run(stdout io.Writer) error {
	var state *release.State
	for _, path := range cmd.Files {
		next, err := applyNoteFile(state, path)
		if err != nil {
			return asUsageError(err)
		}
		state = next
		fmt.Fprintf(stdout, "%s: ok, note %d\n", path, state.Number)
	}
	return nil
}

// applyNoteFile parses a note file and returns the state after applying the note to state,
// which is nil before the first note.
func applyNoteFile(state *release.State, path string) (*release.State, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read note: %w", err)
	}
	n, err := note.Parse(path, text)
	if err != nil {
		return nil, err
	}
	next, faults := release.Apply(state, n)
	if len(faults) > 0 {
		return nil, note.FileFaults(path, faults)
	}
	return next, nil
}
