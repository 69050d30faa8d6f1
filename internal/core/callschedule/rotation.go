package callschedule

import (
	"time"

	"pollentack.example/pollentack/internal/core/release"
)

const (
	// watchersPerZone is the number of hosts of an availability zone that watch at a time.
	watchersPerZone = 2
	// rotationInterval is the length of a round, after which the next hosts watch.
	rotationInterval = time.Minute
	// maxClockSkew is the largest tolerated difference between the wall clocks of two
	// hosts. A host extends its round by this much at both ends, so that there is no gap
	// between watchers.
	maxClockSkew = 250 * time.Millisecond
)

// zoneRotation is a host's place in the rotation of watchers of its availability zone.
type zoneRotation struct {
	size int
	// position is the host's index among the zone's hosts sorted by name, -1 if it is not
	// published.
	position int
}

func newZoneRotation(hosts []release.Host, name, self string) zoneRotation {
	r := zoneRotation{position: -1}
	before := 0
	for i := range hosts {
		if hosts[i].Zone != name {
			continue
		}
		r.size++
		switch {
		case hosts[i].Name == self:
			r.position = 0
		case hosts[i].Name < self:
			before++
		}
	}
	if r.position == 0 {
		r.position = before
	}
	return r
}

// watchesInRound reports whether the host watches in a round. The hosts of the zone
// rotate, watchersPerZone at a time.
func (r zoneRotation) watchesInRound(round int64) bool {
	if r.position < 0 {
		return false
	}
	n := int64(r.size)
	first := round % n * watchersPerZone % n
	return (int64(r.position)-first+n)%n < watchersPerZone
}

// watchesAt reports whether the host watches at a wall-clock time.
func (r zoneRotation) watchesAt(wall time.Duration) bool {
	lateRound := int64((wall - maxClockSkew) / rotationInterval)
	earlyRound := int64((wall + maxClockSkew) / rotationInterval)
	return r.watchesInRound(lateRound) || r.watchesInRound(earlyRound)
}

// untilRotation returns the time until the set of watchers may next change.
func untilRotation(wall time.Duration) time.Duration {
	nextStart := wall.Truncate(rotationInterval) + rotationInterval - maxClockSkew
	if nextStart <= wall {
		nextStart += rotationInterval
	}
	nextEnd := wall.Truncate(rotationInterval) + maxClockSkew
	if nextEnd <= wall {
		nextEnd += rotationInterval
	}
	return min(nextStart, nextEnd) - wall
}
