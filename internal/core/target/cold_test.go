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
	// simWarmBound is the bound from the restart until all hosts join.
	simWarmBound = 30 * time.Second
)

// simRequest is one request on its way to the target or running there.
type simRequest struct {
	host    int
	grant   Grant
	arrives time.Duration
	ends    time.Duration
	answers bool
}

// simHost is one host with its table and its clock.
type simHost struct {
	table  *Table
	offset time.Duration
	paused time.Duration
}

type simFact struct {
	host        int
	due         time.Duration
	incarnation uint64
	level       Level
	cold        bool
}

// sim plays nine hosts against one target that restarts cold.
type sim struct {
	rng         *rand.Rand
	now         time.Duration
	hosts       []simHost
	offset      time.Duration
	incarnation uint64
	cold        bool
	// answersToWarm is how many more answers warm the target.
	answersToWarm int
	under         []simRequest
	running       []simRequest
	facts         []simFact
	mesh          bool
	pauses        bool
	peak          int
}

func simState() *release.State {
	s := &release.State{
		Targets: map[string]*release.Target{"t": {Name: "t", Zone: "z", Slots: simSlots, ColdBudget: simBudget}},
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
	s.answersToWarm = 1 + s.rng.IntN(30)
	for i := range s.running {
		s.reply(&s.running[i], Sign{Disconnected: true})
	}
	s.running = nil
}

func (s *sim) step() {
	s.now += simStep
	s.arrive()
	s.end()
	s.hear()
	for i := range s.hosts {
		s.send(i)
	}
}

// send lets host i pick the target. A pause may come between its check and the send.
func (s *sim) send(i int) {
	h := &s.hosts[i]
	if s.now < h.paused || s.rng.IntN(3) != 0 {
		return
	}
	h.table.Tick(s.instant(h.offset))
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
	s.under = append(s.under, simRequest{host: i, grant: h.table.Grant(id), arrives: s.now + delay})
}

func (s *sim) arrive() {
	s.under = slices.DeleteFunc(s.under, func(r simRequest) bool {
		if r.arrives > s.now {
			return false
		}
		s.begin(r)
		return true
	})
}

// stale reports whether the request would meet another target than its host believes:
// its connection has been broken by the restart, or it needs a new one, over which the
// host first compares the incarnation where the grant asks for it.
func (s *sim) stale(r *simRequest) bool {
	return r.grant.Check && r.grant.Incarnation != s.incarnation && (r.grant.Incarnation != 0 || s.cold)
}

// begin is what the target does with a request.
func (s *sim) begin(r simRequest) {
	switch {
	case s.stale(&r):
		s.reply(&r, Sign{Disconnected: true})
		return
	case r.grant.Turn != nil && s.now+s.offset >= r.grant.Turn.Ends:
		s.reply(&r, Sign{Incarnation: s.incarnation, Cold: s.cold})
		return
	case len(s.running) >= simSlots:
		s.reply(&r, Sign{Incarnation: s.incarnation, Overload: true})
		return
	}
	r.ends = s.now + time.Duration(1+s.rng.IntN(8))*simStep
	r.answers = true
	if r.grant.Turn != nil && r.ends+s.offset > r.grant.Turn.Ends {
		r.ends = r.grant.Turn.Ends - s.offset
		r.answers = false
	}
	s.running = append(s.running, r)
	if s.cold {
		s.peak = max(s.peak, len(s.running))
	}
}

func (s *sim) end() {
	s.running = slices.DeleteFunc(s.running, func(r simRequest) bool {
		if r.ends > s.now {
			return false
		}
		if r.answers && s.cold {
			s.answersToWarm--
			s.cold = s.answersToWarm > 0
		}
		s.reply(&r, Sign{Incarnation: s.incarnation, Cold: s.cold, Answered: r.answers})
		return true
	})
}

func (s *sim) reply(r *simRequest, sign Sign) {
	h := &s.hosts[r.host]
	h.table.Tick(s.instant(h.offset))
	h.table.Done(0, 20*time.Millisecond, sign.Answered)
	h.table.Observe(0, sign)
	h.table.News(func(e *Entry) {
		if !s.mesh {
			return
		}
		for to := range s.hosts {
			// The fleet is split in two halves.
			if to == r.host || (to < simHosts/2) != (r.host < simHosts/2) {
				continue
			}
			due := s.now + time.Duration(s.rng.Int64N(int64(300*time.Millisecond)))
			s.facts = append(s.facts, simFact{host: to, due: due, incarnation: e.Incarnation, level: e.Level, cold: e.Cold})
		}
	})
}

func (s *sim) hear() {
	s.facts = slices.DeleteFunc(s.facts, func(f simFact) bool {
		if f.due > s.now {
			return false
		}
		h := &s.hosts[f.host]
		h.table.Tick(s.instant(h.offset))
		h.table.Hear(0, f.incarnation, f.level, f.cold, false)
		return true
	})
}

func (s *sim) run(until time.Duration) {
	for s.now < until {
		s.step()
	}
}

// TestColdBudgetHoldsOverAllHosts is the property of a cold target: whatever the clocks,
// the pauses, the phase of the turn and the split, no more than the budget is in
// progress there while it is cold, and all hosts join in time.
func TestColdBudgetHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64().Draw(rt, "seed"), rapid.Bool().Draw(rt, "mesh"))
		s.pauses = true
		s.run(s.now + 4*time.Second)
		for range rapid.IntRange(1, 3).Draw(rt, "restarts") {
			s.restart()
			s.run(s.now + time.Duration(rapid.IntRange(0, 8000).Draw(rt, "lasts"))*time.Millisecond)
		}
		if s.peak > simBudget {
			rt.Fatalf("%d requests in progress at a cold target with budget %d", s.peak, simBudget)
		}
	})
}

// TestColdTargetIsWarmInTime checks the bound on the ramp without any message between
// hosts. Pauses are left out: a host that sleeps through its turn joins a round later.
func TestColdTargetIsWarmInTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64().Draw(rt, "seed"), false)
		s.run(s.now + 4*time.Second)
		s.restart()
		s.run(s.now + simWarmBound)
		for i := range s.hosts {
			h := &s.hosts[i]
			h.table.Tick(s.instant(h.offset))
			h.table.SettleAll()
			if h.table.Entry(0).Cold || h.table.Entry(0).Incarnation != s.incarnation {
				rt.Fatalf("host %d has the target cold %s after its restart: %+v", i+1, simWarmBound, h.table.Entry(0).Warmth)
			}
		}
	})
}
