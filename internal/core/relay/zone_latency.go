package relay

import "time"

// defaultZoneDelay is the assumed network delay to a target by distance until a message to
// its availability zone has been measured.
var defaultZoneDelay = [distanceCount]time.Duration{0, 4 * time.Millisecond, 45 * time.Millisecond}

// minLatencyRise is the relative increase of the minimum latency with each sample, so that it
// follows an increase of the network delay.
const minLatencyRise = 0.002

// zoneLatency holds the minimum request latency of each availability zone. The difference
// to the minimum of the host's own zone is the network delay.
type zoneLatency struct {
	own        string
	minLatency map[string]time.Duration
	// minRTT is the minimum round-trip time of a message to a host of each zone.
	minRTT map[string]time.Duration
}

// observeRTT records the round-trip time of a message to a host of the zone.
func (z *zoneLatency) observeRTT(zone string, rtt time.Duration) {
	if minimum, known := z.minRTT[zone]; !known || rtt < minimum {
		z.minRTT[zone] = rtt
	}
}

func (z *zoneLatency) observeLatency(zone string, elapsed time.Duration) {
	minimum, known := z.minLatency[zone]
	if !known || elapsed < minimum {
		z.minLatency[zone] = elapsed
		return
	}
	z.minLatency[zone] = minimum + time.Duration(minLatencyRise*float64(minimum))
}

// delayTo returns the network delay that a request to the target incurs. Until requests to
// both zones have been measured it is the minimum round-trip time to a host of the target's
// zone, or else the default for the distance.
func (z *zoneLatency) delayTo(t *target) time.Duration {
	if t.distance == sameZone {
		return 0
	}
	minimum, known := z.minLatency[t.spec.Zone]
	ownMinimum, ownKnown := z.minLatency[z.own]
	if rtt, measured := z.minRTT[t.spec.Zone]; measured && (!known || !ownKnown) {
		return rtt
	}
	if !known || !ownKnown {
		return defaultZoneDelay[t.distance]
	}
	return max(0, minimum-ownMinimum)
}
