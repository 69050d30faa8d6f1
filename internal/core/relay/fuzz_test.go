package relay

import (
	"testing"
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/result"
)

// FuzzPeerMessages passes a handoff and the answer to one with any values to the engine. They come
// from another process, which may run another version. The engine must not panic, must answer the
// handoff, and must take parts only for shards that it handed off.
func FuzzPeerMessages(f *testing.F) {
	f.Add(3, 2, int64(100*time.Millisecond), int64(time.Second), int64(0), uint8(3), false, true, false, 0, int64(0), 0, 1, "proof", []byte("0123456789abcdef"))
	f.Add(-1, -1, int64(-1), int64(-1), int64(-1), uint8(1), true, false, true, -7, int64(-1<<62), -1, 99, "", []byte("short"))
	f.Add(0, 0, int64(time.Second), int64(time.Second), int64(0), uint8(0), true, false, false, 0, int64(0), 0, 0, "", []byte(nil))
	f.Fuzz(func(t *testing.T, topK, attempts int, limit, timeout, age int64, services uint8, whole, direct, repeat bool, code int, spent int64, first, second int, proof string, body []byte) {
		const shards, remote = 6, 4
		sim := simulationWithPeers(t, remote, shards)
		for _, m := range members(6) {
			sim.peers[m.Host] = func(*simulation, *Handoff) (*HandoffEnded, time.Duration) {
				parts := []Part{{Shard: first, Proof: proof}, {Shard: second, Proof: proof}}
				return &HandoffEnded{Answer: &Answer{Code: result.Code(code), Gathered: true, Body: body, Parts: parts}, PeerElapsed: time.Duration(spent)}, remoteRTT
			}
		}
		key := sim.submit("/all/x")
		sim.step(&Submit{Request: &Request{Key: 1 << 40, ID: "handoff", Gather: &GatherSpec{
			From: "h1", Services: []string{"s00", "", "none"}[:services%4], Whole: whole, TopK: topK, MaxAttempts: attempts, Direct: direct, Repeat: repeat,
			Objective: time.Duration(limit), Timeout: time.Duration(timeout), Age: time.Duration(age),
		}}})
		sim.advance(2 * timeoutOf(timeout))
		for key, owned := range map[uint64]int{key: shards, 1 << 40: 3} {
			a := sim.answer(key)
			seen := map[int]bool{}
			for _, p := range a.Parts {
				if p.Shard < 0 || p.Shard >= owned || seen[p.Shard] || p.Proof == "" {
					t.Errorf("answer %d has part %+v of %d shards", key, p, owned)
				}
				seen[p.Shard] = true
			}
		}
	})
}

// timeoutOf returns how long the simulation must run until a request with a fuzzed time-out ends.
func timeoutOf(fuzzed int64) time.Duration {
	return max(timeout, min(time.Duration(fuzzed), time.Minute))
}

// FuzzConfigurations runs requests on routes with any values, to targets that name a limit and are cold.
// Configurations are the operator's. The engine must not panic, and a request that ends is answered once.
func FuzzConfigurations(f *testing.F) {
	f.Add(uint8(6), 0.75, 3, 2, int64(objective), int64(timeout), 60, 0.0, 1.0, 5.0, int64(0))
	f.Add(uint8(6), 1.5, 0, 0, int64(0), int64(timeout), 0, 1e300, 0.0, 0.5, int64(time.Second))
	f.Add(uint8(0), -1.0, -1, -1, int64(-1), int64(-1), -1, -1.0, -1.0, 1e300, int64(-1))
	f.Fuzz(func(t *testing.T, gather uint8, coverage float64, topK, attempts int, limit, wait int64, connections int, coldRate, weight, named float64, cold int64) {
		sim, names := newSimulation(t, 2), []string{"s00", "s01", "s00", "", "none"}
		all := &catalog.Route{Name: "all", Host: "h", Prefix: "/all/", Idempotent: true, Timeout: time.Duration(wait), LatencyObjective: time.Duration(limit), MaxAttempts: attempts, TopK: topK, MinCoverage: coverage}
		one, parts := *all, *all
		one.Prefix, one.Service = "/one/", "s00"
		parts.Prefix, parts.Split = "/parts/", []catalog.WeightedService{{Service: "s01", Weight: weight}, {Service: "none", Weight: -weight}}
		for i := range int(gather) {
			all.ShardServices = append(all.ShardServices, names[i%len(names)])
		}
		service := &catalog.Service{HealthPath: "/", MaxConnections: connections, MaxColdRate: coldRate}
		v := testView(2)
		v.Config = catalog.NewConfig(2, []*catalog.Route{all, &one, &parts}, map[string]*catalog.Service{"s00": service, "s01": service, "": service}, catalog.Limits{})
		for name, target := range v.Targets {
			target.ColdRemaining = time.Duration(cold)
			sim.behaviors[name] = limited(named, &arrivalLog{})
		}
		sim.step(&ViewChanged{View: v})
		sim.step(&MembersChanged{Members: members(3)})
		for range 3 {
			for _, path := range []string{"/all/x", "/one/x", "/parts/x"} {
				sim.submit(path)
			}
			sim.advance(timeout)
		}
	})
}
