package relay

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/fleet"
	"pollentack.example/pollentack/internal/core/result"
)

const (
	homeZone    = "z0"
	homeRegion  = "r0"
	serviceTime = 7 * time.Millisecond
	remoteRTT   = 40 * time.Millisecond
	objective   = 150 * time.Millisecond
	timeout     = time.Second
)

// behavior returns how an attempt at a target ends and after how long. A nil reply means
// that the attempt never ends.
type behavior func(sim *simulation, s *Send) (*AttemptEnded, time.Duration)

// simulation steps one engine against simulated targets and peers in virtual time.
type simulation struct {
	t       *testing.T
	engine  *Engine
	now     clock.Instant
	fx      Effects
	pending eventHeap
	seq     int
	nextKey uint64
	// behaviors overrides the behavior of targets by instance. peers defines the behavior of
	// peers by host; a peer without an entry never answers.
	behaviors map[string]behavior
	peers     map[string]func(sim *simulation, h *Handoff) (*HandoffEnded, time.Duration)
	sends     []Send
	handoffs  []Handoff
	cancels   []Cancel
	tells     []Tell
	checks    []Check
	coldNews  []ColdNews
	// coldFor is how long targets stay cold by their health responses.
	coldFor map[string]time.Duration
	// refusing holds the instances whose hosts refuse connections to a check.
	refusing map[string]bool
	// restarts holds when targets that crashed listen again, by instance.
	restarts map[string]time.Duration
	// crashed counts the crashes of targets.
	crashed     int
	answers     map[uint64]Answer
	submittedAt map[uint64]time.Duration
	elapsed     map[uint64]time.Duration
}

type pendingEvent struct {
	due time.Duration
	seq int
	ev  Event
}

type eventHeap []pendingEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(pendingEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func testConfig() Config {
	return Config{
		Host: "self", Zone: homeZone, Region: homeRegion,
		Regions:     map[string]string{"z0": "r0", "z1": "r1", "z2": "r2"},
		Retry:       RetryPolicy{Ratio: 0.2, Slack: 58},
		MaxRequests: 100, InitialHosts: 9, Seed: 1,
	}
}

// newSimulation returns a simulation with a route "/one/" to a single service, a
// non-idempotent route "/once/" to the same service and a gathering route "/all/" over the
// given number of shards. Each service has one target in zone z0 and one in z1.
func newSimulation(t *testing.T, shards int) *simulation {
	return newSimulationOf(t, testConfig(), shards)
}

// newSimulationOf is newSimulation with the settings of the engine.
func newSimulationOf(t *testing.T, cfg Config, shards int) *simulation {
	sim := &simulation{
		t: t, engine: New(cfg), behaviors: map[string]behavior{}, answers: map[uint64]Answer{},
		submittedAt: map[uint64]time.Duration{}, elapsed: map[uint64]time.Duration{},
		peers: map[string]func(*simulation, *Handoff) (*HandoffEnded, time.Duration){}, refusing: map[string]bool{}, restarts: map[string]time.Duration{},
	}
	sim.step(&ViewChanged{View: testView(shards)})
	return sim
}

func testView(shards int) *catalog.View {
	v := catalog.NewView()
	v.ConfigRevision = 1
	services := map[string]*catalog.Service{"one": {Name: "one", MaxConnections: 100}}
	gather := make([]string, 0, shards)
	add := func(service, zone string) {
		name := service + "@" + zone
		v.Targets[name] = &catalog.Target{Instance: name, Service: service, Address: name, Zone: zone, Slots: 4, Revision: 1}
	}
	for i := range shards {
		name := fmt.Sprintf("s%02d", i)
		gather = append(gather, name)
		services[name] = &catalog.Service{Name: name, MaxConnections: 60}
		add(name, "z0")
		add(name, "z1")
	}
	add("one", "z0")
	add("one", "z1")
	route := func(prefix string) *catalog.Route {
		return &catalog.Route{Name: prefix, Host: "h", Prefix: prefix, Idempotent: true, Timeout: timeout, LatencyObjective: objective, MaxAttempts: 2}
	}
	all, one, once := route("/all/"), route("/one/"), route("/once/")
	all.ShardServices, all.TopK, all.MinCoverage = gather, 3, 0.75
	one.Service, once.Service = "one", "one"
	once.Idempotent = false
	v.Config = catalog.NewConfig(1, []*catalog.Route{all, one, once}, services, catalog.Limits{})
	return v
}

func (sim *simulation) step(ev Event) {
	sim.engine.Step(sim.now, ev, &sim.fx)
	sim.applyEffects()
}

func (sim *simulation) after(d time.Duration, ev Event) {
	sim.seq++
	heap.Push(&sim.pending, pendingEvent{due: sim.now.Mono + d, seq: sim.seq, ev: ev})
}

func (sim *simulation) applyEffects() {
	for i := range sim.fx.Sends {
		s := sim.fx.Sends[i]
		sim.sends = append(sim.sends, s)
		if reply, d := sim.respond(&s); reply != nil {
			reply.Attempt = s.Attempt
			sim.after(d, reply)
		}
	}
	for i := range sim.fx.Handoffs {
		h := sim.fx.Handoffs[i]
		sim.handoffs = append(sim.handoffs, h)
		if gather := sim.peers[h.Peer]; gather != nil {
			if ended, d := gather(sim, &h); ended != nil {
				ended.ID = h.ID
				sim.after(d, ended)
			}
		}
	}
	sim.cancels = append(sim.cancels, sim.fx.Cancels...)
	sim.tells = append(sim.tells, sim.fx.Tells...)
	sim.coldNews = append(sim.coldNews, sim.fx.ColdNews...)
	for _, c := range sim.fx.Checks {
		sim.checks = append(sim.checks, c)
		sim.after(time.Millisecond, &TargetChecked{ID: c.ID, Cold: sim.coldFor[c.Target.Instance], Refused: sim.refusing[c.Target.Instance], Reached: !sim.refusing[c.Target.Instance]})
	}
	for _, a := range sim.fx.Answers {
		if _, duplicate := sim.answers[a.Key]; duplicate {
			sim.t.Errorf("request %d was answered twice", a.Key)
		}
		sim.answers[a.Key] = a
		sim.elapsed[a.Key] = sim.now.Mono - sim.submittedAt[a.Key]
	}
	sim.fx.Reset()
}

// respond answers as a healthy target unless the target has an entry in behaviors.
func (sim *simulation) respond(s *Send) (*AttemptEnded, time.Duration) {
	if b := sim.behaviors[s.Target.Instance]; b != nil {
		return b(sim, s)
	}
	return answered(s.Target.Instance), rtt(s) + serviceTime
}

func rtt(s *Send) time.Duration {
	if s.Target.Zone == homeZone {
		return 0
	}
	return remoteRTT
}

// answered returns a successful reply with one record that names the target.
func answered(instance string) *AttemptEnded {
	body := fmt.Appendf(nil, "%-16.16s", instance)
	return &AttemptEnded{Outcome: Answered, Response: &Response{Status: 200, Proof: "proof of " + instance, Body: body}}
}

func respondStatus(code int) behavior {
	return func(_ *simulation, s *Send) (*AttemptEnded, time.Duration) {
		return &AttemptEnded{Outcome: Answered, Response: &Response{Status: code, Proof: "p"}}, rtt(s) + serviceTime
	}
}

func endWith(o Outcome) behavior {
	return func(_ *simulation, s *Send) (*AttemptEnded, time.Duration) {
		return &AttemptEnded{Outcome: o}, rtt(s) + time.Millisecond
	}
}

// neverRespond lets the attempt time out at its deadline.
func neverRespond(sim *simulation, s *Send) (*AttemptEnded, time.Duration) {
	return &AttemptEnded{Outcome: TimedOut}, s.Deadline - sim.now.Mono
}

func (sim *simulation) submit(path string) uint64 {
	sim.nextKey++
	sim.submittedAt[sim.nextKey] = sim.now.Mono
	sim.step(&Submit{Request: &Request{Key: sim.nextKey, ID: fmt.Sprint(sim.nextKey), Host: "h", Path: path, Target: path}})
	return sim.nextKey
}

// advance advances the time by d, delivering events and timers as they become due.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Mono + d
	for {
		next := end
		if due, ok := sim.engine.NextWake(); ok {
			next = min(next, due)
		}
		if len(sim.pending) > 0 {
			next = min(next, sim.pending[0].due)
		}
		if next > sim.now.Mono {
			sim.now = sim.now.Add(next - sim.now.Mono)
		}
		for instance, at := range sim.restarts {
			if at <= sim.now.Mono {
				delete(sim.restarts, instance)
				delete(sim.refusing, instance)
			}
		}
		for len(sim.pending) > 0 && sim.pending[0].due <= sim.now.Mono {
			sim.step(heap.Pop(&sim.pending).(pendingEvent).ev)
		}
		sim.engine.Advance(sim.now, &sim.fx)
		sim.applyEffects()
		if next >= end {
			return
		}
	}
}

// warmUp sends requests until the engine has estimated the latency of all routes, and
// clears the recorded effects.
func (sim *simulation) warmUp() {
	for range 20 {
		sim.submit("/all/x")
		sim.submit("/one/x")
		sim.submit("/once/x")
		sim.advance(50 * time.Millisecond)
	}
	sim.sends, sim.handoffs, sim.cancels = nil, nil, nil
}

func (sim *simulation) answer(key uint64) Answer {
	sim.t.Helper()
	a, ok := sim.answers[key]
	if !ok {
		sim.t.Fatalf("request %d has no answer", key)
	}
	return a
}

// wantCodeOf submits a request and checks the code that it ends with.
func (sim *simulation) wantCodeOf(path string, want result.Code) {
	sim.t.Helper()
	key := sim.submit(path)
	sim.advance(timeout)
	sim.wantCode(key, want)
}

func (sim *simulation) wantCode(key uint64, want result.Code) {
	sim.t.Helper()
	if got := sim.answer(key).Code; got != want {
		sim.t.Errorf("request %d ended with %v, want %v", key, got, want)
	}
}

// members returns n hosts over three zones, and this host.
func members(n int) []fleet.Member {
	var list []fleet.Member
	for i := range n {
		list = append(list, fleet.Member{Host: fmt.Sprintf("p%d", i), Zone: fmt.Sprintf("z%d", i%3), Region: fmt.Sprintf("r%d", i%3), Capacity: 400})
	}
	return append(list, fleet.Member{Host: "self", Zone: homeZone, Region: homeRegion, Capacity: 400})
}

// mergeTop returns the k greatest records of the parts in descending order.
func mergeTop(parts [][]byte, k int) []byte {
	var top []byte
	for _, p := range parts {
		top = addTop(top, p, k)
	}
	return top
}
