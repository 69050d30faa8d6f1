// Package decision defines the log records in which a core reports its decisions. The core
// names the event and its attributes; the code around the core formats and writes the record.
package decision

import "time"

// Level is the severity of a record.
type Level int

// Levels in ascending order of severity.
const (
	Info Level = iota
	Warn
	Error
)

// Attr is one attribute of a record: an input or a result of the decision.
type Attr struct {
	Key   string
	Value any
}

// Record is the log record of one decision.
type Record struct {
	Level Level
	Event string
	Attrs []Attr
}

// New returns a record at level Info.
func New(event string, attrs ...Attr) Record { return Record{Event: event, Attrs: attrs} }

// Warning returns a record at level Warn, for a decision that may need an operator's attention.
func Warning(event string, attrs ...Attr) Record {
	return Record{Level: Warn, Event: event, Attrs: attrs}
}

// String returns an attribute with a string value.
func String(key, value string) Attr { return Attr{Key: key, Value: value} }

// Uint returns an attribute with an unsigned value, such as a version or revision.
func Uint(key string, value uint64) Attr { return Attr{Key: key, Value: value} }

// Int returns an attribute with an integer value.
func Int(key string, value int) Attr { return Attr{Key: key, Value: value} }

// Float returns an attribute with a fractional value.
func Float(key string, value float64) Attr { return Attr{Key: key, Value: value} }

// Bool returns an attribute with a boolean value.
func Bool(key string, value bool) Attr { return Attr{Key: key, Value: value} }

// Millis returns an attribute with a duration in milliseconds; it appends "_ms" to the key.
func Millis(key string, d time.Duration) Attr {
	return Attr{Key: key + "_ms", Value: float64(d.Microseconds()) / 1000}
}
