package experiment

import (
	"time"

	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/testbed"
)

func init() {
	register(Experiment{
		Name:    "note",
		Summary: "time until a note is applied on nine hosts, and calls to the platform; baseline: every host polls the head",
		Run:     runNote,
	})
}

const (
	noteHosts = 9
	noteCount = 30
	// noteIdleTime is how long the calls of idle hosts are counted.
	noteIdleTime = 15 * time.Second
	// maxNoteSeconds bounds the time until the slowest note is applied on all hosts.
	maxNoteSeconds = 2.0
)

func runNote(_ uint64) (*Outcome, error) {
	polled, err := measureNotes(settings.PlatformPoll)
	if err != nil {
		return nil, err
	}
	watched, err := measureNotes(settings.PlatformWatch)
	if err != nil {
		return nil, err
	}
	return &Outcome{
		Baseline: polled.values(),
		Result:   watched.values(),
		Bound:    Values{"slowest_seconds_max": maxNoteSeconds},
		Holds:    watched.slowestSeconds <= maxNoteSeconds,
	}, nil
}

// noteStats holds the delay until notes are applied, and the platform calls, in one mode
// of reading the platform.
type noteStats struct {
	meanSeconds, slowestSeconds float64
	// idleCallsPerSecond counts the calls of all hosts while no note is published.
	idleCallsPerSecond float64
	// callsPerNote counts the calls of all hosts per note, idle ones included.
	callsPerNote float64
}

func (s noteStats) values() Values {
	return Values{
		"mean_seconds":          s.meanSeconds,
		"slowest_seconds":       s.slowestSeconds,
		"idle_calls_per_second": s.idleCallsPerSecond,
		"calls_per_note":        s.callsPerNote,
		"hosts":                 noteHosts,
		"notes":                 noteCount,
	}
}

func measureNotes(mode string) (noteStats, error) {
	var stats noteStats
	bed, err := testbed.Start(testbed.Layout{Seed: 1, Zones: testbed.ThreeZones(), Hosts: noteHosts}, testbed.Options{
		AdjustSettings: func(_ int, s *settings.Settings) {
			s.Platform.Mode = mode
			s.Platform.MaxWait = settings.Default().Platform.MaxWait
		},
	})
	if err != nil {
		return stats, err
	}
	defer bed.Stop()
	before := bed.Platform.Calls()
	time.Sleep(noteIdleTime)
	stats.idleCallsPerSecond = float64(bed.Platform.Calls()-before) / noteIdleTime.Seconds()

	before = bed.Platform.Calls()
	for range noteCount {
		published := time.Now()
		if err := bed.AwaitNote(bed.PublishChange()); err != nil {
			return stats, err
		}
		seconds := time.Since(published).Seconds()
		stats.slowestSeconds = max(stats.slowestSeconds, seconds)
		stats.meanSeconds += seconds / noteCount
	}
	stats.callsPerNote = float64(bed.Platform.Calls()-before) / noteCount
	return stats, nil
}
