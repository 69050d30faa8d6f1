// Package logs creates the logger of the process. It writes JSON lines, each with an event
// name, and limits the rate of each event, so that a repeated fault cannot flood the log.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// linesPerWindow is the number of lines of one event that are written in a window.
	linesPerWindow = 20
	window         = 10 * time.Second
	// maxEventNames is the number of events that are counted separately. Further events share
	// one count.
	maxEventNames = 256
	// timeFormat has milliseconds: the order of decisions on several hosts often shows only there.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// New returns a logger with the given level that writes to w; an invalid level means info. It
// suppresses the lines of an event above the limit, and writes their number in an event
// "log_limited" when the suppressed event next occurs in a later window.
func New(w io.Writer, level string) zerolog.Logger {
	return NewLimited(w, level, linesPerWindow)
}

// NewLimited is like New, but lines is the maximum number of lines of one event in ten seconds.
func NewLimited(w io.Writer, level string, lines int) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	limited := &limiter{out: w, linesPerWindow: lines, now: time.Now, events: map[string]*windowCount{}}
	return zerolog.New(limited).Level(parsed).Hook(zerolog.HookFunc(addTime))
}

// addTime adds the time of a line.
func addTime(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().Format(timeFormat))
}

// limiter is a writer of JSON lines that limits the lines of each event.
type limiter struct {
	out            io.Writer
	linesPerWindow int
	now            func() time.Time

	mu     sync.Mutex
	events map[string]*windowCount
}

// windowCount counts the lines of one event since the start of a window.
type windowCount struct {
	start      time.Time
	written    int
	suppressed int
}

// Write writes one line, or suppresses it if its event has reached the limit.
func (l *limiter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := eventName(line)
	c := l.countOf(name)
	now := l.now()
	if now.Sub(c.start) >= window {
		suppressed := c.suppressed
		*c = windowCount{start: now}
		if suppressed > 0 {
			summary := fmt.Sprintf("{\"level\":\"warn\",\"event\":\"log_limited\",\"of\":%q,\"left_out\":%d,\"time\":%q}\n", name, suppressed, now.Format(timeFormat))
			if _, err := io.WriteString(l.out, summary); err != nil {
				return 0, err
			}
		}
	}
	if c.written >= l.linesPerWindow {
		c.suppressed++
		return len(line), nil
	}
	c.written++
	return l.out.Write(line)
}

// countOf returns the count of an event, or the shared count once maxEventNames events exist.
func (l *limiter) countOf(name string) *windowCount {
	if c, ok := l.events[name]; ok {
		return c
	}
	if len(l.events) >= maxEventNames {
		name = ""
	}
	c := l.events[name]
	if c == nil {
		c = &windowCount{}
		l.events[name] = c
	}
	return c
}

var eventKey = []byte(`"event":"`)

// eventName returns the event name of a line, "" if it has none.
func eventName(line []byte) string {
	at := bytes.Index(line, eventKey)
	if at < 0 {
		return ""
	}
	rest := line[at+len(eventKey):]
	return string(rest[:max(0, bytes.IndexByte(rest, '"'))])
}
