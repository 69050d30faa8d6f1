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
	// settingsPoll is the time between looks at the settings file, which may change without
	// a signal. Nothing in it is urgent, and a look reads some kilobytes.
	settingsPoll = 5 * time.Second
	// memoryShare is the part of the memory limit at which the runtime collects harder.
	memoryShare = 0.7
)

// settingsFile is the settings file of a running gateway and what was read of it last.
type settingsFile struct {
	path string
	text []byte
}

// load reads and checks the file. The error lists every fault.
func (f *settingsFile) load() (*gateway.Settings, error) {
	text, err := os.ReadFile(f.path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	f.text = text
	return f.parse()
}

func (f *settingsFile) parse() (*gateway.Settings, error) {
	s, err := platform.ParseSettings(f.text)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", f.path, err)
	}
	return s, nil
}

// reload puts the file's settings in force if it has changed. A file with a fault leaves
// the settings in force. asked tells that a signal asked for it.
func (f *settingsFile) reload(g *gateway.Gateway, asked bool, log *zerolog.Logger) {
	text, err := os.ReadFile(f.path)
	if err != nil {
		log.Error().Str("event", "reload_failed").Err(err).Send()
		return
	}
	if bytes.Equal(text, f.text) {
		if asked {
			log.Info().Str("event", "settings_unchanged").Send()
		}
		return
	}
	f.text = text
	s, err := f.parse()
	if err != nil {
		log.Error().Str("event", "reload_failed").Err(err).Send()
		return
	}
	limitMemory(s)
	g.Reload(s)
}

// limitMemory makes the runtime collect harder near the limit of the process.
func limitMemory(s *gateway.Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
}
