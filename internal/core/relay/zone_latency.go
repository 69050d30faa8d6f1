package relay

import "time"

// priorExtra is the assumed time that the way to a target adds until any message went to
// its zone.
var priorExtra = [distances]time.Duration{0, 4 * time.Millisecond, 45 * time.Millisecond}

// floorRise is the share by which the least time seen rises with each sample, so that it
// follows a way that became longer.
const floorRise = 0.002

// zoneDelays holds for each availability zone the least time that a request there took.
// The difference to the own zone is the way.
type zoneDelays struct {
	own    string
	floors map[string]time.Duration
	// ways is the least time of a message to a host of the zone and back.
	ways map[string]time.Duration
}

// heardFrom takes the time of a message to a host of the zone and back.
func (z *zoneDelays) heardFrom(zone string, took time.Duration) {
	if least, known := z.ways[zone]; !known || took < least {
		z.ways[zone] = took
	}
}

func (z *zoneDelays) add(zone string, elapsed time.Duration) {
	floor, known := z.floors[zone]
	if !known || elapsed < floor {
		z.floors[zone] = elapsed
		return
	}
	z.floors[zone] = floor + time.Duration(floorRise*float64(floor))
}

// extra is the time that the way to the target adds: before any request, that of a
// message to a host of its zone.
func (z *zoneDelays) extra(t *target) time.Duration {
	if t.distance == sameZone {
		return 0
	}
	floor, known := z.floors[t.spec.Zone]
	own, ownKnown := z.floors[z.own]
	if way, heard := z.ways[t.spec.Zone]; heard && (!known || !ownKnown) {
		return way
	}
	if !known || !ownKnown {
		return priorExtra[t.distance]
	}
	return max(0, floor-own)
}
