package relay

import (
	"testing"
	"time"

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
