package discovery

import (
	"fmt"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
)

// When the store comes back from an older copy, its revisions go back and are given out again: a new
// era begins, in which this host learns all items anew.

// eraChange is the relation of a reply's era to the one that this host follows.
type eraChange int

const (
	sameEra eraChange = iota
	newEra
	outdatedEra
)

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
	f.items = map[string]Item{}
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
	f.rebuilding = false
	f.servedEra = f.view.Era
	for key := range f.items {
		fx.AppliedItems = append(fx.AppliedItems, f.items[key])
	}
	f.updateZones(fx)
}

// updateZones applies which availability zones are evacuated.
func (f *Follower) updateZones(fx *Effects) {
	evacuated := map[string]uint64{}
	for key := range f.items {
		if it := f.items[key]; it.Kind == ZoneItem && !it.Deleted {
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
