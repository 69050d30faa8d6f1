package main

import (
	"encoding/json"
	"fmt"
	"os"

	"pollentack.example/pollentack/internal/edge/admin"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/node"
)

type statusCmd struct {
	Admin []string `arg:"" help:"Operator addresses of hosts, HOST:PORT."`
	JSON  bool     `help:"Print one JSON array."`
}

// Run asks each host; exit code 1 means that one did not answer or that hosts differ.
func (cmd *statusCmd) Run() error {
	client, err := callerclient.New()
	if err != nil {
		return err
	}
	defer client.Close()
	statuses := make([]node.Status, 0, len(cmd.Admin))
	failed := false
	for _, address := range cmd.Admin {
		var s node.Status
		if err := client.Get(address, admin.PathStatus, &s); err != nil {
			fmt.Fprintln(os.Stderr, err)
			failed = true
			continue
		}
		statuses = append(statuses, s)
	}
	if cmd.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(statuses); err != nil {
			return fmt.Errorf("print status: %w", err)
		}
	} else {
		printStatuses(statuses)
	}
	if failed || differ(statuses) {
		return errFailed
	}
	return nil
}

func differ(statuses []node.Status) bool {
	for i := 1; i < len(statuses); i++ {
		if statuses[i].Note != statuses[0].Note {
			return true
		}
	}
	return false
}

func printStatuses(statuses []node.Status) {
	fmt.Printf("%-12s %-14s %6s %9s %8s %9s %s\n", "HOST", "ZONE", "NOTE", "REJECTED", "QUERIES", "REFUSALS", "IN PROGRESS")
	for i := range statuses {
		s := &statuses[i]
		fmt.Printf("%-12s %-14s %6d %9d %8d %9d %d\n", s.Host, s.Zone, s.Note, len(s.Rejected), s.Counters.Queries, s.Counters.Refusals, s.InProgress)
	}
	if differ(statuses) {
		fmt.Println("hosts differ: not all have the same note in force")
	}
}
