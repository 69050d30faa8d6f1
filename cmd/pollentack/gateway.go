package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/edge/logs"
	"pollentack.example/pollentack/internal/edge/mesh"
	"pollentack.example/pollentack/internal/edge/trace"
	"pollentack.example/pollentack/internal/gateway"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/platform"
)

type gatewayCmd struct {
	Settings  string `help:"Settings file (YAML) of the platform; by default the one that the platform names in the environment." type:"path"`
	Check     bool   `help:"Check the settings file and exit."`
	LogLevel  string `help:"Least level of log lines." enum:"debug,info,warn,error" default:"info"`
	TraceFile string `help:"File for spans, one for each hop of a request; none by default." type:"path"`
	LogLines  int    `help:"Lines of one event that are logged in ten seconds." default:"500"`
}

// dialPeers replaces the function that dials peers unless it is nil.
var dialPeers mesh.DialFunc

// Run serves until SIGINT or SIGTERM, then shuts down gracefully. SIGHUP reloads the
// settings file at once; without a signal, changes are detected by polling it every
// settingsPollInterval.
func (cmd *gatewayCmd) Run(stdout io.Writer) error {
	path := cmd.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	if path == "" {
		return asUsageError(errors.New("no settings file: set --settings"))
	}
	file := &settingsFile{path: path}
	if !cmd.Check {
		return cmd.serve(file)
	}
	s, err := file.load()
	if err != nil {
		return asUsageError(err)
	}
	fmt.Fprintf(stdout, "%s: settings of host %q in availability zone %q are valid\n", path, s.Host, s.Zone)
	return nil
}

func (cmd *gatewayCmd) serve(file *settingsFile) error {
	logWriter, err := startHostLog(os.Stdout)
	if err != nil {
		return err
	}
	defer logWriter.close()
	log := logs.NewLimited(logWriter, cmd.LogLevel, cmd.LogLines)
	log.Info().Str("event", "process_started").Int("pid", os.Getpid()).Str("settings", file.path).Send()
	s := file.await(stopSignalsOfHost, &log)
	if s == nil {
		return nil
	}
	setSoftMemoryLimit(s)
	log = log.With().Str("host", s.Host).Str("availability_zone", s.Zone).Logger()
	if sig := stopRequested(stopSignalsOfHost); sig != nil {
		log.Info().Str("event", "stop_requested").Str("signal", sig.String()).Str("reason", "before the start").Send()
		return nil
	}
	tracer, err := cmd.tracer()
	if err != nil {
		return err
	}
	g, err := gateway.Start(s, gateway.Options{Log: log, Tracer: tracer, Codec: platform.Codec{}, Store: platform.NewStore(s.Store), DecodeItem: platform.DecodeItem, Dial: dialPeers})
	if err != nil {
		log.Error().Str("event", "start_failed").Err(err).Send()
		return err
	}
	err = waitForStop(g, file, &log)
	g.Stop()
	err = errors.Join(err, tracer.Close())
	log.Info().Str("event", "gateway_stopped").Err(err).Uint64("log_lines_dropped", logWriter.Dropped()).Send()
	return err
}

func (cmd *gatewayCmd) tracer() (*trace.Tracer, error) {
	if cmd.TraceFile == "" {
		return trace.NewDisabled(), nil
	}
	return trace.New(&settings.Trace{Exporter: "file", File: cmd.TraceFile})
}

// waitForStop reloads the settings on SIGHUP and on changes of the file. It returns nil on
// SIGINT or SIGTERM, and an error if the gateway fails.
func waitForStop(g *gateway.Gateway, file *settingsFile, log *zerolog.Logger) error {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-poll.C:
			file.reload(g, false, log)
		case <-reloadSignalsOfHost:
			file.reload(g, true, log)
		case sig := <-stopSignalsOfHost:
			log.Info().Str("event", "stop_requested").Str("signal", sig.String()).Send()
			return nil
		case err := <-g.Failed():
			return err
		}
	}
}
