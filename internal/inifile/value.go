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

// AddFault adds a fault at the line of key, or at the line of the section if the key is
// missing.
func (s *Section) AddFault(key, format string, args ...any) {
	line := s.Line
	if e, ok := s.keys[key]; ok {
		line = e.line
	}
	s.file.addFault(line, s.Name, key, fmt.Sprintf(format, args...))
}

// Text returns the value of key, or fallback if the key is missing.
func (s *Section) Text(key, fallback string) string {
	s.used[key] = true
	if e, ok := s.keys[key]; ok {
		return e.value
	}
	return fallback
}

// Required returns the value of key, and adds a fault if it is missing or empty.
func (s *Section) Required(key string) string {
	value := s.Text(key, "")
	if value == "" {
		s.AddFault(key, "is required")
	}
	return value
}

// maxNameBytes is the maximum length of a name.
const maxNameBytes = 128

// nameRule describes the names that IsValidName accepts.
const nameRule = "allowed are 1 to 128 letters, digits, dots, hyphens and underscores"

// IsValidName reports whether text is a valid name of a host, service, target or similar
// item.
func IsValidName(text string) bool {
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

// RequiredName returns the value of key, and adds a fault if it is missing or not a valid
// name.
func (s *Section) RequiredName(key string) string {
	text := s.Text(key, "")
	switch {
	case text == "":
		s.AddFault(key, "is required; %s", nameRule)
	case !IsValidName(text):
		s.AddFault(key, "%q is not a name; %s", text, nameRule)
	}
	return text
}

// Names returns the comma-separated names in key, and adds a fault for each that is invalid
// or listed before.
func (s *Section) Names(key string) []string {
	names := s.List(key)
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if !IsValidName(name) {
			s.AddFault(key, "%q is not a name; %s", name, nameRule)
		}
		if seen[name] {
			s.AddFault(key, "%q is listed twice", name)
		}
		seen[name] = true
	}
	return names
}

// addressRule describes the addresses that Address accepts.
const addressRule = "allowed is IP:PORT with a port from 1 to 65535, such as 10.20.0.7:7310"

// Address returns the value of key, and adds a fault if it is missing or not a valid
// IP:PORT.
func (s *Section) Address(key string) string {
	text := s.Text(key, "")
	if text == "" {
		s.AddFault(key, "is required; %s", addressRule)
		return ""
	}
	return s.OptionalAddress(key)
}

// OptionalAddress returns the value of key, or "" if it is missing, and adds a fault if it
// is not a valid IP:PORT.
func (s *Section) OptionalAddress(key string) string {
	text := s.Text(key, "")
	if text != "" {
		s.checkAddress(key, text)
	}
	return text
}

// Addresses returns the comma-separated IP:PORT addresses in key, and adds a fault if there
// are none or one is invalid.
func (s *Section) Addresses(key string) []string {
	list := s.List(key)
	if len(list) == 0 {
		s.AddFault(key, "is required; %s, with commas between several", addressRule)
	}
	for _, text := range list {
		s.checkAddress(key, text)
	}
	return list
}

func (s *Section) checkAddress(key, text string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
		s.AddFault(key, "%q is not an address; %s", text, addressRule)
	}
}

// Int returns the integer in key, or fallback if the key is missing. A value that is not an
// integer from least to most is a fault.
func (s *Section) Int(key string, fallback, least, most int) int {
	text := s.Text(key, "")
	if !s.Has(key) {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		s.AddFault(key, "%q is not a whole number; allowed are %d to %d", text, least, most)
		return fallback
	}
	return checkRange(s, key, n, least, most)
}

// Uint returns the unsigned 64-bit integer in key. A missing or invalid value is a fault.
func (s *Section) Uint(key string) uint64 {
	text := s.Required(key)
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil && text != "" {
		s.AddFault(key, "%q is not a whole number", text)
	}
	return n
}

// Float returns the number in key, or fallback if the key is missing. A value that is not a
// number from least to most is a fault.
func (s *Section) Float(key string, fallback, least, most float64) float64 {
	text := s.Text(key, "")
	if !s.Has(key) {
		return fallback
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) {
		s.AddFault(key, "%q is not a number; allowed are %g to %g", text, least, most)
		return fallback
	}
	return checkRange(s, key, n, least, most)
}

// Duration returns the duration in key, such as 250ms or 2s, or fallback if the key is
// missing. A value that is not a duration from least to most is a fault.
func (s *Section) Duration(key string, fallback, least, most time.Duration) time.Duration {
	text := s.Text(key, "")
	if !s.Has(key) {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		s.AddFault(key, "%q is not a duration with a unit (us, ms, s, m, h); allowed are %s to %s", text, least, most)
		return fallback
	}
	return checkRange(s, key, d, least, most)
}

func checkRange[T cmp.Ordered](s *Section, key string, value, least, most T) T {
	if value < least || value > most {
		s.AddFault(key, "%v is out of range; allowed are %v to %v", value, least, most)
	}
	return value
}

// Bool returns the boolean in key, or fallback if the key is missing. A value other than
// true or false is a fault.
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
	s.AddFault(key, "%q is neither true nor false", text)
	return fallback
}

// Choice returns the value of key, or fallback if the key is missing. A value that is not
// among the allowed ones is a fault.
func (s *Section) Choice(key, fallback string, allowed ...string) string {
	text := s.Text(key, fallback)
	if !slices.Contains(allowed, text) {
		s.AddFault(key, "%q is not one of %s", text, strings.Join(allowed, ", "))
		return fallback
	}
	return text
}

// List returns the comma-separated values in key, without empty ones.
func (s *Section) List(key string) []string {
	var values []string
	for value := range strings.SplitSeq(s.Text(key, ""), ",") {
		if value = strings.TrimSpace(value); value != "" {
			values = append(values, value)
		}
	}
	return values
}

// RejectUnused adds a fault for every key that has not been read.
func (s *Section) RejectUnused() {
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		if !s.used[key] {
			known := strings.Join(slices.Sorted(maps.Keys(s.used)), ", ")
			s.AddFault(key, "unknown key; known are %s", known)
		}
	}
}
