package standin

import "pollentack.example/pollentack/internal/targetapi"

// Faults are ways in which a stand-in target misbehaves or differs from its replicas.
type Faults struct {
	// Holds lists the snapshots that the target holds; nil stands for all.
	Holds []targetapi.SnapshotRef
	// TruncatedShare of the whole replies lack a hit.
	TruncatedShare float64
	// CrossedShare of the whole replies are to another attempt.
	CrossedShare float64
	// WrongSnapshotShare of the whole replies come from another snapshot.
	WrongSnapshotShare float64
	// HealthLie is what the health endpoint says in place of the truth.
	HealthLie *targetapi.HealthReply
}

func (f *Faults) holds(req *targetapi.SearchRequest) bool {
	if f.Holds == nil {
		return true
	}
	for _, s := range f.Holds {
		if s.Version == req.Version && s.Layout == req.Layout {
			return true
		}
	}
	return false
}

// denies reports whether the target does not hold the snapshot that is asked for.
func (t *Target) denies(req *targetapi.SearchRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.behaviour.Faults.holds(req)
}

// spoil applies the faults to a whole reply; the caller holds the lock.
func (t *Target) spoil(r *targetapi.SearchReply) {
	f := &t.behaviour.Faults
	switch draw := t.rng.Float64(); {
	case draw < f.TruncatedShare:
		r.Hits = r.Hits[:max(0, len(r.Hits)-1)]
		r.Count++
	case draw < f.TruncatedShare+f.CrossedShare:
		r.Attempt.Query++
	case draw < f.TruncatedShare+f.CrossedShare+f.WrongSnapshotShare:
		r.Version++
	}
}

// faulty reports whether whole replies are to be spoiled; without faults the target's
// random draws stay as they are.
func (f *Faults) faulty() bool { return f.TruncatedShare+f.CrossedShare+f.WrongSnapshotShare > 0 }
