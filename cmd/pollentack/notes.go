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

// Run folds the notes and prints what the last one would change for targets and callers.
func (cmd *notePlanCmd) Run(stdout io.Writer) error {
	before, after, err := foldLast(cmd.Files)
	if err != nil {
		return usage(err)
	}
	plan := release.MakePlan(before, after)
	if cmd.JSON {
		return printJSON(stdout, plan)
	}
	fmt.Fprintf(stdout, "note %d to note %d\n", plan.From, plan.To)
	printPlan(stdout, "targets gaining work", plan.Gaining)
	printPlan(stdout, "targets losing work", plan.Losing)
	printPlan(stdout, "callers gaining access", plan.CallersGaining)
	printPlan(stdout, "callers losing access", plan.CallersLosing)
	printPlan(stdout, "shards left unserved", plan.Unserved)
	return nil
}

func printPlan(w io.Writer, title string, lines []release.PlanLine) {
	fmt.Fprintf(w, "%s: %d\n", title, len(lines))
	for _, l := range lines {
		fmt.Fprintf(w, "  %s: %s\n", l.Name, l.Reason)
	}
}

type noteDiffCmd struct {
	Files []string `arg:"" help:"Note files (INI) in their order, a baseline first; the last is compared with those before it."`
	JSON  bool     `help:"Print the differences as one JSON array."`
}

// Run folds the notes and prints the items that the last one adds, changes and withdraws.
func (cmd *noteDiffCmd) Run(stdout io.Writer) error {
	before, after, err := foldLast(cmd.Files)
	if err != nil {
		return usage(err)
	}
	list := note.Diff(before, after)
	if cmd.JSON {
		return printJSON(stdout, list)
	}
	for _, d := range list {
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

// foldLast folds the files, and returns the states before and after the last.
func foldLast(paths []string) (before, after *release.State, err error) {
	for _, path := range paths {
		next, err := foldFile(after, path)
		if err != nil {
			return nil, nil, err
		}
		before, after = after, next
	}
	return before, after, nil
}

func printJSON(w io.Writer, value any) error {
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
