package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"pollentack.example/pollentack/platform/platformtest"
)

// injectFaults starts randomly chosen faults, some of which overlap, until the given time,
// and returns once all of them have ended.
func (s *soak) injectFaults(until time.Time, faults []func() func()) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for time.Now().Before(until) {
		wg.Go(faults[s.rng.IntN(len(faults))]())
		time.Sleep(time.Duration(100+s.rng.IntN(700)) * time.Millisecond)
	}
}

func (s *soak) logAction(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.actions = append(s.actions, fmt.Sprintf("%.1f ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

// faultDuration returns a random duration for a fault.
func (s *soak) faultDuration() time.Duration {
	return time.Duration(200+s.rng.IntN(1200)) * time.Millisecond
}

func (s *soak) randomHost() int { return s.rng.IntN(len(s.processes)) }

func (s *soak) randomTarget() *platformtest.Target {
	return s.site.Targets[s.rng.IntN(len(s.site.Targets))]
}

// Each of the methods below draws the random parameters of one fault and returns a function
// that injects the fault and blocks until it is over.

func (s *soak) terminateHost() func() { return s.endHost("term", syscall.SIGTERM) }

func (s *soak) killHost() func() { return s.endHost("kill", syscall.SIGKILL) }

func (s *soak) endHost(name string, sig syscall.Signal) func() {
	host := s.randomHost()
	return func() {
		s.logAction("%s %d", name, host)
		s.restart(host, sig)
	}
}

func (s *soak) pauseHost() func() {
	host, d := s.randomHost(), s.faultDuration()
	return func() {
		s.logAction("pause %d for %v", host, d)
		s.markFault(host)
		s.signal(host, syscall.SIGSTOP)
		time.Sleep(d)
		s.signal(host, syscall.SIGCONT)
		s.markFault(host)
	}
}

func (s *soak) targetFault() func() {
	behaviors := []platformtest.Behavior{
		platformtest.BehaviorNotExecuted, platformtest.BehaviorStatus500,
		platformtest.BehaviorTruncatedReply, platformtest.BehaviorDuplicateReply,
		platformtest.BehaviorCloseWithoutReply, platformtest.BehaviorHang,
		platformtest.BehaviorEarlyReject, platformtest.BehaviorEarlyRejectClose,
		platformtest.BehaviorLateCopy, platformtest.BehaviorStatusZero, platformtest.BehaviorSwitchProtocols, platformtest.BehaviorGarbage,
		platformtest.BehaviorEndlessStatusLine, platformtest.BehaviorEndlessHeaderLine, platformtest.BehaviorEndlessHeader,
		platformtest.BehaviorEndlessInterim, platformtest.BehaviorEndlessBody, platformtest.BehaviorEndlessChunks, platformtest.BehaviorEndlessTrailer,
	}
	notices := []string{"", "", "Retry-After: 0.7\r\n", "Server-Limit: 6.5\r\n", "Server-Limit: none\r\nRetry-After: soon\r\n"}
	target, behavior, d := s.randomTarget(), behaviors[s.rng.IntN(len(behaviors))], s.faultDuration()
	notice := notices[s.rng.IntN(len(notices))]
	return func() {
		s.logAction("%s behavior %s, notice %q for %v", target.Instance, behavior, notice, d)
		target.SetBehavior(behavior)
		target.SetNotice(notice)
		time.Sleep(d)
		target.SetBehavior(platformtest.BehaviorNormal)
		target.SetNotice("")
	}
}

var linkFaultStates = []platformtest.LinkState{
	platformtest.LinkSlow, platformtest.LinkReset, platformtest.LinkDropAll, platformtest.LinkDropReplies,
}

func (s *soak) targetLinkFault() func() {
	target := s.randomTarget()
	return s.linkFault("to "+target.Instance, target.Proxy)
}

func (s *soak) storeLinkFault() func() {
	host := s.randomHost()
	return s.linkFault(fmt.Sprintf("of %d to the store", host), s.site.StoreProxies[host])
}

func (s *soak) linkFault(name string, link *platformtest.Proxy) func() {
	state, d := linkFaultStates[s.rng.IntN(len(linkFaultStates))], s.faultDuration()
	return func() {
		s.logAction("link %s state %d for %v", name, state, d)
		link.SetState(state)
		time.Sleep(d)
		link.SetState(platformtest.LinkOpen)
	}
}

func (s *soak) storeFault() func() {
	faults := []platformtest.Fault{
		platformtest.FaultUnavailable, platformtest.FaultTooManyRequests, platformtest.FaultReset,
		platformtest.FaultNoReply, platformtest.FaultHistoryGone, platformtest.FaultStaleReplica,
	}
	fault, d := faults[s.rng.IntN(len(faults))], s.faultDuration()
	return func() {
		s.logAction("store fault %d for %v", fault, d)
		s.site.Store.SetFault(fault)
		time.Sleep(d)
		s.site.Store.SetFault(platformtest.FaultNone)
	}
}

// restoreStore has the store come back from an older copy. What the operator and the targets wrote
// since is written again soon after.
func (s *soak) restoreStore() func() {
	age, missing := s.faultDuration(), s.faultDuration()
	return func() {
		copied := s.site.Store.Copy()
		time.Sleep(age)
		s.logAction("store restored from a copy of %v ago, written again after %v", age, missing)
		s.site.Store.Restore(copied)
		time.Sleep(missing)
		for _, t := range s.site.Targets {
			s.registerAgain(t)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.site.PutConfig(s.version)
	}
}

func (s *soak) sendHUP() func() {
	host := s.randomHost()
	return func() {
		s.logAction("hup %d", host)
		s.hangUp(host)
	}
}

// hangUp sends a SIGHUP to a host once its process has written its first line. A process takes signals
// over as its first act; a SIGHUP before that ends it, like any program, and nobody here starts it
// again, as the platform does.
func (s *soak) hangUp(host int) {
	const longestStart, poll = 2 * time.Second, 5 * time.Millisecond
	for begin := time.Now(); time.Since(begin) < longestStart; time.Sleep(poll) {
		s.mu.Lock()
		logSize := s.processes[host].logSize
		s.mu.Unlock()
		if s.logSize(host) > logSize {
			break
		}
	}
	s.signal(host, syscall.SIGHUP)
}

// changeSettings writes a settings file with another memory limit for a host, with or without
// a SIGHUP to the host.
func (s *soak) changeSettings() func() {
	host, signal := s.randomHost(), s.rng.IntN(2) == 0
	memory := 200 + s.rng.IntN(100)
	return func() {
		s.logAction("settings of %d, signal %v", host, signal)
		text, err := os.ReadFile(s.site.SettingsFiles[host])
		if err != nil {
			s.t.Error(err)
			return
		}
		before, _, _ := strings.Cut(string(text), "memory_mb:")
		_, after, _ := strings.Cut(string(text), "}\nbounds")
		changed := fmt.Sprintf("%smemory_mb: %d}\nbounds%s", before, memory, after)
		next := s.site.SettingsFiles[host] + ".next"
		if err := os.WriteFile(next, []byte(changed), 0o600); err != nil {
			s.t.Error(err)
			return
		}
		if err := os.Rename(next, s.site.SettingsFiles[host]); err != nil {
			s.t.Error(err)
		}
		if signal {
			s.hangUp(host)
		}
	}
}

func (s *soak) publishConfig() func() { return func() { s.publishVersion(time.Time{}) } }

// publishVersion writes the next version of the configuration to the store. Until
// undisturbedUntil, no fault prevents hosts from receiving it.
func (s *soak) publishVersion(undisturbedUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.version%2
	s.site.PutConfig(s.version)
	s.observed.published = append(s.observed.published, publishedVersion{version: s.version, at: time.Now(), undisturbedUntil: undisturbedUntil})
	s.actions = append(s.actions, fmt.Sprintf("%.1f version %d", time.Since(s.started).Seconds(), s.version))
}

// makePlannedChanges makes the changes of the planned phase: it drains a target, evacuates
// a zone and changes the configuration.
func (s *soak) makePlannedChanges(rng *rand.Rand) {
	undisturbedUntil := s.started.Add(soakPlannedPhase)
	target := s.site.Targets[rng.IntN(len(s.site.Targets))]
	zone := fmt.Sprintf("zone-%d", rng.IntN(soakZones))
	randomDelay := func() { time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond) }
	randomDelay()
	s.publishVersion(undisturbedUntil)
	randomDelay()
	s.setDraining(target, true)
	drained := interval{name: target.Instance, from: time.Now(), to: undisturbedUntil}
	randomDelay()
	s.site.SetEvacuated(zone, true)
	evacuated := interval{name: zone, from: time.Now(), to: undisturbedUntil}
	s.logAction("drain %s, evacuate %s", target.Instance, zone)
	time.Sleep(time.Until(s.started.Add(soakPlannedPhase / 2)))
	s.publishVersion(undisturbedUntil)
	time.Sleep(time.Until(undisturbedUntil))
	s.site.SetEvacuated(zone, false)
	s.setDraining(target, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observed.drained = append(s.observed.drained, drained)
	s.observed.evacuated = append(s.observed.evacuated, evacuated)
}
