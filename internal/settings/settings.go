// Package settings reads the INI file with the name, availability zone, addresses and
// limits of a host.
package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"pollentack.example/pollentack/internal/inifile"
)

// Settings are the settings of one host.
type Settings struct {
	Host     Host
	Listen   Listen
	Platform Platform
	Limits   Limits
	Policy   Policy
	Log      Log
	Trace    Trace
	Mesh     Mesh
	Once     Once
	Stop     Stop
}

// Mesh holds the paths of the PEM files for mutual TLS between hosts, and the seed peers.
// Without the files, hosts use only loopback addresses.
type Mesh struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	// Seeds are the peers that a starting host contacts if the platform is down.
	Seeds []Seed
}

// Seed is the name and mesh address of a peer.
type Seed struct {
	Name    string
	Address string
}

// Host identifies this process.
type Host struct {
	Name string
	Zone string
}

// Listen holds the addresses that the host listens on.
type Listen struct {
	Front string
	Admin string
	Mesh  string
}

// Platform locates the configuration service of the platform.
type Platform struct {
	Address string
	// MaxWait is the maximum duration of one watch call.
	MaxWait time.Duration
	// Mode is PlatformWatch, or PlatformPoll as the baseline in experiments.
	Mode string
}

// Modes of reading the platform.
const (
	PlatformWatch = "watch"
	PlatformPoll  = "poll"
)

// Limits bound the requests, connections and memory of a host.
type Limits struct {
	Queries int
	// Queue is the number of admitted queries that may wait, 0 for no queue.
	Queue       int
	BodyBytes   int
	Connections int
}

// Policy holds the seed of random choices and the switches that select the baselines of
// experiments.
type Policy struct {
	Hedge bool
	Seed  int
	// StaticLimit, NoWarmUp and RoundRobin select baselines of package core/target.
	StaticLimit bool
	NoWarmUp    bool
	RoundRobin  bool
	// NoRetry selects the baseline with a single attempt per shard.
	NoRetry bool
}

// Log holds the log level.
type Log struct{ Level string }

// Trace selects the destination of trace spans.
type Trace struct {
	Exporter string
	Address  string
	File     string
}

// Default returns the default settings. The keys without a default, such as names and
// addresses, are empty.
func Default() *Settings {
	s, _ := Parse("default", nil)
	return s
}

// Load reads and validates the file at path. If the file is invalid, the error is an
// inifile.Faults with every fault.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text)
}

// Parse parses and validates text. name is the file name in faults.
func Parse(name string, text []byte) (*Settings, error) {
	f := inifile.Parse(name, text)
	s := &Settings{}
	readers := []sectionReader{
		{"host", s.readHost},
		{"listen", s.readListen},
		{"platform", s.readPlatform},
		{"limits", s.readLimits},
		{"policy", s.readPolicy},
		{"log", s.readLog},
		{"trace", s.readTrace},
		{"mesh", s.readMesh},
		{"once", s.readOnce},
		{"stop", s.readStop},
	}
	for _, reader := range readers {
		section := f.Section(reader.name)
		if section == nil {
			section = inifile.EmptySection(f, reader.name)
		}
		reader.read(section)
		section.RejectUnused()
	}
	for _, section := range f.Sections {
		if !slices.ContainsFunc(readers, func(r sectionReader) bool { return r.name == section.Name }) {
			f.AddUnknownSection(section, sectionNames(readers))
		}
	}
	return s, f.Err()
}

// sectionReader reads one section, which may be empty.
type sectionReader struct {
	name string
	read func(*inifile.Section)
}

func sectionNames(readers []sectionReader) string {
	names := make([]string, len(readers))
	for i, r := range readers {
		names[i] = r.name
	}
	return strings.Join(names, ", ")
}

func (s *Settings) readHost(sec *inifile.Section) {
	s.Host.Name = sec.RequiredName("name")
	s.Host.Zone = sec.RequiredName("availability-zone")
}

func (s *Settings) readListen(sec *inifile.Section) {
	s.Listen.Front = sec.Address("front")
	s.Listen.Admin = sec.Address("admin")
	s.Listen.Mesh = sec.OptionalAddress("mesh")
	rejectDuplicateAddresses(sec, "front", "admin", "mesh")
}

// rejectDuplicateAddresses adds a fault for each key with the same address as an earlier
// one.
func rejectDuplicateAddresses(sec *inifile.Section, keys ...string) {
	usedBy := map[string]string{}
	for _, key := range keys {
		address := sec.Text(key, "")
		if first, taken := usedBy[address]; taken && address != "" {
			sec.AddFault(key, "repeats the address of %s; each listener needs its own address", first)
		}
		usedBy[address] = key
	}
}

func (s *Settings) readPlatform(sec *inifile.Section) {
	s.Platform.Address = sec.Address("address")
	s.Platform.MaxWait = sec.Duration("poll", 10*time.Second, 100*time.Millisecond, time.Minute)
	s.Platform.Mode = sec.Choice("mode", PlatformWatch, PlatformWatch, PlatformPoll)
}

func (s *Settings) readLimits(sec *inifile.Section) {
	s.Limits.Queries = sec.Int("queries", 4096, 1, 1_000_000)
	s.Limits.Queue = sec.Int("queue", 1024, 0, 1_000_000)
	s.Limits.BodyBytes = sec.Int("body-bytes", 64<<10, 1<<10, 16<<20)
	s.Limits.Connections = sec.Int("connections", 2048, 1, 65_535)
}

func (s *Settings) readPolicy(sec *inifile.Section) {
	s.Policy.Hedge = sec.Bool("hedge", true)
	s.Policy.Seed = sec.Int("seed", 1, 0, 1<<31-1)
	s.Policy.StaticLimit = sec.Choice("limit", "adaptive", "adaptive", "static") == "static"
	s.Policy.NoWarmUp = !sec.Bool("warm-up", true)
	s.Policy.RoundRobin = sec.Choice("selection", "two-choice", "two-choice", "round-robin") == "round-robin"
	s.Policy.NoRetry = !sec.Bool("retry", true)
}

func (s *Settings) readLog(sec *inifile.Section) {
	s.Log.Level = sec.Choice("level", "info", "debug", "info", "warn", "error")
}

func (s *Settings) readTrace(sec *inifile.Section) {
	s.Trace.Exporter = sec.Choice("exporter", "none", "none", "otlp", "file")
	s.Trace.Address = sec.OptionalAddress("address")
	s.Trace.File = sec.Text("file", "")
	switch {
	case s.Trace.Exporter == "otlp" && s.Trace.Address == "":
		sec.Address("address")
	case s.Trace.Exporter == "file" && s.Trace.File == "":
		sec.Required("file")
	}
}

func (s *Settings) readMesh(sec *inifile.Section) {
	s.Mesh.CertificateFile = sec.Text("certificate", "")
	s.Mesh.KeyFile = sec.Text("key", "")
	s.Mesh.AuthorityFile = sec.Text("authority", "")
	set := s.Mesh.CertificateFile != "" || s.Mesh.KeyFile != "" || s.Mesh.AuthorityFile != ""
	if set && (s.Mesh.CertificateFile == "" || s.Mesh.KeyFile == "" || s.Mesh.AuthorityFile == "") {
		sec.AddFault("certificate", "certificate, key and authority must be set together or not at all")
	}
	for _, text := range sec.List("seeds") {
		name, address, ok := strings.Cut(text, "@")
		if !ok || name == "" || address == "" {
			sec.AddFault("seeds", "%q is not NAME@ADDRESS", text)
			continue
		}
		s.Mesh.Seeds = append(s.Mesh.Seeds, Seed{Name: name, Address: address})
	}
}
