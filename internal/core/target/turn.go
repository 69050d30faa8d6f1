package target

import (
	"hash/fnv"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
)

const (
	// TurnLength is the time for which one host has exclusive use of a cold target.
	TurnLength = 2 * time.Second
	// MaxClockSkew is the largest allowed difference between any two wall clocks among the
	// hosts and targets. Each turn has a guard interval of this length at both ends.
	MaxClockSkew = 250 * time.Millisecond
	// maxHostListLag is the longest time for which other hosts may still use a replaced
	// host list.
	maxHostListLag = 30 * time.Second
)

// Turn is an interval of the wall clock in which a single host, the holder, may send to a
// cold target. New requests start only in [Opens, Closes); the target refuses them after
// Ends.
type Turn struct {
	Number int64
	Opens  time.Duration
	Closes time.Duration
	Ends   time.Duration
}

// TurnAt returns the turn that contains the given wall-clock time.
func TurnAt(wall time.Duration) Turn {
	number := int64(wall / TurnLength)
	start := time.Duration(number) * TurnLength
	end := start + TurnLength
	return Turn{Number: number, Opens: start + MaxClockSkew, Closes: end - MaxClockSkew, Ends: end}
}

// Open reports whether new requests may start at the given wall-clock time.
func (t Turn) Open(wall time.Duration) bool { return wall >= t.Opens && wall < t.Closes }

// nextOpening returns the first wall-clock time after wall at which a turn opens.
func nextOpening(wall time.Duration) time.Duration {
	t := TurnAt(wall)
	if wall < t.Opens {
		return t.Opens
	}
	return t.Opens + TurnLength
}

// Holder returns the host that holds the turn with this number at the target, or "" if
// there are no hosts. Each host holds one of any len(hosts) consecutive turns.
func Holder(target string, number int64, hosts []string) string {
	if len(hosts) == 0 {
		return ""
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(target))
	n := uint64(len(hosts))
	return hosts[(h.Sum64()%n+uint64(number)%n)%n]
}

// roster holds the published host list and the replaced lists that other hosts may still
// use. This host holds a turn only if all these lists assign the turn to it, so that two
// hosts with different lists never hold the same turn.
type roster struct {
	self  string
	lists []hostList
}

type hostList struct {
	hosts []string
	// obsoleteAt is the monotonic time from which no host uses a replaced list.
	obsoleteAt time.Duration
}

// update sets the current list to hosts, which must be sorted.
func (r *roster) update(now clock.Instant, hosts []string) {
	last := len(r.lists) - 1
	if last >= 0 && slices.Equal(r.lists[last].hosts, hosts) {
		return
	}
	if last >= 0 {
		r.lists[last].obsoleteAt = now.Mono + maxHostListLag
	}
	r.lists = slices.DeleteFunc(r.lists, func(l hostList) bool { return l.obsoleteAt <= now.Mono })
	r.lists = append(r.lists, hostList{hosts: hosts})
}

// hostCount returns the number of published hosts, at least 1.
func (r *roster) hostCount() int {
	if len(r.lists) == 0 {
		return 1
	}
	return max(1, len(r.lists[len(r.lists)-1].hosts))
}

// holdsTurn reports whether this host holds the turn with this number at the target.
func (r *roster) holdsTurn(now clock.Instant, target string, number int64) bool {
	last := len(r.lists) - 1
	for i := range r.lists {
		l := &r.lists[i]
		if i < last && l.obsoleteAt <= now.Mono {
			continue
		}
		if Holder(target, number, l.hosts) != r.self {
			return false
		}
	}
	return last >= 0
}
