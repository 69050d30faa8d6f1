package standin

import "pollentack.example/pollentack/internal/targetapi"

// Faults are ways in which a stand-in target misbehaves or differs from its replicas.
type Faults struct {
	// Snapshots lists the snapshots that the target has; nil means all.
	Snapshots []targetapi.SnapshotRef
	// TruncatedShare of the complete replies lack a hit that they count.
	TruncatedShare float64
	// CrossedShare of the complete replies name another attempt.
	CrossedShare float64
	// WrongSnapshotShare of the complete replies name another snapshot version.
	WrongSnapshotShare float64
	// HealthOverride, if not nil, is returned by the health endpoint instead of the real
	// state.
	HealthOverride *targetapi.HealthReply
}

func (f *Faults) holdsSnapshot(req *targetapi.SearchRequest) bool {
	if f.Snapshots == nil {
		return true
	}
	for _, s := range f.Snapshots {
		if s.Version == req.Version && s.Layout == req.Layout {
			return true
		}
	}
	return false
}

// lacksSnapshot reports whether the target does not have the requested snapshot.
func (t *Target) lacksSnapshot(req *targetapi.SearchRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.behavior.Faults.holdsSnapshot(req)
}

// corrupt applies the faults to a complete reply. The caller holds the lock.
func (t *Target) corrupt(r *targetapi.SearchReply) {
	f := &t.behavior.Faults
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

// corruptsReplies reports whether any replies are to be corrupted. If not, no random number
// is drawn for a reply, so the target's random sequence is the same as without faults.
func (f *Faults) corruptsReplies() bool {
	return f.TruncatedShare+f.CrossedShare+f.WrongSnapshotShare > 0
}
