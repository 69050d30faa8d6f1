package main

import (
	"errors"
	"io"
	"os"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/logs"
	"pollentack.example/pollentack/internal/edge/trace"
	"pollentack.example/pollentack/internal/node"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
)

type serveCmd struct {
	Settings string `arg:"" help:"Settings file (INI)." type:"existingfile"`
}

// Run serves until SIGINT, SIGTERM or a drain request from an operator, then shuts down
// gracefully. A second signal cuts the graceful shutdown short.
func (cmd *serveCmd) Run() error {
	s, err := settings.Load(cmd.Settings)
	if err != nil {
		return asUsageError(err)
	}
	logWriter, err := startHostLog(os.Stderr)
	if err != nil {
		return err
	}
	defer logWriter.close()
	log := newLogger(logWriter, s)
	if sig := stopRequested(stopSignalsOfHost); sig != nil {
		log.Info().Str("event", "stop_requested").Str("signal", sig.String()).Str("reason", "before the start").Send()
		return nil
	}
	tracer, err := trace.New(&s.Trace)
	if err != nil {
		return err
	}
	n, err := node.Start(s, node.Options{Log: log, Tracer: tracer})
	if err != nil {
		return err
	}
	select {
	case sig := <-stopSignalsOfHost:
		log.Info().Str("event", "stop_requested").Str("signal", sig.String()).Send()
	case <-n.DrainRequested():
		log.Info().Str("event", "stop_requested").Str("operator", "drain").Send()
	case err = <-n.Failed():
	}
	return errors.Join(err, stopNode(n, stopSignalsOfHost, &log), tracer.Close())
}

// stopNode shuts the host down gracefully on a separate thread, so that a second signal can
// cut the shutdown short.
func stopNode(n *node.Node, signals <-chan os.Signal, log *zerolog.Logger) error {
	stopped := make(chan struct{})
	group, err := duty.NewGroup(1, func(string, error) {})
	if err != nil {
		return err
	}
	defer group.Stop()
	stop := func() {
		defer close(stopped)
		n.Stop()
	}
	if err := group.Start(duty.Duty{Name: "stop", Run: stop, Stop: n.SkipWaits}); err != nil {
		return err
	}
	select {
	case <-stopped:
	case sig := <-signals:
		log.Warn().Str("event", "stop_hurried").Str("signal", sig.String()).Send()
	}
	return nil
}

func newLogger(out io.Writer, s *settings.Settings) zerolog.Logger {
	return logs.New(out, s.Log.Level).With().
		Str("host", s.Host.Name).Str("availability_zone", s.Host.Zone).Logger()
}

type standinCmd struct {
	Settings string `arg:"" help:"Stand-in settings file (INI)." type:"existingfile"`
}

// Run serves a stand-in platform and stand-in targets until SIGINT or SIGTERM.
func (cmd *standinCmd) Run() error {
	c, err := standin.LoadConfig(cmd.Settings)
	if err != nil {
		return asUsageError(err)
	}
	environment, err := standin.StartEnvironment(c)
	if err != nil {
		return err
	}
	<-stopSignals()
	environment.Stop()
	return nil
}
