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
			a, err := platformtest.Ask(http.DefaultClient, s.site.Fronts[host], http.MethodGet, "/search/x", "ready", soakDeadline)
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

// disturb does one thing after another until the end, some of which overlap, and returns
// once all are over.
func (s *soak) disturb(until time.Time, kinds []func() func()) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for time.Now().Before(until) {
		wg.Go(kinds[s.rng.IntN(len(kinds))]())
		time.Sleep(time.Duration(100+s.rng.IntN(700)) * time.Millisecond)
	}
}

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = append(s.steps, fmt.Sprintf("%.1f ", time.Since(s.begin).Seconds())+fmt.Sprintf(format, args...))
}

// duration draws how long a fault lasts.
func (s *soak) duration() time.Duration {
	return time.Duration(200+s.rng.IntN(1200)) * time.Millisecond
}

func (s *soak) anyHost() int { return s.rng.IntN(len(s.processes)) }

func (s *soak) anyTarget() *platformtest.Target {
	return s.site.Targets[s.rng.IntN(len(s.site.Targets))]
}

// Each kind of fault draws what it needs and returns what to do; that blocks until the
// fault is over.

func (s *soak) term() func() {
	host := s.anyHost()
	return func() {
		s.note("term %d", host)
		s.restart(host, syscall.SIGTERM)
	}
}

func (s *soak) kill() func() {
	host := s.anyHost()
	return func() {
		s.note("kill %d", host)
		s.restart(host, syscall.SIGKILL)
	}
}

func (s *soak) pause() func() {
	host, d := s.anyHost(), s.duration()
	return func() {
		s.note("pause %d for %v", host, d)
		s.markFaulty(host)
		s.signal(host, syscall.SIGSTOP)
		time.Sleep(d)
		s.signal(host, syscall.SIGCONT)
		s.markFaulty(host)
	}
}

func (s *soak) conduct() func() {
	conducts := []platformtest.Conduct{
		platformtest.Shed, platformtest.Failing, platformtest.Short, platformtest.Extra, platformtest.Lost,
		platformtest.Hanging, platformtest.Early, platformtest.EarlyClose,
	}
	target, conduct, d := s.anyTarget(), conducts[s.rng.IntN(len(conducts))], s.duration()
	return func() {
		s.note("%s conduct %d for %v", target.Instance, conduct, d)
		target.SetConduct(conduct)
		time.Sleep(d)
		target.SetConduct(platformtest.Sound)
	}
}

var faultyLinks = []platformtest.LinkState{
	platformtest.LinkSlow, platformtest.LinkReset, platformtest.LinkSilent, platformtest.LinkOneWay,
}

func (s *soak) targetLink() func() {
	target, state, d := s.anyTarget(), faultyLinks[s.rng.IntN(len(faultyLinks))], s.duration()
	return func() {
		s.note("link to %s state %d for %v", target.Instance, state, d)
		target.Link.Set(state)
		time.Sleep(d)
		target.Link.Set(platformtest.LinkOpen)
	}
}

func (s *soak) storeLink() func() {
	host, state, d := s.anyHost(), faultyLinks[s.rng.IntN(len(faultyLinks))], s.duration()
	return func() {
		s.note("link of %d to the store state %d for %v", host, state, d)
		s.site.StoreLinks[host].Set(state)
		time.Sleep(d)
		s.site.StoreLinks[host].Set(platformtest.LinkOpen)
	}
}

func (s *soak) storeFault() func() {
	faults := []platformtest.Fault{
		platformtest.Busy, platformtest.Many, platformtest.Reset, platformtest.Silent, platformtest.Forgetful, platformtest.Stale,
	}
	fault, d := faults[s.rng.IntN(len(faults))], s.duration()
	return func() {
		s.note("store fault %d for %v", fault, d)
		s.site.Store.SetFault(fault)
		time.Sleep(d)
		s.site.Store.SetFault(platformtest.None)
	}
}

func (s *soak) hup() func() {
	host := s.anyHost()
	return func() {
		s.note("hup %d", host)
		s.signal(host, syscall.SIGHUP)
	}
}

// settings writes a changed settings file, with or without a signal.
func (s *soak) settings() func() {
	host, signal := s.anyHost(), s.rng.IntN(2) == 0
	memory := 200 + s.rng.IntN(100)
	return func() {
		s.note("settings of %d, signal %v", host, signal)
		text, err := os.ReadFile(s.site.Files[host])
		if err != nil {
			s.t.Error(err)
			return
		}
		before, _, _ := strings.Cut(string(text), "memory_mb:")
		_, after, _ := strings.Cut(string(text), "}\nbounds")
		changed := fmt.Sprintf("%smemory_mb: %d}\nbounds%s", before, memory, after)
		next := s.site.Files[host] + ".next"
		if err := os.WriteFile(next, []byte(changed), 0o600); err != nil {
			s.t.Error(err)
			return
		}
		if err := os.Rename(next, s.site.Files[host]); err != nil {
			s.t.Error(err)
		}
		if signal {
			s.signal(host, syscall.SIGHUP)
		}
	}
}

func (s *soak) newVersion() func() { return func() { s.publish(time.Time{}) } }

// publish puts the next version of the configuration into the store. calmTo is until when
// nothing keeps hosts from learning it.
func (s *soak) publish(calmTo time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.version%2
	s.site.PutConfig(s.version)
	s.facts.published = append(s.facts.published, published{version: s.version, at: time.Now(), calmTo: calmTo})
	s.steps = append(s.steps, fmt.Sprintf("%.1f version %d", time.Since(s.begin).Seconds(), s.version))
}

// plan does the planned work of the calm time: a drain, an evacuation and changes of the
// configuration.
func (s *soak) plan(rng *rand.Rand) {
	calmTo := s.begin.Add(soakCalm)
	target := s.site.Targets[rng.IntN(len(s.site.Targets))]
	zone := fmt.Sprintf("zone-%d", rng.IntN(soakZones))
	pause := func() { time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond) }
	pause()
	s.publish(calmTo)
	pause()
	s.site.Store.Put(target.Key(), target.Entry("draining"))
	drained := span{name: target.Instance, from: time.Now(), to: calmTo}
	pause()
	s.site.Evacuate(zone, true)
	evacuated := span{name: zone, from: time.Now(), to: calmTo}
	s.note("drain %s, evacuate %s", target.Instance, zone)
	time.Sleep(time.Until(s.begin.Add(soakCalm / 2)))
	s.publish(calmTo)
	time.Sleep(time.Until(calmTo))
	s.site.Evacuate(zone, false)
	s.site.Store.Put(target.Key(), target.Entry("ready"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.facts.drained = append(s.facts.drained, drained)
	s.facts.evacuated = append(s.facts.evacuated, evacuated)
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
