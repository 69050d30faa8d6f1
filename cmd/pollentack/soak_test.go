package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pollentack.example/pollentack/platform/platformtest"
)

const (
	// soakSeedsVariable names seeds to run in place of the fixed ones, separated by commas,
	// soakHostsVariable a number of hosts.
	soakSeedsVariable = "POLLENTACK_SOAK_SEEDS"
	soakHostsVariable = "POLLENTACK_SOAK_HOSTS"
	soakHosts         = 4
	soakZones         = 2
	soakShards        = 6
	soakCallers       = 6
	soakTop           = 5
	soakDeadline      = 1500 * time.Millisecond
	// soakCalm is the time with planned work, kills and faults of targets only, soakStorm
	// that with all faults.
	soakCalm  = 8 * time.Second
	soakStorm = 8 * time.Second
	// soakCautious is how long after a kill or a pause a host may still cost a request.
	soakCautious = 5 * time.Second
)

// soakSeeds are those that CI runs.
var soakSeeds = []uint64{1, 2}

// process is one host of the soak.
type process struct {
	cmd  *exec.Cmd
	life int
	// ending tells that the host is between its end and its next start.
	ending bool
	// faulty is when the host last had a fault that may cost a request.
	faulty time.Time
}

// soak is gateways as processes of their own against stand-ins, with callers that note
// what they get.
type soak struct {
	t     *testing.T
	rng   *rand.Rand
	dir   string
	site  *platformtest.Site
	begin time.Time

	mu        sync.Mutex
	processes []*process
	version   int
	steps     []string
	// readyAsks numbers the requests that ask whether hosts serve.
	readyAsks int
	facts     facts
}

// TestGatewaySoak stops, kills and pauses gateways in series that overlap, makes targets,
// links and the store fail, changes settings and the configuration, and checks the
// promises from what callers and targets see.
func TestGatewaySoak(t *testing.T) {
	seeds, hosts := soakSeeds, soakHosts
	if named := os.Getenv(soakSeedsVariable); named != "" {
		seeds = nil
		for text := range strings.SplitSeq(named, ",") {
			seed, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			seeds = append(seeds, seed)
		}
	}
	if named := os.Getenv(soakHostsVariable); named != "" {
		n, err := strconv.Atoi(named)
		if err != nil {
			t.Fatal(err)
		}
		hosts = n
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSoak(t, seed, hosts) })
	}
}

func runSoak(t *testing.T, seed uint64, hosts int) {
	s := &soak{t: t, rng: rand.New(rand.NewPCG(seed, 9)), dir: t.TempDir(), version: 1}
	var err error
	s.site, err = platformtest.StartSite(s.dir, platformtest.Plan{
		Hosts: hosts, Zones: soakZones, Shards: soakShards, Work: 3 * time.Millisecond, Linked: true,
		BasePort: freeRange(t, hosts*platformtest.PortsPerHost),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.site.Close)
	for range hosts {
		s.processes = append(s.processes, &process{})
	}
	t.Cleanup(s.killAll)
	for host := range hosts {
		s.start(host)
	}
	if away := s.awaitServing(soakRecovery + time.Duration(hosts)*200*time.Millisecond); len(away) > 0 {
		t.Fatalf("hosts %v do not serve", away)
	}
	s.begin = time.Now()
	s.facts.published = []published{{version: 1, at: s.begin.Add(-soakConfigBound), calmTo: s.begin.Add(soakCalm)}}
	s.play()
	s.judge(seed)
}

// play runs callers beside a time of planned work and one of all faults.
func (s *soak) play() {
	ctx, cancel := context.WithCancel(s.t.Context())
	var callers sync.WaitGroup
	for caller := range soakCallers {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), 1))
		callers.Go(func() { s.call(ctx, caller, rng) })
	}
	planRNG := rand.New(rand.NewPCG(s.rng.Uint64(), 2))
	var plan sync.WaitGroup
	plan.Go(func() { s.plan(planRNG) })
	s.disturb(s.begin.Add(soakCalm), []func() func(){s.term, s.kill, s.conduct, s.targetLink, s.hup})
	plan.Wait()
	s.disturb(time.Now().Add(soakStorm), []func() func(){
		s.term, s.kill, s.pause, s.conduct, s.targetLink, s.hup, s.storeFault, s.storeLink, s.settings, s.newVersion,
	})
	cancel()
	callers.Wait()
}

// judge ends the run: all faults are over, every host must serve, and the promises are
// checked.
func (s *soak) judge(seed uint64) {
	s.facts.unrecovered = s.awaitServing(soakRecovery)
	for _, t := range s.site.Targets {
		s.facts.served = append(s.facts.served, served{
			instance: t.Instance, service: t.Service, zone: t.Zone, body: string(t.Body),
			runs: t.Runs(), arrivals: t.Arrivals(), mostOpen: t.MostOpen(),
		})
	}
	found := s.facts.violations()
	for _, name := range slices.Sorted(maps.Keys(found)) {
		list := found[name]
		s.t.Errorf("%s: %d times:\n  %s", name, len(list), strings.Join(list[:min(len(list), 10)], "\n  "))
	}
	answered := 0
	for i := range s.facts.asked {
		if s.facts.asked[i].answer != nil {
			answered++
		}
	}
	s.t.Logf("seed %d: %d of %d requests answered; %s", seed, answered, len(s.facts.asked), strings.Join(s.steps, ", "))
	if s.t.Failed() {
		s.keepLogs(seed)
	}
}

// keepLogs copies the hosts' logs to where they outlast the test.
func (s *soak) keepLogs(seed uint64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err == nil {
		err = os.CopyFS(dir, os.DirFS(s.dir))
	}
	s.t.Logf("logs in %s (%v)", dir, err)
}

// freeRange returns the first of n ports in a row that are free, below those that the
// system hands out by itself.
func freeRange(t *testing.T, n int) int {
	t.Helper()
	for base := 20000 + os.Getpid()*97%11000; base < 32000; base += n {
		var held []net.Listener
		for i := range n {
			l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(base+i)))
			if err != nil {
				break
			}
			held = append(held, l)
		}
		for _, l := range held {
			_ = l.Close()
		}
		if len(held) == n {
			return base
		}
	}
	t.Fatal("no range of free ports")
	return 0
}

func (s *soak) start(host int) {
	cmd := exec.Command(os.Args[0], "gateway", "--settings", s.site.Files[host])
	cmd.Env = append(os.Environ(), commandEnv+"=1")
	log, err := os.OpenFile(filepath.Join(s.dir, fmt.Sprintf("host-%d.log", host)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[host]
	p.cmd, p.ending = cmd, false
	p.life++
}

func (s *soak) killAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if p.cmd == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
}

// awaitServing returns the hosts that do not serve within the time.
func (s *soak) awaitServing(within time.Duration) []int {
	var away []int
	for begin := time.Now(); time.Since(begin) < within; time.Sleep(50 * time.Millisecond) {
		away = nil
		for host := range s.processes {
			s.readyAsks++
			id := fmt.Sprintf("ready-%d", s.readyAsks)
			a, err := platformtest.Ask(http.DefaultClient, s.site.Fronts[host], http.MethodGet, "/search/x", id, soakDeadline)
			if err != nil || a.Status != http.StatusOK {
				away = append(away, host)
			}
		}
		if len(away) == 0 {
			return nil
		}
	}
	return away
}

func (s *soak) signal(host int, sig os.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.processes[host].cmd.Process.Signal(sig)
}

func (s *soak) markFaulty(host int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[host].faulty = time.Now()
}

// restart ends a host by the signal and starts it again. A host that is being ended
// already gets the signal only.
func (s *soak) restart(host int, sig syscall.Signal) {
	s.mu.Lock()
	p := s.processes[host]
	cmd, ending := p.cmd, p.ending
	p.ending = true
	if sig == syscall.SIGKILL {
		p.faulty = time.Now()
	}
	s.mu.Unlock()
	_ = cmd.Process.Signal(sig)
	if ending {
		return
	}
	if err := cmd.Wait(); err != nil && s.sound(host) {
		s.t.Errorf("host %d ended with %v after a graceful stop", host, err)
	}
	s.start(host)
}

func (s *soak) sound(host int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.processes[host].faulty) > soakCautious
}

// call asks one request after another, over connections that are kept until their host is
// gone.
func (s *soak) call(ctx context.Context, caller int, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		a := asked{id: fmt.Sprintf("c%d-%d", caller, i), path: "/search/x", host: rng.IntN(len(s.processes))}
		method := http.MethodGet
		s.mu.Lock()
		life := s.processes[a.host].life
		switch draw := rng.IntN(12); {
		case draw < 4:
			method, a.path = http.MethodPost, "/file/x"
		case draw < 6:
			a.version = s.facts.published[max(0, len(s.facts.published)-1-rng.IntN(3))].version
			a.path = platformtest.ProbePath(a.version) + "x"
		}
		s.mu.Unlock()
		a.at = time.Now()
		a.answer, a.err = platformtest.Ask(client, s.site.Fronts[a.host], method, a.path, a.id, soakDeadline)
		a.ended = time.Now()
		a.sound = s.sound(a.host)
		s.mu.Lock()
		if s.processes[a.host].life == life && !s.processes[a.host].ending {
			a.life = life
		}
		s.facts.asked = append(s.facts.asked, a)
		s.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
	}
}
