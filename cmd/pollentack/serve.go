package main

import (
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/edge/trace"
	"pollentack.example/pollentack/internal/node"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
)

type serveCmd struct {
	Settings string `arg:"" help:"Settings file (INI)." type:"existingfile"`
}

// Run serves until SIGINT or SIGTERM, then shuts down gracefully; a second signal ends
// the process at once.
func (cmd *serveCmd) Run() error {
	s, err := settings.Load(cmd.Settings)
	if err != nil {
		return usage(err)
	}
	log := newLogger(s)
	tracer, err := trace.New(&s.Trace)
	if err != nil {
		return err
	}
	n, err := node.Start(s, node.Options{Log: log, Tracer: tracer})
	if err != nil {
		return err
	}
	select {
	case sig := <-stopSignals():
		log.Info().Str("event", "stop_requested").Str("signal", sig.String()).Send()
		signal.Reset()
	case err = <-n.Failed():
	}
	n.Stop()
	return errors.Join(err, tracer.Close())
}

func newLogger(s *settings.Settings) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().
		Str("host", s.Host.Name).Str("availability_zone", s.Host.Zone).Logger()
}

func stopSignals() <-chan os.Signal {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	return ch
}

type standinCmd struct {
	Settings string `arg:"" help:"Stand-in settings file (INI)." type:"existingfile"`
}

// Run plays the platform and the targets until SIGINT or SIGTERM.
func (cmd *standinCmd) Run() error {
	c, err := standin.LoadConfig(cmd.Settings)
	if err != nil {
		return usage(err)
	}
	fleet, err := standin.StartFleet(c)
	if err != nil {
		return err
	}
	<-stopSignals()
	fleet.Stop()
	return nil
}
