package main

import (
	"os"
	"os/signal"
	"syscall"
)

// hostSignals receives the signals of a host process.
var hostSignals = make(chan os.Signal, 4)

// handleSignals makes the commands that run a host receive signals on hostSignals. It is the
// first act of the process: until then a SIGTERM ends it with the signal's default action.
func handleSignals(args []string) {
	if len(args) == 0 {
		return
	}
	switch args[0] {
	case "gateway":
		signal.Notify(hostSignals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	case "serve":
		signal.Notify(hostSignals, os.Interrupt, syscall.SIGTERM)
	default:
		return
	}
	// A write to a log whose reader has gone fails, and the line is counted as dropped.
	signal.Ignore(syscall.SIGPIPE)
}

// stopRequested returns a stop signal that has arrived already, or nil. Requests to reload are
// dropped: the settings have just been read.
func stopRequested(signals <-chan os.Signal) os.Signal {
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return sig
			}
		default:
			return nil
		}
	}
}

// stopSignals returns a channel that receives SIGINT and SIGTERM.
func stopSignals() <-chan os.Signal {
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	return ch
}
