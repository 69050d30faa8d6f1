// Command pollentack runs and operates a query tier for sharded services. A host sends a
// caller's query to every shard of a service, merges the replies, and returns one answer
// with its actual shard coverage.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes of every command.
const (
	// exitFailed means that the command ran, and that its operation or check failed.
	exitFailed = 1
	// exitUsage means that the command line or a file named on it is invalid.
	exitUsage = 2
)

// errFailed makes a command exit with exitFailed and print no error: the command has
// already reported the failure.
var errFailed = errors.New("failed")

type cli struct {
	Demo       demoCmd            `cmd:"" help:"Run a platform, targets and hosts in one process and query them."`
	Serve      serveCmd           `cmd:"" help:"Run one entry host."`
	Gateway    gatewayCmd         `cmd:"" help:"Run one host on the users' platform, which serves routed requests."`
	Platform   platformStandinCmd `cmd:"" name:"platform-standin" help:"Run stand-ins of the users' platform and write settings for gateways."`
	Standin    standinCmd         `cmd:"" help:"Run a stand-in platform and stand-in targets."`
	Query      queryCmd           `cmd:"" help:"Send one query to a host and print the answer."`
	Ticket     ticketCmd          `cmd:"" help:"Get a ticket for a request that runs at most once."`
	Once       onceCmd            `cmd:"" help:"Send a request that runs at most once, or learn its outcome."`
	Load       loadCmd            `cmd:"" help:"Drive hosts with an open loop of queries and print a summary."`
	Status     statusCmd          `cmd:"" help:"Show what hosts have in force and what differs between them."`
	Drain      drainCmd           `cmd:"" help:"Ask a host to shut down gracefully."`
	Publish    publishCmd         `cmd:"" help:"Publish a note on a stand-in platform."`
	Settings   settingsCmd        `cmd:"" help:"Work with settings files."`
	Note       noteCmd            `cmd:"" help:"Work with release notes, offline."`
	Experiment experimentCmd      `cmd:"" help:"Run a measurement with its baseline and its bound."`
	Version    versionCmd         `cmd:"" help:"Print the version."`
}

func main() {
	handleSignals(os.Args[1:])
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code. Commands whose Run method takes
// an io.Writer print to stdout.
func run(args []string, stdout, stderr io.Writer) int {
	var c cli
	parser := kong.Must(&c,
		kong.Name("pollentack"),
		kong.Description("A query tier for sharded services.\n\nExit codes: 0 success, 1 the command ran and failed, 2 invalid command line or input file."),
		kong.UsageOnError(),
		kong.Writers(stdout, stderr),
		kong.BindTo(stdout, (*io.Writer)(nil)),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitUsage
			}
			os.Exit(code)
		}),
	)
	ctx, err := parser.Parse(args)
	parser.FatalIfErrorf(err)
	return exitCode(ctx.Run(), stderr)
}

func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return 0
	}
	if errors.Is(err, errFailed) {
		return exitFailed
	}
	printError(err, stderr)
	var usageErr *usageError
	if errors.As(err, &usageErr) {
		return exitUsage
	}
	return exitFailed
}

// printError prints an error, unless nobody reads stderr: that must not keep the process from ending.
func printError(err error, stderr io.Writer) {
	out, startErr := startHostLog(stderr)
	if startErr != nil {
		return
	}
	defer out.close()
	fmt.Fprintln(out, err)
}

// usageError is an error in the command line or an input file, as opposed to a failure at
// run time.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

// asUsageError wraps err in a usageError; it returns nil for a nil err.
func asUsageError(err error) error {
	if err == nil {
		return nil
	}
	return &usageError{err: err}
}
