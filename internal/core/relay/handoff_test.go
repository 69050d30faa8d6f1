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

// moveToZone2 moves the targets in zone z0 of the first n shards to zone z2.
func moveToZone2(sim *simulation, n, shards int) {
	v := testView(shards)
	for i := range n {
		t := v.Targets[fmt.Sprintf("s%02d@z0", i)]
		t.Zone = "z2"
	}
	sim.step(&ViewChanged{View: v})
}

// gatherAll answers a handoff with a part for each of its services.
func gatherAll(_ *simulation, h *Handoff) (*HandoffEnded, time.Duration) {
	a := &Answer{Code: result.OK, Gathered: true}
	bodies := make([][]byte, 0, len(h.Gather.Services))
	for i, name := range h.Gather.Services {
		a.Parts = append(a.Parts, Part{Shard: i, Proof: "peer's proof of " + name})
		bodies = append(bodies, fmt.Appendf(nil, "%-16.16s", name))
	}
	a.Body = mergeTop(bodies, h.Gather.TopK)
	return &HandoffEnded{Answer: a, PeerElapsed: serviceTime}, remoteRTT + serviceTime
}

// simulationWithPeers returns a simulation with six peers, in which the first remote shards
// have no target in this host's region.
func simulationWithPeers(t *testing.T, remote, shards int) *simulation {
	sim := newSimulation(t, shards)
	for _, m := range members(6) {
		sim.peers[m.Host] = gatherAll
	}
	moveToZone2(sim, remote, shards)
	sim.step(&MembersChanged{Members: members(6)})
	return sim
}

// TestShardsWithoutLocalTargetGoToOnePeer checks that shards without a target in this host's
// region are handed off to one peer, and that its parts and records are merged with this
// host's own.
func TestShardsWithoutLocalTargetGoToOnePeer(t *testing.T) {
	sim := simulationWithPeers(t, 4, 10)
	key := sim.submit("/all/x")
	if len(sim.handoffs) != 1 || len(sim.handoffs[0].Gather.Services) != 4 || len(sim.sends) != 6 {
		t.Fatalf("%d handoffs, %d sends", len(sim.handoffs), len(sim.sends))
	}
	sim.advance(timeout)
	a := sim.answer(key)
	if a.Missing != 0 || len(a.Parts) != 10 {
		t.Errorf("%d parts, %d missing", len(a.Parts), a.Missing)
	}
	if want := fmt.Sprintf("%-16.16s%-16.16s%-16.16s", "s09@z0", "s08@z0", "s07@z0"); string(a.Body) != want {
		t.Errorf("body is %q, want %q", a.Body, want)
	}
	seen := map[string]bool{}
	for _, p := range a.Parts {
		if seen[p.Proof] {
			t.Errorf("proof %q appears twice", p.Proof)
		}
		seen[p.Proof] = true
	}
}

// TestHandoffAgeUsesMeasuredRTT uses a round-trip time to the peers' zones that differs from
// the default, and a slow first handoff that includes establishing the connection. The age
// sent to peers must reflect the measured round-trip time; with a greater age they would
// answer too early.
func TestHandoffAgeUsesMeasuredRTT(t *testing.T) {
	const rtt = 10 * time.Millisecond
	sim := simulationWithPeers(t, 4, 10)
	for _, took := range []time.Duration{5 * rtt, rtt, 2 * rtt} {
		sim.step(&RTTMeasured{Zone: "z1", RTT: took})
		sim.step(&RTTMeasured{Zone: "z2", RTT: took})
	}
	for i := range 6 {
		took := rtt
		if i == 0 {
			took = 6 * rtt
		}
		for _, m := range members(6) {
			sim.peers[m.Host] = func(sim *simulation, h *Handoff) (*HandoffEnded, time.Duration) {
				ended, _ := gatherAll(sim, h)
				return ended, took + ended.PeerElapsed
			}
		}
		sim.submit("/all/x")
		sim.advance(timeout)
	}
	if len(sim.handoffs) != 6 {
		t.Fatalf("%d handoffs", len(sim.handoffs))
	}
	for i, h := range sim.handoffs {
		reported := h.Gather.Age - objective/replyMarginDivisor - handoffMargin
		if reported < rtt || reported > 2*rtt {
			t.Errorf("the age of handoff %d includes a round-trip time of %v, want about %v", i, reported, rtt)
		}
	}
}

// TestRTTLongerThanObjective uses a round-trip time to all targets that exceeds the
// objective. The answer must be late but complete, and the handoff must not be treated as
// overdue.
func TestRTTLongerThanObjective(t *testing.T) {
	const rtt = 2 * objective
	sim := simulationWithPeers(t, 10, 10)
	sim.step(&RTTMeasured{Zone: "z1", RTT: rtt})
	sim.step(&RTTMeasured{Zone: "z2", RTT: rtt})
	for _, m := range members(6) {
		sim.peers[m.Host] = func(sim *simulation, h *Handoff) (*HandoffEnded, time.Duration) {
			ended, _ := gatherAll(sim, h)
			return ended, rtt + ended.PeerElapsed
		}
	}
	for range 3 {
		key := sim.submit("/all/x")
		sim.advance(timeout)
		a := sim.answer(key)
		if a.Code != result.OK || a.Missing != 0 || sim.elapsed[key] > rtt+2*serviceTime {
			t.Errorf("code %v, %d missing after %v", a.Code, a.Missing, sim.elapsed[key])
		}
	}
	if len(sim.handoffs) != 3 || len(sim.sends) != 0 {
		t.Errorf("%d handoffs and %d attempts for 3 queries, want 3 and 0", len(sim.handoffs), len(sim.sends))
	}
}

// TestHandoffPastObjectiveIsGathered checks that a handoff received after its objective is
// still gathered.
func TestHandoffPastObjectiveIsGathered(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.warmUp()
	sim.nextKey++
	sim.step(&Submit{Request: &Request{Key: sim.nextKey, ID: "h", Gather: &GatherSpec{
		Route: "/all/", Services: []string{"s00", "s01", "s02"}, TopK: 3, MaxAttempts: 2,
		Objective: objective, Timeout: timeout, Age: 2 * objective,
	}}})
	sim.advance(timeout)
	if a := sim.answer(sim.nextKey); a.Code != result.OK || a.Missing != 0 {
		t.Errorf("code %v, %d parts missing", a.Code, a.Missing)
	}
}

// TestUnsentHandoffGoesToAnotherPeer checks that shards whose handoff did not reach one peer
// are handed off to another, and that the answer is complete.
func TestUnsentHandoffGoesToAnotherPeer(t *testing.T) {
	sim := simulationWithPeers(t, 4, 10)
	failed := ""
	for _, m := range members(6) {
		name := m.Host
		sim.peers[name] = func(sim *simulation, h *Handoff) (*HandoffEnded, time.Duration) {
			if failed == "" || failed == name {
				failed = name
				return &HandoffEnded{NotSent: true, Reason: "no connection"}, time.Millisecond
			}
			return gatherAll(sim, h)
		}
	}
	key := sim.submit("/all/x")
	sim.advance(timeout)
	if a := sim.answer(key); a.Missing != 0 || len(sim.handoffs) < 2 {
		t.Errorf("%d missing after %d handoffs", a.Missing, len(sim.handoffs))
	}
}

// TestUnresponsivePeerBoundsAttempts checks that after a handoff without an answer this host
// makes at most one attempt at each shard, since the peer may have made the other.
func TestUnresponsivePeerBoundsAttempts(t *testing.T) {
	sim := simulationWithPeers(t, 4, 10)
	for _, m := range members(6) {
		sim.peers[m.Host] = func(*simulation, *Handoff) (*HandoffEnded, time.Duration) { return nil, 0 }
	}
	sim.behaviors = map[string]behavior{}
	key := sim.submit("/all/x")
	sim.advance(2 * timeout)
	a := sim.answer(key)
	if a.Code != result.OK && a.Code != result.CoverageTooLow {
		t.Errorf("code %v", a.Code)
	}
	perService := map[string]int{}
	for _, s := range sim.sends {
		perService[s.Target.Service]++
	}
	for i := range 4 {
		if n := perService[fmt.Sprintf("s%02d", i)]; n > 1 {
			t.Errorf("shard %d got %d attempts in addition to the peer's", i, n)
		}
	}
	if n := sim.engine.InProgress() + len(sim.engine.handoffs); n != 0 {
		t.Errorf("%d requests and handoffs in progress", n)
	}
}

// TestCrossRegionHedgeIsForwardedByPeer checks that this host does not connect to a target
// in another region that has a host of its own.
func TestCrossRegionHedgeIsForwardedByPeer(t *testing.T) {
	sim := newSimulation(t, 10)
	sim.step(&MembersChanged{Members: members(6)})
	sim.warmUp()
	sim.behaviors["s03@z0"] = neverRespond
	key := sim.submit("/all/x")
	sim.advance(timeout)
	if a := sim.answer(key); a.Missing != 0 {
		t.Errorf("%d missing", a.Missing)
	}
	forwarded := 0
	for _, s := range sim.sends {
		if s.Target.Zone == homeZone {
			continue
		}
		forwarded++
		if s.Via == "" || !s.Gather.Direct || len(s.Gather.Services) != 1 {
			t.Errorf("attempt at %s goes via %q with %+v", s.Target.Instance, s.Via, s.Gather)
		}
	}
	if forwarded == 0 {
		t.Error("no hedge was sent")
	}
}

// TestForwardedAttemptStaysInRegion checks that an attempt forwarded by a peer is made once,
// at a target in this host's region, and not hedged even if the target does not respond.
func TestForwardedAttemptStaysInRegion(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.step(&MembersChanged{Members: members(6)})
	sim.warmUp()
	sim.behaviors["s01@z0"] = neverRespond
	sim.nextKey++
	sim.step(&Submit{Request: &Request{Key: sim.nextKey, ID: "x", Gather: &GatherSpec{
		Route: "/all/", Services: []string{"s01"}, TopK: 3, MaxAttempts: 1, Objective: objective, Timeout: timeout, Direct: true,
	}}})
	sim.advance(2 * timeout)
	if len(sim.sends) != 1 || sim.sends[0].Target.Instance != "s01@z0" {
		t.Errorf("attempts are %+v, want one at s01@z0", sim.sends)
	}
	if kind := sim.answer(sim.nextKey).Code.Kind(); kind == result.NotRun {
		t.Errorf("an attempt without a response is reported as not run: %v", sim.answer(sim.nextKey).Code)
	}
}

// TestGatherForPeerAnswersBeforeCutoff checks that a handoff is answered partially early
// enough for the answer to reach the peer before its cutoff.
func TestGatherForPeerAnswersBeforeCutoff(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.warmUp()
	sim.behaviors["s01@z0"], sim.behaviors["s01@z1"] = neverRespond, neverRespond
	const age = 60 * time.Millisecond
	sim.nextKey++
	key := sim.nextKey
	sim.submittedAt[key] = sim.now.Mono
	sim.step(&Submit{Request: &Request{Key: key, ID: "x", Gather: &GatherSpec{
		Route: "/all/", Services: []string{"s00", "s01", "s02"}, TopK: 3, MaxAttempts: 2, Objective: objective, Timeout: timeout, Age: age,
	}}})
	sim.advance(timeout)
	a := sim.answer(key)
	if a.Code != result.OK || len(a.Parts) != 2 || a.Parts[0].Shard != 0 || a.Parts[1].Shard != 2 {
		t.Errorf("answer is %+v", a)
	}
	if took, bound := sim.elapsed[key], objective-age+time.Millisecond; took > bound {
		t.Errorf("answered after %v, want at most %v", took, bound)
	}
}

// TestCallerGoneCancelsHandoffs checks that handoffs in progress are cancelled at their peers
// after the caller has gone.
func TestCallerGoneCancelsHandoffs(t *testing.T) {
	sim := simulationWithPeers(t, 4, 10)
	key := sim.submit("/all/x")
	sim.engine.Step(sim.now, &CallerGone{Key: key}, &sim.fx)
	if len(sim.fx.HandoffCancels) != 1 || sim.fx.HandoffCancels[0].Peer != sim.handoffs[0].Peer {
		t.Errorf("cancels are %+v", sim.fx.HandoffCancels)
	}
	sim.fx.Reset()
	sim.advance(timeout)
	if len(sim.engine.handoffs) != 0 {
		t.Error("a handoff is still in progress")
	}
}

// membersWithSmallSelf returns members(n) with a capacity of this host so low that it is not
// a hub if there are fewer hubs than members.
func membersWithSmallSelf(n int) []fleet.Member {
	list := members(n)
	list[n].Capacity = 100
	return list
}

// TestNonHubDelegatesAllShards checks that a host that is not a hub hands off all shards, to
// another hub if the first fails, and never sends to a target itself.
func TestNonHubDelegatesAllShards(t *testing.T) {
	sim := newSimulation(t, 6)
	failed := ""
	list := membersWithSmallSelf(90)
	for _, m := range list {
		name := m.Host
		sim.peers[name] = func(sim *simulation, h *Handoff) (*HandoffEnded, time.Duration) {
			if failed == "" {
				failed = name
				return &HandoffEnded{Reason: "connection lost"}, time.Millisecond
			}
			return gatherAll(sim, h)
		}
	}
	sim.step(&MembersChanged{Members: list})
	key := sim.submit("/all/x")
	sim.advance(timeout)
	if a := sim.answer(key); a.Code != result.OK || a.Missing != 0 {
		t.Errorf("answer is %v with %d missing", a.Code, a.Missing)
	}
	if len(sim.sends) != 0 {
		t.Errorf("%d attempts from a host that is not a hub", len(sim.sends))
	}
	if len(sim.handoffs) != 2 || sim.handoffs[0].Peer == sim.handoffs[1].Peer || sim.handoffs[0].Gather.Repeat || !sim.handoffs[1].Gather.Repeat {
		t.Errorf("handoffs are %+v", sim.handoffs)
	}
	for _, h := range sim.handoffs {
		if !sim.engine.hubs[h.Peer] {
			t.Errorf("%s is not a hub", h.Peer)
		}
	}
}

// TestRetrySlackSharesStayWithinLimit checks for several fleet sizes that the shares of the
// retry slack that all hosts get add up to at most the slack.
func TestRetrySlackSharesStayWithinLimit(t *testing.T) {
	for _, n := range []int{1, 9, 60, 85, 300} {
		list := membersWithSmallSelf(n)
		sum := 0.0
		for _, m := range list {
			cfg := testConfig()
			cfg.Host, cfg.Zone, cfg.Region = m.Host, m.Zone, m.Region
			e := New(cfg)
			var fx Effects
			e.Step(clock.Instant{}, &ViewChanged{View: testView(2)}, &fx)
			e.Step(clock.Instant{}, &MembersChanged{Members: list}, &fx)
			sum += e.services["s00"].budget.capacity
		}
		if slack := testConfig().Retry.Slack; sum > slack*1.0001 {
			t.Errorf("retry slack of %d hosts is %.1f, want at most %.1f", n+1, sum, slack)
		}
	}
}

// TestForwardedAndRepeatedAttemptsMakeNoDeposit checks the retry budget for requests from
// peers: a forwarded attempt is accounted for by its sender, and a repeat takes a token here.
func TestForwardedAndRepeatedAttemptsMakeNoDeposit(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	b := &sim.engine.services["s00"].budget
	submit := func(g GatherSpec) {
		sim.nextKey++
		g.Route, g.Services, g.TopK, g.MaxAttempts, g.Objective, g.Timeout = "/all/", []string{"s00"}, 3, 2, objective, timeout
		sim.step(&Submit{Request: &Request{Key: sim.nextKey, ID: "x", Gather: &g}})
	}
	b.tokens = 2
	submit(GatherSpec{Direct: true})
	if b.tokens != 2 {
		t.Errorf("%.1f tokens after a forwarded attempt, want 2", b.tokens)
	}
	submit(GatherSpec{Repeat: true})
	if b.tokens != 1 {
		t.Errorf("%.1f tokens after a repeat, want 1", b.tokens)
	}
}

// TestHandedOffShardsDepositRetryTokens lets peers omit one shard from each answer. This host
// must retry it itself, within its share of the deposits for the first attempts.
func TestHandedOffShardsDepositRetryTokens(t *testing.T) {
	const queries = 300
	sim := simulationWithPeers(t, 4, 10)
	for _, m := range members(6) {
		sim.peers[m.Host] = func(sim *simulation, h *Handoff) (*HandoffEnded, time.Duration) {
			ended, took := gatherAll(sim, h)
			ended.Answer.Parts = ended.Answer.Parts[1:]
			return ended, took
		}
	}
	retries := 0
	for range queries {
		sim.sends = nil
		sim.submit("/all/x")
		sim.advance(timeout)
		for _, s := range sim.sends {
			if s.Target.Service == "s00" {
				retries++
			}
		}
	}
	ratio, slack := sim.engine.cfg.Retry.Ratio, sim.engine.cfg.Retry.Slack/float64(sim.engine.hosts)
	least, most := 0.9*handoffDepositShare*ratio*queries, handoffDepositShare*ratio*queries+slack
	if float64(retries) < least || float64(retries) > most {
		t.Errorf("%d retries of %d handed-off shards, want %.0f to %.0f", retries, queries, least, most)
	}
}

// TestUnresponsivePeerMayHaveUsedAllAttempts checks shards with more targets than allowed
// attempts: after a handoff is lost, this host must not try any target, as it could be the
// third.
func TestUnresponsivePeerMayHaveUsedAllAttempts(t *testing.T) {
	sim := simulationWithPeers(t, 4, 10)
	v := testView(10)
	for i := range 4 {
		name := fmt.Sprintf("s%02d", i)
		v.Targets[name+"@z0"].Zone = "z2"
		v.Targets[name+"@third"] = &catalog.Target{Instance: name + "@third", Service: name, Address: name, Zone: "z2", Slots: 4, Revision: 2}
	}
	sim.step(&ViewChanged{View: v})
	for _, m := range members(6) {
		sim.peers[m.Host] = func(*simulation, *Handoff) (*HandoffEnded, time.Duration) {
			return &HandoffEnded{Reason: "connection lost"}, 10 * time.Millisecond
		}
	}
	key := sim.submit("/all/x")
	sim.advance(2 * timeout)
	for _, s := range sim.sends {
		for i := range 4 {
			if s.Target.Service == fmt.Sprintf("s%02d", i) {
				t.Errorf("attempt at %s may be the third target of shard %d", s.Target.Instance, i)
			}
		}
	}
	if len(sim.handoffs) != 1 {
		t.Errorf("%d handoffs, want 1", len(sim.handoffs))
	}
	sim.wantCode(key, result.CoverageTooLow)
}

// TestForwardedAttemptIsNotRetried declines a forwarded attempt. It must not be retried here,
// because only its sender may spend its retry budget on another attempt.
func TestForwardedAttemptIsNotRetried(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.warmUp()
	sim.behaviors["s01@z0"] = endWith(Declined)
	sim.nextKey++
	sim.step(&Submit{Request: &Request{Key: sim.nextKey, ID: "x", Gather: &GatherSpec{
		Route: "/all/", Services: []string{"s01"}, TopK: 3, MaxAttempts: 1, Objective: objective, Timeout: timeout, Direct: true,
	}}})
	sim.advance(2 * timeout)
	if len(sim.sends) != 1 {
		t.Errorf("%d attempts, want 1", len(sim.sends))
	}
	if kind := sim.answer(sim.nextKey).Code.Kind(); kind != result.NotRun {
		t.Errorf("a declined attempt is reported as %v", sim.answer(sim.nextKey).Code)
	}
}

// TestSilentServersKeepTheirWork lets a target's entry lapse, and a peer miss its exchanges, while
// they work on a request. Their work must not be started again elsewhere, nor given up before they
// answer.
func TestSilentServersKeepTheirWork(t *testing.T) {
	const work = objective / 4
	t.Run("target", func(t *testing.T) {
		for _, path := range []string{"/one/x", "/once/x"} {
			sim := newSimulation(t, 1)
			sim.warmUp()
			sim.behaviors["one@z0"] = func(*simulation, *Send) (*AttemptEnded, time.Duration) { return answered("one@z0"), work }
			key := sim.submit(path)
			lapsed := testView(1)
			delete(lapsed.Targets, "one@z0")
			sim.step(&ViewChanged{View: lapsed})
			sim.advance(work / 2)
			sim.step(&ViewChanged{View: testView(1)})
			sim.advance(timeout)
			sim.wantCode(key, result.OK)
			if len(sim.sends) != 1 || len(sim.cancels) != 0 {
				t.Errorf("%s: %d sends and %d cancels, want 1 and 0", path, len(sim.sends), len(sim.cancels))
			}
		}
	})
	t.Run("peer", func(t *testing.T) {
		sim := simulationWithPeers(t, 4, 10)
		for _, m := range members(6) {
			sim.peers[m.Host] = func(sim *simulation, h *Handoff) (*HandoffEnded, time.Duration) {
				ended, _ := gatherAll(sim, h)
				return ended, work
			}
		}
		key := sim.submit("/all/x")
		sim.step(&MembersChanged{Members: members(1)})
		sim.advance(timeout)
		if a := sim.answer(key); a.Missing != 0 || len(sim.handoffs) != 1 || len(sim.sends) != 6 {
			t.Errorf("%d missing after %d handoffs and %d sends, want 0, 1 and 6", a.Missing, len(sim.handoffs), len(sim.sends))
		}
	})
}

// TestDelayedHandoffHasLessTime guards against targets that are handed more time than is left, since a handoff
// was held up on its way for less time than its sender waits.
func TestDelayedHandoffHasLessTime(t *testing.T) {
	const age, delay = 60 * time.Millisecond, objective / 2
	sim := newSimulation(t, 4)
	sim.warmUp()
	sim.nextKey++
	sim.step(&Submit{Request: &Request{Key: sim.nextKey, ID: "late", Delay: delay, Gather: &GatherSpec{
		Route: "/all/", Services: []string{"s01"}, TopK: 3, MaxAttempts: 1, Objective: objective, Timeout: timeout, Age: age, Direct: true,
	}}})
	if len(sim.sends) != 1 {
		t.Fatalf("%d attempts, want 1", len(sim.sends))
	}
	if left, want := sim.sends[0].Deadline-sim.now.Mono, timeout-age-delay; left > want {
		t.Errorf("the attempt has %v, want at most %v", left, want)
	}
}

// TestDelayedHandoffIsRefused replays a handoff that a cut connection delivers two seconds late:
// its sender has given it up, and the shards must not be asked. A handoff that was delayed by less
// than its sender waits is served.
func TestDelayedHandoffIsRefused(t *testing.T) {
	const process, ahead = 7, time.Hour // the peer's clock is ahead
	transits := NewTransits()
	for i := range 3 {
		at := time.Duration(i) * time.Second
		if d := transits.Observe("h1", process, at+ahead, at+remoteRTT/2); d != 0 {
			t.Errorf("message %d was %v longer on its way, want 0", i, d)
		}
	}
	for _, tt := range []struct {
		late time.Duration
		code result.Code
	}{{objective / 2, result.OK}, {2 * time.Second, result.DeadlineTooShort}} {
		sim := simulationWithPeers(t, 0, 4)
		sentAt := 4 * time.Second
		delay := transits.Observe("h1", process, sentAt+ahead, sentAt+remoteRTT/2+tt.late)
		if delay != tt.late {
			t.Errorf("the message was %v longer on its way, want %v", delay, tt.late)
		}
		sim.step(&Submit{Request: &Request{Key: 1, ID: "late", Delay: delay, Gather: &GatherSpec{
			From: "h1", Route: "/all/", Services: []string{"s00", "s01"}, TopK: 3, MaxAttempts: 2, Objective: objective, Timeout: 3 * time.Second,
		}}})
		sim.advance(timeout)
		sim.wantCode(1, tt.code)
		if tt.code != result.OK && len(sim.sends) != 0 {
			t.Errorf("%d shards were asked for a query that was given up", len(sim.sends))
		}
	}
	if d := transits.Observe("h1", process+1, 0, 10*time.Second); d != 0 {
		t.Errorf("the first message of a new process was %v longer on its way, want 0", d)
	}
	for i := range 5 { // the peer's clock stood still for a second
		at := time.Duration(20+10*i) * time.Second
		if d := transits.Observe("h1", process+1, at-time.Second, at+10*time.Second); i > 2 && d != 0 {
			t.Errorf("%v later messages are still %v longer on their way", at, d)
		}
	}
}

// TestPartitionsOfDroppedRoutesAreForgotten guards against a host whose memory grows with each
// configuration that names routes anew.
func TestPartitionsOfDroppedRoutesAreForgotten(t *testing.T) {
	const shards, versions = 2 * minPartShards, 5
	sim := newSimulation(t, shards)
	sim.step(&MembersChanged{Members: members(6)})
	for version := range uint64(versions) {
		v := testView(shards)
		all := *v.Config.Routes[0]
		all.Name = fmt.Sprintf("all of version %d", version)
		v.Config = catalog.NewConfig(2+version, []*catalog.Route{&all}, v.Config.Services, catalog.Limits{})
		sim.step(&ViewChanged{View: v})
	}
	if n := len(sim.engine.partitions); n > 1 {
		t.Errorf("%d partitions are kept, want at most 1", n)
	}
}
