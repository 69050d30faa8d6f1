package fleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollentack.example/pollentack/internal/core/clock"
)

func member(i int) Member {
	return Member{
		Host: fmt.Sprintf("h%02d", i), Zone: fmt.Sprintf("z%d", i%3), Region: fmt.Sprintf("r%d", i%3),
		Address: fmt.Sprintf("a%02d", i), Capacity: 100, Started: 1,
	}
}

// network steps a number of fleets in virtual time and carries their exchanges.
type network struct {
	fleets  []*Fleet
	members []Member
	down    map[string]bool
	now     clock.Instant
}

func newNetwork(n int, seeds ...string) *network {
	w := &network{down: map[string]bool{}}
	for i := range n {
		m := member(i)
		w.members = append(w.members, m)
		w.fleets = append(w.fleets, New(m, seeds, uint64(i)))
	}
	return w
}

func (w *network) byAddress(address string) int {
	for i, m := range w.members {
		if m.Address == address {
			return i
		}
	}
	return -1
}

// pass moves time on in small steps.
func (w *network) pass(d time.Duration) {
	const tick = 10 * time.Millisecond
	for end := w.now.Add(d); w.now.Mono < end.Mono; w.now = w.now.Add(tick) {
		for i, f := range w.fleets {
			if w.down[w.members[i].Host] {
				continue
			}
			var fx Effects
			if !f.started {
				f.Step(w.now, &Start{}, &fx)
			} else {
				f.Advance(w.now, &fx)
			}
			w.carry(i, &fx)
		}
	}
}

func (w *network) carry(from int, fx *Effects) {
	x := fx.Exchange
	if x == nil {
		return
	}
	to := w.byAddress(x.Address)
	reached := to >= 0 && !w.down[w.members[to].Host]
	var next Effects
	if reached {
		w.fleets[to].Step(w.now, &Heard{From: w.members[from], Leaving: w.fleets[from].Leaving()}, &next)
		w.carry(to, &next)
		next.Reset()
		w.fleets[from].Step(w.now, &Heard{From: w.members[to], Members: w.fleets[to].Members(), Leaving: w.fleets[to].Leaving()}, &next)
		w.carry(from, &next)
		next.Reset()
	}
	w.fleets[from].Step(w.now, &Exchanged{Host: x.Host, Address: x.Address, OK: reached}, &next)
	w.carry(from, &next)
}

func (w *network) counts() []int {
	var counts []int
	for i, f := range w.fleets {
		if !w.down[w.members[i].Host] {
			counts = append(counts, len(f.roster(w.now)))
		}
	}
	return counts
}

// TestHostsFindEachOther bounds the time until every host knows all, with one of the
// seeds down and another stale.
func TestHostsFindEachOther(t *testing.T) {
	const hosts, bound = 30, 4 * time.Second
	w := newNetwork(hosts, "a00", "a01", "nobody")
	w.down["h01"] = true
	w.pass(bound)
	for i, n := range w.counts() {
		if n < hosts-1 {
			t.Errorf("host %d knows %d members after %v, want %d", i, n, bound, hosts-1)
		}
	}
}

// TestLostHostIsLeftOutAndComesBack stops a host and starts it again.
func TestLostHostIsLeftOutAndComesBack(t *testing.T) {
	w := newNetwork(6, "a00")
	w.pass(3 * time.Second)
	w.down["h03"] = true
	w.pass(20 * time.Second)
	for i, n := range w.counts() {
		if n > 6 {
			t.Errorf("host %d counts %d members", i, n)
		}
	}
	lost := 0
	for _, n := range w.counts() {
		if n == 5 {
			lost++
		}
	}
	if lost < 3 {
		t.Errorf("%d of 5 hosts have noticed after 20 s that a host is gone", lost)
	}
	w.down["h03"] = false
	w.members[3].Started = 2
	w.fleets[3] = New(w.members[3], []string{"a00"}, 33)
	w.pass(20 * time.Second)
	for i, n := range w.counts() {
		if n != 6 {
			t.Errorf("host %d counts %d members after the return, want 6", i, n)
		}
	}
}

func TestLeavingHostIsLeftOut(t *testing.T) {
	f := New(member(0), nil, 1)
	var fx Effects
	now := clock.Instant{}
	f.Step(now, &Start{}, &fx)
	f.Step(now, &Heard{From: member(1)}, &fx)
	f.Step(now, &Heard{From: member(1), Leaving: true}, &fx)
	if got := len(f.roster(now)); got != 1 {
		t.Errorf("%d members, want this host alone", got)
	}
	later := member(1)
	later.Started = 2
	f.Step(now, &Heard{From: later}, &fx)
	if got := len(f.roster(now)); got != 2 {
		t.Errorf("%d members after the start of a new process, want 2", got)
	}
}

// TestOlderDescriptionNeverReplacesNewer hears of an earlier start of a host.
func TestOlderDescriptionNeverReplacesNewer(t *testing.T) {
	f := New(member(0), nil, 1)
	var fx Effects
	newer := member(1)
	newer.Started, newer.Address = 5, "new"
	f.Step(clock.Instant{}, &Heard{From: newer}, &fx)
	f.Step(clock.Instant{}, &Heard{From: member(2), Members: []Member{member(1)}}, &fx)
	if got := f.members["h01"].Address; got != "new" {
		t.Errorf("address %q, want the later start's", got)
	}
}

func TestDigestDependsOnMembersOnly(t *testing.T) {
	a, b := New(member(0), nil, 1), New(member(1), nil, 2)
	var fx Effects
	if a.Digest() == b.Digest() {
		t.Fatal("fleets of different hosts have one digest")
	}
	a.Step(clock.Instant{}, &Heard{From: member(1)}, &fx)
	b.Step(clock.Instant{}, &Heard{From: member(0)}, &fx)
	if a.Digest() != b.Digest() {
		t.Error("fleets of the same hosts have different digests")
	}
}

// TestHubs checks over random fleets that the number of hubs is bounded, that each zone
// has one and that all hosts agree whatever the order in which they list the members.
func TestHubs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 100).Draw(t, "hosts")
		zones := rapid.IntRange(1, 6).Draw(t, "zones")
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		members := make([]Member, n)
		for i := range members {
			members[i] = member(i)
			members[i].Zone = fmt.Sprint(rapid.IntRange(0, zones-1).Draw(t, "zone"))
			members[i].Capacity = rapid.SampledFrom([]int{192, 800}).Draw(t, "capacity")
		}
		hubs := Hubs(members, limit)
		if n <= limit && len(hubs) != n {
			t.Fatalf("%d of %d hosts are hubs though all may be", len(hubs), n)
		}
		inZone, weakest, passed := map[string]int{}, map[string]int{}, map[string]int{}
		for _, m := range members {
			if hubs[m.Host] {
				inZone[m.Zone]++
				weakest[m.Zone] = m.Capacity
			} else {
				passed[m.Zone] = max(passed[m.Zone], m.Capacity)
			}
		}
		for _, m := range members {
			if inZone[m.Zone] == 0 {
				t.Fatalf("zone %s has no hub", m.Zone)
			}
		}
		if bound := max(limit, len(inZone)); n > limit && len(hubs) > bound {
			t.Fatalf("%d hubs, bound %d", len(hubs), bound)
		}
		shuffled := rapid.Permutation(members).Draw(t, "shuffled")
		if again := Hubs(shuffled, limit); fmt.Sprint(again) != fmt.Sprint(hubs) {
			t.Fatalf("%v and %v for the same members", hubs, again)
		}
	})
}

// TestChangedSeedsAreUsed gives a host that knows nobody another seed.
func TestChangedSeedsAreUsed(t *testing.T) {
	w := newNetwork(2, "nowhere")
	w.pass(3 * time.Second)
	if n := len(w.fleets[0].Members()); n != 1 {
		t.Fatalf("host 0 knows %d members without a seed that answers", n)
	}
	var fx Effects
	w.fleets[0].Step(w.now, &Seeds{Addresses: []string{w.members[0].Address, w.members[1].Address}}, &fx)
	w.carry(0, &fx)
	w.pass(3 * time.Second)
	for i, f := range w.fleets {
		if n := len(f.Members()); n != 2 {
			t.Errorf("host %d knows %d members", i, n)
		}
	}
}
