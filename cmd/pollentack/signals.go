package main

import (
	"os"
	"os/signal"
	"syscall"
)

// stopSignalsOfHost and reloadSignalsOfHost receive the signals of a host process. A signal that
// finds its channel full is lost, so that each kind has its own: of stops, the second one counts, too.
var (
	stopSignalsOfHost   = make(chan os.Signal, 2)
	reloadSignalsOfHost = make(chan os.Signal, 1)
)

// handleSignals makes the commands that run a host receive their signals. It is the first act of
// the process: until then a SIGTERM ends it with the signal's default action.
func handleSignals(args []string) {
	if len(args) == 0 {
		return
	}
	switch args[0] {
	case "gateway":
		signal.Notify(reloadSignalsOfHost, syscall.SIGHUP)
	case "serve":
	default:
		return
	}
	signal.Notify(stopSignalsOfHost, os.Interrupt, syscall.SIGTERM)
	// A write to a log whose reader has gone fails, and the line is counted as dropped.
	signal.Ignore(syscall.SIGPIPE)
}

// stopRequested returns a stop signal that has arrived already, or nil.
func stopRequested(stop <-chan os.Signal) os.Signal {
	select {
	case sig := <-stop:
		return sig
	default:
		return nil
	}
}

// stopSignals returns a channel that receives SIGINT and SIGTERM.
func stopSignals() <-chan os.Signal {
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	return ch
}
