package relay

import (
	"fmt"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/fleet"
	"pollentack.example/pollentack/internal/core/result"
)

// farShards moves the near targets of the first n shards to zone z2.
func farShards(w *world, n, shards int) {
	v := testView(shards)
	for i := range n {
		t := v.Targets[fmt.Sprintf("s%02d@z0", i)]
		t.Zone = "z2"
	}
	w.step(&InForce{View: v})
}

// gathers answers a handoff with a part of each service.
func gathers(_ *world, h *Handoff) (*HandoffEnded, time.Duration) {
	a := &Answer{Code: result.OK, Gathered: true}
	bodies := make([][]byte, 0, len(h.Gather.Services))
	for i, name := range h.Gather.Services {
		a.Parts = append(a.Parts, Part{Shard: i, Proof: "peer's proof of " + name})
		bodies = append(bodies, fmt.Appendf(nil, "%-16.16s", name))
	}
	a.Body = mergeTop(bodies, h.Gather.TopK)
	return &HandoffEnded{Answer: a, Spent: workTime}, farWay + workTime
}

// worldWithPeers has shards of which the first far ones have no target in the own region.
func worldWithPeers(t *testing.T, far, shards int) *world {
	w := newWorld(t, shards)
	for _, m := range members(6) {
		w.peers[m.Host] = gathers
	}
	farShards(w, far, shards)
	w.step(&Peers{Members: members(6)})
	return w
}

// TestFarShardsGoToOnePeer hands the shards without a near target to a peer in their
// region; its parts and records are merged with this host's own.
func TestFarShardsGoToOnePeer(t *testing.T) {
	w := worldWithPeers(t, 4, 10)
	key := w.submit("/all/x")
	if len(w.hands) != 1 || len(w.hands[0].Gather.Services) != 4 || len(w.sends) != 6 {
		t.Fatalf("%d handoffs, %d sends", len(w.hands), len(w.sends))
	}
	w.pass(timeout)
	a := w.answer(key)
	if a.Missing != 0 || len(a.Parts) != 10 {
		t.Errorf("%d parts, %d missing", len(a.Parts), a.Missing)
	}
	if want := fmt.Sprintf("%-16.16s%-16.16s%-16.16s", "s09@z0", "s08@z0", "s07@z0"); string(a.Body) != want {
		t.Errorf("body %q", a.Body)
	}
	seen := map[string]bool{}
	for _, p := range a.Parts {
		if seen[p.Proof] {
			t.Errorf("proof %q twice", p.Proof)
		}
		seen[p.Proof] = true
	}
}

// TestPeerIsToldTheMeasuredWay lets messages to the peers' zones take a time that is far
// from the assumed one, and the first handoff make its link: what the peers are told of
// the age is the measured way all the same, so that they do not answer too early.
func TestPeerIsToldTheMeasuredWay(t *testing.T) {
	const way = 10 * time.Millisecond
	w := worldWithPeers(t, 4, 10)
	for _, took := range []time.Duration{5 * way, way, 2 * way} {
		w.step(&Way{Zone: "z1", Took: took})
		w.step(&Way{Zone: "z2", Took: took})
	}
	for i := range 6 {
		took := way
		if i == 0 {
			took = 6 * way
		}
		for _, m := range members(6) {
			w.peers[m.Host] = func(w *world, h *Handoff) (*HandoffEnded, time.Duration) {
				ended, _ := gathers(w, h)
				return ended, took + ended.Spent
			}
		}
		w.submit("/all/x")
		w.pass(timeout)
	}
	if len(w.hands) != 6 {
		t.Fatalf("%d handoffs", len(w.hands))
	}
	for i, h := range w.hands {
		told := h.Gather.Age - objective/cutoffShare - handoffSlack
		if told < way || told > 2*way {
			t.Errorf("handoff %d is told a way of %v, want about %v", i, told, way)
		}
	}
}

// TestWayLongerThanTheObjective has all targets so far away that no answer can be in
// time: it is late and whole, and the peer is not taken for a silent one.
func TestWayLongerThanTheObjective(t *testing.T) {
	const way = 2 * objective
	w := worldWithPeers(t, 10, 10)
	w.step(&Way{Zone: "z1", Took: way})
	w.step(&Way{Zone: "z2", Took: way})
	for _, m := range members(6) {
		w.peers[m.Host] = func(w *world, h *Handoff) (*HandoffEnded, time.Duration) {
			ended, _ := gathers(w, h)
			return ended, way + ended.Spent
		}
	}
	for range 3 {
		key := w.submit("/all/x")
		w.pass(timeout)
		a := w.answer(key)
		if a.Code != result.OK || a.Missing != 0 || w.took[key] > way+2*workTime {
			t.Errorf("code %v, %d missing after %v", a.Code, a.Missing, w.took[key])
		}
	}
	if len(w.hands) != 3 || len(w.sends) != 0 {
		t.Errorf("%d handoffs and %d sends for 3 queries", len(w.hands), len(w.sends))
	}
}

// TestLateHandoffIsGathered serves a handoff whose way leaves no time: it is gathered all
// the same.
func TestLateHandoffIsGathered(t *testing.T) {
	w := newWorld(t, 4)
	w.warmUp()
	w.nextKey++
	w.step(&Submit{Request: &Request{Key: w.nextKey, ID: "h", Gather: &Gather{
		Route: "/all/", Services: []string{"s00", "s01", "s02"}, TopK: 3, MaxAttempts: 2,
		Objective: objective, Timeout: timeout, Age: 2 * objective,
	}}})
	w.pass(timeout)
	if a := w.answer(w.nextKey); a.Code != result.OK || a.Missing != 0 {
		t.Errorf("code %v, %d parts missing", a.Code, a.Missing)
	}
}

// TestPeerThatHasNotHadTheQuery is passed over: another peer gets it, and the answer is
// whole.
func TestPeerThatHasNotHadTheQuery(t *testing.T) {
	w := worldWithPeers(t, 4, 10)
	failed := ""
	for _, m := range members(6) {
		name := m.Host
		w.peers[name] = func(w *world, h *Handoff) (*HandoffEnded, time.Duration) {
			if failed == "" || failed == name {
				failed = name
				return &HandoffEnded{NotSent: true, Reason: "no link"}, time.Millisecond
			}
			return gathers(w, h)
		}
	}
	key := w.submit("/all/x")
	w.pass(timeout)
	if a := w.answer(key); a.Missing != 0 || len(w.hands) < 2 {
		t.Errorf("%d missing after %d handoffs", a.Missing, len(w.hands))
	}
}

// TestPeerThatFallsSilent leaves a shard's attempts bounded: the peer may have asked one
// target of each shard, so that this host asks at most one more.
func TestPeerThatFallsSilent(t *testing.T) {
	w := worldWithPeers(t, 4, 10)
	for _, m := range members(6) {
		w.peers[m.Host] = func(*world, *Handoff) (*HandoffEnded, time.Duration) { return nil, 0 }
	}
	w.at = map[string]behaviour{}
	key := w.submit("/all/x")
	w.pass(2 * timeout)
	a := w.answer(key)
	if a.Code != result.OK && a.Code != result.CoverageTooLow {
		t.Errorf("code %v", a.Code)
	}
	perService := map[string]int{}
	for _, s := range w.sends {
		perService[s.Target.Service]++
	}
	for i := range 4 {
		if n := perService[fmt.Sprintf("s%02d", i)]; n > 1 {
			t.Errorf("shard %d got %d attempts beside the peer's", i, n)
		}
	}
	if n := w.e.InProgress() + len(w.e.groups); n != 0 {
		t.Errorf("%d requests and handoffs in progress", n)
	}
}

// TestHedgeToAnotherRegionIsCarriedByAPeer checks that this host makes no connection to
// a target of another region that has a host.
func TestHedgeToAnotherRegionIsCarriedByAPeer(t *testing.T) {
	w := newWorld(t, 10)
	w.step(&Peers{Members: members(6)})
	w.warmUp()
	w.at["s03@z0"] = silent
	key := w.submit("/all/x")
	w.pass(timeout)
	if a := w.answer(key); a.Missing != 0 {
		t.Errorf("%d missing", a.Missing)
	}
	carried := 0
	for _, s := range w.sends {
		if s.Target.Zone == homeZone {
			continue
		}
		carried++
		if s.Via == "" || !s.Gather.Direct || len(s.Gather.Services) != 1 {
			t.Errorf("attempt at %s goes via %q with %+v", s.Target.Instance, s.Via, s.Gather)
		}
	}
	if carried == 0 {
		t.Error("no hedge was sent")
	}
}

// TestCarriedAttemptStaysInItsRegion serves a peer's attempt: one attempt at a target of
// the own region, without a hedge, whatever happens.
func TestCarriedAttemptStaysInItsRegion(t *testing.T) {
	w := newWorld(t, 3)
	w.step(&Peers{Members: members(6)})
	w.warmUp()
	w.at["s01@z0"] = silent
	w.nextKey++
	w.step(&Submit{Request: &Request{Key: w.nextKey, ID: "x", Gather: &Gather{
		Route: "/all/", Services: []string{"s01"}, TopK: 3, MaxAttempts: 1, Objective: objective, Timeout: timeout, Direct: true,
	}}})
	w.pass(2 * timeout)
	if len(w.sends) != 1 || w.sends[0].Target.Instance != "s01@z0" {
		t.Errorf("sends are %+v", w.sends)
	}
	if kind := w.answer(w.nextKey).Code.Kind(); kind == result.NotRun {
		t.Errorf("a silent target is reported as not run: %v", w.answer(w.nextKey).Code)
	}
}

// TestGatherForAPeerAnswersBeforeItsCutoff keeps the way back in mind.
func TestGatherForAPeerAnswersBeforeItsCutoff(t *testing.T) {
	w := newWorld(t, 4)
	w.warmUp()
	w.at["s01@z0"], w.at["s01@z1"] = silent, silent
	const age = 60 * time.Millisecond
	w.nextKey++
	key := w.nextKey
	w.at0[key] = w.now.Mono
	w.step(&Submit{Request: &Request{Key: key, ID: "x", Gather: &Gather{
		Route: "/all/", Services: []string{"s00", "s01", "s02"}, TopK: 3, MaxAttempts: 2, Objective: objective, Timeout: timeout, Age: age,
	}}})
	w.pass(timeout)
	a := w.answer(key)
	if a.Code != result.OK || len(a.Parts) != 2 || a.Parts[0].Shard != 0 || a.Parts[1].Shard != 2 {
		t.Errorf("answer is %+v", a)
	}
	if took, bound := w.took[key], objective-age+time.Millisecond; took > bound {
		t.Errorf("answered after %v, want at most %v", took, bound)
	}
}

// TestCallerGoneGivesUpHandoffs tells the peers.
func TestCallerGoneGivesUpHandoffs(t *testing.T) {
	w := worldWithPeers(t, 4, 10)
	key := w.submit("/all/x")
	w.e.Step(w.now, &CallerGone{Key: key}, &w.fx)
	if len(w.fx.HandoffCancels) != 1 || w.fx.HandoffCancels[0].Peer != w.hands[0].Peer {
		t.Errorf("cancels are %+v", w.fx.HandoffCancels)
	}
	w.fx.Reset()
	w.pass(timeout)
	if len(w.e.groups) != 0 {
		t.Error("a handoff is still open")
	}
}

// manyMembers are so many hosts that only some are hubs, of which self is none.
func manyMembers(n int) []fleet.Member {
	list := members(n)
	list[n].Capacity = 100
	return list
}

// TestHostThatIsNoHubLeavesAllToHubs hands all shards over, to another hub where the first
// fails, and never asks a target itself.
func TestHostThatIsNoHubLeavesAllToHubs(t *testing.T) {
	w := newWorld(t, 6)
	failed := ""
	list := manyMembers(90)
	for _, m := range list {
		name := m.Host
		w.peers[name] = func(w *world, h *Handoff) (*HandoffEnded, time.Duration) {
			if failed == "" {
				failed = name
				return &HandoffEnded{Reason: "link broke"}, time.Millisecond
			}
			return gathers(w, h)
		}
	}
	w.step(&Peers{Members: list})
	key := w.submit("/all/x")
	w.pass(timeout)
	if a := w.answer(key); a.Code != result.OK || a.Missing != 0 {
		t.Errorf("answer is %v with %d missing", a.Code, a.Missing)
	}
	if len(w.sends) != 0 {
		t.Errorf("%d sends of a host that is no hub", len(w.sends))
	}
	if len(w.hands) != 2 || w.hands[0].Peer == w.hands[1].Peer || w.hands[0].Gather.Repeat || !w.hands[1].Gather.Repeat {
		t.Errorf("handoffs are %+v", w.hands)
	}
	for _, h := range w.hands {
		if !w.e.hubs[h.Peer] {
			t.Errorf("%s is no hub", h.Peer)
		}
	}
}

// TestPartsOfTheRetrySlackAddUp sums the parts of all hosts at several fleet sizes.
func TestPartsOfTheRetrySlackAddUp(t *testing.T) {
	for _, n := range []int{1, 9, 60, 85, 300} {
		list := manyMembers(n)
		sum := 0.0
		for _, m := range list {
			cfg := testConfig()
			cfg.Host, cfg.Zone, cfg.Region = m.Host, m.Zone, m.Region
			e := New(cfg)
			var fx Effects
			e.Step(clock.Instant{}, &InForce{View: testView(2)}, &fx)
			e.Step(clock.Instant{}, &Peers{Members: list}, &fx)
			sum += e.services["s00"].budget.capacity
		}
		if slack := testConfig().Retry.Slack; sum > slack*1.0001 {
			t.Errorf("%d hosts may add %.1f, want at most %.1f", n+1, sum, slack)
		}
	}
}

// TestCarriedAndRepeatedAttemptsEarnNothing serves peers: a carried attempt was paid for
// elsewhere, and a repeat pays here.
func TestCarriedAndRepeatedAttemptsEarnNothing(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	b := &w.e.services["s00"].budget
	submit := func(g Gather) {
		w.nextKey++
		g.Route, g.Services, g.TopK, g.MaxAttempts, g.Objective, g.Timeout = "/all/", []string{"s00"}, 3, 2, objective, timeout
		w.step(&Submit{Request: &Request{Key: w.nextKey, ID: "x", Gather: &g}})
	}
	b.tokens = 2
	submit(Gather{Direct: true})
	if b.tokens != 2 {
		t.Errorf("%.1f tokens after a carried attempt, want 2", b.tokens)
	}
	submit(Gather{Repeat: true})
	if b.tokens != 1 {
		t.Errorf("%.1f tokens after a repeat, want 1", b.tokens)
	}
}

// TestHandedOverShardsEarnRetries lets peers leave one shard out of each answer: this host
// repeats it itself, within its part of what the first requests earn.
func TestHandedOverShardsEarnRetries(t *testing.T) {
	const queries = 300
	w := worldWithPeers(t, 4, 10)
	for _, m := range members(6) {
		w.peers[m.Host] = func(w *world, h *Handoff) (*HandoffEnded, time.Duration) {
			ended, took := gathers(w, h)
			ended.Answer.Parts = ended.Answer.Parts[1:]
			return ended, took
		}
	}
	repeats := 0
	for range queries {
		w.sends = nil
		w.submit("/all/x")
		w.pass(timeout)
		for _, s := range w.sends {
			if s.Target.Service == "s00" {
				repeats++
			}
		}
	}
	ratio, slack := w.e.cfg.Retry.Ratio, w.e.cfg.Retry.Slack/float64(w.e.hosts)
	least, most := 0.9*handedShare*ratio*queries, handedShare*ratio*queries+slack
	if float64(repeats) < least || float64(repeats) > most {
		t.Errorf("%d repeats of %d shards handed over, want %.0f to %.0f", repeats, queries, least, most)
	}
}

// TestSilentPeerMayHaveUsedAllAttempts adds a third target to each shard: after a peer
// that had the shards fell silent, no further target is asked.
func TestSilentPeerMayHaveUsedAllAttempts(t *testing.T) {
	w := worldWithPeers(t, 4, 10)
	v := testView(10)
	for i := range 4 {
		name := fmt.Sprintf("s%02d", i)
		v.Targets[name+"@z0"].Zone = "z2"
		v.Targets[name+"@third"] = &catalog.Target{Instance: name + "@third", Service: name, Address: name, Zone: "z2", Slots: 4, Revision: 2}
	}
	w.step(&InForce{View: v})
	for _, m := range members(6) {
		w.peers[m.Host] = func(*world, *Handoff) (*HandoffEnded, time.Duration) {
			return &HandoffEnded{Reason: "link broke"}, 10 * time.Millisecond
		}
	}
	key := w.submit("/all/x")
	w.pass(2 * timeout)
	for _, s := range w.sends {
		for i := range 4 {
			if s.Target.Service == fmt.Sprintf("s%02d", i) {
				t.Errorf("a third target of shard %d may have been asked: %s", i, s.Target.Instance)
			}
		}
	}
	if len(w.hands) != 1 {
		t.Errorf("%d handoffs, want 1", len(w.hands))
	}
	w.wantCode(key, result.CoverageTooLow)
}

// TestCarriedAttemptIsMadeOnce declines it: the host that asked pays for any other.
func TestCarriedAttemptIsMadeOnce(t *testing.T) {
	w := newWorld(t, 2)
	w.warmUp()
	w.at["s01@z0"] = ends(Declined)
	w.nextKey++
	w.step(&Submit{Request: &Request{Key: w.nextKey, ID: "x", Gather: &Gather{
		Route: "/all/", Services: []string{"s01"}, TopK: 3, MaxAttempts: 1, Objective: objective, Timeout: timeout, Direct: true,
	}}})
	w.pass(2 * timeout)
	if len(w.sends) != 1 {
		t.Errorf("%d attempts, want 1", len(w.sends))
	}
	if kind := w.answer(w.nextKey).Code.Kind(); kind != result.NotRun {
		t.Errorf("a declined attempt is reported as %v", w.answer(w.nextKey).Code)
	}
}
