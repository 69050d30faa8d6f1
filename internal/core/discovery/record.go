package discovery

import (
	"fmt"
	"strings"
	"time"

	"pollentack.example/pollentack/internal/core/decision"
)

const (
	// maxTargetRecords is the number of changes of one kind in a step that get a record each. A
	// release or the loss of an availability zone changes hundreds of targets at once, and as
	// many lines would delay the requests of a small host.
	maxTargetRecords = 8
	// targetsPerRecord is the number of targets in a joint record.
	targetsPerRecord = 100
)

// goneEntry is a target whose entry was deleted, at a revision of the store. contactAge is how old
// the contact with the store was when the deletion became known.
type goneEntry struct {
	name       string
	revision   uint64
	removalIn  time.Duration
	contactAge time.Duration
}

// recordTargets records the changes to targets since the last call.
func (f *Follower) recordTargets(fx *Effects) {
	recordEach(fx, f.published, "targets_published", func(it *Item) decision.Record {
		return decision.New("target_published",
			decision.String("target", it.Name), decision.String("service", it.Target.Service), decision.String("address", it.Target.Address),
			decision.String("state", stateName(it)), decision.Uint("revision", it.Revision))
	}, func(it *Item) string {
		return fmt.Sprintf("%s %s %s %s %d", it.Name, it.Target.Service, it.Target.Address, stateName(it), it.Revision)
	})
	recordEach(fx, f.gone, "target_entries_gone", func(g goneEntry) decision.Record {
		return decision.New("target_entry_gone",
			decision.String("target", g.name), decision.Uint("revision", g.revision), decision.Millis("removal_in", g.removalIn),
			decision.Millis("contact_age", g.contactAge))
	}, func(g goneEntry) string { return fmt.Sprintf("%s %d", g.name, g.revision) })
	recordEach(fx, f.removed, "targets_removed", func(name string) decision.Record {
		return decision.New("target_removed", decision.String("target", name))
	}, func(name string) string { return name })
	f.published, f.gone, f.removed = nil, nil, nil
}

func stateName(it *Item) string {
	if it.Target.Draining {
		return "draining"
	}
	return "ready"
}

// recordEach adds a record for each of a few changes, and joint records for more.
func recordEach[T any](fx *Effects, changes []T, joint string, record func(T) decision.Record, describe func(T) string) {
	if len(changes) <= maxTargetRecords {
		for _, c := range changes {
			fx.Records = append(fx.Records, record(c))
		}
		return
	}
	for len(changes) > 0 {
		n := min(targetsPerRecord, len(changes))
		texts := make([]string, n)
		for i, c := range changes[:n] {
			texts[i] = describe(c)
		}
		fx.Records = append(fx.Records, decision.New(joint, decision.Int("count", n), decision.String("targets", strings.Join(texts, "; "))))
		changes = changes[n:]
	}
}
