package watch

import (
	"time"

	"pollentack.example/pollentack/internal/core/release"
)

const (
	// watchersPerZone is the number of hosts of an availability zone that watch at a time.
	watchersPerZone = 2
	// turnLength is how long a host watches before the next takes over.
	turnLength = time.Minute
	// maxClockSkew is the allowed difference between the wall clocks of two hosts. A host
	// watches that much longer at both ends of its turn, so that no gap opens.
	maxClockSkew = 250 * time.Millisecond
)

// zone is the published hosts of one availability zone, as one of them sees it.
type zone struct {
	size int
	// position is this host's place among the names in their order, -1 if it is not one.
	position int
}

func newZone(hosts []release.Host, name, self string) zone {
	z := zone{position: -1}
	before := 0
	for i := range hosts {
		if hosts[i].Zone != name {
			continue
		}
		z.size++
		switch {
		case hosts[i].Name == self:
			z.position = 0
		case hosts[i].Name < self:
			before++
		}
	}
	if z.position == 0 {
		z.position = before
	}
	return z
}

// watchesIn reports whether the host watches in a turn. Every host of the zone has its
// turn, two at a time.
func (z zone) watchesIn(turn int64) bool {
	if z.position < 0 {
		return false
	}
	n := int64(z.size)
	first := turn % n * watchersPerZone % n
	return (int64(z.position)-first+n)%n < watchersPerZone
}

// watchesAt reports whether the host watches at a wall-clock time.
func (z zone) watchesAt(wall time.Duration) bool {
	late := int64((wall - maxClockSkew) / turnLength)
	early := int64((wall + maxClockSkew) / turnLength)
	return z.watchesIn(late) || z.watchesIn(early)
}

// untilTurn returns the time until the set of watchers may next change.
func untilTurn(wall time.Duration) time.Duration {
	opens := wall.Truncate(turnLength) + turnLength - maxClockSkew
	if opens <= wall {
		opens += turnLength
	}
	closes := wall.Truncate(turnLength) + maxClockSkew
	if closes <= wall {
		closes += turnLength
	}
	return min(opens, closes) - wall
}
