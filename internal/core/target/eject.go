package target

import "time"

const (
	// minHold and the maxima bound how long a target that refused is left alone; the
	// hold doubles with each refusal in a row.
	minHold            = 2 * time.Millisecond
	maxShedHold        = 32 * time.Millisecond
	maxUnreachableHold = time.Second
	// probeRefusals is how many refusals in a row leave a target one request at a time.
	probeRefusals = 3

	// ejectLosses is how many requests in a row must be lost for an ejection.
	ejectLosses = 5
	// ejectSamples is how many replies a target is judged by.
	ejectSamples = 32
	// ejectFactor is how many times its best peer's latency makes a target an outlier.
	ejectFactor = 4
	// minOutlierLatency is below any latency that is worth an ejection.
	minOutlierLatency = 2 * time.Millisecond
	// minEjection doubles with each ejection in a row, up to maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second

	// maxGroup is the number of replicas for which a choice needs no memory.
	maxGroup = 16
)

// Standing is what a host concludes of a target from the outcomes of its own requests,
// and the one hint it takes from the target's health endpoint.
type Standing struct {
	heldUntil    time.Duration
	ejectedUntil time.Duration
	refusals     uint8
	losses       uint8
	ejections    uint8
	samples      uint8
	unreachable  bool
	// hinted is set while the health endpoint alone says that the target is leaving.
	hinted bool
}

// UnderPressure reports whether the target's last word was a refusal: it gets no hedge.
func (s *Standing) UnderPressure() bool { return s.refusals > 0 }

// Ejected reports whether the target is an outlier at now.
func (s *Standing) Ejected(now time.Duration) bool { return now < s.ejectedUntil }

// HeldUntil returns when the target may be tried again, 0 where it is not held.
func (s *Standing) HeldUntil() time.Duration { return s.heldUntil }

// held reports whether the target is left alone after a refusal. One that could not be
// reached, or that refused several times in a row, is then tried by one request at a time.
func (e *Entry) held(now time.Duration) bool {
	return now < e.heldUntil || (e.InFlight > 0 && (e.unreachable || e.refusals >= probeRefusals))
}

// Refused records that the target did not run a request: it shed it, or was not
// reached. The refusals of one burst count once.
func (t *Table) Refused(id ID, now time.Duration, unreachable bool) {
	s := &t.entries[id].Standing
	if now < s.heldUntil {
		return
	}
	longest := maxShedHold
	if unreachable {
		longest = maxUnreachableHold
	}
	hold := doubled(minHold, longest, s.refusals)
	s.refusals = min(s.refusals, 254) + 1
	s.unreachable = unreachable
	s.heldUntil = now + hold/2 + time.Duration(t.rng.Int64N(int64(hold)))
}

// Lost records that a request's outcome is unknown; several in a row eject the target.
func (t *Table) Lost(id ID, now time.Duration) {
	s := &t.entries[id].Standing
	s.losses = min(s.losses, 254) + 1
	if s.losses >= ejectLosses {
		s.eject(now)
	}
}

// Answered records a whole reply and judges the target's latency among its group.
func (t *Table) Answered(id ID, now time.Duration, group []ID) {
	e := &t.entries[id]
	s := &e.Standing
	s.refusals, s.losses, s.unreachable, s.hinted, s.heldUntil = 0, 0, false, false, 0
	s.samples++
	if s.samples < ejectSamples {
		return
	}
	s.samples = 0
	if t.outlier(e, group) {
		s.eject(now)
		return
	}
	s.ejections = 0
}

// outlier reports whether e is far slower than the best of its group whose latency is
// known.
func (t *Table) outlier(e *Entry, group []ID) bool {
	if e.Latency < minOutlierLatency {
		return false
	}
	for _, id := range group {
		peer := &t.entries[id]
		if peer != e && peer.Latency > 0 && !peer.Cold && peer.Usable() && e.Latency > ejectFactor*peer.Latency {
			return true
		}
	}
	return false
}

func (s *Standing) eject(now time.Duration) {
	s.ejectedUntil = now + doubled(minEjection, maxEjection, s.ejections)
	s.ejections = min(s.ejections, 254) + 1
	s.losses = 0
	s.samples = 0
}

func doubled(least, most time.Duration, times uint8) time.Duration {
	d := least
	for range times {
		if d >= most {
			return most
		}
		d *= 2
	}
	return min(d, most)
}

// HintLeaving takes the health endpoint's word: such a target comes after its peers,
// and the next whole reply outranks the hint.
func (t *Table) HintLeaving(id ID, leaving bool) { t.entries[id].hinted = leaving }

// Lacking tells whether a target counts as not holding what is asked for.
type Lacking func(ID) bool

// Choice says what was found in a group.
type Choice struct {
	ID ID
	// Usable tells whether any replica may take work, now or later.
	Usable bool
	// Retry is when a held replica may be tried again, 0 where none is held.
	Retry time.Duration
}

// Choose picks a replica of the group other than avoid. A held replica is not chosen.
// An ejected one, and one said to be leaving by its health endpoint alone, is chosen
// only where no other usable replica is left, so that the last is never ejected. A cold
// replica that takes nothing from this host now is none.
func (t *Table) Choose(now time.Duration, group []ID, avoid ID, lacking Lacking) Choice {
	var memory [maxGroup]ID
	good, rest := memory[:0], 0
	c := Choice{ID: None}
	for _, id := range group {
		e := &t.entries[id]
		if !e.mayTake(id, avoid, lacking) {
			continue
		}
		c.Usable = true
		switch {
		case e.held(now):
			if c.Retry == 0 || e.heldUntil < c.Retry {
				c.Retry = e.heldUntil
			}
		case e.hinted || e.Ejected(now):
			rest++
		case e.Cold && !t.hasRoom(id):
		default:
			good = append(good, id)
		}
	}
	if len(good) == 0 && rest > 0 {
		good = t.secondRate(now, group, avoid, lacking, good)
	}
	if len(good) > 0 {
		c.ID, _ = t.Pick(good, avoid)
	}
	return c
}

// mayTake reports whether the replica may answer at all.
func (e *Entry) mayTake(id, avoid ID, lacking Lacking) bool {
	return id != avoid && e.Usable() && (lacking == nil || !lacking(id))
}

func (t *Table) secondRate(now time.Duration, group []ID, avoid ID, lacking Lacking, into []ID) []ID {
	for _, id := range group {
		e := &t.entries[id]
		if !e.mayTake(id, avoid, lacking) || e.held(now) {
			continue
		}
		into = append(into, id)
	}
	return into
}

// AnyUsable reports whether a replica of the group may take work, now or later.
func (t *Table) AnyUsable(group []ID, lacking Lacking) bool {
	for _, id := range group {
		if t.entries[id].Usable() && (lacking == nil || !lacking(id)) {
			return true
		}
	}
	return false
}

// InFlight returns the number of requests in progress at the group.
func (t *Table) InFlight(group []ID) int {
	n := 0
	for _, id := range group {
		n += t.entries[id].InFlight
	}
	return n
}
