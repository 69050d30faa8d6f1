package discovery

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
)

// applyItems applies the items of a reply. Which zones are evacuated is worked out from all items, so
// that is done once.
func (f *Follower) applyItems(now clock.Instant, items []Item, fx *Effects) {
	zones := false
	for i := range items {
		zones = f.applyItem(now, &items[i], fx) && items[i].Kind == ZoneItem || zones
	}
	if zones {
		f.updateZones(fx)
	}
}

// applyItem applies an item if it is newer than the known item of the same key, and reports whether
// it is.
func (f *Follower) applyItem(now clock.Instant, it *Item, fx *Effects) bool {
	if it.Kind == OtherItem || it.Revision <= f.items[it.Key].Revision {
		return false
	}
	known := f.known(it, fx)
	f.setItem(&known)
	f.tellPeers(&known, fx)
	if it.DecodeError != "" {
		fx.Records = append(fx.Records, decision.Warning("item_unreadable",
			decision.String("key", it.Key), decision.Uint("revision", it.Revision), decision.String("fault", it.DecodeError)))
	}
	switch it.Kind {
	case ConfigItem:
		f.applyConfig(now, it, fx)
	case TargetItem:
		f.applyTarget(now, it)
	}
	return true
}

// known returns the item as this host keeps it and passes it on. That of a deleted target keeps what
// its last entry said, and a configuration older than the one in force is replaced by that one: the
// store has come back from an older copy, where the operator has not written it again yet.
func (f *Follower) known(it *Item, fx *Effects) Item {
	known := *it
	switch {
	case it.Kind == TargetItem:
		f.targetKeys[it.Name] = it.Key
		if it.Deleted {
			known.Target = f.items[it.Key].Target
		}
	case it.Kind == ConfigItem && it.Config != nil && f.view.Config != nil && it.Config.Version < f.view.Config.Version:
		fx.Records = append(fx.Records, decision.Warning("config_outdated",
			decision.Uint("version", it.Config.Version), decision.Uint("in_force", f.view.Config.Version), decision.Uint("revision", it.Revision),
			decision.Uint("era", f.view.Era), decision.String("source", f.current)))
		known.Config, known.Value = f.view.Config, f.configValue
	}
	return known
}

// applyConfig activates a configuration. If it was deleted or cannot be decoded, the
// previous configuration stays active.
func (f *Follower) applyConfig(now clock.Instant, it *Item, fx *Effects) {
	if it.Deleted || it.Config == nil {
		return
	}
	if f.view.Config != nil && it.Config.Version < f.view.Config.Version {
		return
	}
	f.view.Config, f.configValue = it.Config, it.Value
	f.view.ConfigRevision = it.Revision
	f.viewChanged = true
	fx.Records = append(fx.Records, decision.New("config_in_force",
		decision.Uint("version", it.Config.Version), decision.Uint("revision", it.Revision), decision.Int("routes", len(it.Config.Routes)),
		decision.String("source", f.current), decision.Millis("contact_age", now.Mono-f.contactAt)))
}

func (f *Follower) applyTarget(now clock.Instant, it *Item) {
	if it.Deleted {
		f.scheduleRemoval(now, it.Name, it.Revision)
		return
	}
	if f.distrusts(now, it) {
		return
	}
	delete(f.removals, it.Name)
	f.viewChanged = true
	if it.Target == nil {
		delete(f.view.Targets, it.Name)
		return
	}
	f.view.Targets[it.Name] = it.Target
	f.published = append(f.published, it)
}

func (f *Follower) scheduleRemoval(now clock.Instant, name string, revision uint64) {
	if _, known := f.view.Targets[name]; !known {
		return
	}
	if _, pending := f.removals[name]; pending {
		return
	}
	var delay time.Duration
	if f.complete {
		delay = f.removalDelay
	}
	f.removals[name] = now.Mono + delay
	f.gone = append(f.gone, goneEntry{name, revision, delay, now.Mono - f.contactAt})
}

func (f *Follower) removeDueTargets(now clock.Instant) {
	for name, due := range f.removals {
		if now.Mono < due {
			continue
		}
		delete(f.removals, name)
		delete(f.view.Targets, name)
		f.viewChanged = true
		f.removed = append(f.removed, name)
	}
}

func (f *Follower) setZoneEvacuated(zone string, evacuated bool, revision uint64, fx *Effects) {
	if f.view.EvacuatedZones[zone] == evacuated {
		return
	}
	if evacuated {
		f.view.EvacuatedZones[zone] = true
	} else {
		delete(f.view.EvacuatedZones, zone)
	}
	f.viewChanged = true
	event := "zone_returned"
	if evacuated {
		event = "zone_evacuated"
	}
	fx.Records = append(fx.Records, decision.New(event, decision.String("availability_zone", zone), decision.Uint("revision", revision)))
}
