package main

import (
	"encoding/json"
	"fmt"
	"os"

	"pollentack.example/pollentack/internal/experiment"
)

type experimentCmd struct {
	Name string `arg:"" optional:"" help:"Experiment to run."`
	Seed uint64 `default:"1" help:"Seed of the run."`
	JSON bool   `help:"Print one JSON object."`
	List bool   `help:"Explain each experiment in a line."`
}

// Run runs one experiment and prints its outcome as JSON, or lists all experiments. Exit
// code 1 means that the outcome violates the experiment's bound.
func (cmd *experimentCmd) Run() error {
	if cmd.List || cmd.Name == "" {
		for _, e := range experiment.All() {
			fmt.Printf("%-10s %s\n", e.Name, e.Summary)
		}
		return nil
	}
	out, err := experiment.Run(cmd.Name, cmd.Seed)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	if !cmd.JSON {
		encoder.SetIndent("", "  ")
	}
	if err := encoder.Encode(out); err != nil {
		return fmt.Errorf("print outcome: %w", err)
	}
	if !out.Holds {
		return errFailed
	}
	return nil
}
