package discovery

import (
	"fmt"
	"maps"
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
)

// When the store comes back from an older copy, its revisions go back and are given out again: a new
// era begins, in which this host learns all items anew. What the copy lacks is written again within
// seconds, and until then this host holds on to what it knew: the copy's configuration is older, its
// targets may have left, and an availability zone may be evacuated that it does not name.

const (
	// defaultReportInterval is the Config.ReportInterval of a host without one.
	defaultReportInterval = time.Second
	// holdReports is the number of report intervals for which a host distrusts a copy. The entry of
	// a target that has left expires after three of them.
	holdReports = 4
)

// eraChange is the relation of a reply's era to the one that this host follows.
type eraChange int

const (
	sameEra eraChange = iota
	newEra
	outdatedEra
)

// formerState is what a host knew of the store's data before it went back to an older copy.
type formerState struct {
	// until is when the store's data counts as complete again, 0 if it does.
	until time.Duration
	// gone holds the targets whose entries were deleted, by name, as their last entry described
	// them.
	gone map[string]*catalog.Target
	// evacuated holds the availability zones that were evacuated.
	evacuated map[string]bool
}

func newFormerState() formerState { return formerState{gone: map[string]*catalog.Target{}} }

// followEra compares the era of a reply with the one that this host follows, and begins to learn all
// items anew if it is a later one. revision is the source's revision, 0 if it is not known.
func (f *Follower) followEra(now clock.Instant, era, revision uint64, fx *Effects) eraChange {
	switch {
	case era == f.view.Era, era == 0 && f.current == storeSource:
		return sameEra
	case f.view.Era == 0:
		f.view.Era, f.servedEra = era, era
		return sameEra
	case era < f.view.Era:
		return outdatedEra
	}
	fx.Records = append(fx.Records, decision.Warning("store_restored",
		decision.Uint("era", era), decision.Uint("era_before", f.view.Era), decision.Uint("revision", revision),
		decision.Uint("revision_before", f.view.Revision), decision.String("source", f.current)))
	f.holdOn(now)
	for key := range f.items {
		it := f.items[key]
		if known := f.former.gone[it.Name]; it.Deleted && it.Target != nil && (known == nil || it.Target.NewerThan(known)) {
			f.former.gone[it.Name] = it.Target
		}
	}
	f.former.evacuated = maps.Clone(f.view.EvacuatedZones)
	f.items, f.deletedItems, f.forgotten = map[string]Item{}, 0, 0
	f.view.Era, f.view.Revision, f.knownSince = era, 0, 0
	f.rebuilding = true
	f.beginList(now)
	return newEra
}

// errOutdatedEra is the reason of a call whose reply is of an era before the known one.
func errOutdatedEra(got, want uint64) *CallFailed {
	return &CallFailed{Reason: fmt.Sprintf("reply of the store's era %d, want %d or later", got, want)}
}

// endRebuild is called once the items of a new era are known. exists reports whether there is an
// item with a key: a target without one is removed unless it is written again.
func (f *Follower) endRebuild(now clock.Instant, exists func(key string) bool, fx *Effects) {
	for name := range f.view.Targets {
		if !exists(f.targetKeys[name]) {
			f.scheduleRemoval(now, name, f.view.Revision)
		}
	}
	f.holdOn(now)
	f.rebuilding = false
	f.servedEra = f.view.Era
	for key := range f.items {
		fx.AppliedItems = append(fx.AppliedItems, f.items[key])
	}
	f.updateZones(fx)
}

// holdOn has this host distrust the store's data for the time in which it is written again.
func (f *Follower) holdOn(now clock.Instant) {
	f.former.until = now.Mono + holdReports*f.cfg.ReportInterval
}

// holds reports whether this host distrusts the store's data.
func (f *Follower) holds(now time.Duration) bool { return f.rebuilding || now < f.former.until }

// distrusts reports whether an entry may be that of the copy, because it is not newer than what this
// host knows of the target. A target that is in use stays as it is known, and one that is gone stays
// out of use.
func (f *Follower) distrusts(now clock.Instant, it *Item) bool {
	if !f.holds(now.Mono) || it.Target == nil {
		return false
	}
	if gone := f.former.gone[it.Name]; gone != nil {
		if !it.Target.NewerThan(gone) {
			return true
		}
		delete(f.former.gone, it.Name)
		return false
	}
	known := f.view.Targets[it.Name]
	if known == nil || it.Target.NewerThan(known) {
		return false
	}
	delete(f.removals, it.Name)
	return true
}

// endHold applies what this host did not take from the copy and what was not written again since.
func (f *Follower) endHold(now clock.Instant, fx *Effects) {
	if f.former.until == 0 || f.holds(now.Mono) {
		return
	}
	f.former = newFormerState()
	for key := range f.items {
		it := f.items[key]
		if it.Kind != TargetItem || it.Deleted || it.Target == nil {
			continue
		}
		if known := f.view.Targets[it.Name]; known == nil || known.NewerThan(it.Target) {
			f.applyTarget(now, &it)
		}
	}
	f.updateZones(fx)
}

// updateZones applies which availability zones are evacuated. One that was evacuated before the copy
// stays so while the copy is distrusted, unless an item says otherwise.
func (f *Follower) updateZones(fx *Effects) {
	evacuated := map[string]uint64{}
	for zone := range f.former.evacuated {
		evacuated[zone] = f.view.Revision
	}
	for key := range f.items {
		switch it := f.items[key]; {
		case it.Kind != ZoneItem:
		case it.Deleted:
			delete(evacuated, it.Name)
		default:
			evacuated[it.Name] = it.Revision
		}
	}
	for zone := range f.view.EvacuatedZones {
		if _, still := evacuated[zone]; !still {
			f.setZoneEvacuated(zone, false, f.view.Revision, fx)
		}
	}
	for zone, revision := range evacuated {
		f.setZoneEvacuated(zone, true, revision, fx)
	}
}
