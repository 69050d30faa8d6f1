package main

import (
	"bytes"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/gateway"
	"pollentack.example/pollentack/platform"
)

const (
	// settingsPollInterval is the time between two reads of the settings file, which may
	// change without a signal. No setting is urgent, and a read is only some kilobytes.
	settingsPollInterval = 5 * time.Second
	// settingsRetryInterval is the time between two reads at the start, while the file is not valid.
	settingsRetryInterval = 200 * time.Millisecond
	// outsideRuntimeBytes is the memory of the process that the Go runtime does not count: its program
	// and the libraries.
	outsideRuntimeBytes = 24 << 20
	// softMemoryLimitRatio is the fraction of the rest of the process's memory limit that becomes the
	// soft memory limit of the Go runtime, near which garbage is collected more often.
	softMemoryLimitRatio = 0.7
)

// settingsFile is the settings file of a running gateway, with the content that was last
// read from it.
type settingsFile struct {
	path        string
	lastContent []byte
}

// load reads and validates the file. The error names the file and lists everything wrong in
// it.
func (f *settingsFile) load() (*gateway.Settings, error) {
	text, err := os.ReadFile(f.path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	f.lastContent = text
	return f.parse()
}

// await returns the settings as soon as the file is there and valid, or nil if the process is told
// to stop first: the file may be written while the process starts. Each new reason to wait is logged.
func (f *settingsFile) await(stop <-chan os.Signal, log *zerolog.Logger) *gateway.Settings {
	retry := time.NewTicker(settingsRetryInterval)
	defer retry.Stop()
	lastReason := ""
	for {
		s, err := f.load()
		if err == nil {
			return s
		}
		if reason := err.Error(); reason != lastReason {
			lastReason = reason
			log.Error().Str("event", "settings_unusable").Err(err).Dur("retry_interval", settingsRetryInterval).Send()
		}
		select {
		case <-retry.C:
		case sig := <-stop:
			log.Info().Str("event", "stop_requested").Str("signal", sig.String()).Str("reason", "before the start").Send()
			return nil
		}
	}
}

func (f *settingsFile) parse() (*gateway.Settings, error) {
	s, err := platform.ParseSettings(f.lastContent)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", f.path, err)
	}
	return s, nil
}

// reload applies the settings if the file has changed since it was last read. An invalid
// file is logged and leaves the current settings in force. signalled means that SIGHUP
// requested the reload; only then is an unchanged file logged.
func (f *settingsFile) reload(g *gateway.Gateway, signalled bool, log *zerolog.Logger) {
	text, err := os.ReadFile(f.path)
	if err != nil {
		log.Error().Str("event", "reload_failed").Err(err).Send()
		return
	}
	if bytes.Equal(text, f.lastContent) {
		if signalled {
			log.Info().Str("event", "settings_unchanged").Send()
		}
		return
	}
	f.lastContent = text
	s, err := f.parse()
	if err != nil {
		log.Error().Str("event", "reload_failed").Err(err).Send()
		return
	}
	setSoftMemoryLimit(s)
	g.Reload(s)
}

// setSoftMemoryLimit sets the soft memory limit of the Go runtime from the settings, if
// they have a limit.
func setSoftMemoryLimit(s *gateway.Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitRatio * float64(max(s.MemoryBytes/2, s.MemoryBytes-outsideRuntimeBytes))))
	}
}
