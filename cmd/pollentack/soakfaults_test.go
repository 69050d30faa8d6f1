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

func (s *soak) term() func() { return s.end("term", syscall.SIGTERM) }

func (s *soak) kill() func() { return s.end("kill", syscall.SIGKILL) }

func (s *soak) end(name string, sig syscall.Signal) func() {
	host := s.anyHost()
	return func() {
		s.note("%s %d", name, host)
		s.restart(host, sig)
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
	target := s.anyTarget()
	return s.failLink("to "+target.Instance, target.Link)
}

func (s *soak) storeLink() func() {
	host := s.anyHost()
	return s.failLink(fmt.Sprintf("of %d to the store", host), s.site.StoreLinks[host])
}

func (s *soak) failLink(name string, link *platformtest.Proxy) func() {
	state, d := faultyLinks[s.rng.IntN(len(faultyLinks))], s.duration()
	return func() {
		s.note("link %s state %d for %v", name, state, d)
		link.Set(state)
		time.Sleep(d)
		link.Set(platformtest.LinkOpen)
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
