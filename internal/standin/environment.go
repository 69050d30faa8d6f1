package standin

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"pollentack.example/pollentack/internal/inifile"
	"pollentack.example/pollentack/internal/note"
)

// TargetConfig configures one stand-in target.
type TargetConfig struct {
	Name     string
	Address  string
	Behavior Behavior
}

// Config configures a stand-in platform with its notes, and stand-in targets.
type Config struct {
	Seed int
	// PlatformAddress is the address on which the platform listens.
	PlatformAddress string
	// Notes are the paths of release notes, published in this order.
	Notes   []string
	Targets []TargetConfig
}

// LoadConfig reads and validates the INI file at path. Paths of notes are relative to its
// directory.
func LoadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read stand-in settings: %w", err)
	}
	f := inifile.Parse(path, text)
	c := &Config{}
	for _, s := range f.Sections {
		name, isTarget := strings.CutPrefix(s.Name, "target ")
		switch {
		case s.Name == "platform":
			c.readPlatform(s, filepath.Dir(path))
		case isTarget:
			c.readTarget(s, strings.TrimSpace(name))
		default:
			f.AddUnknownSection(s, "platform, target NAME")
			continue
		}
		s.RejectUnused()
	}
	return c, f.Err()
}

func (c *Config) readPlatform(s *inifile.Section, dir string) {
	c.PlatformAddress = s.Required("address")
	c.Seed = s.Int("seed", 1, 0, 1<<31-1)
	for _, name := range s.List("notes") {
		c.Notes = append(c.Notes, filepath.Join(dir, name))
	}
}

const (
	defaultLatency  = 5 * time.Millisecond
	maxDuration     = time.Minute
	defaultDowntime = 200 * time.Millisecond
)

func (c *Config) readTarget(s *inifile.Section, name string) {
	c.Targets = append(c.Targets, TargetConfig{
		Name:    name,
		Address: s.Required("address"),
		Behavior: Behavior{
			Latency:    s.Duration("latency", defaultLatency, 0, maxDuration),
			Jitter:     s.Duration("jitter", 0, 0, maxDuration),
			SlowShare:  s.Float("slow-share", 0, 0, 1),
			SlowFactor: s.Float("slow-factor", 1, 1, 10_000),
			Slots:      s.Int("slots", 2, 1, 10_000),
			ColdBudget: s.Int("cold-budget", 1, 1, 10_000),
			Cold:       s.Bool("cold", false),
			Leaving:    s.Bool("leaving", false),
			WarmUp: WarmUp{
				AfterAnswers:      s.Int("warm-after-requests", 0, 0, 1_000_000),
				AfterTime:         s.Duration("warm-after", 0, 0, maxDuration),
				RestartOnOverload: s.Bool("falls-over", false),
				Downtime:          s.Duration("down", defaultDowntime, 0, maxDuration),
			},
		},
	})
}

// Environment is a running stand-in platform and its targets.
type Environment struct {
	Platform *Platform
	Targets  []*Target
}

// StartEnvironment starts the platform, publishes the notes and starts the targets.
func StartEnvironment(c *Config) (*Environment, error) {
	p, err := StartPlatform(c.PlatformAddress)
	if err != nil {
		return nil, err
	}
	e := &Environment{Platform: p}
	if err := e.start(c); err != nil {
		e.Stop()
		return nil, err
	}
	return e, nil
}

func (e *Environment) start(c *Config) error {
	for _, path := range c.Notes {
		if err := e.publishFile(path); err != nil {
			return err
		}
	}
	for _, tc := range c.Targets {
		t, err := StartTarget(tc.Name, tc.Address, uint64(c.Seed), tc.Behavior)
		if err != nil {
			return err
		}
		e.Targets = append(e.Targets, t)
	}
	return nil
}

// publishFile publishes a note unchanged, even if it has faults: hosts must reject it.
func (e *Environment) publishFile(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read note: %w", err)
	}
	n, err := note.Parse(path, text)
	var faults inifile.Faults
	if err != nil && !errors.As(err, &faults) {
		return err
	}
	e.Platform.Publish(n.Number, n.Baseline, text)
	return nil
}

// Stop stops the targets and the platform.
func (e *Environment) Stop() {
	for _, t := range e.Targets {
		t.Stop()
	}
	e.Platform.Stop()
}
