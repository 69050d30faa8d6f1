package intake

import (
	"testing"
	"time"
)

const limit = 1000

// open adds a connection of whose request some bytes are held.
func open(t *testing.T, x *Table, held int, at time.Duration) *Connection {
	t.Helper()
	c := x.Open(at)
	x.Received(c, at)
	x.Hold(c, held)
	return c
}

// TestRequestsGiveWayToSmallerOnes guards against ordinary requests that are refused because others hold
// what they have begun to send.
func TestRequestsGiveWayToSmallerOnes(t *testing.T) {
	x := NewTable()
	answered := open(t, x, 900, 0)
	x.Whole(answered)
	largest, newest := open(t, x, 300, 0), open(t, x, 300, 1)
	small := open(t, x, 10, 2)
	if room, victim := x.Grow(small, 20, limit, false, 3); room != Awaited || victim != largest {
		t.Fatalf("room %v, victim %p, want the largest one without bytes for longest", room, victim)
	}
	if room, victim := x.Grow(small, 20, limit, false, 3); room != Awaited || victim != nil {
		t.Errorf("room %v, victim %p while another one gives way", room, victim)
	}
	if room, _ := x.Grow(largest, 1, limit, true, 3); room != Denied || x.Whole(largest) {
		t.Errorf("room %v for a request that gives way, want none", room)
	}
	x.Close(largest)
	if room, victim := x.Grow(open(t, x, 0, 2), 300, limit, false, 3); room != Denied || victim != nil {
		t.Errorf("room %v, victim %p for a request of the same size, want none", room, victim)
	}
	if room, victim := x.Grow(newest, 100, limit, false, 3); room != Denied || victim != nil {
		t.Errorf("room %v, victim %p for the largest request, want none", room, victim)
	}
	if room, _ := x.Grow(small, 20, limit, true, 3); room != Granted {
		t.Errorf("room %v with free bytes", room)
	}
	if room, _ := x.Grow(small, 500, limit, true, 3); room != Denied {
		t.Errorf("room %v beyond the share of requests that are not whole", room)
	}
	x.Received(newest, 2*stalledAfter)
	if room, victim := x.Grow(newest, 100, limit, false, 2*stalledAfter); room != Awaited || victim != small {
		t.Errorf("room %v, victim %p, want the one that has stalled", room, victim)
	}
}

// TestNewConnectionsDisplaceSilentOnes guards against callers that wait for ever behind a crowd that sends
// nothing.
func TestNewConnectionsDisplaceSilentOnes(t *testing.T) {
	x := NewTable()
	kept := x.Open(0)
	x.Whole(kept)
	x.Answered(kept, 0)
	busy := x.Open(0)
	x.Whole(busy)
	silent, dribbling := x.Open(1), open(t, x, 0, 2)
	x.Received(dribbling, stalledAfter)
	if victim, wait := x.Displace(stalledAfter); victim != nil || wait {
		t.Fatalf("victim %p, wait %v while all are new", victim, wait)
	}
	const later = 2 * keptIdle
	for _, want := range []*Connection{silent, dribbling, kept, nil} {
		victim, wait := x.Displace(later)
		if victim != want || wait != (want != nil) {
			t.Errorf("victim %p, wait %v, want %p", victim, wait, want)
		}
		if victim == nil {
			continue
		}
		if victim, wait := x.Displace(later); victim != nil || !wait {
			t.Errorf("victim %p, wait %v while another one gives way", victim, wait)
		}
		x.Close(victim)
	}
}

// TestResponsesThatAreNotTakenGiveWay guards against callers that never read their answers.
func TestResponsesThatAreNotTakenGiveWay(t *testing.T) {
	x := NewTable()
	taken, stuck := x.Open(0), x.Open(0)
	for _, c := range []*Connection{taken, stuck} {
		x.Whole(c)
		x.Answered(c, 0)
		x.Writing(c, 400, 0)
	}
	if victim := x.ResponseToGiveWay(stalledAfter); victim != nil {
		t.Errorf("victim %p while both are taken", victim)
	}
	const later = 2 * stalledAfter
	x.Progress(taken, later)
	if room, victim := x.Grow(open(t, x, 0, later), 10, limit, false, later); room != Awaited || victim != stuck {
		t.Errorf("room %v, victim %p, want the response that is not taken", room, victim)
	}
	x.Close(stuck)
	if victim := x.ResponseToGiveWay(later); victim != nil {
		t.Errorf("victim %p, want none for one that is taken", victim)
	}
	x.Hold(taken, 0)
	x.Answered(taken, later)
	if victim, _ := x.Displace(later); victim != nil {
		t.Errorf("victim %p, want none that has just served", victim)
	}
}

// TestOldestResponseGivesWay guards against answers that outgrow the memory before one of them has waited
// for long.
func TestOldestResponseGivesWay(t *testing.T) {
	x := NewTable()
	older, newer := x.Open(0), x.Open(0)
	for i, c := range []*Connection{older, newer} {
		x.Whole(c)
		x.Writing(c, 400, time.Duration(i))
	}
	for _, want := range []*Connection{older, newer, nil} {
		if victim := x.OldestResponse(); victim != want {
			t.Errorf("victim %p, want %p", victim, want)
		}
	}
}
