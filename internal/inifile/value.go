package inifile

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Has reports whether the section has the key.
func (s *Section) Has(key string) bool {
	_, ok := s.keys[key]
	return ok
}

// Fault adds a fault at the key, or at the section's line if it lacks the key.
func (s *Section) Fault(key, format string, args ...any) {
	line := s.Line
	if e, ok := s.keys[key]; ok {
		line = e.line
	}
	s.file.fault(line, s.Name, key, fmt.Sprintf(format, args...))
}

// Text returns the value of key, or fallback.
func (s *Section) Text(key, fallback string) string {
	s.used[key] = true
	if e, ok := s.keys[key]; ok {
		return e.value
	}
	return fallback
}

// Required returns the value of key, which must be there and not empty.
func (s *Section) Required(key string) string {
	value := s.Text(key, "")
	if value == "" {
		s.Fault(key, "is required")
	}
	return value
}

// maxNameBytes bounds a name.
const maxNameBytes = 128

// nameForm says what IsName allows.
const nameForm = "allowed are 1 to 128 letters, digits, dots, hyphens and underscores"

// IsName reports whether text can name something: a host, a service, a target.
func IsName(text string) bool {
	for i := range len(text) {
		c := text[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		digit := '0' <= c && c <= '9'
		if !letter && !digit && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return text != "" && len(text) <= maxNameBytes
}

// RequiredName returns the name at key, which must be there.
func (s *Section) RequiredName(key string) string {
	text := s.Text(key, "")
	switch {
	case text == "":
		s.Fault(key, "is required; %s", nameForm)
	case !IsName(text):
		s.Fault(key, "%q is not a name; %s", text, nameForm)
	}
	return text
}

// Names returns the comma-separated names of key.
func (s *Section) Names(key string) []string {
	names := s.List(key)
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if !IsName(name) {
			s.Fault(key, "%q is not a name; %s", name, nameForm)
		}
		if seen[name] {
			s.Fault(key, "%q is listed twice", name)
		}
		seen[name] = true
	}
	return names
}

// addressForm says what Address allows.
const addressForm = "allowed is IP:PORT with a port from 1 to 65535, such as 10.20.0.7:7310"

// Address returns the IP:PORT at key, which must be there.
func (s *Section) Address(key string) string {
	text := s.Text(key, "")
	if text == "" {
		s.Fault(key, "is required; %s", addressForm)
		return ""
	}
	return s.OptionalAddress(key)
}

// OptionalAddress returns the IP:PORT at key, or nothing.
func (s *Section) OptionalAddress(key string) string {
	text := s.Text(key, "")
	if text != "" {
		s.checkAddress(key, text)
	}
	return text
}

// Addresses returns the comma-separated IP:PORTs at key, of which there must be one.
func (s *Section) Addresses(key string) []string {
	list := s.List(key)
	if len(list) == 0 {
		s.Fault(key, "is required; %s, with commas between several", addressForm)
	}
	for _, text := range list {
		s.checkAddress(key, text)
	}
	return list
}

func (s *Section) checkAddress(key, text string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
		s.Fault(key, "%q is not an address; %s", text, addressForm)
	}
}

// Int returns a whole number between least and most.
func (s *Section) Int(key string, fallback, least, most int) int {
	text := s.Text(key, "")
	if !s.Has(key) {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		s.Fault(key, "%q is not a whole number; allowed are %d to %d", text, least, most)
		return fallback
	}
	return inRange(s, key, n, least, most)
}

// Uint returns a whole number of up to 64 bits, which must be there.
func (s *Section) Uint(key string) uint64 {
	text := s.Required(key)
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil && text != "" {
		s.Fault(key, "%q is not a whole number", text)
	}
	return n
}

// Float returns a number between least and most.
func (s *Section) Float(key string, fallback, least, most float64) float64 {
	text := s.Text(key, "")
	if !s.Has(key) {
		return fallback
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) {
		s.Fault(key, "%q is not a number; allowed are %g to %g", text, least, most)
		return fallback
	}
	return inRange(s, key, n, least, most)
}

// Duration returns a duration with its unit, such as 250ms or 2s.
func (s *Section) Duration(key string, fallback, least, most time.Duration) time.Duration {
	text := s.Text(key, "")
	if !s.Has(key) {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		s.Fault(key, "%q is not a duration with a unit (us, ms, s, m, h); allowed are %s to %s", text, least, most)
		return fallback
	}
	return inRange(s, key, d, least, most)
}

func inRange[T cmp.Ordered](s *Section, key string, value, least, most T) T {
	if value < least || value > most {
		s.Fault(key, "%v is out of range; allowed are %v to %v", value, least, most)
	}
	return value
}

// Bool returns true or false.
func (s *Section) Bool(key string, fallback bool) bool {
	text := s.Text(key, "")
	switch {
	case !s.Has(key):
		return fallback
	case text == "true":
		return true
	case text == "false":
		return false
	}
	s.Fault(key, "%q is neither true nor false", text)
	return fallback
}

// Choice returns one of the allowed words.
func (s *Section) Choice(key, fallback string, allowed ...string) string {
	text := s.Text(key, fallback)
	if !slices.Contains(allowed, text) {
		s.Fault(key, "%q is not one of %s", text, strings.Join(allowed, ", "))
		return fallback
	}
	return text
}

// List returns the comma-separated words of key.
func (s *Section) List(key string) []string {
	var words []string
	for word := range strings.SplitSeq(s.Text(key, ""), ",") {
		if word = strings.TrimSpace(word); word != "" {
			words = append(words, word)
		}
	}
	return words
}

// RejectUnused adds a fault for every key that no reader asked for.
func (s *Section) RejectUnused() {
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		if !s.used[key] {
			known := strings.Join(slices.Sorted(maps.Keys(s.used)), ", ")
			s.Fault(key, "unknown key; known are %s", known)
		}
	}
}
