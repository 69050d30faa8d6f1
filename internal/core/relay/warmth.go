package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
)

// A target may become cold at any moment. Hosts learn that from its entry, and while the store's word
// is old from the target's own health responses: each target is asked by two hosts, which tell the
// others what they hear.

const (
	// warmthCheckers is the number of hosts that ask a target, so that one that is lost leaves no gap,
	// and warmthInterval the time between two questions of one of them. A target takes some requests
	// as if it were warm until it is next asked.
	warmthCheckers = 2
	warmthInterval = 200 * time.Millisecond
	// warmthStep is the least time between two questions of a host.
	warmthStep = 10 * time.Millisecond
	// warmthDelay is the time from the loss of the store until targets are asked: another source is
	// often found at once.
	warmthDelay = 500 * time.Millisecond
	// maxWarmthChecks bounds the questions of this host without an answer.
	maxWarmthChecks = 64
	// coldTolerance is the difference between two statements of how long a target stays cold from
	// which the second one is news.
	coldTolerance = 250 * time.Millisecond
)

// ColdTarget says how long a target stays cold.
type ColdTarget struct {
	Instance  string
	Remaining time.Duration
}

// ColdNews tells a peer which targets are cold.
type ColdNews struct {
	Peer    string
	Targets []ColdTarget
}

// ColdTold reports what a peer has heard of cold targets.
type ColdTold struct{ Targets []ColdTarget }

func (*ColdTold) event() {}

// StoreContact reports that this host has lost contact with the store, through all its sources, or has
// it again.
type StoreContact struct{ Lost bool }

func (*StoreContact) event() {}

// warmthWatch is the engine's state about targets that may have become cold.
type warmthWatch struct {
	// lost is set while the store's word is old. The targets are then asked in turn, the one at index
	// next at nextAt.
	lost    bool
	targets []*target
	next    int
	nextAt  time.Duration
	checks  map[CheckID]*target
	// news are the cold targets to tell the peers about.
	news []ColdTarget
}

func (e *Engine) storeContact(now clock.Instant, ev *StoreContact, fx *Effects) {
	if e.warmth.lost == ev.Lost {
		return
	}
	e.warmth.lost, e.warmth.nextAt = ev.Lost, now.Mono+warmthDelay
	e.assignWarmth(now)
	if len(e.warmth.targets) > 0 {
		fx.Records = append(fx.Records, decision.Warning("targets_asked_for_warmth", decision.Int("targets", len(e.warmth.targets))))
	}
}

// assignWarmth selects the targets that this host asks: hosts with the same members come to the same
// choice.
func (e *Engine) assignWarmth(now clock.Instant) {
	e.warmth.targets, e.warmth.next = nil, 0
	if !e.warmth.lost {
		return
	}
	for _, name := range sortedKeys(e.targets) {
		if t := e.targets[name]; e.healthPath(t) != "" && e.asksWarmth(t) {
			e.warmth.targets = append(e.warmth.targets, t)
		}
	}
	e.warmth.nextAt = max(e.warmth.nextAt, now.Mono)
}

// healthPath returns the path of a target's health check, "" if its service does not limit requests to
// cold targets or has none.
func (e *Engine) healthPath(t *target) string {
	s := e.services[t.spec.Service]
	if s == nil || s.spec == nil || s.spec.MaxColdRate <= 0 {
		return ""
	}
	return s.spec.HealthPath
}

// asksWarmth reports whether this host is one of the warmthCheckers of a target. Those in its region go
// first, which tell the hosts that connect to it soonest.
func (e *Engine) asksWarmth(t *target) bool {
	own, before := e.warmthRank(t, e.cfg.Host, e.cfg.Region), 0
	for i := range e.members {
		m := &e.members[i]
		if m.Host != e.cfg.Host && e.warmthRank(t, m.Host, m.Region) < own {
			if before++; before == warmthCheckers {
				return false
			}
		}
	}
	return true
}

// warmthRank returns the rank of a host among those that may ask a target, lowest first.
func (e *Engine) warmthRank(t *target, host, region string) uint64 {
	const remote = 1 << 63
	rank := xxhash.Sum64String(t.spec.Instance+"\x00"+host) &^ remote
	if region != t.region {
		rank |= remote
	}
	return rank
}

// warmthWake returns when askWarmth must next be called, and false if no time is set.
func (e *Engine) warmthWake() (time.Duration, bool) {
	return e.warmth.nextAt, len(e.warmth.targets) > 0
}

// askWarmth asks the targets that are due, each once in warmthInterval, and tells the peers the news.
func (e *Engine) askWarmth(now clock.Instant, fx *Effects) {
	if len(e.warmth.news) > 0 {
		for _, host := range sortedKeys(e.peers) {
			fx.ColdNews = append(fx.ColdNews, ColdNews{Peer: host, Targets: e.warmth.news})
		}
		e.warmth.news = nil
	}
	if len(e.warmth.targets) == 0 {
		return
	}
	if now.Mono < e.warmth.nextAt {
		return
	}
	// Of many targets, several are asked at a time.
	count := time.Duration(len(e.warmth.targets))
	step := max(warmthInterval/count, warmthStep)
	e.warmth.nextAt = now.Mono + step
	for range (count*step + warmthInterval - 1) / warmthInterval {
		t := e.warmth.targets[e.warmth.next%len(e.warmth.targets)]
		e.warmth.next++
		if t.removed || now.Mono < t.coldUntil || len(e.warmth.checks) >= maxWarmthChecks {
			continue
		}
		e.crash.lastCheckID++
		e.warmth.checks[e.crash.lastCheckID] = t
		fx.Checks = append(fx.Checks, Check{ID: e.crash.lastCheckID, Target: t.spec, HealthPath: e.healthPath(t)})
	}
}

// warmthChecked handles a target's health response.
func (e *Engine) warmthChecked(now clock.Instant, ev *TargetChecked, fx *Effects) {
	t := e.warmth.checks[ev.ID]
	if t == nil {
		return
	}
	delete(e.warmth.checks, ev.ID)
	if ev.Refused {
		e.presumeCold(now, t)
	}
	if ev.Cold > 0 && e.learnCold(now, t, ev.Cold) {
		fx.Records = append(fx.Records, decision.Warning("target_cold",
			decision.String("target", t.spec.Instance), decision.Millis("remaining", ev.Cold)))
		e.warmth.news = append(e.warmth.news, ColdTarget{Instance: t.spec.Instance, Remaining: ev.Cold})
	}
}

func (e *Engine) coldTold(now clock.Instant, ev *ColdTold) {
	for _, c := range ev.Targets {
		if t := e.targets[c.Instance]; t != nil {
			e.learnCold(now, t, c.Remaining)
		}
	}
}

// learnCold takes a target for cold for some time, and reports whether that is news.
func (e *Engine) learnCold(now clock.Instant, t *target, remaining time.Duration) bool {
	if t.removed || e.healthPath(t) == "" || t.coldUntil-now.Mono > remaining-coldTolerance {
		return false
	}
	t.extendCold(now.Mono, remaining)
	e.restricted[t] = true
	e.shareCold(now, t)
	return true
}
