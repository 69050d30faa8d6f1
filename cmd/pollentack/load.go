package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"pollentack.example/pollentack/internal/load"
)

type loadCmd struct {
	Settings string `arg:"" help:"Load settings (INI): fronts, rate, mix of services and callers."`
	JSON     bool   `help:"Print the summary as one JSON object and nothing else."`
	Queries  int    `help:"Queries to send, in place of the file's."`
	Quiet    bool   `help:"Print no progress on standard error."`
}

// progressInterval is the least time between two lines of progress.
const progressInterval = time.Second

// Run drives the hosts with an open loop; exit code 1 means that a query got no answer
// at all. Refusals are counted by their codes and do not fail the run.
func (cmd *loadCmd) Run(stdout io.Writer) error {
	c, err := load.ReadConfig(cmd.Settings)
	if err != nil {
		return usage(err)
	}
	if cmd.Queries > 0 {
		c.Queries = cmd.Queries
	}
	if !cmd.Quiet {
		c.OnProgress = progress(os.Stderr, c.Queries)
	}
	report, err := load.Run(c)
	if err != nil {
		return err
	}
	if err := printReport(stdout, report, cmd.JSON); err != nil {
		return err
	}
	if report.Failed > 0 {
		return errFailed
	}
	return nil
}

// progress returns what prints a line at most every progressInterval.
func progress(w io.Writer, queries int) func(ended, failed int) {
	last := time.Now()
	return func(ended, failed int) {
		if time.Since(last) < progressInterval {
			return
		}
		last = time.Now()
		fmt.Fprintf(w, "%d of %d queries ended, %d failed\n", ended, queries, failed)
	}
}

func printReport(w io.Writer, r *load.Report, asJSON bool) error {
	if asJSON {
		return printJSON(w, r)
	}
	fmt.Fprintf(w, "queries     %d, answered %d, failed %d\n", r.Queries, r.Answered, r.Failed)
	fmt.Fprintf(w, "latency     p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n", r.P50MS, r.P99MS, r.P999MS)
	fmt.Fprintf(w, "coverage    %.4f\n", r.CoverageMean)
	fmt.Fprintf(w, "extra load  %.4f\n", r.ExtraLoad)
	fmt.Fprintf(w, "refusals    %v\n", r.Refusals)
	return nil
}
