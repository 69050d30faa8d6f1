package target

import "time"

const (
	// minBackoff and the maxima bound the backoff after a refusal, before jitter. It
	// doubles with each consecutive refusal.
	minBackoff            = 2 * time.Millisecond
	maxShedBackoff        = 32 * time.Millisecond
	maxUnreachableBackoff = time.Second
	// refusalsBeforeProbe is the number of consecutive refusals from which a target gets
	// one request at a time.
	refusalsBeforeProbe = 3

	// lossesToEject is the number of consecutive lost requests that eject a target.
	lossesToEject = 5
	// repliesPerEvaluation is the number of replies between two checks for an outlier.
	repliesPerEvaluation = 32
	// outlierFactor times the latency of the fastest peer is the latency above which a
	// target is an outlier.
	outlierFactor = 4
	// minOutlierLatency is the latency below which a target is never an outlier.
	minOutlierLatency = 2 * time.Millisecond
	// minEjection is the duration of a first ejection. It doubles with each consecutive
	// ejection, up to maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second

	// maxStackReplicas is the number of replicas up to which Choose does not allocate.
	maxStackReplicas = 16
)

// OutlierState is a host's assessment of a target from the outcomes of its own requests,
// and the one hint that it takes from the target's health endpoint. Times are on the
// monotonic clock.
type OutlierState struct {
	backoffUntil time.Duration
	ejectedUntil time.Duration
	refusals     uint8
	losses       uint8
	ejections    uint8
	samples      uint8
	unreachable  bool
	// leavingHint is set while only the health endpoint reports that the target is leaving.
	leavingHint bool
}

// Refusing reports whether the target has refused a request since its last reply.
// Such a target gets no hedges.
func (s *OutlierState) Refusing() bool { return s.refusals > 0 }

// Ejected reports whether the target is ejected at now.
func (s *OutlierState) Ejected(now time.Duration) bool { return now < s.ejectedUntil }

// BackoffUntil returns the end of the backoff, 0 if there was no refusal since the last reply.
func (s *OutlierState) BackoffUntil() time.Duration { return s.backoffUntil }

// backingOff reports whether the target gets no request now because of refusals. After the
// backoff, a target that was unreachable or that refused refusalsBeforeProbe times in a row
// gets one request at a time.
func (e *Entry) backingOff(now time.Duration) bool {
	return now < e.backoffUntil || (e.InFlight > 0 && (e.unreachable || e.refusals >= refusalsBeforeProbe))
}

// Refused records that the target did not run a request, because it shed the request or
// was unreachable. Refusals within the backoff count once, as they belong to one burst.
func (t *Table) Refused(id ID, now time.Duration, unreachable bool) {
	s := &t.entries[id].OutlierState
	if now < s.backoffUntil {
		return
	}
	maxBackoff := maxShedBackoff
	if unreachable {
		maxBackoff = maxUnreachableBackoff
	}
	backoff := exponentialBackoff(minBackoff, maxBackoff, s.refusals)
	s.refusals = min(s.refusals, 254) + 1
	s.unreachable = unreachable
	s.backoffUntil = now + backoff/2 + time.Duration(t.rng.Int64N(int64(backoff)))
}

// Lost records a request whose outcome is unknown; lossesToEject in a row eject the target.
func (t *Table) Lost(id ID, now time.Duration) {
	s := &t.entries[id].OutlierState
	s.losses = min(s.losses, 254) + 1
	if s.losses >= lossesToEject {
		s.eject(now)
	}
}

// Answered records a complete reply. Every repliesPerEvaluation replies it compares the
// target's latency with that of the group and ejects an outlier.
func (t *Table) Answered(id ID, now time.Duration, group []ID) {
	e := &t.entries[id]
	s := &e.OutlierState
	s.refusals, s.losses, s.unreachable, s.leavingHint, s.backoffUntil = 0, 0, false, false, 0
	s.samples++
	if s.samples < repliesPerEvaluation {
		return
	}
	s.samples = 0
	if t.isOutlier(e, group) {
		s.eject(now)
		return
	}
	s.ejections = 0
}

// isOutlier reports whether the latency of e exceeds outlierFactor times that of the
// fastest other target of the group that is usable and warm and has a known latency.
func (t *Table) isOutlier(e *Entry, group []ID) bool {
	if e.Latency < minOutlierLatency {
		return false
	}
	for _, id := range group {
		peer := &t.entries[id]
		if peer != e && peer.Latency > 0 && !peer.Cold && peer.Usable() && e.Latency > outlierFactor*peer.Latency {
			return true
		}
	}
	return false
}

func (s *OutlierState) eject(now time.Duration) {
	s.ejectedUntil = now + exponentialBackoff(minEjection, maxEjection, s.ejections)
	s.ejections = min(s.ejections, 254) + 1
	s.losses = 0
	s.samples = 0
}

// exponentialBackoff returns base doubled the given number of times, at most limit.
func exponentialBackoff(base, limit time.Duration, doublings uint8) time.Duration {
	d := base
	for range doublings {
		if d >= limit {
			return limit
		}
		d *= 2
	}
	return min(d, limit)
}

// SetLeavingHint records whether the health endpoint reports that the target is leaving.
// Choose prefers other replicas to such a target. The next complete reply clears the hint.
func (t *Table) SetLeavingHint(id ID, leaving bool) { t.entries[id].leavingHint = leaving }

// MissingFunc reports whether a target counts as not holding the requested data.
type MissingFunc func(ID) bool

// Choice is the result of Choose.
type Choice struct {
	// ID is the chosen replica, or None.
	ID ID
	// Usable reports whether any replica may take work, now or later.
	Usable bool
	// RetryAt is the earliest monotonic time at which a replica that is backing off may be
	// tried again, 0 if no replica is backing off.
	RetryAt time.Duration
}

// Choose picks a replica of the group other than avoid. It skips replicas that are backing
// off. It chooses an ejected replica, or one that only the health endpoint reports as
// leaving, only if there is no other candidate, so that the last replica stays in use. A
// cold replica without room for a request of this host now is not a candidate.
func (t *Table) Choose(now time.Duration, group []ID, avoid ID, missing MissingFunc) Choice {
	var buf [maxStackReplicas]ID
	candidates, fallbacks := buf[:0], 0
	c := Choice{ID: None}
	for _, id := range group {
		e := &t.entries[id]
		if !e.eligible(id, avoid, missing) {
			continue
		}
		c.Usable = true
		switch {
		case e.backingOff(now):
			if c.RetryAt == 0 || e.backoffUntil < c.RetryAt {
				c.RetryAt = e.backoffUntil
			}
		case e.leavingHint || e.Ejected(now):
			fallbacks++
		case e.Cold && !t.hasRoom(id):
		default:
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 && fallbacks > 0 {
		candidates = t.appendFallbacks(now, group, avoid, missing, candidates)
	}
	if len(candidates) > 0 {
		c.ID, _ = t.Pick(candidates, avoid)
	}
	return c
}

// eligible reports whether the replica may be chosen at all, now or later.
func (e *Entry) eligible(id, avoid ID, missing MissingFunc) bool {
	return id != avoid && e.Usable() && (missing == nil || !missing(id))
}

// appendFallbacks appends the eligible replicas that are not backing off, including ejected
// ones and those with a leaving hint.
func (t *Table) appendFallbacks(now time.Duration, group []ID, avoid ID, missing MissingFunc, dst []ID) []ID {
	for _, id := range group {
		e := &t.entries[id]
		if !e.eligible(id, avoid, missing) || e.backingOff(now) {
			continue
		}
		dst = append(dst, id)
	}
	return dst
}

// AnyUsable reports whether any replica of the group may take work, now or later.
func (t *Table) AnyUsable(group []ID, missing MissingFunc) bool {
	for _, id := range group {
		if t.entries[id].Usable() && (missing == nil || !missing(id)) {
			return true
		}
	}
	return false
}

// InFlight returns the number of requests of this host in progress at the group.
func (t *Table) InFlight(group []ID) int {
	n := 0
	for _, id := range group {
		n += t.entries[id].InFlight
	}
	return n
}
