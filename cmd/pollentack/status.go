package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"pollentack.example/pollentack/internal/edge/admin"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/node"
)

type statusCmd struct {
	Admin []string      `arg:"" help:"Operator addresses of hosts, HOST:PORT."`
	JSON  bool          `help:"Print one JSON array."`
	Wait  time.Duration `help:"Longest wait until all hosts answer and agree, as after a note was published."`
}

// statusPollInterval is the time between two rounds of questions while a status command waits.
const statusPollInterval = 200 * time.Millisecond

// Run fetches the status of each host and prints all statuses and the differences between
// them. Exit code 1 means that a host did not answer or that hosts differ.
func (cmd *statusCmd) Run(stdout io.Writer) error {
	client, err := callerclient.New()
	if err != nil {
		return err
	}
	defer client.Close()
	deadline := time.Now().Add(cmd.Wait)
	statuses, failures := cmd.fetch(client)
	for (len(failures) > 0 || len(differences(statuses)) > 0) && time.Now().Add(statusPollInterval).Before(deadline) {
		time.Sleep(statusPollInterval)
		statuses, failures = cmd.fetch(client)
	}
	for _, err := range failures {
		fmt.Fprintln(os.Stderr, err)
	}
	if cmd.JSON {
		if err := printJSON(stdout, statuses); err != nil {
			return err
		}
	} else {
		printStatuses(stdout, statuses)
	}
	if len(failures) > 0 || len(differences(statuses)) > 0 {
		return errFailed
	}
	return nil
}

// fetch returns the statuses of the hosts that answer, and the errors of the others.
func (cmd *statusCmd) fetch(client *callerclient.Client) (statuses []node.Status, failures []error) {
	statuses = make([]node.Status, 0, len(cmd.Admin))
	for _, address := range cmd.Admin {
		var s node.Status
		if err := client.Get(address, admin.PathStatus, &s); err != nil {
			failures = append(failures, err)
			continue
		}
		statuses = append(statuses, s)
	}
	return statuses, failures
}

func printStatuses(w io.Writer, statuses []node.Status) {
	const row = "%-14s %-16s %6v %9v %-10s %6v %9v %9v %12v\n"
	fmt.Fprintf(w, row, "HOST", "ZONE", "NOTE", "REJECTED", "STATE", "PEERS", "QUERIES", "REFUSALS", "IN PROGRESS")
	for i := range statuses {
		s := &statuses[i]
		fmt.Fprintf(w, row, s.Host, s.Zone, s.Note, len(s.Rejected), servingState(s), len(s.Peers), s.Counters.Queries, s.Counters.Refusals, s.InProgress)
	}
	for _, line := range differences(statuses) {
		fmt.Fprintf(w, "hosts differ in %s\n", line)
	}
	printRejected(w, statuses)
}

// printRejected prints each rejected note once, with the reasons for its rejection.
func printRejected(w io.Writer, statuses []node.Status) {
	seen := map[uint64]bool{}
	for i := range statuses {
		for _, r := range statuses[i].Rejected {
			if seen[r.Number] {
				continue
			}
			seen[r.Number] = true
			for _, f := range r.Faults {
				fmt.Fprintf(w, "note %d refused: line %d: [%s] %s: %s\n", r.Number, f.Line, f.Item, f.Key, f.Reason)
			}
		}
	}
}

// servingState returns whether the host accepts queries, and if not, why.
func servingState(s *node.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Isolated:
		return "isolated"
	case s.Note == 0:
		return "not ready"
	}
	return "serving"
}

// comparedProperty is a property that should have the same value on all hosts.
type comparedProperty struct {
	name  string
	value func(*node.Status) string
}

var comparedProperties = []comparedProperty{
	{"the note in force", func(s *node.Status) string { return fmt.Sprint(s.Note) }},
	{"notes refused", func(s *node.Status) string { return fmt.Sprint(rejectedNumbers(s)) }},
	{"notes that wait for their predecessor", func(s *node.Status) string { return fmt.Sprint(s.Waiting) }},
	{"state", servingState},
	{"the number of peers", func(s *node.Status) string { return fmt.Sprint(len(s.Peers)) }},
}

func rejectedNumbers(s *node.Status) []uint64 {
	numbers := make([]uint64, len(s.Rejected))
	for i := range s.Rejected {
		numbers[i] = s.Rejected[i].Number
	}
	return numbers
}

// differences returns a line for each compared property that is not the same on all hosts,
// with its values and the hosts that have each of them.
func differences(statuses []node.Status) []string {
	var lines []string
	for _, property := range comparedProperties {
		hosts := map[string][]string{}
		var values []string
		for i := range statuses {
			v := property.value(&statuses[i])
			if hosts[v] == nil {
				values = append(values, v)
			}
			hosts[v] = append(hosts[v], statuses[i].Host)
		}
		if len(values) < 2 {
			continue
		}
		slices.Sort(values)
		parts := make([]string, len(values))
		for i, v := range values {
			parts[i] = fmt.Sprintf("%s on %s", v, strings.Join(hosts[v], ", "))
		}
		lines = append(lines, property.name+": "+strings.Join(parts, "; "))
	}
	return lines
}
