package fleet

import (
	"fmt"
	"strings"
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

// network steps a number of fleets in virtual time and executes their exchanges.
type network struct {
	fleets  []*Fleet
	members []Member
	down    map[string]bool
	// partitioned reports whether two hosts cannot reach each other; nil means that all
	// can.
	partitioned func(a, b int) bool
	now         clock.Instant
	// descriptionsSent and hashesSent count the member descriptions and the hashes in all
	// messages.
	descriptionsSent, hashesSent int
	exchanges                    int
}

func newNetwork(n int, seeds ...string) *network {
	net := &network{down: map[string]bool{}}
	for i := range n {
		m := member(i)
		net.members = append(net.members, m)
		net.fleets = append(net.fleets, New(m, seeds, uint64(i)))
	}
	return net
}

func (net *network) byAddress(address string) int {
	for i, m := range net.members {
		if m.Address == address {
			return i
		}
	}
	return -1
}

// restart starts a host again with a later start time and no known members.
func (net *network) restart(i int, seeds ...string) {
	net.down[net.members[i].Host] = false
	net.members[i].Started++
	net.fleets[i] = New(net.members[i], seeds, net.members[i].Started*1000+uint64(i))
}

// advance moves time on and calls each host's Advance when it is due.
func (net *network) advance(d time.Duration) {
	end := net.now.Add(d)
	for {
		next := end.Mono
		for i, f := range net.fleets {
			if net.down[net.members[i].Host] {
				continue
			}
			var fx Effects
			if !f.started {
				f.Step(net.now, &Start{}, &fx)
			} else {
				f.Advance(net.now, &fx)
			}
			net.runExchange(i, &fx)
			if due, ok := f.NextWake(); ok {
				next = min(next, max(due, net.now.Mono))
			}
		}
		if next >= end.Mono {
			break
		}
		net.now = net.now.Add(next - net.now.Mono)
	}
	net.now = end
}

// runExchange executes the exchange that a host asks for without delay.
func (net *network) runExchange(from int, fx *Effects) {
	x := fx.Exchange
	if x == nil {
		return
	}
	net.exchanges++
	to := net.byAddress(x.Address)
	reached := to >= 0 && !net.down[net.members[to].Host] && (net.partitioned == nil || !net.partitioned(from, to))
	net.fleets[from].Snapshot().RunExchange(func(out *Message) (*Message, bool) {
		if !reached {
			return nil, false
		}
		in := net.fleets[to].Snapshot().Reply(out)
		net.deliver(to, out)
		net.deliver(from, in)
		return in, true
	})
	var next Effects
	net.fleets[from].Step(net.now, &ExchangeEnded{Host: x.Host, Address: x.Address, OK: reached}, &next)
	net.runExchange(from, &next)
}

func (net *network) deliver(i int, m *Message) {
	net.descriptionsSent += len(m.Members)
	net.hashesSent += len(m.GroupDigests) + len(m.KnownHashes) + len(m.RequestedHashes)
	var next Effects
	net.fleets[i].Step(net.now, &MessageReceived{From: m.From, Members: m.Members}, &next)
	net.runExchange(i, &next)
}

func (net *network) memberCounts() []int {
	var counts []int
	for i, f := range net.fleets {
		if !net.down[net.members[i].Host] {
			counts = append(counts, len(f.reachable(f.Snapshot())))
		}
	}
	return counts
}

func (net *network) expectMemberCount(t *testing.T, want int, when string) {
	t.Helper()
	for i, n := range net.memberCounts() {
		if n != want {
			t.Errorf("host %d has %d members %s, want %d", i, n, when, want)
		}
	}
}

// TestMembersConverge bounds the time until every host knows all members, with one seed
// down and another without a host.
func TestMembersConverge(t *testing.T) {
	const hosts, bound = 30, 4 * time.Second
	net := newNetwork(hosts, "a00", "a01", "nobody")
	net.down["h01"] = true
	net.advance(bound)
	for i, n := range net.memberCounts() {
		if n < hosts-1 {
			t.Errorf("host %d knows %d members after %v, want %d", i, n, bound, hosts-1)
		}
	}
}

// TestFailedHostIsRemovedAndRejoins stops a host and starts it again; all hosts must learn
// of both.
func TestFailedHostIsRemovedAndRejoins(t *testing.T) {
	net := newNetwork(6, "a00")
	net.advance(3 * time.Second)
	net.down["h03"] = true
	net.advance(30 * time.Second)
	net.expectMemberCount(t, 5, "after a host failed")
	net.restart(3, "a00")
	net.advance(5 * time.Second)
	net.expectMemberCount(t, 6, "after its restart")
}

// TestFailurePropagatesInLargeFleet bounds the time until all hosts of a large fleet know
// of a failure. There each host contacts the failed one directly only every few minutes.
func TestFailurePropagatesInLargeFleet(t *testing.T) {
	const hosts, bound = 100, 45 * time.Second
	net := newNetwork(hosts, "a00", "a01")
	net.advance(6 * time.Second)
	net.expectMemberCount(t, hosts, "after the start")
	net.down["h50"] = true
	net.advance(bound)
	net.expectMemberCount(t, hosts-1, "after a host failed")
}

// TestPartitionedFleetRejoins partitions a fleet for so long that each part marks the
// other as departed. The parts must find each other again without a seed.
func TestPartitionedFleetRejoins(t *testing.T) {
	const hosts = 20
	net := newNetwork(hosts, "a00")
	net.advance(5 * time.Second)
	net.partitioned = func(a, b int) bool { return a%2 != b%2 }
	net.advance(3 * time.Minute)
	net.expectMemberCount(t, hosts/2, "in each part")
	net.partitioned = nil
	for _, f := range net.fleets {
		f.seeds = nil
	}
	net.advance(30 * time.Second)
	net.expectMemberCount(t, hosts, "after the partition healed")
}

// TestHostUnreachableFromOneMemberStays makes one host unreachable from one other only.
// That member reports it as departed, and the refutation must follow so soon that the
// other hosts rarely miss it.
func TestHostUnreachableFromOneMemberStays(t *testing.T) {
	const hosts = 12
	net := newNetwork(hosts, "a00")
	net.advance(5 * time.Second)
	net.partitioned = func(a, b int) bool { return a == 3 && b == 7 }
	missing, samples := 0, 0
	for range 600 {
		net.advance(100 * time.Millisecond)
		for i, n := range net.memberCounts() {
			if i != 3 && i != 7 {
				samples++
				missing += hosts - n
			}
		}
	}
	if share := float64(missing) / float64(samples); share > 0.05 {
		t.Errorf("the other hosts miss %.3f members on average, want at most 0.05", share)
	}
}

// TestRestartGossipCostIsBounded bounds what is sent until all hosts know of a restart,
// and checks that nothing is sent without changes. It guards against exchanges of the
// whole list.
func TestRestartGossipCostIsBounded(t *testing.T) {
	const hosts = 100
	net := newNetwork(hosts, "a00", "a01")
	net.advance(15 * time.Second)
	net.descriptionsSent, net.hashesSent = 0, 0
	net.advance(10 * time.Second)
	if net.descriptionsSent+net.hashesSent != 0 {
		t.Errorf("%d descriptions and %d hashes sent while nothing changed", net.descriptionsSent, net.hashesSent)
	}
	net.down["h50"] = true
	net.restart(50, "a00")
	net.advance(10 * time.Second)
	net.expectMemberCount(t, hosts, "after the restart")
	// The restarted host receives all other members once, or twice if two peers send them
	// concurrently.
	if bound := 4 * hosts; net.descriptionsSent > bound {
		t.Errorf("%d descriptions sent for one restart, want at most %d", net.descriptionsSent, bound)
	}
}

// TestReplacementsCostFewExchanges replays a release in a large fleet, which replaces one host
// after another: the others must not exchange members as often as hosts that join, and know each
// new host soon.
func TestReplacementsCostFewExchanges(t *testing.T) {
	const (
		hosts, replaced = 100, 10
		// spread is the time in which all hosts know a new one. A leaving host serves for longer.
		spread = 2500 * time.Millisecond
		// maxRate is in exchanges a second, by host.
		maxRate = 4.5
	)
	net := newNetwork(hosts, "a00", "a01")
	net.advance(15 * time.Second)
	net.exchanges = 0
	for i := 50; i < 50+replaced; i++ {
		net.restart(i, "a00")
		net.advance(time.Second)
	}
	if rate := float64(net.exchanges) / hosts / replaced; rate > maxRate {
		t.Errorf("%.1f exchanges a second by each host during the release, want at most %.1f", rate, maxRate)
	}
	net.advance(spread - time.Second)
	for i, f := range net.fleets {
		for j := 50; j < 50+replaced; j++ {
			if m := f.members[net.members[j].Host]; i != j && (m == nil || m.Started != net.members[j].Started) {
				t.Errorf("host %d does not know the new host %d after %v", i, j, spread)
			}
		}
	}
}

func TestLeavingHostIsRemoved(t *testing.T) {
	net := newNetwork(8, "a00")
	net.advance(4 * time.Second)
	var fx Effects
	net.fleets[5].Step(net.now, &Leave{}, &fx)
	net.runExchange(5, &fx)
	net.advance(2 * time.Second)
	net.down["h05"] = true
	net.advance(2 * time.Second)
	net.expectMemberCount(t, 7, "after a host left")
	net.restart(5, "a00")
	net.advance(4 * time.Second)
	net.expectMemberCount(t, 8, "after the restart")
}

// TestRestartWithClockSetBack marks a host as departed that then starts again with an earlier
// start time than it had, as after its clock was set back. The others must see it again long
// before they forget the departure.
func TestRestartWithClockSetBack(t *testing.T) {
	net := newNetwork(6, "a00")
	net.members[3].Started = 1000
	net.fleets[3] = New(net.members[3], []string{"a00"}, 3)
	net.advance(4 * time.Second)
	net.down["h03"] = true
	net.advance(40 * time.Second)
	net.expectMemberCount(t, 5, "after the host was lost")
	net.members[3].Started = 10
	net.restart(3, "a00")
	net.advance(5 * time.Second)
	net.expectMemberCount(t, 6, "after its start with an earlier time")
}

// TestDepartedMembersExpire checks that hosts that never return are forgotten.
func TestDepartedMembersExpire(t *testing.T) {
	net := newNetwork(3, "a00")
	net.advance(3 * time.Second)
	net.down["h02"] = true
	net.advance(departedRetention + time.Minute)
	for i, f := range net.fleets[:2] {
		if len(f.members) != 1 {
			t.Errorf("host %d remembers %d others, want 1", i, len(f.members))
		}
	}
}

// TestMembersAreBounded guards against a peer that fills the memory with names of hosts.
func TestMembersAreBounded(t *testing.T) {
	f, fx := New(member(0), nil, 1), &Effects{}
	flood := &MessageReceived{From: member(1), Members: []Member{{Host: strings.Repeat("x", maxDescriptionBytes+1), Started: 1}}}
	for i := 2; len(flood.Members) <= maxMembers; i++ {
		flood.Members = append(flood.Members, member(i))
	}
	f.Step(clock.Instant{}, flood, fx)
	if len(f.members) != maxMembers || fx.Ignored != 2 {
		t.Errorf("%d members, %d ignored, want %d and 2", len(f.members), fx.Ignored, maxMembers)
	}
	if r := fx.Records[len(fx.Records)-1]; r.Event != "hosts_ignored" {
		t.Errorf("last record %q, want hosts_ignored", r.Event)
	}
	fx.Reset()
	f.Step(clock.Instant{}, &MessageReceived{From: flood.Members[0], Members: []Member{{Host: "h02", Started: 1, Departed: true}}}, fx)
	if fx.Ignored != 2 || len(fx.Records) != 1 {
		t.Errorf("%d ignored, %d records for a message of a host with a long name, want 2 and 1", fx.Ignored, len(fx.Records))
	}
	fx.Reset()
	restarted := member(1)
	restarted.Started++
	f.Step(clock.Instant{}, &MessageReceived{From: restarted}, fx)
	if fx.Ignored != 0 || f.members[restarted.Host].Started != restarted.Started {
		t.Errorf("%d ignored, start %d of a known host, want 0 and %d", fx.Ignored, f.members[restarted.Host].Started, restarted.Started)
	}
}

// TestSnapshotsConvergeAfterRandomFailures stops, starts and isolates hosts at random, and
// checks that all snapshots are the same after a quiet period.
func TestSnapshotsConvergeAfterRandomFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const hosts = 8
		net := newNetwork(hosts, "a00", "a01")
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			i := rapid.IntRange(0, hosts-1).Draw(rt, "host")
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				net.down[net.members[i].Host] = true
			case 1:
				net.restart(i, "a00", "a01")
			case 2:
				net.partitioned = func(a, b int) bool { return a == i || b == i }
			case 3:
				net.partitioned = nil
			}
			net.advance(time.Duration(rapid.IntRange(100, 20_000).Draw(rt, "pause")) * time.Millisecond)
		}
		net.partitioned = nil
		for i := range hosts {
			if net.down[net.members[i].Host] {
				net.restart(i, "a00", "a01")
			}
		}
		net.advance(time.Minute)
		for i, f := range net.fleets {
			if snapshot := f.Snapshot(); snapshot.Count() != hosts || snapshot.digest != net.fleets[0].Snapshot().digest {
				rt.Fatalf("host %d has %d members with digest %x", i, snapshot.Count(), snapshot.digest)
			}
		}
	})
}

// TestOlderDescriptionNeverReplacesNewer delivers a description of an earlier start of a
// host.
func TestOlderDescriptionNeverReplacesNewer(t *testing.T) {
	f := New(member(0), nil, 1)
	var fx Effects
	newer := member(1)
	newer.Started, newer.Address = 5, "new"
	f.Step(clock.Instant{}, &MessageReceived{From: newer}, &fx)
	f.Step(clock.Instant{}, &MessageReceived{From: member(2), Members: []Member{member(1)}}, &fx)
	if got := f.members["h01"].Address; got != "new" {
		t.Errorf("address %q, want the later start's", got)
	}
}

func TestDigestDependsOnMembersOnly(t *testing.T) {
	a, b := New(member(0), nil, 1), New(member(1), nil, 2)
	var fx Effects
	if a.Snapshot().digest == b.Snapshot().digest {
		t.Fatal("fleets of different hosts have the same digest")
	}
	a.Step(clock.Instant{}, &MessageReceived{From: member(1)}, &fx)
	b.Step(clock.Instant{}, &MessageReceived{From: member(0)}, &fx)
	if a.Snapshot().digest != b.Snapshot().digest {
		t.Error("fleets of the same hosts have different digests")
	}
}

// TestSelectHubs checks over random fleets that the number of hubs is bounded, that each zone
// has one, and that the result does not depend on the order of the members.
func TestSelectHubs(t *testing.T) {
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
		hubs := SelectHubs(members, limit)
		if n <= limit && len(hubs) != n {
			t.Fatalf("%d of %d hosts are hubs though all may be", len(hubs), n)
		}
		inZone, weakest, strongestOther := map[string]int{}, map[string]int{}, map[string]int{}
		for _, m := range members {
			if hubs[m.Host] {
				inZone[m.Zone]++
				weakest[m.Zone] = m.Capacity
			} else {
				strongestOther[m.Zone] = max(strongestOther[m.Zone], m.Capacity)
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
		if again := SelectHubs(shuffled, limit); fmt.Sprint(again) != fmt.Sprint(hubs) {
			t.Fatalf("hubs are %v and %v for the same members", hubs, again)
		}
	})
}

// TestChangedSeedsAreUsed gives one of two hosts that do not know each other a new seed.
func TestChangedSeedsAreUsed(t *testing.T) {
	net := newNetwork(2, "nowhere")
	net.advance(3 * time.Second)
	if n := net.fleets[0].Snapshot().Count(); n != 1 {
		t.Fatalf("host 0 knows %d members without a seed that answers", n)
	}
	var fx Effects
	net.fleets[0].Step(net.now, &Seeds{Addresses: []string{net.members[0].Address, net.members[1].Address}}, &fx)
	net.runExchange(0, &fx)
	net.advance(3 * time.Second)
	for i, f := range net.fleets {
		if n := f.Snapshot().Count(); n != 2 {
			t.Errorf("host %d knows %d members with the new seeds, want 2", i, n)
		}
	}
}
