package target

import (
	"hash/fnv"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
)

const (
	// TurnLength is how long one host may hold a cold target.
	TurnLength = 2 * time.Second
	// MaxClockSkew is the allowed difference between the wall clocks of any two of
	// hosts and targets. Each turn has a guard of this length at both ends.
	MaxClockSkew = 250 * time.Millisecond
	// rosterSettle is how long a replaced host list may still be in force elsewhere.
	rosterSettle = 30 * time.Second
)

// Turn is one interval of the wall clock in which a single host may hold a cold target.
// New work starts in [Opens, Closes) only; the target refuses it after Ends.
type Turn struct {
	Number int64
	Opens  time.Duration
	Closes time.Duration
	Ends   time.Duration
}

// TurnAt returns the turn that contains the wall-clock time.
func TurnAt(wall time.Duration) Turn {
	number := int64(wall / TurnLength)
	begins := time.Duration(number) * TurnLength
	ends := begins + TurnLength
	return Turn{Number: number, Opens: begins + MaxClockSkew, Closes: ends - MaxClockSkew, Ends: ends}
}

// Open reports whether new work may start at the wall-clock time.
func (t Turn) Open(wall time.Duration) bool { return wall >= t.Opens && wall < t.Closes }

// nextOpening returns the wall-clock time at which the next turn opens.
func nextOpening(wall time.Duration) time.Duration {
	t := TurnAt(wall)
	if wall < t.Opens {
		return t.Opens
	}
	return t.Opens + TurnLength
}

// Holder returns the host that holds the turn of this number at the target, and "" for
// no hosts. Every host of the list holds one of len(hosts) turns in a row.
func Holder(target string, number int64, hosts []string) string {
	if len(hosts) == 0 {
		return ""
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(target))
	n := uint64(len(hosts))
	return hosts[(h.Sum64()%n+uint64(number)%n)%n]
}

// roster is the published host list as this host sees it. While a list may still be in
// force elsewhere, a turn is used only where every list gives it to the same host, so
// that hosts that disagree on the list never hold the same turn.
type roster struct {
	self  string
	lists []hostList
}

type hostList struct {
	hosts []string
	// until is when a replaced list is over everywhere, on the monotonic clock.
	until time.Duration
}

// update makes hosts, which are sorted, the list in force.
func (r *roster) update(now clock.Instant, hosts []string) {
	last := len(r.lists) - 1
	if last >= 0 && slices.Equal(r.lists[last].hosts, hosts) {
		return
	}
	if last >= 0 {
		r.lists[last].until = now.Mono + rosterSettle
	}
	r.lists = slices.DeleteFunc(r.lists, func(l hostList) bool { return l.until <= now.Mono })
	r.lists = append(r.lists, hostList{hosts: hosts})
}

// size returns the number of published hosts, at least 1.
func (r *roster) size() int {
	if len(r.lists) == 0 {
		return 1
	}
	return max(1, len(r.lists[len(r.lists)-1].hosts))
}

// holds reports whether this host holds the turn at the target.
func (r *roster) holds(now clock.Instant, target string, number int64) bool {
	last := len(r.lists) - 1
	for i := range r.lists {
		l := &r.lists[i]
		if i < last && l.until <= now.Mono {
			continue
		}
		if Holder(target, number, l.hosts) != r.self {
			return false
		}
	}
	return last >= 0
}
