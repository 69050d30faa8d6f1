package logs

import (
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Panics logs and counts the panics that ended only the work for one request, message or connection.
type Panics struct {
	log   zerolog.Logger
	count atomic.Uint64
}

// NewPanics returns Panics that write to log.
func NewPanics(log zerolog.Logger) *Panics { return &Panics{log: log} }

// Report records a panic. err has its stack.
func (p *Panics) Report(err error) {
	p.count.Add(1)
	p.log.Error().Str("event", "panic_recovered").Err(err).Send()
}

// Count returns the number of panics.
func (p *Panics) Count() uint64 { return p.count.Load() }
