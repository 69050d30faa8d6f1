package loadgen

import (
	"fmt"
	"os"
	"strings"
	"time"

	"pollentack.example/pollentack/internal/inifile"
)

const (
	maxRate        = 1_000_000
	maxQueries     = 100_000_000
	defaultRate    = 100
	defaultQueries = 1000
	maxHits        = 1000
	maxTimeout     = time.Minute
)

// ReadConfig reads and validates the INI file of a load run.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read load settings: %w", err)
	}
	return ParseConfig(path, text)
}

// ParseConfig parses the settings of a load run: a [load] section, and a [service NAME]
// section for each service of the mix. name identifies the file in errors. The error lists
// everything wrong in the text.
func ParseConfig(name string, text []byte) (*Config, error) {
	f := inifile.Parse(name, text)
	c := &Config{}
	loadSection := f.Section("load")
	if loadSection == nil {
		loadSection = inifile.EmptySection(f, "load")
	}
	c.readLoadSection(loadSection)
	for _, s := range f.Sections {
		service, isService := strings.CutPrefix(s.Name, "service ")
		switch {
		case s == loadSection:
		case isService:
			c.readMixEntry(strings.TrimSpace(service), s)
		default:
			f.AddUnknownSection(s, "load, service NAME")
		}
	}
	if len(c.Mix) == 0 {
		f.AddFileFault("has no [service NAME] section")
	}
	return c, f.Err()
}

func (c *Config) readLoadSection(s *inifile.Section) {
	c.Fronts = s.Addresses("fronts")
	c.QueriesPerSecond = s.Float("rate-per-second", defaultRate, 0.01, maxRate)
	c.Queries = s.Int("queries", defaultQueries, 1, maxQueries)
	c.Seed = uint64(s.Int("seed", 1, 0, 1<<31-1))
	c.MaxHits = s.Int("limit", 10, 1, maxHits)
	c.Timeout = s.Duration("timeout", 0, 0, maxTimeout)
	s.RejectUnused()
}

func (c *Config) readMixEntry(service string, s *inifile.Section) {
	entry := MixEntry{Service: service, Keys: s.List("keys"), Weight: s.Float("weight", 1, 0.000_001, 1e6)}
	if len(entry.Keys) == 0 {
		s.AddFault("keys", "is required; allowed is a comma-separated list of callers' keys")
	}
	s.RejectUnused()
	c.Mix = append(c.Mix, entry)
}
