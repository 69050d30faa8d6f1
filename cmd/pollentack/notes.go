package main

import (
	"encoding/json"
	"fmt"
	"io"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/note"
)

type notePlanCmd struct {
	Files []string `arg:"" help:"Note files (INI) in their order, a baseline first; the last is the one to plan."`
	JSON  bool     `help:"Print the plan as one JSON object."`
}

// Run applies the notes in order and prints the effect of the last one on targets, callers
// and shards.
func (cmd *notePlanCmd) Run(stdout io.Writer) error {
	before, after, err := applyNotes(cmd.Files)
	if err != nil {
		return asUsageError(err)
	}
	plan := release.NewPlan(before, after)
	if cmd.JSON {
		return printJSON(stdout, plan)
	}
	fmt.Fprintf(stdout, "note %d to note %d\n", plan.From, plan.To)
	printPlanSection(stdout, "targets gaining work", plan.TargetsGaining)
	printPlanSection(stdout, "targets losing work", plan.TargetsLosing)
	printPlanSection(stdout, "callers gaining access", plan.CallersGaining)
	printPlanSection(stdout, "callers losing access", plan.CallersLosing)
	printPlanSection(stdout, "shards left unserved", plan.ShardsUnserved)
	return nil
}

func printPlanSection(w io.Writer, title string, lines []release.PlanEntry) {
	fmt.Fprintf(w, "%s: %d\n", title, len(lines))
	for _, l := range lines {
		fmt.Fprintf(w, "  %s: %s\n", l.Name, l.Reason)
	}
}

type noteDiffCmd struct {
	Files []string `arg:"" help:"Note files (INI) in their order, a baseline first; the last is compared with those before it."`
	JSON  bool     `help:"Print the differences as one JSON array."`
}

// Run applies the notes in order and prints the items that the last one adds, changes and
// withdraws.
func (cmd *noteDiffCmd) Run(stdout io.Writer) error {
	before, after, err := applyNotes(cmd.Files)
	if err != nil {
		return asUsageError(err)
	}
	changes := note.Diff(before, after)
	if cmd.JSON {
		return printJSON(stdout, changes)
	}
	for _, d := range changes {
		fmt.Fprintf(stdout, "%-9s %s\n", d.Op, d.Item)
		for _, line := range d.Before {
			fmt.Fprintf(stdout, "  - %s\n", line)
		}
		for _, line := range d.After {
			fmt.Fprintf(stdout, "  + %s\n", line)
		}
	}
	return nil
}

// applyNotes applies the note files in order and returns the states before and after the
// last one.
func applyNotes(paths []string) (before, after *release.State, err error) {
	for _, path := range paths {
		next, err := applyNoteFile(after, path)
		if err != nil {
			return nil, nil, err
		}
		before, after = after, next
	}
	return before, after, nil
}

func printJSON(w io.Writer, value any) error {
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return fmt.Errorf("print JSON: %w", err)
	}
	return nil
}
