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
	homeZone   = "z0"
	homeRegion = "r0"
	workTime   = 7 * time.Millisecond
	farWay     = 40 * time.Millisecond
	objective  = 150 * time.Millisecond
	timeout    = time.Second
)

// behaviour decides how a target ends an attempt and how long that takes. It may be nil.
type behaviour func(w *world, s *Send) (*Reply, time.Duration)

// world steps one engine against simulated targets and peers in virtual time.
type world struct {
	t       *testing.T
	e       *Engine
	now     clock.Instant
	fx      Effects
	pending eventHeap
	seq     int
	nextKey uint64
	// at overrides the behaviour of a target by its instance, peers that of a peer.
	at      map[string]behaviour
	peers   map[string]func(w *world, h *Handoff) (*HandoffEnded, time.Duration)
	sends   []Send
	hands   []Handoff
	cancels []Cancel
	answers map[uint64]Answer
	at0     map[uint64]time.Duration
	took    map[uint64]time.Duration
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
		MaxRequests: 100, Hosts: 9, Seed: 1,
	}
}

// newWorld returns a world with a single route "/one/", a once route "/once/" and a
// gathering route "/all/" over shards that each have a target in zones z0 and z1.
func newWorld(t *testing.T, shards int) *world {
	w := &world{
		t: t, e: New(testConfig()), at: map[string]behaviour{}, answers: map[uint64]Answer{},
		at0: map[uint64]time.Duration{}, took: map[uint64]time.Duration{},
		peers: map[string]func(*world, *Handoff) (*HandoffEnded, time.Duration){},
	}
	w.step(&InForce{View: testView(shards)})
	return w
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
		return &catalog.Route{Name: prefix, Host: "h", Prefix: prefix, Idempotent: true, Timeout: timeout, Objective: objective, MaxAttempts: 2}
	}
	all, one, once := route("/all/"), route("/one/"), route("/once/")
	all.Gather, all.TopK, all.MinCoverage = gather, 3, 0.75
	one.Service, once.Service = "one", "one"
	once.Idempotent = false
	v.Config = catalog.NewConfig(1, []*catalog.Route{all, one, once}, services, catalog.Limits{})
	return v
}

func (w *world) step(ev Event) {
	w.e.Step(w.now, ev, &w.fx)
	w.carryOut()
}

func (w *world) after(d time.Duration, ev Event) {
	w.seq++
	heap.Push(&w.pending, pendingEvent{due: w.now.Mono + d, seq: w.seq, ev: ev})
}

func (w *world) carryOut() {
	for i := range w.fx.Sends {
		s := w.fx.Sends[i]
		w.sends = append(w.sends, s)
		if reply, d := w.serve(&s); reply != nil {
			reply.Attempt = s.Attempt
			w.after(d, reply)
		}
	}
	for i := range w.fx.Handoffs {
		h := w.fx.Handoffs[i]
		w.hands = append(w.hands, h)
		if serve := w.peers[h.Peer]; serve != nil {
			if ended, d := serve(w, &h); ended != nil {
				ended.ID = h.ID
				w.after(d, ended)
			}
		}
	}
	w.cancels = append(w.cancels, w.fx.Cancels...)
	for _, a := range w.fx.Answers {
		if _, twice := w.answers[a.Key]; twice {
			w.t.Errorf("request %d is answered twice", a.Key)
		}
		w.answers[a.Key] = a
		w.took[a.Key] = w.now.Mono - w.at0[a.Key]
	}
	w.fx.Reset()
}

// serve answers as a sound target unless the target has a behaviour of its own.
func (w *world) serve(s *Send) (*Reply, time.Duration) {
	if b := w.at[s.Target.Instance]; b != nil {
		return b(w, s)
	}
	return answered(s.Target.Instance), way(s) + workTime
}

func way(s *Send) time.Duration {
	if s.Target.Zone == homeZone {
		return 0
	}
	return farWay
}

// answered is a success with one record that names the target.
func answered(instance string) *Reply {
	body := fmt.Appendf(nil, "%-16.16s", instance)
	return &Reply{Outcome: Answered, Response: &Response{Status: 200, Proof: "proof of " + instance, Body: body}}
}

func status(code int) behaviour {
	return func(_ *world, s *Send) (*Reply, time.Duration) {
		return &Reply{Outcome: Answered, Response: &Response{Status: code, Proof: "p"}}, way(s) + workTime
	}
}

func ends(o Outcome) behaviour {
	return func(_ *world, s *Send) (*Reply, time.Duration) { return &Reply{Outcome: o}, way(s) + time.Millisecond }
}

// silent never replies before the deadline.
func silent(w *world, s *Send) (*Reply, time.Duration) {
	return &Reply{Outcome: TimedOut}, s.Deadline - w.now.Mono
}

func (w *world) submit(path string) uint64 {
	w.nextKey++
	w.at0[w.nextKey] = w.now.Mono
	w.step(&Submit{Request: &Request{Key: w.nextKey, ID: fmt.Sprint(w.nextKey), Host: "h", Path: path}})
	return w.nextKey
}

// pass moves time on, delivering what is due.
func (w *world) pass(d time.Duration) {
	end := w.now.Mono + d
	for {
		next := end
		if due, ok := w.e.NextWake(); ok {
			next = min(next, due)
		}
		if len(w.pending) > 0 {
			next = min(next, w.pending[0].due)
		}
		if next > w.now.Mono {
			w.now = w.now.Add(next - w.now.Mono)
		}
		for len(w.pending) > 0 && w.pending[0].due <= w.now.Mono {
			w.step(heap.Pop(&w.pending).(pendingEvent).ev)
		}
		w.e.Advance(w.now, &w.fx)
		w.carryOut()
		if next >= end {
			return
		}
	}
}

// warmUp lets the engine learn the usual latency of all routes.
func (w *world) warmUp() {
	for range 20 {
		w.submit("/all/x")
		w.submit("/one/x")
		w.submit("/once/x")
		w.pass(50 * time.Millisecond)
	}
	w.sends, w.hands, w.cancels = nil, nil, nil
}

func (w *world) answer(key uint64) Answer {
	w.t.Helper()
	a, ok := w.answers[key]
	if !ok {
		w.t.Fatalf("request %d has no answer", key)
	}
	return a
}

func (w *world) wantCode(key uint64, want result.Code) {
	w.t.Helper()
	if got := w.answer(key).Code; got != want {
		w.t.Errorf("request %d ended with %v, want %v", key, got, want)
	}
}

func members(n int) []fleet.Member {
	var list []fleet.Member
	for i := range n {
		list = append(list, fleet.Member{Host: fmt.Sprintf("p%d", i), Zone: fmt.Sprintf("z%d", i%3), Region: fmt.Sprintf("r%d", i%3), Capacity: 400})
	}
	return append(list, fleet.Member{Host: "self", Zone: homeZone, Region: homeRegion, Capacity: 400})
}
