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
	// soakSeedsEnv is an environment variable with comma-separated seeds that replace
	// soakSeeds, and soakHostsEnv one with a number of hosts that replaces soakHosts.
	soakSeedsEnv = "POLLENTACK_SOAK_SEEDS"
	soakHostsEnv = "POLLENTACK_SOAK_HOSTS"
	soakHosts    = 4
	soakZones    = 2
	soakShards   = 6
	soakCallers  = 6
	soakTopK     = 5
	soakDeadline = 1500 * time.Millisecond
	// soakPlannedPhase is the duration of the phase with planned changes. The only faults in
	// it are stops and kills of hosts, SIGHUPs, and faults of targets and their links.
	// soakFaultPhase is the duration of the phase after it, which has all kinds of faults.
	soakPlannedPhase = 8 * time.Second
	soakFaultPhase   = 8 * time.Second
	// soakFaultGrace is the time after a kill or a pause of a host in which its requests
	// may be lost.
	soakFaultGrace = 5 * time.Second
	// soakCrashMarker marks the path of the request that crashes each target that runs it, and
	// soakCrashInterval is the time between its copies.
	soakCrashMarker   = "crashes-targets"
	soakCrashInterval = 400 * time.Millisecond
)

// soakSeeds are the seeds that CI runs.
var soakSeeds = []uint64{1, 2}

// gatewayProcess is one gateway host of the soak test.
type gatewayProcess struct {
	cmd *exec.Cmd
	// incarnation is the number of times the host has been started.
	incarnation int
	// stopping means that the host is being stopped and has not been restarted yet.
	stopping bool
	// lastFault is the time of the host's last fault through which requests may be lost.
	lastFault time.Time
	// logSize is the size of the host's log when the process started, at startedAt.
	logSize   int64
	startedAt time.Time
}

// soak runs each gateway as a separate process against a stand-in platform and targets,
// with callers that record their requests and answers.
type soak struct {
	t    *testing.T
	rng  *rand.Rand
	dir  string
	site *platformtest.Site
	// hostEnv returns an environment variable for a host's process, if it is set.
	hostEnv func(host int) string
	started time.Time

	mu        sync.Mutex
	processes []*gatewayProcess
	version   int
	actions   []string
	// draining is the instance of the target that is to be draining, "" for none.
	draining string
	// readinessProbes counts the requests sent by awaitServing and gives them unique IDs.
	readinessProbes int
	observed        observations
}

// TestGatewaySoak stops, kills and pauses gateways in overlapping sequences, injects faults
// into targets, links and the store, changes settings and configuration, and checks the
// invariants of the gateway on what callers and targets observed.
func TestGatewaySoak(t *testing.T) {
	hosts := numberFromEnv(t, soakHostsEnv, soakHosts)
	for _, seed := range seedsFromEnv(t, soakSeedsEnv, soakSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSoak(t, seed, hosts) })
	}
}

// seedsFromEnv returns the comma-separated seeds of an environment variable, or the given ones if it is
// empty.
func seedsFromEnv(t *testing.T, name string, otherwise []uint64) []uint64 {
	t.Helper()
	value := os.Getenv(name)
	if value == "" {
		return otherwise
	}
	var seeds []uint64
	for text := range strings.SplitSeq(value, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

// numberFromEnv returns the number in an environment variable, or the given one if it is empty.
func numberFromEnv(t *testing.T, name string, otherwise int) int {
	t.Helper()
	value := os.Getenv(name)
	if value == "" {
		return otherwise
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func runSoak(t *testing.T, seed uint64, hosts int) {
	s := &soak{t: t, rng: rand.New(rand.NewPCG(seed, 9)), dir: t.TempDir(), version: 1}
	var err error
	s.site, err = platformtest.StartSite(s.dir, platformtest.SiteConfig{
		Hosts: hosts, Zones: soakZones, Shards: soakShards, ServiceTime: 3 * time.Millisecond, Proxied: true,
		BasePort: freePortRange(t, hosts*platformtest.PortsPerHost),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.site.Close)
	for range hosts {
		s.processes = append(s.processes, &gatewayProcess{})
	}
	t.Cleanup(s.killAll)
	for host := range hosts {
		s.startHost(host)
	}
	if notServing := s.awaitServing(soakRecoveryTimeout + time.Duration(hosts)*200*time.Millisecond); len(notServing) > 0 {
		t.Fatalf("hosts %v do not serve", notServing)
	}
	for _, t := range s.site.Targets {
		t.CrashOn(soakCrashMarker, s.faultDuration(), func() { s.registerAgain(t) })
	}
	s.started = time.Now()
	s.observed.published = []publishedVersion{{version: 1, at: s.started.Add(-soakConfigBound), undisturbedUntil: s.started.Add(soakPlannedPhase)}}
	s.runPhases()
	s.verify(seed)
}

// runPhases runs the callers through a phase of planned changes and a phase with all kinds
// of faults.
func (s *soak) runPhases() {
	ctx, cancel := context.WithCancel(s.t.Context())
	var callers sync.WaitGroup
	for caller := range soakCallers {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), 1))
		callers.Go(func() { s.runCaller(ctx, caller, rng) })
	}
	crashRNG := rand.New(rand.NewPCG(s.rng.Uint64(), 3))
	callers.Go(func() { s.runCrashingCaller(ctx, crashRNG) })
	planRNG := rand.New(rand.NewPCG(s.rng.Uint64(), 2))
	var planned sync.WaitGroup
	planned.Go(func() { s.makePlannedChanges(planRNG) })
	s.injectFaults(s.started.Add(soakPlannedPhase), []func() func(){s.terminateHost, s.killHost, s.targetFault, s.targetLinkFault, s.sendHUP})
	planned.Wait()
	s.injectFaults(time.Now().Add(soakFaultPhase), []func() func(){
		s.terminateHost, s.killHost, s.pauseHost, s.targetFault, s.targetLinkFault, s.sendHUP, s.storeFault, s.storeLinkFault, s.changeSettings, s.publishConfig, s.restoreStore,
	})
	cancel()
	callers.Wait()
}

// verify runs after the last fault has ended. It waits for every host to serve, then checks
// the invariants.
func (s *soak) verify(seed uint64) {
	s.observed.unrecovered = s.awaitServing(soakRecoveryTimeout)
	for _, t := range s.site.Targets {
		s.observed.targets = append(s.observed.targets, targetRecord{
			instance: t.Instance, service: t.Service, zone: t.Zone, body: string(t.Body),
			runs: t.Runs(), arrivals: t.Arrivals(), peakConnections: t.MaxOpenConnections(), crashes: t.Crashes(),
		})
	}
	violations := s.observed.violations()
	for _, name := range slices.Sorted(maps.Keys(violations)) {
		list := violations[name]
		s.t.Errorf("%s: %d violations:\n  %s", name, len(list), strings.Join(list[:min(len(list), 10)], "\n  "))
	}
	answered := 0
	for i := range s.observed.requests {
		if s.observed.requests[i].answer != nil {
			answered++
		}
	}
	s.t.Logf("seed %d: %d of %d requests answered; %s", seed, answered, len(s.observed.requests), strings.Join(s.actions, ", "))
	if s.t.Failed() {
		s.keepLogs(seed)
	}
}

// keepLogs copies the logs of the hosts to a folder that is not removed after the test.
func (s *soak) keepLogs(seed uint64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err == nil {
		err = os.CopyFS(dir, os.DirFS(s.dir))
	}
	s.t.Logf("logs in %s (%v)", dir, err)
}

// Ports for tests lie below those that the system assigns to outgoing connections, which could
// take one before a process listens on it.
const (
	firstTestPort = 20000
	lastTestPort  = 32000
)

// nextTestPort is the port at which the next search for free ports starts. It differs between
// processes that run at the same time.
var nextTestPort = struct {
	sync.Mutex
	port int
}{port: firstTestPort + os.Getpid()*97%(lastTestPort-firstTestPort-1000)}

// freePortRange returns the first port of n consecutive free ports. No port is returned twice.
func freePortRange(t *testing.T, n int) int {
	t.Helper()
	nextTestPort.Lock()
	defer nextTestPort.Unlock()
	for base := nextTestPort.port; base+n < lastTestPort; base += n {
		nextTestPort.port = base + n
		var listeners []net.Listener
		for i := range n {
			listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(base+i)))
			if err != nil {
				break
			}
			listeners = append(listeners, listener)
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		if len(listeners) == n {
			return base
		}
	}
	t.Fatal("no range of free ports")
	return 0
}

func (s *soak) startHost(host int) {
	cmd := exec.Command(os.Args[0], "gateway", "--settings", s.site.SettingsFiles[host])
	cmd.Env = append(os.Environ(), runCommandEnv+"=1")
	if s.hostEnv != nil {
		cmd.Env = append(cmd.Env, s.hostEnv(host))
	}
	log, err := os.OpenFile(s.logPath(host), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	logSize := s.logSize(host)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[host]
	p.cmd, p.stopping, p.logSize, p.startedAt = cmd, false, logSize, time.Now()
	p.incarnation++
}

// logSize returns the size of a host's log in bytes.
func (s *soak) logSize(host int) int64 {
	info, err := os.Stat(s.logPath(host))
	if err != nil {
		s.t.Fatal(err)
	}
	return info.Size()
}

func (s *soak) logPath(host int) string {
	return filepath.Join(s.dir, fmt.Sprintf("host-%d.log", host))
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

// awaitServing waits until all hosts serve and returns those that still don't after the
// timeout.
func (s *soak) awaitServing(timeout time.Duration) []int {
	var notServing []int
	for start := time.Now(); time.Since(start) < timeout; time.Sleep(50 * time.Millisecond) {
		notServing = nil
		for host := range s.processes {
			s.readinessProbes++
			id := fmt.Sprintf("ready-%d", s.readinessProbes)
			a, err := platformtest.SendRequest(http.DefaultClient, s.site.FrontAddresses[host], http.MethodGet, "/search/x", id, soakDeadline)
			if err != nil || a.Status != http.StatusOK {
				notServing = append(notServing, host)
			}
		}
		if len(notServing) == 0 {
			return nil
		}
	}
	return notServing
}

func (s *soak) signal(host int, sig os.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.processes[host].cmd.Process.Signal(sig)
}

func (s *soak) markFault(host int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[host].lastFault = time.Now()
}

// restart stops a host with the signal and starts it again. If the host is being stopped
// already, restart only sends the signal.
func (s *soak) restart(host int, sig syscall.Signal) {
	s.mu.Lock()
	p := s.processes[host]
	cmd, stopping, logSize := p.cmd, p.stopping, p.logSize
	p.stopping = true
	if sig == syscall.SIGKILL {
		p.lastFault = time.Now()
	}
	s.mu.Unlock()
	_ = cmd.Process.Signal(sig)
	if stopping {
		return
	}
	// A process takes signals over as its first act. Before that it has no listener, so that a
	// signal that ends it then loses no request.
	if err := cmd.Wait(); err != nil && s.healthy(host) && s.logSize(host) > logSize {
		s.t.Errorf("host %d ended with %v after a graceful stop", host, err)
	}
	s.startHost(host)
}

// healthy reports whether the host has been free of faults that may lose requests for
// longer than soakFaultGrace.
func (s *soak) healthy(host int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.processes[host].lastFault) > soakFaultGrace
}

// runCaller sends one request after another to random hosts until ctx is done, over
// connections that are kept open until their host closes them, and records each request.
func (s *soak) runCaller(ctx context.Context, caller int, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		req := requestRecord{id: fmt.Sprintf("c%d-%d", caller, i), path: "/search/x", host: rng.IntN(len(s.processes))}
		method := http.MethodGet
		s.mu.Lock()
		incarnation := s.processes[req.host].incarnation
		switch draw := rng.IntN(12); {
		case draw < 4:
			method, req.path = http.MethodPost, "/file/x"
		case draw < 6:
			req.version = s.observed.published[max(0, len(s.observed.published)-1-rng.IntN(3))].version
			req.path = platformtest.ProbePath(req.version) + "x"
		}
		s.mu.Unlock()
		req.sent = time.Now()
		req.answer, req.err = platformtest.SendRequest(client, s.site.FrontAddresses[req.host], method, req.path, req.id, soakDeadline)
		req.ended = time.Now()
		req.hostHealthy = s.healthy(req.host)
		s.mu.Lock()
		if s.processes[req.host].incarnation == incarnation && !s.processes[req.host].stopping {
			req.incarnation = incarnation
		}
		s.observed.requests = append(s.observed.requests, req)
		s.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
	}
}

// runCrashingCaller sends a request that crashes the targets that run it again and again, to random
// hosts. The ID of a copy that a host without recent faults or a recent start gets begins with
// soakCrashMarker.
func (s *soak) runCrashingCaller(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		host := rng.IntN(len(s.processes))
		id := fmt.Sprintf("%s-%d", soakCrashMarker, i)
		if !s.healthy(host) || s.startedLately(host) {
			id = "beside-faults-" + id
		}
		// The answer does not matter: a failure, or a refusal once the request is held back.
		_, _ = platformtest.SendRequest(client, s.site.FrontAddresses[host], http.MethodGet, "/search/"+soakCrashMarker, id, soakDeadline)
		time.Sleep(soakCrashInterval)
	}
}

func (s *soak) startedLately(host int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.processes[host].startedAt) < soakFaultGrace
}

// registerAgain registers a target that has started again, as draining if it is to be.
func (s *soak) registerAgain(t *platformtest.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := "ready"
	if t.Instance == s.draining {
		state = "draining"
	}
	s.site.Store.Put(t.StoreKey(), t.Registration(state))
}

// setDraining registers a target as draining until another one is, "" for none.
func (s *soak) setDraining(t *platformtest.Target, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := "ready"
	if s.draining = ""; draining {
		state, s.draining = "draining", t.Instance
	}
	s.site.Store.Put(t.StoreKey(), t.Registration(state))
}
