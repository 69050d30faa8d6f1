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
	// cut tells which hosts cannot reach each other, nil for none.
	cut func(a, b int) bool
	now clock.Instant
	// told is the number of descriptions of members in all messages, words that of hashes.
	told, words int
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

// restart starts a host anew.
func (w *network) restart(i int, seeds ...string) {
	w.down[w.members[i].Host] = false
	w.members[i].Started++
	w.fleets[i] = New(w.members[i], seeds, w.members[i].Started*1000+uint64(i))
}

// pass moves time on, waking each host when it asks for it.
func (w *network) pass(d time.Duration) {
	end := w.now.Add(d)
	for {
		next := end.Mono
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
			if due, ok := f.NextWake(); ok {
				next = min(next, max(due, w.now.Mono))
			}
		}
		if next >= end.Mono {
			break
		}
		w.now = w.now.Add(next - w.now.Mono)
	}
	w.now = end
}

// carry carries out the exchange that a host asks for, at once.
func (w *network) carry(from int, fx *Effects) {
	x := fx.Exchange
	if x == nil {
		return
	}
	to := w.byAddress(x.Address)
	reached := to >= 0 && !w.down[w.members[to].Host] && (w.cut == nil || !w.cut(from, to))
	w.fleets[from].Table().Exchange(func(out *Message) (*Message, bool) {
		if !reached {
			return nil, false
		}
		in := w.fleets[to].Table().Answer(out)
		w.hear(to, out)
		w.hear(from, in)
		return in, true
	})
	var next Effects
	w.fleets[from].Step(w.now, &Exchanged{Host: x.Host, Address: x.Address, OK: reached}, &next)
	w.carry(from, &next)
}

func (w *network) hear(i int, m *Message) {
	w.told += len(m.Members)
	w.words += len(m.Groups) + len(m.Have) + len(m.Want)
	var next Effects
	w.fleets[i].Step(w.now, &Heard{From: m.From, Members: m.Members}, &next)
	w.carry(i, &next)
}

func (w *network) counts() []int {
	var counts []int
	for i, f := range w.fleets {
		if !w.down[w.members[i].Host] {
			counts = append(counts, len(f.answering(f.Table())))
		}
	}
	return counts
}

func (w *network) wantAll(t *testing.T, want int, when string) {
	t.Helper()
	for i, n := range w.counts() {
		if n != want {
			t.Errorf("host %d counts %d members %s, want %d", i, n, when, want)
		}
	}
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

// TestLostHostIsLeftOutAndComesBack stops a host and starts it again: all hosts learn of
// both.
func TestLostHostIsLeftOutAndComesBack(t *testing.T) {
	w := newNetwork(6, "a00")
	w.pass(3 * time.Second)
	w.down["h03"] = true
	w.pass(30 * time.Second)
	w.wantAll(t, 5, "after a host was lost")
	w.restart(3, "a00")
	w.pass(5 * time.Second)
	w.wantAll(t, 6, "after its return")
}

// TestAllHostsLearnThatOneIsLost bounds the time in a large fleet, where each host asks
// the lost one by itself only every few minutes.
func TestAllHostsLearnThatOneIsLost(t *testing.T) {
	const hosts, bound = 100, 45 * time.Second
	w := newNetwork(hosts, "a00", "a01")
	w.pass(6 * time.Second)
	w.wantAll(t, hosts, "after the start")
	w.down["h50"] = true
	w.pass(bound)
	w.wantAll(t, hosts-1, "after one was lost")
}

// TestPartsOfAFleetMeetAgain cuts a fleet in two for longer than hosts wait for each
// other. No seed answers after that.
func TestPartsOfAFleetMeetAgain(t *testing.T) {
	const hosts = 20
	w := newNetwork(hosts, "a00")
	w.pass(5 * time.Second)
	w.cut = func(a, b int) bool { return a%2 != b%2 }
	w.pass(3 * time.Minute)
	w.wantAll(t, hosts/2, "in a part")
	w.cut = nil
	for _, f := range w.fleets {
		f.seeds = nil
	}
	w.pass(30 * time.Second)
	w.wantAll(t, hosts, "after the cut")
}

// TestHostThatOneCannotReachStays lets one host fail to reach another that all others
// reach: its word makes it away for a moment at most.
func TestHostThatOneCannotReachStays(t *testing.T) {
	const hosts = 12
	w := newNetwork(hosts, "a00")
	w.pass(5 * time.Second)
	w.cut = func(a, b int) bool { return a == 3 && b == 7 }
	missing, looks := 0, 0
	for range 600 {
		w.pass(100 * time.Millisecond)
		for i, n := range w.counts() {
			if i != 3 && i != 7 {
				looks++
				missing += hosts - n
			}
		}
	}
	if share := float64(missing) / float64(looks); share > 0.05 {
		t.Errorf("the other hosts miss %.3f members on the mean, want at most 0.05", share)
	}
}

// TestChangeCostsLittle bounds what is sent until all hosts know of one new start: not
// the whole list time and again.
func TestChangeCostsLittle(t *testing.T) {
	const hosts = 100
	w := newNetwork(hosts, "a00", "a01")
	w.pass(15 * time.Second)
	w.told, w.words = 0, 0
	w.pass(10 * time.Second)
	if w.told+w.words != 0 {
		t.Errorf("%d descriptions and %d hashes sent while nothing changed", w.told, w.words)
	}
	w.down["h50"] = true
	w.restart(50, "a00")
	w.pass(10 * time.Second)
	w.wantAll(t, hosts, "after a new start")
	// The host that starts is told of all others once or, from two at a time, twice.
	if bound := 4 * hosts; w.told > bound {
		t.Errorf("%d descriptions sent for one new start, want at most %d", w.told, bound)
	}
}

func TestLeavingHostIsLeftOut(t *testing.T) {
	w := newNetwork(8, "a00")
	w.pass(4 * time.Second)
	var fx Effects
	w.fleets[5].Step(w.now, &Leave{}, &fx)
	w.carry(5, &fx)
	w.pass(2 * time.Second)
	w.down["h05"] = true
	w.pass(2 * time.Second)
	w.wantAll(t, 7, "after one left")
	w.restart(5, "a00")
	w.pass(4 * time.Second)
	w.wantAll(t, 8, "after a new start")
}

// TestAwayMembersAreForgotten bounds what is remembered of hosts that never return.
func TestAwayMembersAreForgotten(t *testing.T) {
	w := newNetwork(3, "a00")
	w.pass(3 * time.Second)
	w.down["h02"] = true
	w.pass(awayFor + time.Minute)
	for i, f := range w.fleets[:2] {
		if len(f.members) != 1 {
			t.Errorf("host %d remembers %d others, want 1", i, len(f.members))
		}
	}
}

// TestHostsAgreeAfterAnyHistory stops, starts and cuts hosts at random: once all is calm,
// all tables are the same.
func TestHostsAgreeAfterAnyHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const hosts = 8
		w := newNetwork(hosts, "a00", "a01")
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			i := rapid.IntRange(0, hosts-1).Draw(rt, "host")
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				w.down[w.members[i].Host] = true
			case 1:
				w.restart(i, "a00", "a01")
			case 2:
				w.cut = func(a, b int) bool { return a == i || b == i }
			case 3:
				w.cut = nil
			}
			w.pass(time.Duration(rapid.IntRange(100, 20_000).Draw(rt, "pause")) * time.Millisecond)
		}
		w.cut = nil
		for i := range hosts {
			if w.down[w.members[i].Host] {
				w.restart(i, "a00", "a01")
			}
		}
		w.pass(time.Minute)
		for i, f := range w.fleets {
			if table := f.Table(); table.Count() != hosts || table.digest != w.fleets[0].Table().digest {
				rt.Fatalf("host %d counts %d members with digest %x", i, table.Count(), table.digest)
			}
		}
	})
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
	if a.Table().digest == b.Table().digest {
		t.Fatal("fleets of different hosts have one digest")
	}
	a.Step(clock.Instant{}, &Heard{From: member(1)}, &fx)
	b.Step(clock.Instant{}, &Heard{From: member(0)}, &fx)
	if a.Table().digest != b.Table().digest {
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
	if n := w.fleets[0].Table().Count(); n != 1 {
		t.Fatalf("host 0 knows %d members without a seed that answers", n)
	}
	var fx Effects
	w.fleets[0].Step(w.now, &Seeds{Addresses: []string{w.members[0].Address, w.members[1].Address}}, &fx)
	w.carry(0, &fx)
	w.pass(3 * time.Second)
	for i, f := range w.fleets {
		if n := f.Table().Count(); n != 2 {
			t.Errorf("host %d knows %d members", i, n)
		}
	}
}
