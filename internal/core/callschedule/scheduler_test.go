package callschedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/release"
)

func newHosts(zones, perZone int) []release.Host {
	hosts := make([]release.Host, 0, zones*perZone)
	for z := range zones {
		for h := range perZone {
			hosts = append(hosts, release.Host{Name: fmt.Sprintf("host-%d-%d", z, h), Zone: fmt.Sprintf("zone-%d", z)})
		}
	}
	return hosts
}

// TestWatchersRotate checks that two hosts of a zone watch in every round, and each host
// within as many rounds as the zone has hosts.
func TestWatchersRotate(t *testing.T) {
	for perZone := 1; perZone <= 9; perZone++ {
		hosts := newHosts(2, perZone)
		seen := map[string]bool{}
		for round := range int64(perZone) {
			watchers := 0
			for _, h := range hosts {
				if newZoneRotation(hosts, "zone-1", h.Name).watchesInRound(round) {
					watchers++
					seen[h.Name] = true
				}
			}
			if want := min(perZone, watchersPerZone); watchers != want {
				t.Errorf("%d hosts, round %d: %d watch, want %d", perZone, round, watchers, want)
			}
		}
		if len(seen) != perZone {
			t.Errorf("of %d hosts only %v have watched", perZone, seen)
		}
	}
}

// platform answers calls at once, except watches, which end with the next note or their
// wait.
type platform struct {
	head    uint64
	down    bool
	calls   int
	watches []*pendingWatch
}

type pendingWatch struct {
	host  int
	call  Call
	until time.Duration
}

// simulation runs the Schedulers of a fleet against one platform in virtual time.
type simulation struct {
	platform    platform
	schedulers  []*Scheduler
	activeNotes []uint64
	wakes       []time.Duration
	hosts       []release.Host
	// peers enables gossip between the hosts.
	peers bool
}

const step = 10 * time.Millisecond

func newSimulation(zones, perZone int, peers, poll bool) *simulation {
	hosts := newHosts(zones, perZone)
	s := &simulation{platform: platform{head: 1}, peers: peers, hosts: hosts, activeNotes: make([]uint64, len(hosts)), wakes: make([]time.Duration, len(hosts))}
	for i, h := range hosts {
		scheduler := New(Config{Host: h.Name, Zone: h.Zone, Wait: 10 * time.Second, Seed: uint64(i), PollOnly: poll})
		scheduler.SetActive(&release.State{Number: 1, Hosts: hosts})
		s.activeNotes[i] = 1
		s.schedulers = append(s.schedulers, scheduler)
	}
	return s
}

func (s *simulation) run(from, to time.Duration) {
	for at := from; at < to; at += step {
		now := clock.Instant{Mono: at, Wall: at}
		s.endWatches(now)
		for i, scheduler := range s.schedulers {
			if s.wakes[i] <= at {
				s.serve(now, i, scheduler)
				s.wakes[i] = scheduler.NextWake(now)
			}
		}
		if s.peers && at%time.Second == 0 {
			s.gossip(now)
		}
	}
}

// gossip delivers the newest note that any host has to every host, as the mesh does.
func (s *simulation) gossip(now clock.Instant) {
	newest := uint64(0)
	for _, number := range s.activeNotes {
		newest = max(newest, number)
	}
	for i, scheduler := range s.schedulers {
		scheduler.PeerNoteActive(now, newest)
		s.wakes[i] = now.Mono
		if s.activeNotes[i] < newest {
			s.activeNotes[i] = newest
			scheduler.SetActive(&release.State{Number: newest, Hosts: s.hosts})
		}
	}
}

func (s *simulation) endWatches(now clock.Instant) {
	open := s.platform.watches
	s.platform.watches = nil
	for _, p := range open {
		if s.platform.down || now.Mono >= p.until || s.platform.head > p.call.After {
			s.wakes[p.host] = now.Mono
			s.schedulers[p.host].CallEnded(now, &Result{Call: p.call, Failed: s.platform.down, Head: s.platform.head})
			continue
		}
		s.platform.watches = append(s.platform.watches, p)
	}
}

func (s *simulation) serve(now clock.Instant, i int, scheduler *Scheduler) {
	for {
		calls := scheduler.Advance(now)
		if len(calls) == 0 {
			return
		}
		for _, c := range calls {
			s.platform.calls++
			if c.Kind == KindWatch && !s.platform.down {
				s.platform.watches = append(s.platform.watches, &pendingWatch{host: i, call: c, until: now.Mono + c.Wait})
				continue
			}
			if c.Kind == KindNote && !s.platform.down && c.Number <= s.platform.head {
				s.activeNotes[i] = c.Number
				scheduler.SetActive(&release.State{Number: c.Number, Hosts: s.hosts})
			}
			scheduler.CallEnded(now, &Result{Call: c, Failed: s.platform.down, Head: s.platform.head})
		}
	}
}

func (s *simulation) hostsBehind() (n int) {
	for _, number := range s.activeNotes {
		if number < s.platform.head {
			n++
		}
	}
	return n
}

// TestNewNoteReachesEveryHostWithoutPeers publishes a note to nine hosts without gossip.
// All must have it within two seconds; the requirement is a few seconds.
func TestNewNoteReachesEveryHostWithoutPeers(t *testing.T) {
	for begin := 20 * time.Second; begin < 150*time.Second; begin += 7 * time.Second {
		s := newSimulation(3, 3, false, false)
		s.run(0, begin)
		s.platform.head++
		s.run(begin, begin+2*time.Second)
		if n := s.hostsBehind(); n > 0 {
			t.Errorf("published at %s: %d of 9 hosts lack the note two seconds later", begin, n)
		}
	}
}

// TestOutageBackoffAndRecovery makes the platform unavailable for ten minutes. It bounds
// the calls during the outage, and the time until every host has a note published after
// it.
func TestOutageBackoffAndRecovery(t *testing.T) {
	s := newSimulation(3, 3, false, false)
	s.run(0, 20*time.Second)
	s.platform.down = true
	before := s.platform.calls
	s.run(20*time.Second, 620*time.Second)
	perHost := float64(s.platform.calls-before) / 9
	if most := 2 * 600 / (maxRetryDelay / 2).Seconds(); perHost > most {
		t.Errorf("%.0f calls per host during the outage, want at most %.0f", perHost, most)
	}
	s.platform.down = false
	s.platform.head++
	s.run(620*time.Second, 620*time.Second+maxRetryDelay+2*time.Second)
	if n := s.hostsBehind(); n > 0 {
		t.Errorf("%d of 9 hosts lack the note after the outage", n)
	}
}

// TestCallRate bounds the call rate of fleets of up to 3,900 hosts in 13 zones, with a
// note every five seconds (17,280 a day), to half of the platform's 2,000 calls per
// second.
func TestCallRate(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{3, 3}, {13, 3}, {13, 30}, {13, 100}, {13, 300}} {
		s := newSimulation(size.zones, size.perZone, true, false)
		s.run(0, 30*time.Second)
		before := s.platform.calls
		for at := 30 * time.Second; at < 90*time.Second; at += 5 * time.Second {
			s.platform.head++
			s.run(at, at+5*time.Second)
		}
		rate := float64(s.platform.calls-before) / 60
		t.Logf("%d hosts: %.1f calls per second", len(s.schedulers), rate)
		if rate > 1000 {
			t.Errorf("%d hosts: %.0f calls per second, want at most 1000", len(s.schedulers), rate)
		}
	}
}

// TestRejectedNoteReadsBackOff publishes a note that never becomes active, and bounds how
// often it is read.
func TestRejectedNoteReadsBackOff(t *testing.T) {
	scheduler := New(Config{Host: "host-0-0", Zone: "zone-0", Wait: time.Second})
	scheduler.SetActive(&release.State{Number: 1, Hosts: newHosts(1, 1)})
	reads := 0
	for at := time.Duration(0); at < 10*time.Minute; at += step {
		now := clock.Instant{Mono: at, Wall: at}
		for _, c := range scheduler.Advance(now) {
			if c.Kind == KindNote {
				reads++
			}
			scheduler.CallEnded(now, &Result{Call: c, Head: 2})
		}
	}
	if reads < 2 || reads > 20 {
		t.Errorf("%d reads of the rejected note in ten minutes, want 2 to 20", reads)
	}
}

// TestNextWakeIsAfterNow guards against a busy loop: after Advance the next wake must be
// later than now, whatever the order of events and results.
func TestNextWakeIsAfterNow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scheduler := New(Config{Host: "host-0-1", Zone: "zone-0", Wait: time.Second, Seed: 1})
		at := time.Duration(0)
		var open []Call
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now := clock.Instant{Mono: at, Wall: time.Hour + at}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				scheduler.SetActive(&release.State{Number: scheduler.activeNote + 1, Hosts: newHosts(1, 3)})
			case 1:
				scheduler.PeerNoteActive(now, rapid.Uint64Range(0, 9).Draw(t, "peer"))
			case 2:
				scheduler.RequestHead()
			default:
				if len(open) > 0 {
					r := Result{Call: open[0], Failed: rapid.Bool().Draw(t, "failed"), Head: rapid.Uint64().Draw(t, "head"), Baseline: rapid.Uint64().Draw(t, "baseline")}
					open = open[1:]
					scheduler.CallEnded(now, &r)
				}
			}
			open = append(open, scheduler.Advance(now)...)
			if len(open) > 2 {
				t.Fatalf("%d calls in progress: %v", len(open), open)
			}
			if wake := scheduler.NextWake(now); wake <= now.Mono {
				t.Fatalf("at %s the next wake is %s, calls in progress %v", now.Mono, wake, open)
			}
			at += time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "gap"))
		}
	})
}
