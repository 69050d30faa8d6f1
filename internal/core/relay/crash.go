package relay

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/decision"
	"pollentack.example/pollentack/internal/core/quarantine"
	"pollentack.example/pollentack/internal/core/result"
)

// A request may crash each target that begins to run it, and its caller sends it again. A lost
// connection alone does not show it: targets reset connections for other reasons. So a target that
// loses a connection is checked whether it still listens. A request under which targets crash and
// that none of them answers is suspect: the next request with its fingerprint runs alone, at one
// target at a time, until one answers, and after a second crash it is not repeated. Crashes under
// requests that ran alone convict the fingerprint, unless this host saw it answered lately.

const (
	// maxSuspects bounds the fingerprints that are kept.
	maxSuspects = 1024
	// suspectFor is how long a crash counts, and convictFor how long a conviction lasts.
	suspectFor = 2 * time.Minute
	convictFor = 10 * time.Minute
	// cleanFor is how long it is remembered that a request was answered, and maxClean of how
	// many.
	cleanFor = 5 * time.Minute
	maxClean = 8192
	// checkPatience is how long a request is not repeated because a target is being checked.
	checkPatience = 150 * time.Millisecond
)

// CheckID identifies one check of a target.
type CheckID uint64

// Check asks whether a target still listens at its address, and what it says of itself if HealthPath is
// not "".
type Check struct {
	ID         CheckID
	Target     *catalog.Target
	HealthPath string
}

// TargetChecked reports the result of a check.
type TargetChecked struct {
	ID CheckID
	// Refused states that the target's host refused the connection, so that its process has
	// ended. It is false if the target listens, and if there was no answer.
	Refused bool
	// Reached states that the target accepted the connection.
	Reached bool
	// NotMade states that the check was not made.
	NotMade bool
	// Cold is how long the target stays cold by its health response, 0 if it is warm or did not say.
	Cold time.Duration
}

func (*TargetChecked) event() {}

// crashWatch is the engine's state about requests that crash targets.
type crashWatch struct {
	suspects    *quarantine.Suspects
	checks      map[CheckID]*check
	lastCheckID CheckID
	// alone counts the suspect requests in progress by fingerprint.
	alone map[quarantine.Fingerprint]int
	// news holds the fingerprints to tell the peers about at tellAt, in order.
	news   []quarantine.Fingerprint
	tellAt time.Duration
	syncAt time.Duration
	// asked counts the peers that were asked since the start.
	asked int
}

// check is a check of a target that lost the connection of an attempt.
type check struct {
	request *request
	target  *target
	// alone states that the attempt was that of a suspect request.
	alone bool
}

func newCrashWatch() crashWatch {
	return crashWatch{
		suspects: quarantine.NewSuspects(quarantine.SuspectsConfig{MaxEntries: maxSuspects, SuspectFor: suspectFor, ConvictFor: convictFor, CleanFor: cleanFor, MaxClean: maxClean}),
		checks:   map[CheckID]*check{},
		alone:    map[quarantine.Fingerprint]int{},
	}
}

// crashes returns the number of crashes that count against the request, 0 once it was answered.
func (e *Engine) crashes(now clock.Instant, r *request) int {
	if r.answered || e.crash.suspects.Len() == 0 {
		return 0
	}
	return e.crash.suspects.Crashes(now.Mono, r.fingerprint)
}

// quarantined returns the code to refuse a request with that crashes targets, or result.OK. Of the
// suspect requests with one fingerprint, one at a time may run on this host.
func (e *Engine) quarantined(now clock.Instant, r *request) (code result.Code, retryAfter time.Duration) {
	if e.crash.suspects.Len() == 0 {
		return result.OK, 0
	}
	f := r.fingerprint
	if remaining, convicted := e.crash.suspects.Convicted(now.Mono, f); convicted {
		return result.Quarantined, remaining
	}
	r.suspect = e.crashes(now, r) >= quarantine.CrashesToSuspect
	if r.suspect && e.crash.alone[f] > 0 {
		return result.Shed, e.retryAfter()
	}
	return result.OK, 0
}

// admitSuspect counts a suspect request that starts, releaseSuspect one that ends.
func (e *Engine) admitSuspect(now clock.Instant, r *request) {
	if !r.suspect {
		return
	}
	e.crash.alone[r.fingerprint]++
	start := e.rng.IntN(len(r.shards))
	r.soloShard = start
	for n := range r.shards {
		i := (start + n) % len(r.shards)
		sh := &r.shards[i]
		if t, _ := e.chooseTarget(now, sh.service, r, sh); t != nil && now.Mono >= t.backoffUntil {
			r.soloShard = i
			return
		}
	}
}

func (e *Engine) releaseSuspect(r *request) {
	if !r.suspect {
		return
	}
	f := r.fingerprint
	if e.crash.alone[f]--; e.crash.alone[f] <= 0 {
		delete(e.crash.alone, f)
	}
}

// runsAlone reports whether the request may have one attempt in progress only.
func (r *request) runsAlone() bool { return r.suspect && !r.answered }

// hold states whether a shard may be tried.
type hold int

const (
	// notHeld allows it, heldForNow until something else happens to the request, and heldForGood
	// never again.
	notHeld hold = iota
	heldForNow
	heldForGood
)

// holdOf returns the hold on a shard given the crashes under the request: a suspect request tries
// one shard, and no request is repeated while a check is in progress or after CrashesToHold crashes.
func (e *Engine) holdOf(now clock.Instant, r *request, i int) hold {
	sh := &r.shards[i]
	checking := r.checks > 0 && now.Mono < r.checkedBy
	switch {
	case r.answered:
		return notHeld
	case r.ran && !checking && e.crashes(now, r) >= quarantine.CrashesToHold:
		return heldForGood
	case r.suspect && i != r.soloShard, checking && sh.delivered > 0 && r.mayDispatch(sh):
		return heldForNow
	}
	return notHeld
}

// heldUntil returns when to look again at a request with a shard that is heldForNow.
func (e *Engine) heldUntil(now clock.Instant, r *request) time.Duration {
	if r.checks > 0 && now.Mono < r.checkedBy {
		return r.checkedBy
	}
	return r.deadline
}

// checkTarget checks the target of a lost attempt, unless the request has been answered elsewhere.
func (e *Engine) checkTarget(now clock.Instant, a *attempt, fx *Effects) {
	r := a.request
	if r.answered {
		return
	}
	e.crash.lastCheckID++
	id := e.crash.lastCheckID
	e.crash.checks[id] = &check{request: r, target: a.target, alone: a.alone}
	r.checks++
	r.checkedBy = now.Mono + checkPatience
	fx.Checks = append(fx.Checks, Check{ID: id, Target: a.target.spec})
}

func (e *Engine) targetChecked(now clock.Instant, ev *TargetChecked, fx *Effects) {
	e.reachProbed(now, ev, fx)
	e.warmthChecked(now, ev, fx)
	c := e.crash.checks[ev.ID]
	if c == nil {
		return
	}
	delete(e.crash.checks, ev.ID)
	r := c.request
	r.checks--
	if ev.Refused {
		c.target.backOff(now.Mono, e.rng.Float64())
		e.presumeCold(now, c.target)
		if !r.answered {
			e.recordCrash(now, c, fx)
		}
	}
	if !r.ended {
		e.poll(now, r, fx)
	}
}

// recordCrash records the crash of a target under a request that no target has answered.
func (e *Engine) recordCrash(now clock.Instant, c *check, fx *Effects) {
	r, f := c.request, c.request.fingerprint
	e.counters.Crashes++
	news := e.crash.suspects.RecordCrash(now.Mono, f, crashID(now, c.target.spec), c.alone)
	_, convicted := e.crash.suspects.Convicted(now.Mono, f)
	fx.Records = append(fx.Records, decision.Warning("target_crashed",
		decision.String("request", r.ID), decision.String("fingerprint", f.String()), decision.String("route", r.route.Name),
		decision.String("target", c.target.spec.Instance), decision.Int("crashes", e.crash.suspects.Crashes(now.Mono, f)),
		decision.Bool("alone", c.alone), decision.Bool("convicted", convicted)))
	if news {
		e.tellLater(now, f)
	}
}

// crashTurn is the time in which the crashes of a target that are seen count as one. All requests that
// it ran lose their connections at once, at several hosts, and it is back after some seconds.
const crashTurn = 2 * time.Second

// crashID returns the identity of a target's crash, the same at all hosts that see it.
func crashID(now clock.Instant, t *catalog.Target) quarantine.CrashID {
	b := binary.BigEndian.AppendUint64([]byte(t.Instance), uint64(t.StartTime))
	return quarantine.CrashID(xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(now.Wall/crashTurn))))
}

// recordAnswer records that a target has answered the request.
func (e *Engine) recordAnswer(now clock.Instant, r *request, fx *Effects) {
	if r.answered {
		return
	}
	solo := r.runsAlone()
	r.answered = true
	if e.crash.suspects.RecordAnswer(now.Mono, r.fingerprint) {
		fx.Records = append(fx.Records, decision.New("suspect_cleared",
			decision.String("request", r.ID), decision.String("fingerprint", r.fingerprint.String())))
		e.tellLater(now, r.fingerprint)
	}
	if solo && !r.ended {
		e.delegate(now, r, fx)
	}
}
