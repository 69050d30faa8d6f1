package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"pollentack.example/pollentack/internal/loadgen"
)

type loadCmd struct {
	Settings string `arg:"" help:"Load settings (INI): fronts, rate, mix of services and callers."`
	JSON     bool   `help:"Print the summary as one JSON object and nothing else."`
	Queries  int    `help:"Queries to send, in place of the file's."`
	Quiet    bool   `help:"Print no progress on standard error."`
}

// progressInterval is the minimum time between two progress lines.
const progressInterval = time.Second

// Run sends open-loop load to the hosts. Exit code 1 means that at least one query got no
// answer. Refusals are answers: they are counted by result code and do not fail the run.
func (cmd *loadCmd) Run(stdout io.Writer) error {
	c, err := loadgen.ReadConfig(cmd.Settings)
	if err != nil {
		return asUsageError(err)
	}
	if cmd.Queries > 0 {
		c.Queries = cmd.Queries
	}
	if !cmd.Quiet {
		c.OnProgress = progressPrinter(os.Stderr, c.Queries)
	}
	report, err := loadgen.Run(c)
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

// progressPrinter returns a callback that writes a progress line to w at most once per
// progressInterval.
func progressPrinter(w io.Writer, queries int) func(ended, failed int) {
	lastPrinted := time.Now()
	return func(ended, failed int) {
		if time.Since(lastPrinted) < progressInterval {
			return
		}
		lastPrinted = time.Now()
		fmt.Fprintf(w, "%d of %d queries finished, %d failed\n", ended, queries, failed)
	}
}

func printReport(w io.Writer, r *loadgen.Report, asJSON bool) error {
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
