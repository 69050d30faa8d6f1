// Package note is the INI encoding of release notes.
//
// A note begins with a [note] section. Each section between it and the last is one item:
// "[add KIND NAME]", "[change KIND NAME]" or "[withdraw KIND NAME]". A baseline note has only
// "add" items. The last section is [end] with the number of items, so that a truncated text
// is rejected. Package core/release decides whether a parsed note can be applied.
package note

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/inifile"
)

// MaxBytes is the maximum size of a note. The platform stores values of up to one mebibyte.
const MaxBytes = 1 << 20

// MaxNumber is the maximum number of a note: up to it, JSON decoders that use float64
// represent every integer exactly.
const MaxNumber = 1 << 53

var ops = map[string]release.Op{
	"add":      release.Add,
	"change":   release.Change,
	"withdraw": release.Withdraw,
}

// Parse parses a note. name is the file name in faults. The error is an inifile.Faults with
// every fault.
func Parse(name string, text []byte) (*release.Note, error) {
	if len(text) > MaxBytes {
		return nil, inifile.Faults{{File: name, Line: 1, Reason: fmt.Sprintf("note has %d bytes; allowed are %d", len(text), MaxBytes)}}
	}
	f := inifile.Parse(name, text)
	n := &release.Note{}
	for _, s := range f.Sections {
		switch s.Name {
		case sectionNote:
			readNote(n, s)
		case sectionEnd:
		default:
			readItem(n, f, s)
		}
	}
	if f.Section(sectionNote) == nil {
		inifile.EmptySection(f, sectionNote).AddFault("", "section is required")
	}
	readEnd(f)
	return n, f.Err()
}

// Sections that are not items.
const (
	sectionNote = "note"
	sectionEnd  = "end"
)

func readNote(n *release.Note, s *inifile.Section) {
	n.Number = s.Uint("number")
	if s.Has("number") && (n.Number == 0 || n.Number > MaxNumber) {
		s.AddFault("number", "is %d; allowed are 1 to %d", n.Number, uint64(MaxNumber))
	}
	n.Baseline = s.Choice("kind", "change", "baseline", "change") == "baseline"
	if !n.Baseline {
		n.Follows = s.Uint("follows")
		if n.Follows >= n.Number {
			s.AddFault("follows", "is %d; allowed are numbers below the note's own", n.Follows)
		}
	}
	s.RejectUnused()
}

// readEnd checks that the text is complete: [end] is the last section, and its count
// matches the number of items before it.
func readEnd(f *inifile.File) {
	s := f.Section(sectionEnd)
	if s == nil {
		f.AddFileFault("section [end] is missing: the note is truncated")
		return
	}
	if last := f.Sections[len(f.Sections)-1]; last != s {
		s.AddFault("", "is not the last section: [%s] follows it", last.Name)
	}
	items := len(f.Sections) - 1
	if f.Section(sectionNote) != nil {
		items--
	}
	if count := s.Uint("items"); s.Has("items") && count != uint64(items) {
		s.AddFault("items", "is %d, but the note has %d items: it is truncated", count, items)
	}
	s.RejectUnused()
}

const itemSyntax = "add, change or withdraw, then availability-zone, host, service, snapshot, caller or target, then a name"

func readItem(n *release.Note, f *inifile.File, s *inifile.Section) {
	fields := strings.Fields(s.Name)
	if len(fields) < 3 || ops[fields[0]] == 0 {
		f.AddUnknownSection(s, "note and items: "+itemSyntax)
		return
	}
	item := release.Item{Op: ops[fields[0]], Line: s.Line}
	if !readKind(&item, s, fields[1], fields[2:]) {
		f.AddUnknownSection(s, "note and items: "+itemSyntax)
		return
	}
	if n.Baseline && item.Op != release.Add {
		s.AddFault("", "a baseline note lists the complete state; allowed is add")
	}
	s.RejectUnused()
	n.Items = append(n.Items, item)
}

// readKind reads an item of the given kind. It returns false if the kind or the name is
// invalid.
func readKind(item *release.Item, s *inifile.Section, kind string, names []string) bool {
	name := names[0]
	if kind != "snapshot" && (len(names) != 1 || !inifile.IsValidName(name)) {
		return false
	}
	withdrawn := item.Op == release.Withdraw
	switch kind {
	case "availability-zone":
		item.Zone = &release.Zone{Name: name}
		if !withdrawn {
			readZone(item.Zone, s)
		}
	case "host":
		item.Host = &release.Host{Name: name}
		if !withdrawn {
			readHost(item.Host, s)
		}
	case "service":
		item.Service = &release.Service{Name: name}
		if !withdrawn {
			readService(item.Service, s)
		}
	case "caller":
		item.Caller = &release.Caller{Name: name}
		if !withdrawn {
			readCaller(item.Caller, s)
		}
	case "target":
		item.Target = &release.Target{Name: name}
		if !withdrawn {
			readTarget(item.Target, s)
		}
	case "snapshot":
		return readSnapshot(item, s, names)
	default:
		return false
	}
	return true
}

func readZone(z *release.Zone, s *inifile.Section) {
	z.Region = s.RequiredName("region")
	z.OutOfService = s.Choice("state", "in", "in", "out") == "out"
}

func readHost(h *release.Host, s *inifile.Section) {
	h.Zone = s.RequiredName("availability-zone")
	h.MeshAddress = s.Address("mesh")
}

var criticalities = map[string]release.Criticality{
	"sheddable": release.Sheddable,
	"standard":  release.Standard,
	"critical":  release.Critical,
}

// Defaults and bounds of the policy of a service.
const (
	defaultDeadline    = 500 * time.Millisecond
	maxDeadline        = time.Minute
	defaultHedgeBudget = 0.05
)

func readService(svc *release.Service, s *inifile.Section) {
	svc.AtMostOnce = s.Bool("once", false)
	p := &svc.Policy
	p.Deadline = s.Duration("deadline", defaultDeadline, time.Millisecond, maxDeadline)
	p.RequireAllShards = s.Choice("answer", "in-time", "in-time", "whole") == "whole"
	p.MinCoverage = s.Float("min-coverage", 0, 0, 1)
	p.HedgeBudget = s.Float("hedge-budget", defaultHedgeBudget, 0, defaultHedgeBudget)
	p.Canary = s.Bool("canary", false)
	p.Criticality = criticalities[s.Choice("criticality", "standard", "sheddable", "standard", "critical")]
}

func readCaller(c *release.Caller, s *inifile.Section) {
	text := s.Required("key-sha256")
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		s.AddFault("key-sha256", "is not %d hexadecimal digits", 2*sha256.Size)
	} else {
		c.KeyHash = [sha256.Size]byte(raw)
	}
	c.Services = map[string]bool{}
	for _, name := range s.Names("services") {
		c.Services[name] = true
	}
	c.Rate = s.Float("rate-per-second", 0, 0, 1e6)
}

func readTarget(t *release.Target, s *inifile.Section) {
	t.Address = s.Address("address")
	t.Zone = s.RequiredName("availability-zone")
	t.Service = s.RequiredName("service")
	t.Slots = s.Int("slots", 1, 1, 10_000)
	t.MaxConnections = s.Int("connections", 25, 1, 100_000)
	t.MaxColdRequests = s.Int("cold-budget", 1, 1, 10_000)
	t.Leaving = s.Bool("leaving", false)
}

// readSnapshot reads a section such as "[add snapshot SERVICE VERSION/LAYOUT]". It returns
// false if the name of the section is invalid.
func readSnapshot(item *release.Item, s *inifile.Section, names []string) bool {
	if len(names) != 2 {
		return false
	}
	version, layout, ok := strings.Cut(names[1], "/")
	number, err := strconv.ParseUint(version, 10, 64)
	if !ok || err != nil || !inifile.IsValidName(layout) || !inifile.IsValidName(names[0]) {
		return false
	}
	item.Snapshot = &release.Snapshot{Service: names[0], Version: number, Layout: layout}
	if item.Op != release.Withdraw {
		readShards(item.Snapshot, s)
	}
	return true
}

const maxShards = 100_000

func readShards(snap *release.Snapshot, s *inifile.Section) {
	count := s.Int("shards", 0, 1, maxShards)
	if !s.Has("shards") {
		s.AddFault("shards", "is required")
	}
	for i := range min(max(count, 0), maxShards) {
		if !s.Has(fmt.Sprintf("replicas.%d", i)) {
			s.AddFault(fmt.Sprintf("replicas.%d", i), "is required")
			return
		}
		shard := release.Shard{
			Weight:   s.Float(fmt.Sprintf("weight.%d", i), 1, 0, 1e9),
			Replicas: s.Names(fmt.Sprintf("replicas.%d", i)),
		}
		if len(shard.Replicas) == 0 {
			s.AddFault(fmt.Sprintf("replicas.%d", i), "is required")
		}
		snap.Weight += shard.Weight
		snap.Shards = append(snap.Shards, shard)
	}
}
