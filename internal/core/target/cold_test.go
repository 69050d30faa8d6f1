package target

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/release"
)

const (
	simHosts  = 9
	simStep   = 10 * time.Millisecond
	simBudget = 1
	simSlots  = 18
	// simWarmBound is the maximum time from a restart until the target is warm for all hosts.
	simWarmBound = 30 * time.Second
)

// simRequest is one request on its way to the target or running there.
type simRequest struct {
	host     int
	grant    Grant
	arrives  time.Duration
	finishes time.Duration
	replies  bool
}

// simHost is one host with its table and the offset of its wall clock.
type simHost struct {
	table  *Table
	offset time.Duration
	paused time.Duration
}

// simFact is a report about the target to a peer that arrives at a later time.
type simFact struct {
	host        int
	due         time.Duration
	incarnation uint64
	level       Level
	cold        bool
}

// sim simulates simHosts hosts that send to one target, which is cold after a restart.
type sim struct {
	rng         *rand.Rand
	now         time.Duration
	hosts       []simHost
	offset      time.Duration
	incarnation uint64
	cold        bool
	// repliesToWarm is the number of replies after which the target is warm.
	repliesToWarm int
	inTransit     []simRequest
	running       []simRequest
	facts         []simFact
	// mesh enables reports between hosts.
	mesh bool
	// pauses enables pauses of hosts between the choice of the target and the send.
	pauses bool
	// peak is the highest number of requests in progress while the target was cold.
	peak int
}

func simState() *release.State {
	s := &release.State{
		Targets: map[string]*release.Target{"t": {Name: "t", Zone: "z", Slots: simSlots, MaxColdRequests: simBudget}},
		Zones:   map[string]*release.Zone{"z": {Name: "z"}},
	}
	for _, name := range hostsNamed(simHosts) {
		s.Hosts = append(s.Hosts, release.Host{Name: name})
	}
	return s
}

func newSim(seed uint64, mesh bool) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), incarnation: 1, mesh: mesh}
	s.offset = s.skew()
	s.now = time.Hour + time.Duration(s.rng.Int64N(int64(TurnLength)))
	for _, name := range hostsNamed(simHosts) {
		h := simHost{table: NewTable(rand.New(rand.NewPCG(seed, uint64(len(s.hosts))))), offset: s.skew()}
		h.table.Configure(Options{Host: name})
		h.table.Apply(simState())
		s.hosts = append(s.hosts, h)
	}
	return s
}

func (s *sim) skew() time.Duration { return time.Duration(s.rng.Int64N(int64(MaxClockSkew))) }

func (s *sim) instant(offset time.Duration) clock.Instant {
	return clock.Instant{Mono: s.now, Wall: s.now + offset}
}

func (s *sim) restart() {
	s.incarnation++
	s.cold = true
	s.repliesToWarm = 1 + s.rng.IntN(30)
	for i := range s.running {
		s.reply(&s.running[i], Observation{Disconnected: true})
	}
	s.running = nil
}

func (s *sim) step() {
	s.now += simStep
	s.deliverRequests()
	s.finishRequests()
	s.deliverFacts()
	for i := range s.hosts {
		s.send(i)
	}
}

// send lets host i pick the target and send a request. With pauses enabled, the host may
// pause between the two, so that the request arrives late.
func (s *sim) send(i int) {
	h := &s.hosts[i]
	if s.now < h.paused || s.rng.IntN(3) != 0 {
		return
	}
	h.table.SetNow(s.instant(h.offset))
	id, _ := h.table.Pick([]ID{0}, None)
	if id == None {
		return
	}
	h.table.Sent(id)
	delay := time.Duration(s.rng.Int64N(int64(20 * time.Millisecond)))
	if s.pauses && s.rng.IntN(400) == 0 {
		delay += time.Duration(s.rng.Int64N(int64(4 * time.Second)))
		h.paused = s.now + delay
	}
	s.inTransit = append(s.inTransit, simRequest{host: i, grant: h.table.Grant(id), arrives: s.now + delay})
}

func (s *sim) deliverRequests() {
	s.inTransit = slices.DeleteFunc(s.inTransit, func(r simRequest) bool {
		if r.arrives > s.now {
			return false
		}
		s.receive(r)
		return true
	})
}

// connectionStale reports whether the request fails because the incarnation of the target
// is not the one that the host expects: the restart broke the connection, or the check of
// the incarnation on a new connection, which the grant requires, fails.
func (s *sim) connectionStale(r *simRequest) bool {
	return r.grant.Check && r.grant.Incarnation != s.incarnation && (r.grant.Incarnation != 0 || s.cold)
}

// receive processes the arrival of a request at the target.
func (s *sim) receive(r simRequest) {
	switch {
	case s.connectionStale(&r):
		s.reply(&r, Observation{Disconnected: true})
		return
	case r.grant.Turn != nil && s.now+s.offset >= r.grant.Turn.Ends:
		s.reply(&r, Observation{Incarnation: s.incarnation, Cold: s.cold})
		return
	case len(s.running) >= simSlots:
		s.reply(&r, Observation{Incarnation: s.incarnation, Shed: true})
		return
	}
	r.finishes = s.now + time.Duration(1+s.rng.IntN(8))*simStep
	r.replies = true
	if r.grant.Turn != nil && r.finishes+s.offset > r.grant.Turn.Ends {
		r.finishes = r.grant.Turn.Ends - s.offset
		r.replies = false
	}
	s.running = append(s.running, r)
	if s.cold {
		s.peak = max(s.peak, len(s.running))
	}
}

func (s *sim) finishRequests() {
	s.running = slices.DeleteFunc(s.running, func(r simRequest) bool {
		if r.finishes > s.now {
			return false
		}
		if r.replies && s.cold {
			s.repliesToWarm--
			s.cold = s.repliesToWarm > 0
		}
		s.reply(&r, Observation{Incarnation: s.incarnation, Cold: s.cold, Answered: r.replies})
		return true
	})
}

func (s *sim) reply(r *simRequest, o Observation) {
	h := &s.hosts[r.host]
	h.table.SetNow(s.instant(h.offset))
	h.table.Done(0, 20*time.Millisecond, o.Answered)
	h.table.Observe(0, o)
	h.table.ReportChanges(func(e *Entry) {
		if !s.mesh {
			return
		}
		for to := range s.hosts {
			// A network partition separates the two halves of the hosts.
			if to == r.host || (to < simHosts/2) != (r.host < simHosts/2) {
				continue
			}
			due := s.now + time.Duration(s.rng.Int64N(int64(300*time.Millisecond)))
			s.facts = append(s.facts, simFact{host: to, due: due, incarnation: e.Incarnation, level: e.Level, cold: e.Cold})
		}
	})
}

func (s *sim) deliverFacts() {
	s.facts = slices.DeleteFunc(s.facts, func(f simFact) bool {
		if f.due > s.now {
			return false
		}
		h := &s.hosts[f.host]
		h.table.SetNow(s.instant(h.offset))
		h.table.MergePeer(0, f.incarnation, f.level, f.cold, false)
		return true
	})
}

func (s *sim) run(until time.Duration) {
	for s.now < until {
		s.step()
	}
}

// TestColdBudgetIsSharedByAllHosts checks that a cold target never has more requests in
// progress than its budget, for any clock offsets, pauses and phase of the turn, without
// reports between hosts and with reports that do not cross a network partition.
// TestColdTargetWarmsWithinBound checks that the target becomes warm in time.
func TestColdBudgetIsSharedByAllHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64().Draw(rt, "seed"), rapid.Bool().Draw(rt, "mesh"))
		s.pauses = true
		s.run(s.now + 4*time.Second)
		for range rapid.IntRange(1, 3).Draw(rt, "restarts") {
			s.restart()
			s.run(s.now + time.Duration(rapid.IntRange(0, 8000).Draw(rt, "lasts"))*time.Millisecond)
		}
		if s.peak > simBudget {
			rt.Fatalf("%d requests in progress at a cold target with a budget of %d", s.peak, simBudget)
		}
	})
}

// TestColdTargetWarmsWithinBound checks that a restarted target is warm for all hosts within
// simWarmBound without reports between hosts. There are no pauses, because a host that is
// paused during its turn uses the target one round later.
func TestColdTargetWarmsWithinBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64().Draw(rt, "seed"), false)
		s.run(s.now + 4*time.Second)
		s.restart()
		s.run(s.now + simWarmBound)
		for i := range s.hosts {
			h := &s.hosts[i]
			h.table.SetNow(s.instant(h.offset))
			h.table.EndCompletedRamps()
			if h.table.Entry(0).Cold || h.table.Entry(0).Incarnation != s.incarnation {
				rt.Fatalf("the target is still cold for host %d %s after its restart: %+v", i+1, simWarmBound, h.table.Entry(0).WarmUp)
			}
		}
	})
}
